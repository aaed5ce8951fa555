package limits

import "time"

// ColdConfig bounds the requests that cold backend servers get.
type ColdConfig struct {
	// Overshoot multiplies the rate that a server bears; Slack is added. The sum is
	// the most that all entries may send in one second.
	Overshoot, Slack float64
}

// coldSpan is the span of the limit, with a margin for the time on the way.
const coldSpan = 1100 * time.Millisecond

// ColdLimiter is the share of one entry in the limits of cold backend servers.
type ColdLimiter struct {
	config  ColdConfig
	sent    map[string][]time.Time // by server id, oldest first
	entries entryCount
}

// NewColdLimiter returns shares of which nothing is used.
func NewColdLimiter(c ColdConfig) *ColdLimiter {
	return &ColdLimiter{config: c, sent: make(map[string][]time.Time)}
}

// Configure changes the limits.
func (c *ColdLimiter) Configure(config ColdConfig) { c.config = config }

// Share is the number of requests per second that one of the entries may send to
// a cold server that bears rate requests per second.
func (c *ColdLimiter) Share(rate float64, entries int) int {
	return int((rate*c.config.Overshoot + c.config.Slack) / float64(max(entries, 1)))
}

// Allow tells whether a request may go to a cold server now. entries is the number
// of entries that share the limit.
func (c *ColdLimiter) Allow(now time.Time, server string, rate float64, entries int) bool {
	return len(c.recent(now, server)) < c.Share(rate, c.entries.most(now, coldSpan, entries))
}

// RecordSent counts a request to a server. Warm servers count too, because a server
// may turn cold right after a request was sent.
func (c *ColdLimiter) RecordSent(now time.Time, server string) {
	c.sent[server] = append(c.recent(now, server), now)
}

// Retain forgets the servers that keep does not accept.
func (c *ColdLimiter) Retain(keep func(server string) bool) {
	for server := range c.sent {
		if !keep(server) {
			delete(c.sent, server)
		}
	}
}

func (c *ColdLimiter) recent(now time.Time, server string) []time.Time {
	sent := c.sent[server]
	for len(sent) > 0 && now.Sub(sent[0]) >= coldSpan {
		sent = sent[1:]
	}
	c.sent[server] = sent
	return sent
}
