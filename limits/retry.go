package limits

import "time"

// RetryConfig bounds the sends beyond the first of each request to one service.
type RetryConfig struct {
	// Ratio is the number of repeated sends per request.
	Ratio float64
	// Slack is the number of repeated sends in a window that are allowed besides,
	// over all entries.
	Slack  int
	Window time.Duration
}

// RetryBudget is the share of one entry in the retry budget of a service.
type RetryBudget struct {
	config   RetryConfig
	started  time.Time
	requests *Window
	repeats  *Window
	entries  entryCount
}

// NewRetryBudget returns an unused budget of a process that started at a time. The
// process before it may have used the share of the slack in the same window, so
// the new one uses only the ratio until a window has passed.
func NewRetryBudget(c RetryConfig, started time.Time) *RetryBudget {
	return &RetryBudget{config: c, started: started, requests: NewWindow(c.Window), repeats: NewWindow(c.Window)}
}

// Configure changes the limits. With another window, the repeated sends so far
// count as just made, and the requests so far do not count.
func (r *RetryBudget) Configure(now time.Time, c RetryConfig) {
	if c.Window != r.config.Window {
		repeats := r.repeats.AtMost(now)
		r.requests, r.repeats = NewWindow(c.Window), NewWindow(c.Window)
		r.repeats.Add(now, repeats)
	}
	r.config = c
}

// RecordRequest counts a request of a caller.
func (r *RetryBudget) RecordRequest(now time.Time) { r.requests.Add(now, 1) }

// Remaining returns how many repeated sends the budget still allows. entries is the
// number of entries that share the slack.
func (r *RetryBudget) Remaining(now time.Time, entries int) int {
	allowed := r.config.Ratio * float64(r.requests.AtLeast(now))
	if now.Sub(r.started) > r.config.Window {
		allowed += float64(r.config.Slack) / float64(r.entries.most(now, r.config.Window, entries))
	}
	return int(allowed) - r.repeats.AtMost(now)
}

// Take uses one repeated send if keep are left afterwards.
func (r *RetryBudget) Take(now time.Time, entries, keep int) bool {
	if r.Remaining(now, entries) <= keep {
		return false
	}
	r.repeats.Add(now, 1)
	return true
}
