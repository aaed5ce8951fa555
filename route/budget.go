package route

import "sync"

const (
	// creditTenths is the credit of each request in tenths of a retry, that is 0.2
	// retries.
	creditTenths = 2
	retryTenths  = 10
	// maxSavedRetries is the maximum credit in retries, available for a burst.
	maxSavedRetries = 10
)

// RetryBudget limits the attempts to 1.2 per request, plus maxSavedRetries at the
// start. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tenths int
}

// NewRetryBudget returns a full budget, so that the first requests of an entry can
// be retried.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tenths: maxSavedRetries * retryTenths} }

// RecordRequest credits one request of a caller.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tenths = min(b.tenths+creditTenths, maxSavedRetries*retryTenths)
}

// Take takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tenths < retryTenths {
		return false
	}
	b.tenths -= retryTenths
	return true
}
