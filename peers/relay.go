package peers

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/fleet"
)

// Traffic between regions is billed, so broadcasts are sent to one entry of each other
// region, the relay, which forwards them within its region. Each entry selects its
// relays by rendezvous hashing, which spreads them over the entries of the region. A
// relay that is no longer live is replaced, and the new one is also sent the initial
// state, because other updates carry only changes.

// sendsDirectly reports whether broadcasts go to a peer without a relay. This holds for
// peers of the same region and for seeds whose region is not known yet.
func (h *Hub) sendsDirectly(p fleet.Peer) bool { return p.Region == h.self.Region || p.Region == "" }

// Broadcast queues updates for all peers. add is called for each peer of the same
// region and for the relay of each other region, with the message to extend.
func (h *Hub) Broadcast(add func(remote fleet.Peer, m *Message)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var regions []string
	for _, l := range h.links {
		remote := l.remote()
		if h.sendsDirectly(remote) {
			l.queue(add)
		} else if !slices.Contains(regions, remote.Region) {
			regions = append(regions, remote.Region)
		}
	}
	for _, region := range regions {
		if l := h.relayFor(region); l != nil {
			l.queueForRelay(add)
		}
	}
}

// relayFor returns the link to the relay of a region, or nil when no entry of the
// region is usable. The caller holds h.mu.
func (h *Hub) relayFor(region string) *link {
	old := h.relays[region]
	if old != nil && h.usable(old) {
		return old
	}
	var best *link
	var rank uint64
	for _, l := range h.links {
		remote := l.remote()
		if remote.Region != region || !h.usable(l) {
			continue
		}
		if r := xxhash.Sum64String(h.self.Name + "/" + remote.Name); best == nil || r > rank {
			best, rank = l, r
		}
	}
	if best == nil {
		return nil
	}
	if old != nil {
		best.requestInitialState()
	}
	h.relays[region] = best
	h.log.Info("Chose a relay.", "region", region, "peer", best.remote().Name)
	return best
}

// usable reports whether the peer of a link is connected and live. The caller holds
// h.mu.
func (h *Hub) usable(l *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connected && time.Since(h.peerStates[l.peer.Name].lastSeen) < livenessTimeout
}

// queueForRelay adds updates that the peer relays within its region.
func (l *link) queueForRelay(add func(remote fleet.Peer, m *Message)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connected {
		add(l.peer, &l.pendingRelay)
		l.pendingRelay.dropOldest()
	}
}

// requestInitialState adds the initial state for the region to the next batch.
func (l *link) requestInitialState() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sendInitialState = true
}

// queueInitialState queues the initial state for a region whose relay has changed.
func (l *link) queueInitialState() {
	l.mu.Lock()
	sendInitialState := l.sendInitialState
	l.sendInitialState = false
	l.mu.Unlock()
	if !sendInitialState {
		return
	}
	initialState := l.hub.handler.InitialState() // takes locks under which updates are queued
	l.queueForRelay(func(_ fleet.Peer, m *Message) { m.merge(initialState) })
}

// receiveRelayed handles the updates that a message asks to relay and those that were
// relayed from other regions.
func (h *Hub) receiveRelayed(m *Message) {
	if m.ToRelay != nil {
		m.ToRelay.From = m.From
		h.handler.Receive(m.ToRelay)
		h.forwardToRegion(m.ToRelay)
	}
	for i := range m.Relayed {
		if v := &m.Relayed[i]; v.From != nil {
			h.handler.Receive(v)
		}
	}
}

// forwardToRegion queues updates from an entry of another region for all peers of this
// region.
func (h *Hub) forwardToRegion(update *Message) {
	origin := update.From.Name
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.links {
		if l.remote().Region != h.self.Region {
			continue
		}
		l.queue(func(_ fleet.Peer, m *Message) {
			i := slices.IndexFunc(m.Relayed, func(v Message) bool { return v.From.Name == origin })
			if i < 0 {
				i = len(m.Relayed)
				m.Relayed = append(m.Relayed, Message{From: &fleet.Peer{Name: origin}})
			}
			m.Relayed[i].merge(update)
			m.Relayed[i].dropOldest()
		})
	}
}

// merge adds later updates from the same entry. Loads and evidence replace earlier ones.
func (m *Message) merge(later *Message) {
	for _, load := range later.Loads {
		m.PutLoad(load)
	}
	m.PrefixUses = append(m.PrefixUses, later.PrefixUses...)
	m.Sessions = append(m.Sessions, later.Sessions...)
	for _, e := range later.Evidence {
		m.PutEvidence(e)
	}
	m.CrashSuspects = append(m.CrashSuspects, later.CrashSuspects...)
	m.RequestSuspects = append(m.RequestSuspects, later.RequestSuspects...)
	m.SoundParts = append(m.SoundParts, later.SoundParts...)
	m.WholeParts = append(m.WholeParts, later.WholeParts...)
	m.Outlasting = append(m.Outlasting, later.Outlasting...)
	for _, c := range later.ColdServers {
		m.PutColdServer(c)
	}
	m.Blocks = append(m.Blocks, later.Blocks...)
	for _, limit := range later.ServerLimits {
		m.PutServerLimit(limit)
	}
	for _, sends := range later.ServerSends {
		m.AddServerSends(sends)
	}
	for _, use := range later.WorkspaceUses {
		m.AddWorkspaceUse(use)
	}
	for _, use := range later.ModelUses {
		m.AddModelUse(use)
	}
	for _, read := range later.ReadTimes {
		m.PutReadTime(read)
	}
	m.ServerSpeeds = append(m.ServerSpeeds, later.ServerSpeeds...)
	m.Refusals = append(m.Refusals, later.Refusals...)
}

// PutReadTime adds what is known of the reading times of a model, replacing earlier sums.
func (m *Message) PutReadTime(read ReadTime) {
	i := slices.IndexFunc(m.ReadTimes, func(other ReadTime) bool { return other.Model == read.Model })
	if i < 0 {
		m.ReadTimes = append(m.ReadTimes, read)
		return
	}
	m.ReadTimes[i] = read
}

// PutColdServer adds an observation of a cold server, replacing an earlier one.
func (m *Message) PutColdServer(c ColdServer) {
	i := slices.IndexFunc(m.ColdServers, func(other ColdServer) bool { return other.Server == c.Server })
	if i < 0 {
		m.ColdServers = append(m.ColdServers, c)
		return
	}
	m.ColdServers[i] = c
}

// AddWorkspaceUse adds work to what the message already reports of a workspace.
func (m *Message) AddWorkspaceUse(use WorkspaceUse) {
	i := slices.IndexFunc(m.WorkspaceUses, func(other WorkspaceUse) bool {
		return other.Service == use.Service && other.Workspace == use.Workspace
	})
	if i < 0 {
		m.WorkspaceUses = append(m.WorkspaceUses, use)
		return
	}
	m.WorkspaceUses[i].Requests += use.Requests
	m.WorkspaceUses[i].WorkMS += use.WorkMS
	m.WorkspaceUses[i].UsualMS = max(m.WorkspaceUses[i].UsualMS, use.UsualMS)
}

// maxRelayedWorkMS bounds the work in milliseconds that a message adds up for one key: more
// than all entries can ask for in the interval of their reports.
const maxRelayedWorkMS = int64(time.Hour / time.Millisecond)

// AddModelUse adds work to what the message already reports of a key.
func (m *Message) AddModelUse(use ModelUse) {
	i := slices.IndexFunc(m.ModelUses, func(other ModelUse) bool {
		return other.Service == use.Service && other.Key == use.Key
	})
	if i < 0 {
		m.ModelUses = append(m.ModelUses, use)
		return
	}
	// Absurd values of a peer must not overflow into those of others.
	m.ModelUses[i].WorkMS = min(max(m.ModelUses[i].WorkMS, 0), maxRelayedWorkMS) + min(max(use.WorkMS, 0), maxRelayedWorkMS)
}

// PutServerLimit adds the limit of a server, replacing an earlier one.
func (m *Message) PutServerLimit(limit ServerLimit) {
	i := slices.IndexFunc(m.ServerLimits, func(other ServerLimit) bool { return other.Server == limit.Server })
	if i < 0 {
		m.ServerLimits = append(m.ServerLimits, limit)
		return
	}
	m.ServerLimits[i] = limit
}

// AddServerSends adds requests to those that the message already reports.
func (m *Message) AddServerSends(sends ServerSends) {
	i := slices.IndexFunc(m.ServerSends, func(other ServerSends) bool { return other.Server == sends.Server })
	if i < 0 {
		m.ServerSends = append(m.ServerSends, sends)
		return
	}
	m.ServerSends[i].Count += sends.Count
}

// PutLoad adds the load on a server, replacing an earlier value.
func (m *Message) PutLoad(load Load) {
	i := slices.IndexFunc(m.Loads, func(other Load) bool { return other.Server == load.Server })
	if i < 0 {
		m.Loads = append(m.Loads, load)
		return
	}
	m.Loads[i] = load
}

// PutEvidence adds the counts of a version, replacing earlier ones.
func (m *Message) PutEvidence(e Evidence) {
	i := slices.IndexFunc(m.Evidence, func(other Evidence) bool { return other.Service == e.Service && other.Version == e.Version })
	if i < 0 {
		m.Evidence = append(m.Evidence, e)
		return
	}
	m.Evidence[i] = e
}
