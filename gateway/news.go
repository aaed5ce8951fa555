package gateway

import (
	"time"

	"hyssoploom/fleet"
	"hyssoploom/peers"
	"hyssoploom/release"
)

const (
	// askAfter is the age of the own proof from which peers are asked for theirs;
	// an undisturbed watch proves the copy more often.
	askAfter = 2300 * time.Millisecond
	// askInterval is the pause between two questions.
	askInterval = 300 * time.Millisecond
)

// near tells whether a peer is in the same region, to which bytes are free.
func (g *Gateway) near(p fleet.Peer) bool { return p.Region == g.Self.Region }

// tellLoad tells the peers of the region how much work this entry has at a server.
func (g *Gateway) tellLoad(server *fleet.BackendServer, l *load) {
	work := peers.Load{Server: server.ID, PendingMS: l.pending.Milliseconds(), Running: l.running}
	g.hub.Broadcast(func(to fleet.Peer, m *peers.Message) {
		for i := range m.Loads {
			if m.Loads[i].Server == work.Server {
				m.Loads[i] = work
				return
			}
		}
		m.Loads = append(m.Loads, work)
	})
}

// tellRead tells the peers which prompt an engine reads. Peers of other regions
// only learn of prompts of large models, which are worth the way.
func (g *Gateway) tellRead(server *fleet.BackendServer, model string, parts []peers.Part, large bool) {
	if len(parts) == 0 {
		return
	}
	read := peers.Read{Server: server.ID, Model: model, Parts: parts}
	g.hub.Broadcast(func(to fleet.Peer, m *peers.Message) {
		if large || g.near(to) {
			m.Reads = append(m.Reads, read)
		}
	})
}

// Receive implements peers.Handler.
func (g *Gateway) Receive(m *peers.Message) {
	if m.Ask != nil {
		g.answer(m.From, m.Ask)
	}
	if m.Reply != nil {
		g.adopt(m.From, m.Reply)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	view := g.State.View()
	for _, work := range m.Loads {
		if l := g.knownLoad(view, work.Server); l != nil {
			l.setRemote(m.From.Name, work)
		}
	}
	for _, read := range m.Reads {
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

// Greeting implements peers.Handler: a new connection starts with all that news
// only tells as changes.
func (g *Gateway) Greeting() *peers.Message {
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
func (g *Gateway) answer(to fleet.Peer, ask *peers.Ask) {
	age, known := g.Fresh.Age()
	if !known {
		return
	}
	items, complete := g.State.Since(ask.Revision)
	reply := &peers.Reply{Asked: ask.At, AgeMS: age.Milliseconds() + 1, Revision: complete, Items: items}
	g.hub.Send(to.Address, func(_ fleet.Peer, m *peers.Message) { m.Reply = reply })
}

// adopt takes over a peer's newer copy of the store.
func (g *Gateway) adopt(from fleet.Peer, r *peers.Reply) {
	adopted, rejected := g.State.Apply(r.Items)
	for _, item := range rejected {
		g.Log.Warn("Ignored an item that cannot be decoded.", "key", item.Key, "error", item.Err.Error())
	}
	if g.State.Complete() > r.Revision && len(r.Items) == 0 {
		return // the peer is behind
	}
	g.State.MarkComplete(r.Revision)
	g.Fresh.Prove(time.Duration(r.Asked) - time.Duration(r.AgeMS)*time.Millisecond)
	if len(adopted) > 0 {
		g.Log.Info("Took changes of the store from a peer.", "peer", from.Name, "changes", len(adopted),
			"revision", r.Revision, "age_ms", r.AgeMS)
	}
}

// askPeers asks for changes while this entry cannot read the store itself.
func (g *Gateway) askPeers() {
	age, known := g.Fresh.Age()
	if known && age < askAfter {
		return
	}
	ask := &peers.Ask{At: int64(g.Fresh.Now()), Revision: g.State.Complete()}
	g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.Ask = ask })
}
