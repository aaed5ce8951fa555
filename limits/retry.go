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

// Retries is the share of one entry in the retry budget of a service.
type Retries struct {
	config   RetryConfig
	requests *Window
	repeats  *Window
}

// NewRetries returns an unused budget.
func NewRetries(c RetryConfig) *Retries {
	return &Retries{config: c, requests: NewWindow(c.Window), repeats: NewWindow(c.Window)}
}

// Request counts a request of a caller.
func (r *Retries) Request(now time.Time) { r.requests.Add(now, 1) }

// Left returns how many repeated sends the budget still allows. entries is the
// number of entries that share the slack.
func (r *Retries) Left(now time.Time, entries int) int {
	allowed := r.config.Ratio*float64(r.requests.AtLeast(now)) + float64(r.config.Slack)/float64(max(entries, 1))
	return int(allowed) - r.repeats.AtMost(now)
}

// Take uses one repeated send if keep are left afterwards.
func (r *Retries) Take(now time.Time, entries, keep int) bool {
	if r.Left(now, entries) <= keep {
		return false
	}
	r.repeats.Add(now, 1)
	return true
}
