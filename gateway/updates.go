package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/peers"
	"hyssoploom/release"
)

const (
	// maxKnownRevisions limits the revisions that a sync request lists.
	maxKnownRevisions = 200
	// maxSameRegionSyncPeers and maxCrossRegionSyncPeers limit the peers that get the
	// same sync request in the own region and in other regions. Each of them replies
	// with everything that this entry lacks.
	maxSameRegionSyncPeers, maxCrossRegionSyncPeers = 3, 2
	// crossRegionLoadDelta is the smallest change of pending work at a server that is
	// reported to peers in other regions; smaller differences are not worth the cost of
	// the traffic.
	crossRegionLoadDelta = 150 * time.Millisecond
)

// sameRegion reports whether a peer is in the same region; traffic within a region is
// free.
func (g *Gateway) sameRegion(p fleet.Peer) bool { return p.Region == g.Self.Region }

// broadcastLoad reports the work of this entry at a server to the peers.
func (g *Gateway) broadcastLoad(server *fleet.BackendServer, l *load) {
	work := peers.Load{Server: server.ID, PendingMS: l.pending.Milliseconds(), Running: l.running, HeldBlocks: heldBlocks(l.held)}
	reportCrossRegion := (l.pending-l.crossRegionPending).Abs() >= g.loadDelta(server.Service) || g.memoryChanged(server, l) || g.runningChanged(server, l)
	if reportCrossRegion {
		l.crossRegionPending, l.crossRegionHeld, l.crossRegionRunning = l.pending, l.held, l.running
	}
	g.hub.Broadcast(func(to fleet.Peer, m *peers.Message) {
		if !reportCrossRegion && !g.sameRegion(to) {
			return
		}
		m.PutLoad(work)
	})
}

// runningChanged reports whether the number of this entry's requests at a plain server has
// changed enough to tell peers in other regions: while the server has no free slot, each
// change counts.
func (g *Gateway) runningChanged(server *fleet.BackendServer, l *load) bool {
	if !g.underPressure || l.cache != nil || l.running == l.crossRegionRunning {
		return false
	}
	return l.running+l.remoteRunning >= server.Slots || l.running <= l.crossRegionRunning/2
}

// broadcastPrefill reports to the peers which prompt an engine reads. Peers in other
// regions only get the prompts of large models, which justify the cost of the traffic.
func (g *Gateway) broadcastPrefill(server *fleet.BackendServer, model string, parts []peers.PrefixPart, large bool) {
	if len(parts) == 0 {
		return
	}
	read := peers.PrefixUse{Server: server.ID, Model: model, Parts: parts}
	g.hub.Broadcast(func(to fleet.Peer, m *peers.Message) {
		if large || g.sameRegion(to) {
			m.PrefixUses = append(m.PrefixUses, read)
		}
	})
}

// Receive implements peers.Handler.
func (g *Gateway) Receive(m *peers.Message) {
	if m.SyncRequest != nil {
		g.replyToSyncRequest(*m.From, m.SyncRequest)
	}
	if m.Reply != nil {
		g.applyReply(*m.From, m.Reply)
	}
	g.holdCharges(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	view := g.State.View()
	if m.Initial {
		g.clearLoads(m.From.Name)
	}
	for _, work := range m.Loads {
		if l := g.registeredLoad(view, work.Server); l != nil {
			l.setRemote(m.From.Name, g.boundLoad(view, work))
		}
	}
	for _, read := range m.PrefixUses {
		if l := g.registeredLoad(view, read.Server); l != nil && l.cache != nil {
			l.cache.use(read.Model, read.Parts)
		}
	}
	now := time.Now()
	for _, use := range m.Sessions {
		key := release.SessionKey{Service: use.Service, ID: use.Session}
		if use.Running {
			g.sessions.Begin(now, key, use.Version)
		} else {
			g.sessions.End(now, key)
		}
	}
	for _, e := range m.Evidence {
		g.mergeEvidence(m.From.Name, e)
	}
	g.receiveCrashes(now, m)
	g.receiveLimits(now, m)
	g.receiveModelRoom(now, m)
	g.receiveSpeeds(now, view, m)
	g.receiveCold(now, view, m)
	g.receiveAdmission(now, m)
	g.host.receive(m)
}

// clearLoads forgets the load that a peer has reported. The caller must hold g.mu.
func (g *Gateway) clearLoads(peer string) {
	for _, l := range g.loads {
		l.clearRemote(peer)
	}
}

// registeredLoad returns the load record of a registered server, or nil if the server
// is unknown.
func (g *Gateway) registeredLoad(view *fleet.View, id string) *load {
	server := view.Servers[id]
	if server == nil || view.Config == nil {
		return nil
	}
	return g.load(server, view.Config.Services[server.Service])
}

// InitialState implements peers.Handler. It returns the current state for a new connection;
// later messages report only changes.
func (g *Gateway) InitialState() *peers.Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := &peers.Message{}
	for id, l := range g.loads {
		if l.running > 0 {
			m.Loads = append(m.Loads, peers.Load{Server: id, PendingMS: l.pending.Milliseconds(), Running: l.running, HeldBlocks: heldBlocks(l.held)})
		}
	}
	g.addRollouts(m)
	g.addCrashes(m)
	g.addLimits(m)
	g.addReadTimes(m)
	g.addSpeeds(m)
	g.addCold(m)
	g.addUsage(m)
	g.host.addTo(m)
	return m
}

// replyToSyncRequest sends a peer the items of the store that it lacks. Peers send sync
// requests when they do not read the store themselves or cannot reach it.
func (g *Gateway) replyToSyncRequest(to fleet.Peer, request *peers.SyncRequest) {
	age, known := g.Fresh.Age()
	if !known {
		return
	}
	changes := g.State.ChangesSince(request.Revision)
	reply := &peers.Reply{RequestSentAt: request.SentAt, AgeMS: age.Milliseconds() + 1, Revision: changes.Revision,
		Items: missingItems(changes.Items, request.KnownRevisions), Since: changes.Since, Prefixes: changes.Prefixes}
	if serversAge, known := g.ServersFresh.Age(); known {
		reply.ServersAgeMS = serversAge.Milliseconds() + 1
		reply.ServersLost = g.ServersFresh.LostFor() > 0
	}
	g.hub.Reply(to.Address, reply)
}

// missingItems returns the items of which a peer has no revision or only an older one.
func missingItems(items []fleet.Item, known map[string]int64) []fleet.Item {
	return slices.DeleteFunc(items, func(item fleet.Item) bool {
		revision, ok := known[item.Key]
		return ok && revision >= item.Revision
	})
}

// applyReply applies a peer's newer copy of the store.
func (g *Gateway) applyReply(from fleet.Peer, r *peers.Reply) {
	adopted, rejected, complete := g.State.Merge(r.Changes())
	for _, item := range rejected {
		g.Log.Warn("Ignored an item that cannot be decoded.", "key", item.Key, "error", item.Err.Error())
	}
	if len(adopted) > 0 && r.RequestSentAt != 0 {
		g.Log.Info("Took changes of the store from a peer.", "peer", from.Name, "changes", len(adopted), "removed", countRemoved(adopted),
			"since", fleet.StoreRevision(r.Since), "revision", fleet.StoreRevision(r.Revision), "era", fleet.Era(r.Revision),
			"keys_listed", len(r.Prefixes) > 0, "complete", complete, "age_ms", r.AgeMS)
	}
	if r.RequestSentAt == 0 || !complete {
		return // this does not show that the copy is up to date
	}
	freshAt := time.Duration(r.RequestSentAt) - time.Duration(r.AgeMS)*time.Millisecond
	g.Fresh.MarkFresh(freshAt)
	if r.ServersAgeMS > 0 {
		serversFreshAt := time.Duration(r.RequestSentAt) - time.Duration(r.ServersAgeMS)*time.Millisecond
		g.ServersFresh.MarkFresh(serversFreshAt)
		if r.ServersLost {
			g.ServersFresh.MarkLost()
		}
		g.mu.Lock()
		g.peerVerifiedAt[from.Name] = max(g.peerVerifiedAt[from.Name], serversFreshAt)
		g.mu.Unlock()
	}
}

// countRemoved returns the number of tombstones.
func countRemoved(items []fleet.Item) int {
	n := 0
	for _, item := range items {
		if item.Deleted {
			n++
		}
	}
	return n
}

// requestSync sends a sync request to the entry that reads the store on behalf of this
// one, and also to further peers while the own copy is old.
func (g *Gateway) requestSync() {
	request := &peers.SyncRequest{SentAt: int64(g.Fresh.Now()), Revision: g.State.CompleteRevision()}
	request.KnownRevisions = g.State.RevisionsAfter(request.Revision, maxKnownRevisions)
	put := func(_ fleet.Peer, m *peers.Message) { m.SyncRequest = request }
	if syncSource := g.syncSource(); syncSource.Name != g.Self.Name {
		g.hub.Send(syncSource.Address, put)
	}
	if age, known := g.copyAge(); known && age < g.refreshTimes().RequestPeersAfter {
		return
	}
	for _, p := range g.peersToSyncFrom(g.hub.LivePeers()) {
		g.hub.Send(p.Address, put)
	}
}

// peersToSyncFrom returns the live peers that get a sync request while the own copy of
// the store is old.
func (g *Gateway) peersToSyncFrom(live []fleet.Peer) []fleet.Peer {
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var sameRegion, otherRegions []fleet.Peer
	for _, p := range live {
		if g.sameRegion(p) {
			sameRegion = append(sameRegion, p)
		} else {
			otherRegions = append(otherRegions, p)
		}
	}
	chosen := sameRegion[:min(len(sameRegion), maxSameRegionSyncPeers)]
	age, known := g.copyAge()
	if known && len(sameRegion) > 0 && age < g.refreshTimes().RequestRemoteAfter {
		return chosen
	}
	return append(chosen, otherRegions[:min(len(otherRegions), maxCrossRegionSyncPeers)]...)
}
