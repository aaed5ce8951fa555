package limits

import "time"

// ColdConfig bounds the rate of requests to cold backend servers.
type ColdConfig struct {
	// Overshoot multiplies the rate that a cold server can serve, and Slack is
	// added to the product. The result is the maximum number of requests per second
	// from all entries together.
	Overshoot, Slack float64
}

// coldWindow is the time for which a sent request counts against the limit of
// ColdConfig. It is longer than the second to which the limit applies, because
// requests that are sent more than a second apart can arrive within one second when
// their network delays differ.
const coldWindow = 1100 * time.Millisecond

// ColdLimiter enforces one entry's share of the limits of cold backend servers.
type ColdLimiter struct {
	config  ColdConfig
	sent    map[string][]time.Time // by server id, oldest first
	entries entryCount
}

// NewColdLimiter returns a limiter that has recorded no requests.
func NewColdLimiter(c ColdConfig) *ColdLimiter {
	return &ColdLimiter{config: c, sent: make(map[string][]time.Time)}
}

// Configure replaces the limits.
func (c *ColdLimiter) Configure(config ColdConfig) { c.config = config }

// Share returns the number of requests per second that each of the entries may send
// to a cold server that can serve rate requests per second.
func (c *ColdLimiter) Share(rate float64, entries int) int {
	return int((rate*c.config.Overshoot + c.config.Slack) / float64(max(entries, 1)))
}

// Allow reports whether a request may be sent to a cold server now. entries is the
// number of entries that share the limit.
func (c *ColdLimiter) Allow(now time.Time, server string, rate float64, entries int) bool {
	return len(c.recent(now, server)) < c.Share(rate, c.entries.maxWithin(now, coldWindow, entries))
}

// RecordSent counts a request to a server. Requests to warm servers count too,
// because a server may become cold right after a request was sent.
func (c *ColdLimiter) RecordSent(now time.Time, server string) {
	c.sent[server] = append(c.recent(now, server), now)
}

// Retain removes the state of the servers for which keep returns false.
func (c *ColdLimiter) Retain(keep func(server string) bool) {
	for server := range c.sent {
		if !keep(server) {
			delete(c.sent, server)
		}
	}
}

func (c *ColdLimiter) recent(now time.Time, server string) []time.Time {
	sent := c.sent[server]
	for len(sent) > 0 && now.Sub(sent[0]) >= coldWindow {
		sent = sent[1:]
	}
	c.sent[server] = sent
	return sent
}
