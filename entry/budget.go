package entry

import (
	"sync"

	"hyssoploom/route"
)

// retryBudgets holds a retry budget for each workspace, so that the retries of an
// overloaded workspace do not use up the budget of others.
type retryBudgets struct {
	mu      sync.Mutex
	buckets map[string]*route.RetryBudget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{buckets: make(map[string]*route.RetryBudget)}
}

// recordRequest credits the workspace's budget with one request.
func (b *retryBudgets) recordRequest(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(workspace).RecordRequest()
}

// allow takes one retry from the workspace's budget. It returns false if the
// budget is used up.
func (b *retryBudgets) allow(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(workspace).Take()
}

func (b *retryBudgets) bucket(workspace string) *route.RetryBudget {
	bucket, ok := b.buckets[workspace]
	if !ok {
		bucket = route.NewRetryBudget()
		b.buckets[workspace] = bucket
	}
	return bucket
}
