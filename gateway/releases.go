package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/attempt"
	"hyssoploom/fleet"
	"hyssoploom/peers"
	"hyssoploom/release"
)

// releaseState is what an entry knows of one roll-out.
type releaseState struct {
	fleet.RollOut
	// started is when the order was given, by the steady clock.
	started time.Time
	own     release.Evidence
	peers   map[string]peerEvidence // by name
	// gone is the evidence of processes that ended; their successors count anew.
	gone release.Evidence
	// bad is set for good once the new version has been found to fail.
	bad  bool
	duty dutyState
	// untold is set by counts that the peers do not have yet.
	untold bool
	told   time.Time // of the last regular message
}

// peerEvidence is the evidence of one process of a peer.
type peerEvidence struct {
	release.Evidence
	process uint64
}

// releaseOf returns the state of a service's roll-out, or nil without an order.
// The caller holds g.mu.
func (g *Gateway) releaseOf(view *fleet.View, service string) *releaseState {
	if view.Revision < g.releaseRevision {
		return g.releases[service] // a request that began earlier does not turn it back
	}
	g.releaseRevision = view.Revision
	current, ok := view.RollOut(service)
	if !ok {
		delete(g.releases, service)
		return nil
	}
	r := g.releases[service]
	if r == nil || r.Revision != current.Revision {
		r = &releaseState{RollOut: current, started: time.Now(), peers: make(map[string]peerEvidence)}
		g.releases[service] = r
		g.Log.Info("A roll-out was ordered.", "service", service, "target", current.Target,
			"duration", current.Duration.String(), "revision", current.Revision)
		g.tellSessions(r)
	}
	if r.Outcome != current.Outcome {
		g.Log.Info("A roll-out has a new state.", "service", service, "state", string(current.Outcome))
	}
	r.RollOut = current
	if plan := view.Plans[service]; plan.Order == current.Revision {
		r.ordered(plan.ReceivedAt.Add(-time.Duration(plan.ElapsedMS) * time.Millisecond))
	}
	return r
}

// ordered takes over the time of the order from an entry that learned of it earlier.
func (r *releaseState) ordered(at time.Time) {
	if at.Before(r.started) {
		r.started = at
	}
}

// evidence is that of the whole fleet.
func (r *releaseState) evidence() release.Evidence {
	total := r.own.Add(r.gone)
	for _, e := range r.peers {
		total = total.Add(e.Evidence)
	}
	return total
}

// progress describes how far a roll-out has come. The caller holds g.mu.
func (g *Gateway) progress(view *fleet.View, r *releaseState, now time.Time) release.Progress {
	p := release.Progress{Elapsed: now.Sub(r.started), Duration: r.Duration, Evidence: r.evidence(), Own: r.own}
	for _, s := range view.ByService[r.Service] {
		switch {
		case s.Version == r.Target:
			p.TargetReady = p.TargetReady || !s.Draining
		case g.loads[s.ID] != nil:
			p.OldRunning += g.loads[s.ID].running + g.loads[s.ID].remoteRunning
		}
	}
	return p
}

// ofVersion keeps the servers of the version that serves the request.
func (c *call) ofVersion(servers []*fleet.BackendServer, now time.Time, entries int) []*fleet.BackendServer {
	g := c.g
	r := g.releaseOf(c.view, c.service.Name)
	if r == nil {
		return servers
	}
	var old, target []*fleet.BackendServer
	for _, s := range servers {
		if s.Version == r.Target {
			target = append(target, s)
		} else {
			old = append(old, s)
		}
	}
	switch {
	case r.Outcome == fleet.Completed:
		return target
	case r.Outcome == fleet.RolledBack, r.bad:
		return old
	}
	progress := g.progress(c.view, r, now)
	assignment := c.assignment(r, progress, now, entries)
	switch {
	case release.UseTarget(assignment) && len(target) > 0:
		return target
	case len(old) > 0 || !progress.SessionsMayMove():
		return old
	}
	return target
}

// exposure is what the deployment allows a version that may be bad.
func (g *Gateway) exposure() release.Limits {
	b := g.bounds.Load()
	return release.Limits{Share: b.ExposureShare, Slack: b.ExposureSlack}
}

func (c *call) assignment(r *releaseState, p release.Progress, now time.Time, entries int) release.Assignment {
	a := release.Assignment{
		Progress: p,
		Limits:   c.g.exposure(),
		Entries:  entries,
	}
	key, ok := c.sessionKey()
	if !ok {
		if c.position < 0 {
			c.position = rand.Float64()
		}
		a.Position = c.position
		return a
	}
	a.Position = position(key.ID, r.Revision)
	version, bound := c.g.sessions.BoundVersion(now, key)
	a.Bound, a.OnTarget = bound, version == r.Target
	return a
}

// position places a session in [0, 1), differently for each roll-out.
func position(session uint64, order int64) float64 {
	h := session ^ uint64(order)*0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 32
	return float64(h>>11) / (1 << 53)
}

// sessionKey is the session of the request: the last part of its prompt that
// other requests share.
func (c *call) sessionKey() (release.SessionKey, bool) {
	id := c.affinity()
	return release.SessionKey{Service: c.service.Name, ID: id}, id != 0
}

// beginUse counts a send in sessions and roll-outs. The caller holds g.mu.
func (g *Gateway) beginUse(c *call, s *fleet.BackendServer) {
	r := g.releases[c.service.Name]
	if key, ok := c.sessionKey(); ok {
		g.sessions.Begin(time.Now(), key, s.Version)
		g.tellUse(r, key, s.Version, true)
	}
	if r == nil || r.Outcome != fleet.InProgress {
		return
	}
	r.tally(s.Version).Sent++
	r.untold = true
}

// endUse counts the outcome of a send. The caller holds g.mu.
func (g *Gateway) endUse(c *call, s *fleet.BackendServer, result attempt.Outcome, timing release.Timing) {
	r := g.releases[c.service.Name]
	if key, ok := c.sessionKey(); ok {
		g.sessions.End(time.Now(), key)
		g.tellUse(r, key, s.Version, false)
	}
	g.observeRoute(r, s.Version, c.route.Name, result)
	if r == nil || r.Outcome != fleet.InProgress {
		if result == attempt.Delivered {
			g.paces.Observe(timing)
		}
		return
	}
	g.count(r, s, result, timing)
	r.untold = true
	g.judge(r)
}

// observeRoute notes whether an answer on a route failed, and counts those on steady
// routes as evidence of a roll-out in progress.
func (g *Gateway) observeRoute(r *releaseState, version, route string, result attempt.Outcome) {
	failed := result == attempt.Failed
	if !failed && result != attempt.Delivered && result != attempt.Unsure {
		return
	}
	rolling := r != nil && r.Outcome == fleet.InProgress
	if rolling && g.routes.Steady(route) {
		tally := r.tally(version)
		tally.Steady++
		if failed {
			tally.SteadyBad++
		}
	}
	if !rolling || version != r.Target {
		g.routes.Observe(route, failed)
	}
}

// count adds an answer to the evidence of a roll-out.
func (g *Gateway) count(r *releaseState, s *fleet.BackendServer, result attempt.Outcome, timing release.Timing) {
	tally := r.tally(s.Version)
	switch result {
	case attempt.Delivered, attempt.Unsure:
		tally.Good++
	case attempt.Failed:
		tally.Bad++
		g.tellEvidence(r)
		return
	case attempt.Broken, attempt.NotSent, attempt.NotRun, attempt.Stale:
		return // a server that crashed or lost its connections, not its version
	}
	if slow, known := g.paces.Slow(timing); known {
		tally.Timed++
		if slow {
			tally.Slow++
			g.tellEvidence(r)
		}
	}
	if result == attempt.Delivered && s.Version != r.Target {
		g.paces.Observe(timing)
	}
}

func (r *releaseState) tally(version string) *release.AnswerCounts {
	if version == r.Target {
		return &r.own.Target
	}
	return &r.own.Old
}

// judge notes when the fleet's evidence speaks against the new version.
func (g *Gateway) judge(r *releaseState) {
	if !r.bad && r.evidence().Bad() {
		g.reject(r, "The new version fails or is slow too often.")
	}
}

// reject keeps requests from the new version from now on.
func (g *Gateway) reject(r *releaseState, reason string) {
	e := r.evidence()
	r.bad = true
	g.Log.Warn(reason, "service", r.Service, "target", r.Target,
		"target_good", e.Target.Good, "target_bad", e.Target.Bad, "old_good", e.Old.Good, "old_bad", e.Old.Bad,
		"target_steady", e.Target.Steady, "target_odd", e.Target.SteadyBad, "old_steady", e.Old.Steady, "old_odd", e.Old.SteadyBad,
		"target_timed", e.Target.Timed, "target_slow", e.Target.Slow, "old_timed", e.Old.Timed, "old_slow", e.Old.Slow)
}

// tellUse tells the peers of the use of a session that may move to the new version
// of a roll-out once it pauses.
func (g *Gateway) tellUse(r *releaseState, key release.SessionKey, version string, running bool) {
	if r == nil || r.Outcome != fleet.InProgress || !g.canary(r, key) {
		return
	}
	use := peers.SessionUse{Service: key.Service, Session: key.ID, Version: version, Running: running}
	g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.Sessions = append(m.Sessions, use) })
}

// canary tells whether a session may move in the first half of a roll-out.
func (g *Gateway) canary(r *releaseState, key release.SessionKey) bool {
	return position(key.ID, r.Revision) < g.bounds.Load().ExposureShare
}

// tellSessions tells the peers of the sessions in use that may move.
func (g *Gateway) tellSessions(r *releaseState) {
	uses := g.sessionUses(r)
	g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.Sessions = append(m.Sessions, uses...) })
}

func (g *Gateway) sessionUses(r *releaseState) []peers.SessionUse {
	var uses []peers.SessionUse
	g.sessions.ForEachLive(time.Now(), func(key release.SessionKey, version string) {
		if key.Service == r.Service && g.canary(r, key) {
			uses = append(uses,
				peers.SessionUse{Service: r.Service, Session: key.ID, Version: version, Running: true},
				peers.SessionUse{Service: r.Service, Session: key.ID, Version: version})
		}
	})
	return uses
}

// tellEvidence tells the peers this entry's counts.
func (g *Gateway) tellEvidence(r *releaseState) {
	r.untold = false
	evidence := g.evidenceOf(r)
	g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) {
		m.Evidence = slices.DeleteFunc(m.Evidence, func(e peers.Evidence) bool { return e.Service == r.Service })
		m.Evidence = append(m.Evidence, evidence...)
	})
}

// evidenceOf builds the messages of this entry's counts; all versions but the target
// count as one, with an empty name.
func (g *Gateway) evidenceOf(r *releaseState) []peers.Evidence {
	message := func(version string, t release.AnswerCounts) peers.Evidence {
		return peers.Evidence{
			Service: r.Service, Order: r.Revision, Version: version, Sent: t.Sent, Good: t.Good, Bad: t.Bad,
			Timed: t.Timed, Slow: t.Slow, ElapsedMS: time.Since(r.started).Milliseconds(),
			Process: xxhash.Sum64String(g.BootID), Steady: t.Steady, Odd: t.SteadyBad,
		}
	}
	return []peers.Evidence{message("", r.own.Old), message(r.Target, r.own.Target)}
}

// adoptEvidence takes over a peer's counts. The caller holds g.mu.
func (g *Gateway) adoptEvidence(from string, e peers.Evidence) {
	r := g.releases[e.Service]
	if r == nil || r.Revision != e.Order {
		return // the peer repeats its counts with each change
	}
	r.ordered(time.Now().Add(-time.Duration(e.ElapsedMS) * time.Millisecond))
	peer := r.peers[from]
	if peer.process != e.Process {
		r.gone = r.gone.Add(peer.Evidence) // the peer has started again
		peer = peerEvidence{process: e.Process}
	}
	known := &peer.Old
	if e.Version == r.Target {
		known = &peer.Target
	}
	tally := release.AnswerCounts{Sent: e.Sent, Good: e.Good, Bad: e.Bad, Timed: e.Timed, Slow: e.Slow, Steady: e.Steady, SteadyBad: e.Odd}
	if tally.Total() < known.Total() {
		return // an older message that came another way
	}
	*known = tally
	r.peers[from] = peer
	g.judge(r)
}

// greetReleases adds what a new peer has to know of roll-outs.
func (g *Gateway) greetReleases(m *peers.Message) {
	for _, r := range g.releases {
		if r.Outcome != fleet.InProgress {
			continue
		}
		m.Sessions = append(m.Sessions, g.sessionUses(r)...)
		m.Evidence = append(m.Evidence, g.evidenceOf(r)...)
	}
}
