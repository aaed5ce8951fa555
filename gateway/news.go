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
	// maxHeld bounds the items that a question names as held.
	maxHeld = 200
	// nearAsked and farAsked are the numbers of peers of the own and of other regions
	// that are asked at once. Each of them answers with all that this entry lacks.
	nearAsked, farAsked = 3, 2
	// farPending is the change of pending work at a server that peers of other
	// regions are told of; the way costs more than a smaller difference.
	farPending = 150 * time.Millisecond
)

// near tells whether a peer is in the same region, to which bytes are free.
func (g *Gateway) near(p fleet.Peer) bool { return p.Region == g.Self.Region }

// tellLoad tells the peers how much work this entry has at a server.
func (g *Gateway) tellLoad(server *fleet.BackendServer, l *load) {
	work := peers.Load{Server: server.ID, PendingMS: l.pending.Milliseconds(), Running: l.running}
	far := (l.pending - l.toldFar).Abs() >= farPending
	if far {
		l.toldFar = l.pending
	}
	g.hub.Broadcast(func(to fleet.Peer, m *peers.Message) {
		if !far && !g.near(to) {
			return
		}
		m.PutLoad(work)
	})
}

// tellRead tells the peers which prompt an engine reads. Peers of other regions
// only learn of prompts of large models, which are worth the way.
func (g *Gateway) tellRead(server *fleet.BackendServer, model string, parts []peers.PrefixPart, large bool) {
	if len(parts) == 0 {
		return
	}
	read := peers.PrefixUse{Server: server.ID, Model: model, Parts: parts}
	g.hub.Broadcast(func(to fleet.Peer, m *peers.Message) {
		if large || g.near(to) {
			m.PrefixUses = append(m.PrefixUses, read)
		}
	})
}

// Receive implements peers.Handler.
func (g *Gateway) Receive(m *peers.Message) {
	if m.SyncRequest != nil {
		g.answer(*m.From, m.SyncRequest)
	}
	if m.Reply != nil {
		g.adopt(*m.From, m.Reply)
	}
	g.holdCharges(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	view := g.State.View()
	for _, work := range m.Loads {
		if l := g.knownLoad(view, work.Server); l != nil {
			l.setRemote(m.From.Name, work)
		}
	}
	for _, read := range m.PrefixUses {
		if l := g.knownLoad(view, read.Server); l != nil && l.cache != nil {
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
		g.adoptEvidence(m.From.Name, e)
	}
}

// knownLoad returns the load record of a registered server, or nil.
func (g *Gateway) knownLoad(view *fleet.View, id string) *load {
	server := view.Servers[id]
	if server == nil || view.Config == nil {
		return nil
	}
	return g.load(server, view.Config.Services[server.Service])
}

// InitialState implements peers.Handler: a new connection starts with all that news
// only tells as changes.
func (g *Gateway) InitialState() *peers.Message {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := &peers.Message{}
	for id, l := range g.loads {
		if l.running > 0 {
			m.Loads = append(m.Loads, peers.Load{Server: id, PendingMS: l.pending.Milliseconds(), Running: l.running})
		}
	}
	g.greetReleases(m)
	return m
}

// answer sends a peer that cannot read the store what it lacks.
func (g *Gateway) answer(to fleet.Peer, ask *peers.SyncRequest) {
	age, known := g.Fresh.Age()
	if !known {
		return
	}
	items, complete := g.State.ItemsSince(ask.Revision)
	items = lacking(items, ask.KnownRevisions)
	reply := &peers.Reply{RequestSentAt: ask.SentAt, AgeMS: age.Milliseconds() + 1, Revision: complete, Items: items}
	g.hub.Reply(to.Address, reply)
}

// lacking returns the items that a peer does not have in their revision.
func lacking(items []fleet.Item, held map[string]int64) []fleet.Item {
	return slices.DeleteFunc(items, func(item fleet.Item) bool {
		revision, ok := held[item.Key]
		return ok && revision >= item.Revision
	})
}

// adopt takes over a peer's newer copy of the store.
func (g *Gateway) adopt(from fleet.Peer, r *peers.Reply) {
	adopted, rejected := g.State.Apply(r.Items)
	for _, item := range rejected {
		g.Log.Warn("Ignored an item that cannot be decoded.", "key", item.Key, "error", item.Err.Error())
	}
	if g.State.CompleteRevision() > r.Revision && len(r.Items) == 0 {
		return // the peer is behind
	}
	if r.RequestSentAt == 0 {
		return // changes alone prove nothing
	}
	g.State.MarkComplete("", r.Revision)
	proven := time.Duration(r.RequestSentAt) - time.Duration(r.AgeMS)*time.Millisecond
	g.Fresh.MarkFresh(proven)
	g.mu.Lock()
	g.proofs[from.Name] = max(g.proofs[from.Name], proven)
	g.mu.Unlock()
	if len(adopted) > 0 {
		g.Log.Info("Took changes of the store from a peer.", "peer", from.Name, "changes", len(adopted),
			"revision", r.Revision, "age_ms", r.AgeMS)
	}
}

// askPeers asks the entry that reads the store for this one for its copy, and other
// peers too while the own copy is old.
func (g *Gateway) askPeers() {
	ask := &peers.SyncRequest{SentAt: int64(g.Fresh.Now()), Revision: g.State.CompleteRevision()}
	if later, _ := g.State.ItemsSince(ask.Revision); len(later) > 0 {
		ask.KnownRevisions = make(map[string]int64)
		for _, item := range later[:min(len(later), maxHeld)] {
			ask.KnownRevisions[item.Key] = item.Revision
		}
	}
	put := func(_ fleet.Peer, m *peers.Message) { m.SyncRequest = ask }
	if source := g.source(); source.Name != g.Self.Name {
		g.hub.Send(source.Address, put)
	}
	if age, known := g.Fresh.Age(); known && age < g.proofTimes().RequestPeersAfter {
		return
	}
	for _, p := range g.asked(g.hub.LivePeers()) {
		g.hub.Send(p.Address, put)
	}
}

// asked chooses the live peers that are asked for their copy of the store while the
// own one is old.
func (g *Gateway) asked(live []fleet.Peer) []fleet.Peer {
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var near, far []fleet.Peer
	for _, p := range live {
		if g.near(p) {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	chosen := near[:min(len(near), nearAsked)]
	age, known := g.Fresh.Age()
	if known && len(near) > 0 && age < g.proofTimes().RequestRemoteAfter {
		return chosen
	}
	return append(chosen, far[:min(len(far), farAsked)]...)
}
