package gateway

import (
	"slices"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/placing"
)

const (
	// minRemaining is the minimum time to the deadline with which a request is still
	// sent.
	minRemaining = 20 * time.Millisecond
	// crossRegionPenalty is the cost, expressed as time, of a server in another region:
	// traffic between regions is billed by volume, and the round trip takes 60 ms.
	crossRegionPenalty = 250 * time.Millisecond
	// meanReportAge is the mean age of what the entries know of each other's requests, from
	// the intervals at which package peers sends them.
	meanReportAge = 100 * time.Millisecond
	// crossDataCentrePenalty is the cost of another data centre in the same region.
	crossDataCentrePenalty = 60 * time.Millisecond
)

// target describes the server and model selected for one attempt.
type target struct {
	server *fleet.BackendServer
	load   *load
	model  string
	// final is set if the response is kept regardless of the model's confidence.
	final   bool
	prefill time.Duration // expected time to read the prompt
	// nominalPrefill is prefill before the corrections by observations, and pendingBefore the
	// pending work of others at the server when it was selected.
	nominalPrefill, pendingBefore time.Duration
	wait                          time.Duration // expected wait before the prefill
	work                          time.Duration // the part of prefill that still counts as pending at the server
	held                          int64         // tokens that the request is expected to take in the engine
	slowness                      float64       // of the server; 1 if the servers do not measure uneven
	room                          placing.Room
	// running is the number of other requests at the server when it was selected.
	running int
}

// usualPrefill returns the time in which the median server would read the prompt: a version
// under test is not excused by the slowness of its servers.
func (t *target) usualPrefill() time.Duration {
	if t.slowness <= 0 {
		return t.prefill
	}
	return time.Duration(float64(t.prefill) / t.slowness)
}

// selectServer selects a backend server for the next attempt and counts the request
// there.
func (c *clientRequest) selectServer() (target, bool) {
	if time.Until(c.deadline) < minRemaining || c.service == nil || c.exceedsEngines() {
		return target{}, false
	}
	c.view = c.g.State.View()
	g := c.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	t := target{final: true}
	entries := g.EntryCount() + 1 // one more may have joined that the others do not know yet
	retryBudget := g.retryBudget(c.service.Name)
	if c.model >= 0 {
		t.model = c.route.Models[c.model]
		last := len(c.route.Models) - 1
		t.final = c.model == last || c.progress.Runs+1 >= c.route.MaxAttempts || c.stream.started || retryBudget.Remaining(now, entries) <= 1
	}
	if c.progress.Received > 0 && !retryBudget.Take(now, entries, 0) {
		return target{}, false
	}
	c.limitedFor = 0
	servers, candidates := c.candidates(t.model, now, entries)
	var unseen time.Duration
	if g.underPressure {
		unseen = placing.Unseen(candidates, g.hub.ReportAge())
		if c.service.Engine == nil {
			unseen = placing.UnseenRequests(candidates, max(g.hub.ReportAge(), meanReportAge), g.gate(c.service.Name).answer)
		}
	}
	i := placing.ChooseSpread(candidates, c.affinityKey(), unseen, g.rng)
	if i < 0 {
		return target{}, false
	}
	c.place(&t, servers[i], &candidates[i], now)
	return t, true
}

// place sets the server of an attempt and counts the request there. The caller must hold
// g.mu.
func (c *clientRequest) place(t *target, server *fleet.BackendServer, candidate *placing.Candidate, now time.Time) {
	g := c.g
	t.server, t.prefill, t.wait = server, candidate.Prefill, placing.Wait(candidate)
	t.work, t.pendingBefore = t.prefill, candidate.Pending
	t.slowness, t.room = candidate.Slowness, candidate.Room
	t.nominalPrefill = time.Duration(float64(t.prefill) / (candidate.Slowness * g.readRatio(c.modelName(t.model))))
	t.load = g.load(t.server, c.service)
	t.running = t.load.running + t.load.remoteRunning
	g.coldLimiter.RecordSent(now, t.server.ID)
	g.recordLimitedSend(now, t.server.ID)
	g.startAttempt(c, t)
}

// candidates returns the servers that may take the request; under pressure, those that have
// memory for it.
func (c *clientRequest) candidates(model string, now time.Time, entries int) ([]*fleet.BackendServer, []placing.Candidate) {
	servers, candidates := c.allCandidates(model, now, entries)
	if c.g.underPressure {
		return c.filterByRoom(servers, candidates, now)
	}
	return servers, candidates
}

// allCandidates returns the servers that may take the request, restricted to the version
// that a rollout assigns to it and to those below the limits that they name. If that
// version has no such server left, the other version's servers are returned.
func (c *clientRequest) allCandidates(model string, now time.Time, entries int) ([]*fleet.BackendServer, []placing.Candidate) {
	var servers []*fleet.BackendServer
	for _, s := range c.view.ByService[c.service.Name] {
		if c.eligible(s, now, entries) {
			servers = append(servers, s)
		}
	}
	servers = c.filterBySignals(servers, now)
	servers = c.filterByLimit(c.filterByVersion(servers, now, entries), now)
	candidates := make([]placing.Candidate, len(servers))
	for i, s := range servers {
		candidates[i] = c.candidate(s, model, now)
	}
	return servers, candidates
}

// eligible reports whether a server may take the request.
func (c *clientRequest) eligible(s *fleet.BackendServer, now time.Time, entries int) bool {
	g := c.g
	switch {
	case s.Draining, c.view.OutOfService[s.DataCentre], c.excluded[s.ID]:
		return false
	case !inRegions(s.Region, c.route.Regions):
		return false
	case c.workspace != nil && !inRegions(s.Region, c.workspace.Regions):
		return false
	case g.load(s, c.service).staleAddress == s.Address:
		return false
	case c.service.ColdRate > 0 && g.isCold(s, now) && !g.coldLimiter.Allow(now, s.ID, c.service.ColdRate, entries):
		return false
	}
	return true
}

func inRegions(region string, allowed []string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}

func (c *clientRequest) candidate(s *fleet.BackendServer, model string, now time.Time) placing.Candidate {
	l := c.g.load(s, c.service)
	p := placing.Candidate{
		ID: s.ID, Pending: l.pending + l.remotePending, Running: l.running + l.remoteRunning,
		Slots: s.Slots, Suspect: now.Before(l.suspectUntil), Slowness: c.g.slowness(s, now),
	}
	if l.cache != nil {
		name := c.modelName(model)
		unread := c.promptTokens() - l.cache.cachedTokens(name, c.prompt)
		p.Prefill = time.Duration(float64(prefillTime(c.service, name, max(unread, 0))) * c.g.readRatio(name) * p.Slowness)
	} else if p.Slowness != 1 {
		p.ServiceTime = time.Duration(c.g.typicalAnswer(c.service, c.route, now) * p.Slowness)
	}
	if c.g.underPressure {
		p.Displaced = placing.Displacement(p.Prefill)
	}
	switch {
	case s.Region != c.g.Self.Region:
		p.DistancePenalty = crossRegionPenalty
	case s.DataCentre != c.g.Self.DataCentre:
		p.DistancePenalty = crossDataCentrePenalty
	}
	return p
}

// modelName returns the model that an attempt runs on.
func (c *clientRequest) modelName(chosen string) string {
	if chosen != "" {
		return chosen
	}
	return c.meta.Model
}

// affinityKey returns the key by which requests with a common prompt prefix are sent to
// the same server: that of the last part shared with other requests, or 0 if there is
// none.
func (c *clientRequest) affinityKey() uint64 {
	if parts := sharedPrefix(c.prompt); len(parts) > 0 {
		return parts[len(parts)-1].Key
	}
	return 0
}
