package limits

import "time"

// RetryConfig bounds the retries of requests to one service.
type RetryConfig struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Slack is the number of retries per window that all entries together may make
	// in addition.
	Slack  float64
	Window time.Duration
}

// RetryBudget is one entry's share of the retry budget of a service.
type RetryBudget struct {
	config   RetryConfig
	started  time.Time
	requests *Window
	retries  *Window
	entries  entryCount
}

// NewRetryBudget returns the unused budget of a process that started at the given
// time. Its predecessor may have used the share of the slack in the same window, so
// the new process uses only the ratio until a window has passed.
func NewRetryBudget(c RetryConfig, started time.Time) *RetryBudget {
	return &RetryBudget{config: c, started: started, requests: NewWindow(c.Window), retries: NewWindow(c.Window)}
}

// Configure replaces the limits. If the length of the window changes, the retries in
// the old window are counted as made now, and the requests in it are discarded.
func (r *RetryBudget) Configure(now time.Time, c RetryConfig) {
	if c.Window != r.config.Window {
		retries := r.retries.AtMost(now)
		r.requests, r.retries = NewWindow(c.Window), NewWindow(c.Window)
		r.retries.Add(now, retries)
	}
	r.config = c
}

// RecordRequest counts a request of a caller.
func (r *RetryBudget) RecordRequest(now time.Time) { r.requests.Add(now, 1) }

// Remaining returns how many retries the budget allows now. entries is the number
// of entries that share the slack.
func (r *RetryBudget) Remaining(now time.Time, entries int) int {
	allowed := r.config.Ratio * float64(r.requests.AtLeast(now))
	if now.Sub(r.started) > r.config.Window {
		allowed += r.config.Slack / float64(r.entries.maxWithin(now, r.config.Window, entries))
	}
	return int(allowed) - r.retries.AtMost(now)
}

// Take uses one retry if more than reserve are left, and reports whether it did.
func (r *RetryBudget) Take(now time.Time, entries, reserve int) bool {
	if r.Remaining(now, entries) <= reserve {
		return false
	}
	r.retries.Add(now, 1)
	return true
}
