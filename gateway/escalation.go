package gateway

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/cascade"
	"hyssoploom/placing"
)

// escalate reports whether the response is to be discarded and the request sent to the
// largest model instead.
func (c *clientRequest) escalate(confidence int, entry *attemptLog) bool {
	now := time.Now()
	largest := c.route.Models[len(c.route.Models)-1]
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	servers, candidates := c.candidates(largest, now, c.g.EntryCount()+1)
	best := placing.Best(candidates)
	if best < 0 {
		return false
	}
	in := cascade.EscalationInput{
		Confidence:     confidence,
		Elapsed:        now.Sub(c.received),
		Pending:        placing.Wait(&candidates[best]) + c.g.host.delay(),
		Prefill:        candidates[best].Prefill,
		Backlog:        placing.Backlog(candidates),
		Decode:         c.g.load(servers[best], c.service).decodeTime(c.service, &c.meta),
		StartWithin:    c.route.LatencyTarget,
		CompleteWithin: c.deadline.Sub(c.received),
	}
	if !c.g.underPressure {
		return cascade.Escalate(in)
	}
	return c.escalateByShare(now, in, placing.LeastPending(candidates), entry)
}

// escalateByShare is escalate for deployments whose callers compete for the larger model.
// The caller must hold g.mu.
func (c *clientRequest) escalateByShare(now time.Time, in cascade.EscalationInput, leastWait time.Duration, entry *attemptLog) bool {
	m := &c.g.modelRoom
	offer := cascade.Offer{
		EscalationInput: in,
		Class:           m.class(c.route.Name, c.meta.PromptTokens),
		Workspace:       xxhash.Sum64String(c.workspaceName()),
		Work:            in.Prefill,
		LeastWait:       leastWait,
		TightestTarget:  m.tightestTarget(c.view.Config, c.service.Name),
	}
	verdict := m.sharesOf(c.service.Name).Decide(now, offer, c.g.rng.Float64())
	entry.ModelRoom, entry.ModelGranted = percent(verdict.Room), percent(verdict.Granted)
	switch {
	case verdict.Escalate:
		c.g.Metrics.Add("escalations", 1)
	case verdict.Wanted:
		c.g.Metrics.Add("escalations_without_room", 1)
	}
	return verdict.Escalate
}

func percent(fraction float64) int { return int(math.Round(100 * fraction)) }
