package gateway

import (
	"time"

	"hyssoploom/fleet"
	"hyssoploom/release"
)

// countTiming counts the time of an answer as evidence in a rollout. The times of whole
// answers of versions that are not tested also update the baselines. The caller must hold
// g.mu.
func (g *Gateway) countTiming(r *rolloutState, s *fleet.BackendServer, timing release.Timing, whole bool) {
	rolling := r != nil && r.Outcome == fleet.InProgress
	if rolling {
		g.countSpeed(r, s, timing)
	}
	if whole && (!rolling || s.Version != r.Target) {
		g.latencies.Observe(timing)
	}
}

// countSpeed adds the time of an answer to the evidence of a rollout.
func (g *Gateway) countSpeed(r *rolloutState, s *fleet.BackendServer, timing release.Timing) {
	counts := r.countsFor(s.Version)
	if fast, known := g.latencies.Fast(timing); known && g.onlyCanaries(r) {
		counts.Paced++
		if fast {
			counts.Fast++
		}
	}
	if slow, known := g.latencies.Slow(timing); known {
		counts.Timed++
		if timing.NonStreaming {
			r.countRouteTime(timing.Kind, s.Version, slow)
		}
		if slow {
			counts.Slow++
			g.broadcastEvidence(r)
		}
	}
}

// onlyCanaries reports whether only few sessions may use the new version yet.
func (g *Gateway) onlyCanaries(r *rolloutState) bool {
	p := release.Progress{Elapsed: r.elapsed(), Duration: r.Duration}
	return p.OnlyCanaries(g.exposureLimits())
}

// countTimingEarly counts the time of a stream of which enough events have arrived.
func (g *Gateway) countTimingEarly(c *clientRequest, t *target, entry *attemptLog, started time.Time) {
	entry.timed = true
	first := time.Duration(entry.FirstMS) * time.Millisecond
	timing := c.timing(t, entry)
	timing.First, timing.Rest, timing.Events = first, time.Since(started)-first, entry.Events
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observeAnswerSpeed(c, t, &timing)
	r := g.rollouts[c.service.Name]
	g.countTiming(r, t.server, timing, true)
	if r != nil && r.Outcome == fleet.InProgress {
		r.evidenceChanged = true
		g.checkEvidence(r)
	}
}
