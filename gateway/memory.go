package gateway

import (
	"time"

	"hyssoploom/attempt"
	"hyssoploom/fleet"
	"hyssoploom/peers"
	"hyssoploom/placing"
	"hyssoploom/release"
	"hyssoploom/room"
)

const (
	// maxPeerPending and maxPeerRunning bound the load that a peer may report for a server:
	// the longest deadline of a request, and more requests than an entry has connections.
	maxPeerPending = 10 * time.Minute
	maxPeerRunning = 10_000
	// crossRegionMemoryShare is the smallest change, as a share of an engine's memory, that
	// is reported to peers in other regions.
	crossRegionMemoryShare = 1.0 / 8
)

// boundLoad bounds the load that a peer reports for a server. The caller must hold g.mu.
func (g *Gateway) boundLoad(view *fleet.View, work peers.Load) peers.Load {
	bounded := work
	bounded.PendingMS = min(max(work.PendingMS, 0), maxPeerPending.Milliseconds())
	bounded.Running = min(max(work.Running, 0), maxPeerRunning)
	bounded.HeldBlocks = min(max(work.HeldBlocks, 0), heldBlocks(engineTokens(view.Config.Services[view.Servers[work.Server].Service])))
	if bounded != work {
		g.Metrics.Add("load_reports_bounded", 1)
	}
	return bounded
}

// heldBlocks returns the blocks that tokens take in reports.
func heldBlocks(tokens int64) int64 {
	return (tokens + peers.HeldBlockTokens - 1) / peers.HeldBlockTokens
}

// engineTokens returns the memory of one engine of a service in tokens, 0 without engines.
func engineTokens(service *fleet.Service) int64 {
	if service == nil || service.Engine == nil {
		return 0
	}
	return int64(max(service.Engine.CacheTokens, 0))
}

// exceedsEngines reports whether the prompt is larger than the memory of each engine, so
// that none can ever run the request.
func (c *clientRequest) exceedsEngines() bool {
	if !c.g.underPressure || c.service == nil {
		return false
	}
	tokens := engineTokens(c.service)
	return tokens > 0 && int64(c.meta.PromptTokens) > tokens
}

// promptTokens returns the length of the prompt, at most the memory of an engine: longer
// ones are not read.
func (c *clientRequest) promptTokens() int {
	if limit := engineTokens(c.service); c.g.underPressure && limit > 0 {
		return int(min(int64(c.meta.PromptTokens), limit))
	}
	return c.meta.PromptTokens
}

// answeredByOneRun reports whether the whole answer came from one run.
func (c *clientRequest) answeredByOneRun() bool {
	runs := 0
	for i := range c.attempts {
		if c.attempts[i].Events > 0 {
			runs++
		}
	}
	return runs == 1 && c.meta.LastEvent == ""
}

// memoryNeed returns the tokens that the request is expected to take in an engine. The
// caller must hold g.mu.
func (c *clientRequest) memoryNeed() int64 {
	output := c.g.lengths.Output(c.route.Name, int64(c.meta.OutputHint), int64(c.meta.MaxOutput))
	return min(int64(c.promptTokens())+output, engineTokens(c.service))
}

// filterByRoom states the room at each candidate and returns those with the most room. The
// caller must hold g.mu.
func (c *clientRequest) filterByRoom(servers []*fleet.BackendServer, candidates []placing.Candidate, now time.Time) ([]*fleet.BackendServer, []placing.Candidate) {
	if engineTokens(c.service) == 0 {
		return servers, candidates
	}
	need := c.memoryNeed()
	reserve := c.g.lengths.Reserve(now, need)
	live := append(c.g.hub.LivePeers(), c.g.Self)
	entries := max(c.g.EntryCount(), len(live))
	near := make(map[string]int)
	for _, p := range live {
		near[p.DataCentre]++
	}
	for i, s := range servers {
		l := c.g.load(s, c.service)
		e := l.memory(engineTokens(c.service), now)
		e.Entries, e.Missing, e.Active = entries, entries-len(live), max(len(l.remote)+1, near[s.DataCentre])
		rank := func() int { return c.g.limitRank(now, s, live) }
		candidates[i].FreeTokens = e.Free()
		switch {
		case !e.Fits(need, rank):
			candidates[i].Room = placing.NoRoom
		case need+reserve > e.Free():
			candidates[i].Room = placing.LastRoom
		}
	}
	chosen := placing.FilterByRoom(candidates)
	if len(chosen) == len(candidates) {
		return servers, candidates
	}
	c.g.Metrics.Add("engines_without_room", int64(len(candidates)-len(chosen)))
	keptServers, kept := make([]*fleet.BackendServer, len(chosen)), make([]placing.Candidate, len(chosen))
	for i, j := range chosen {
		keptServers[i], kept[i] = servers[j], candidates[j]
	}
	return keptServers, kept
}

// memory returns what this entry believes of an engine's memory.
func (l *load) memory(capacity int64, now time.Time) room.Engine {
	return room.Engine{Capacity: capacity, Own: l.held, Others: l.remoteHeld, Recent: l.sends.Recent(now)}
}

// holdMemory counts the memory of a request that is sent to an engine. The caller must hold
// g.mu.
func (g *Gateway) holdMemory(c *clientRequest, t *target) {
	if !g.underPressure || engineTokens(c.service) == 0 {
		return
	}
	t.held = c.memoryNeed()
	t.load.held += t.held
	now := time.Now()
	t.load.sends.Add(now, t.held)
	g.lengths.ObserveNeed(now, c.route.Name, t.held)
}

// releaseMemory ends the hold of a request and learns from the length of a whole output.
// The caller must hold g.mu.
func (g *Gateway) releaseMemory(c *clientRequest, t *target, result attempt.Outcome, timing *release.Timing) {
	if t.held == 0 {
		return
	}
	t.load.held -= t.held
	if result == attempt.Delivered && c.answeredByOneRun() {
		tokens := int64(timing.Events) * int64(max(c.service.Engine.EventTokens, 1))
		g.lengths.ObserveOutput(c.route.Name, int64(c.meta.OutputHint), int64(c.meta.MaxOutput), tokens)
	}
}

// memoryChanged reports whether the memory that this entry holds at an engine has changed
// enough to tell peers in other regions.
func (g *Gateway) memoryChanged(s *fleet.BackendServer, l *load) bool {
	if !g.underPressure || l.held == l.crossRegionHeld {
		return false
	}
	view := g.State.View()
	if view.Config == nil {
		return false
	}
	delta := float64(max(l.held-l.crossRegionHeld, l.crossRegionHeld-l.held))
	return delta >= crossRegionMemoryShare*float64(engineTokens(view.Config.Services[s.Service]))
}

// engineMemory is the memory of an engine in the metrics, in tokens.
type engineMemory struct {
	Capacity int64 `json:"capacity"`
	Own      int64 `json:"own"`
	Others   int64 `json:"others"`
}

// memoryMetric returns the memory of each engine as this entry believes it, by server id.
func (g *Gateway) memoryMetric() map[string]engineMemory {
	view := g.State.View()
	g.mu.Lock()
	defer g.mu.Unlock()
	memory := make(map[string]engineMemory)
	for id, l := range g.loads {
		if s := view.Servers[id]; s != nil && view.Config != nil {
			if capacity := engineTokens(view.Config.Services[s.Service]); capacity > 0 {
				memory[id] = engineMemory{capacity, l.held, l.remoteHeld}
			}
		}
	}
	return memory
}
