package peers

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/fleet"
)

// Between regions, bytes are paid for. What all entries have to know is sent to one
// entry of each other region, the relay, which passes it on to those near it. Each
// entry chooses its relays itself, spread over the entries of the region. A relay that
// falls silent is replaced, and the new one is greeted with all that news only tells
// as changes.

// near tells whether a peer is told everything directly: those of the same region, and
// seeds that have not been heard of yet.
func (h *Hub) near(p fleet.Peer) bool { return p.Region == h.self.Region || p.Region == "" }

// Broadcast queues news for all peers; add puts it into the message for one, or into
// that for the region of to.
func (h *Hub) Broadcast(add func(to fleet.Peer, m *Message)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var regions []string
	for _, l := range h.links {
		to := l.to()
		if h.near(to) {
			l.queue(add)
		} else if !slices.Contains(regions, to.Region) {
			regions = append(regions, to.Region)
		}
	}
	for _, region := range regions {
		if l := h.relay(region); l != nil {
			l.queueRelayed(add)
		}
	}
}

// relay returns the link to the relay of a region, nil when none is reachable. The
// caller holds h.mu.
func (h *Hub) relay(region string) *link {
	old := h.relays[region]
	if old != nil && h.usable(old) {
		return old
	}
	var best *link
	var rank uint64
	for _, l := range h.links {
		to := l.to()
		if to.Region != region || !h.usable(l) {
			continue
		}
		if r := xxhash.Sum64String(h.self.Name + "/" + to.Name); best == nil || r > rank {
			best, rank = l, r
		}
	}
	if best == nil {
		return nil
	}
	if old != nil {
		best.greetLater()
	}
	h.relays[region] = best
	h.log.Info("Chose a relay.", "region", region, "peer", best.to().Name)
	return best
}

// usable tells whether a peer is connected and has been heard of lately. The caller
// holds h.mu.
func (h *Hub) usable(l *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up && time.Since(h.heard[l.peer.Name].at) < silentAfter
}

func (l *link) queueRelayed(add func(to fleet.Peer, m *Message)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.up {
		add(l.peer, &l.relayed)
		l.relayed.bound()
	}
}

func (l *link) greetLater() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.greet = true
}

// greetRegion queues the greeting of a region whose relay has changed.
func (l *link) greetRegion() {
	l.mu.Lock()
	greet := l.greet
	l.greet = false
	l.mu.Unlock()
	if !greet {
		return
	}
	greeting := l.hub.handler.InitialState() // takes locks under which news is queued
	l.queueRelayed(func(_ fleet.Peer, m *Message) { m.merge(greeting) })
}

// receiveRelayed takes what a message carries for the region or of other regions.
func (h *Hub) receiveRelayed(m *Message) {
	if m.Relay != nil {
		m.Relay.From = m.From
		h.handler.Receive(m.Relay)
		h.passOn(m.Relay)
	}
	for i := range m.Via {
		if v := &m.Via[i]; v.From != nil {
			h.handler.Receive(v)
		}
	}
}

// passOn queues the news of an entry of another region for the entries of this one.
func (h *Hub) passOn(news *Message) {
	origin := news.From.Name
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.links {
		if l.to().Region != h.self.Region {
			continue
		}
		l.queue(func(_ fleet.Peer, m *Message) {
			i := slices.IndexFunc(m.Via, func(v Message) bool { return v.From.Name == origin })
			if i < 0 {
				i = len(m.Via)
				m.Via = append(m.Via, Message{From: &fleet.Peer{Name: origin}})
			}
			m.Via[i].merge(news)
			m.Via[i].bound()
		})
	}
}

// merge adds later news of the same entry. Loads and evidence replace earlier ones.
func (m *Message) merge(later *Message) {
	for _, load := range later.Loads {
		m.PutLoad(load)
	}
	m.PrefixUses = append(m.PrefixUses, later.PrefixUses...)
	m.Sessions = append(m.Sessions, later.Sessions...)
	for _, e := range later.Evidence {
		m.PutEvidence(e)
	}
}

// PutLoad adds the work at a server in place of an earlier count.
func (m *Message) PutLoad(load Load) {
	i := slices.IndexFunc(m.Loads, func(other Load) bool { return other.Server == load.Server })
	if i < 0 {
		m.Loads = append(m.Loads, load)
		return
	}
	m.Loads[i] = load
}

// PutEvidence adds the counts of a version in place of earlier ones.
func (m *Message) PutEvidence(e Evidence) {
	i := slices.IndexFunc(m.Evidence, func(other Evidence) bool { return other.Service == e.Service && other.Version == e.Version })
	if i < 0 {
		m.Evidence = append(m.Evidence, e)
		return
	}
	m.Evidence[i] = e
}
