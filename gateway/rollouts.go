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

// rolloutState is the state of one rollout as known to this entry.
type rolloutState struct {
	fleet.Rollout
	// orderedAt is when the rollout was ordered, by the monotonic clock.
	orderedAt time.Time
	own       release.Evidence
	// peers holds the evidence of all processes of the peers, including those that have
	// ended: the processes that replace them count from zero.
	peers  map[peerProcess]peerEvidence
	routes rolloutRoutes
	// rejected is set permanently once an entry has found the new version bad.
	rejected   bool
	publishing publishState
	// evidenceChanged is set when the peers do not have the latest counts.
	evidenceChanged bool
	evidenceSentAt  time.Time // last periodic message
}

// peerProcess identifies a process of a peer.
type peerProcess struct {
	name    string
	process uint64
}

// peerEvidence is the evidence of one process of a peer.
type peerEvidence struct {
	release.Evidence
	// old and target are the answers of each version by route.
	old, target release.RouteEvidence
}

// rolloutOf returns the state of a service's rollout, or nil if none is ordered. The
// caller must hold g.mu.
func (g *Gateway) rolloutOf(view *fleet.View, service string) *rolloutState {
	if view.Revision < g.rolloutsRevision {
		return g.rollouts[service] // a request with an older view must not revert the state
	}
	g.rolloutsRevision = view.Revision
	current, ok := view.Rollout(service)
	if !ok {
		delete(g.rollouts, service)
		return nil
	}
	r := g.rollouts[service]
	if r == nil || r.Revision != current.Revision {
		r = &rolloutState{Rollout: current, orderedAt: time.Now(), peers: make(map[peerProcess]peerEvidence)}
		r.routes.before = g.routeHistory(view, service)
		g.rollouts[service] = r
		g.Log.Info("A roll-out was ordered.", "service", service, "target", current.Target,
			"duration", current.Duration.String(), "revision", fleet.StoreRevision(current.Revision), "era", fleet.Era(current.Revision))
		g.broadcastSessions(r)
	}
	if r.Outcome != current.Outcome {
		g.Log.Info("A roll-out has a new state.", "service", service, "state", string(current.Outcome))
	}
	r.Rollout = current
	if published := view.Progress[service]; r.isOrder(published.Order) {
		r.backdate(published.ReceivedAt.Add(-time.Duration(published.ElapsedMS) * time.Millisecond))
	}
	return r
}

// isOrder reports whether a revision is that of the order, which keeps its number when the
// store goes back.
func (r *rolloutState) isOrder(revision int64) bool {
	return fleet.StoreRevision(revision) == fleet.StoreRevision(r.Revision)
}

// backdate sets the time of the order to that reported by another entry if it is earlier.
func (r *rolloutState) backdate(at time.Time) {
	if at.Before(r.orderedAt) {
		r.orderedAt = at
	}
}

// elapsed returns the time since the order.
func (r *rolloutState) elapsed() time.Duration { return time.Since(r.orderedAt) }

// evidence returns the evidence of all entries.
func (r *rolloutState) evidence() release.Evidence {
	total := r.own
	for _, e := range r.peers {
		total = total.Add(e.Evidence)
	}
	return total
}

// progress returns the progress of a rollout. The caller must hold g.mu.
func (g *Gateway) progress(view *fleet.View, r *rolloutState, now time.Time) release.Progress {
	p := release.Progress{Elapsed: now.Sub(r.orderedAt), Duration: r.Duration, Evidence: r.evidence(), Own: r.own, Suspicion: r.suspicion()}
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

// filterByVersion returns the servers of the version that serves the request.
func (c *clientRequest) filterByVersion(servers []*fleet.BackendServer, now time.Time, entries int) []*fleet.BackendServer {
	g := c.g
	r := g.rolloutOf(c.view, c.service.Name)
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
	case r.Outcome == fleet.RolledBack, r.rejected:
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

// exposureLimits returns the configured limits on requests to a version that is not yet
// known to be good.
func (g *Gateway) exposureLimits() release.Limits {
	b := g.bounds.Load()
	return release.Limits{Share: b.ExposureShare, Slack: b.ExposureSlack}
}

func (c *clientRequest) assignment(r *rolloutState, p release.Progress, now time.Time, entries int) release.Assignment {
	a := release.Assignment{
		Progress: p,
		Limits:   c.g.exposureLimits(),
		Entries:  entries,
	}
	key, ok := c.sessionKey()
	if !ok {
		if c.position < 0 {
			c.position = rand.Float64()
		}
		a.Position = c.position
		a.Sessionless, a.Repeat = true, len(c.attempts) > 0
		return a
	}
	a.Position = position(key.ID, r.Target)
	version, bound := c.g.sessions.BoundVersion(now, key)
	a.Bound, a.OnTarget = bound, version == r.Target
	return a
}

// position maps a session to a pseudo-random value in [0, 1) that differs between
// rollouts.
func position(session uint64, target string) float64 {
	h := session ^ xxhash.Sum64String(target)*0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 32
	return float64(h>>11) / (1 << 53)
}

// sessionKey returns the session of the request, identified by the last part of its
// prompt that is shared with other requests.
func (c *clientRequest) sessionKey() (release.SessionKey, bool) {
	id := c.affinityKey()
	return release.SessionKey{Service: c.service.Name, ID: id}, id != 0
}

// recordSend counts a send in its session and rollout. The caller must hold g.mu.
func (g *Gateway) recordSend(c *clientRequest, s *fleet.BackendServer) {
	r := g.rollouts[c.service.Name]
	if key, ok := c.sessionKey(); ok {
		g.sessions.Begin(time.Now(), key, s.Version)
		g.broadcastSessionUse(r, key, s.Version, true)
	}
	if r == nil || r.Outcome != fleet.InProgress {
		return
	}
	r.countsFor(s.Version).Sent++
	r.evidenceChanged = true
}

// recordOutcome counts the outcome of a send. timed means that its time has been counted
// already. The caller must hold g.mu.
func (g *Gateway) recordOutcome(c *clientRequest, s *fleet.BackendServer, result attempt.Outcome, timing release.Timing, timed bool) {
	r := g.rollouts[c.service.Name]
	if key, ok := c.sessionKey(); ok {
		g.sessions.End(time.Now(), key)
		g.broadcastSessionUse(r, key, s.Version, false)
	}
	g.observeRoute(r, s.Version, c.route.Name, result)
	if r != nil && r.Outcome == fleet.InProgress {
		g.countResult(r, s, result)
		if !c.failedBefore() {
			r.countRoute(c.route.Name, s.Version, result)
		}
	}
	switch result {
	case attempt.Failed, attempt.Broken, attempt.NotSent, attempt.NotRun, attempt.Stale:
		timed = true // there is no answer of the server whose time counts
	}
	if !timed {
		g.countTiming(r, s, timing, result == attempt.Delivered)
	}
	if r != nil && r.Outcome == fleet.InProgress {
		r.evidenceChanged = true
		g.checkEvidence(r)
	}
}

// observeRoute records whether a response on a route failed. During a rollout,
// responses on steady routes also count as evidence.
func (g *Gateway) observeRoute(r *rolloutState, version, route string, result attempt.Outcome) {
	failed := result == attempt.Failed
	if !failed && result != attempt.Delivered && result != attempt.Escalated {
		return
	}
	rolling := r != nil && r.Outcome == fleet.InProgress
	if rolling && g.routes.Steady(route) {
		counts := r.countsFor(version)
		counts.Steady++
		if failed {
			counts.SteadyBad++
		}
	}
	if !rolling || version != r.Target {
		g.routes.Observe(route, failed)
	}
}

// countResult adds a response to the evidence of a rollout.
func (g *Gateway) countResult(r *rolloutState, s *fleet.BackendServer, result attempt.Outcome) {
	counts := r.countsFor(s.Version)
	switch result {
	case attempt.Delivered, attempt.Escalated:
		counts.Good++
	case attempt.Failed:
		counts.Bad++
		g.broadcastEvidence(r)
	}
	// Other outcomes are caused by a crash or lost connection of the server, or by the
	// caller, not by the version.
}

// countsFor returns the counts of this entry to which the answers of a version are added.
func (r *rolloutState) countsFor(version string) *release.AnswerCounts {
	if version == r.Target {
		return &r.own.Target
	}
	return &r.own.Old
}

// checkEvidence rejects the new version if the evidence of all entries shows that it is
// bad.
func (g *Gateway) checkEvidence(r *rolloutState) {
	if p := (release.Progress{Evidence: r.evidence(), Suspicion: r.suspicion()}); !r.rejected && p.Bad() {
		g.rejectVersion(r, "The new version fails or is slow too often.")
	}
}

// rejectVersion stops sending requests to the new version, at all entries.
func (g *Gateway) rejectVersion(r *rolloutState, reason string) {
	e, suspicion := r.evidence(), r.suspicion()
	r.rejected = true
	g.Metrics.Add("rollout_rejected", 1)
	g.broadcastEvidence(r)
	g.Log.Warn(reason, "service", r.Service, "target", r.Target, "log_e", suspicion.LogE, "peak", suspicion.Peak,
		"target_good", e.Target.Good, "target_bad", e.Target.Bad, "old_good", e.Old.Good, "old_bad", e.Old.Bad,
		"target_steady", e.Target.Steady, "target_odd", e.Target.SteadyBad, "old_steady", e.Old.Steady, "old_odd", e.Old.SteadyBad,
		"target_timed", e.Target.Timed, "target_slow", e.Target.Slow, "old_timed", e.Old.Timed, "old_slow", e.Old.Slow,
		"target_paced", e.Target.Paced, "target_fast", e.Target.Fast, "old_paced", e.Old.Paced, "old_fast", e.Old.Fast)
}

// broadcastSessionUse informs the peers about the use of a session that may move to the
// new version of a rollout once it pauses.
func (g *Gateway) broadcastSessionUse(r *rolloutState, key release.SessionKey, version string, running bool) {
	if r == nil || r.Outcome != fleet.InProgress || !g.isCanary(r, key) {
		return
	}
	use := peers.SessionUse{Service: key.Service, Session: key.ID, Version: version, Running: running}
	g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.Sessions = append(m.Sessions, use) })
}

// isCanary reports whether a session may move in the first half of a rollout.
func (g *Gateway) isCanary(r *rolloutState, key release.SessionKey) bool {
	return position(key.ID, r.Target) < g.bounds.Load().ExposureShare
}

// broadcastSessions informs the peers about the sessions in use that may move.
func (g *Gateway) broadcastSessions(r *rolloutState) {
	uses := g.sessionUses(r)
	g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.Sessions = append(m.Sessions, uses...) })
}

func (g *Gateway) sessionUses(r *rolloutState) []peers.SessionUse {
	var uses []peers.SessionUse
	g.sessions.ForEachLive(time.Now(), func(key release.SessionKey, version string) {
		if key.Service == r.Service && g.isCanary(r, key) {
			uses = append(uses,
				peers.SessionUse{Service: r.Service, Session: key.ID, Version: version, Running: true},
				peers.SessionUse{Service: r.Service, Session: key.ID, Version: version})
		}
	})
	return uses
}

// broadcastEvidence sends this entry's counts to the peers.
func (g *Gateway) broadcastEvidence(r *rolloutState) {
	r.evidenceChanged = false
	evidence := g.evidenceMessages(r)
	g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) {
		m.Evidence = slices.DeleteFunc(m.Evidence, func(e peers.Evidence) bool { return e.Service == r.Service })
		m.Evidence = append(m.Evidence, evidence...)
	})
}

// evidenceMessages returns the messages with this entry's counts. All versions other
// than the target are counted together, under an empty name.
func (g *Gateway) evidenceMessages(r *rolloutState) []peers.Evidence {
	message := func(version string, t release.AnswerCounts) peers.Evidence {
		return peers.Evidence{
			Service: r.Service, Order: r.Revision, Version: version, Sent: t.Sent, Good: t.Good, Bad: t.Bad,
			Timed: t.Timed, Slow: t.Slow, Paced: t.Paced, Fast: t.Fast, ElapsedMS: r.elapsed().Milliseconds(),
			Process: xxhash.Sum64String(g.BootID), Steady: t.Steady, SteadyBad: t.SteadyBad,
			Rejected: r.rejected && version == r.Target, Routes: r.routeMessages(version == r.Target),
		}
	}
	return []peers.Evidence{message("", r.own.Old), message(r.Target, r.own.Target)}
}

// isSameRollout reports whether evidence is about this rollout. An order that was written
// again after the store went back has another revision at entries that have started since.
func (r *rolloutState) isSameRollout(e peers.Evidence) bool {
	if e.Order == r.Revision {
		return true
	}
	return fleet.Era(e.Order) != fleet.Era(r.Revision) && (e.Version == "" || e.Version == r.Target)
}

// mergeEvidence merges the counts of a peer. The caller must hold g.mu.
func (g *Gateway) mergeEvidence(from string, e peers.Evidence) {
	r := g.rollouts[e.Service]
	if r == nil || !r.isSameRollout(e) {
		return // the peer sends its counts again with each change
	}
	r.backdate(time.Now().Add(-time.Duration(e.ElapsedMS) * time.Millisecond))
	if e.Rejected && !r.rejected {
		g.rejectVersion(r, "Another entry has found the new version bad.")
	}
	process := peerProcess{from, e.Process}
	peer := r.peers[process]
	known, routes := &peer.Old, &peer.old
	if e.Version == r.Target {
		known, routes = &peer.Target, &peer.target
	}
	received := release.AnswerCounts{Sent: e.Sent, Good: e.Good, Bad: e.Bad, Timed: e.Timed, Slow: e.Slow, Paced: e.Paced, Fast: e.Fast, Steady: e.Steady, SteadyBad: e.SteadyBad}
	if received.Total() < known.Total() {
		return // an older message that arrived over another path
	}
	*known, *routes = received, decodeRoutes(e.Routes, e.Version == r.Target)
	r.peers[process] = peer
	r.routes.changed = true
	g.checkEvidence(r)
}

// addRollouts adds the state of rollouts in progress to the initial state for a peer.
func (g *Gateway) addRollouts(m *peers.Message) {
	for _, r := range g.rollouts {
		if r.Outcome != fleet.InProgress {
			continue
		}
		m.Sessions = append(m.Sessions, g.sessionUses(r)...)
		m.Evidence = append(m.Evidence, g.evidenceMessages(r)...)
	}
}
