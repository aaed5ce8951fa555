package route

import "sync"

const (
	// tenthsPerRequest is gained per request, in tenths of a retry: 0.2.
	tenthsPerRequest = 2
	tenthsPerRetry   = 10
	// retryCap is the number of retries that can be saved for a burst.
	retryCap = 10
)

// RetryBudget bounds the attempts to 1.2 per request, plus retryCap at the
// start. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tenths int
}

// NewRetryBudget returns a full budget, so that the first requests of an entry
// can be retried.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tenths: retryCap * tenthsPerRetry} }

// RecordRequest credits one request of a caller.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tenths = min(b.tenths+tenthsPerRequest, retryCap*tenthsPerRetry)
}

// Take takes one retry from the budget and tells whether it was there.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tenths < tenthsPerRetry {
		return false
	}
	b.tenths -= tenthsPerRetry
	return true
}
