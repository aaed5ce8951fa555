package peers

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/telemetry"
)

const (
	// intraRegionFlushInterval and interRegionFlushInterval are the intervals between
	// batches to peers of the same region and of other regions. Traffic between
	// regions is billed.
	intraRegionFlushInterval = 40 * time.Millisecond
	interRegionFlushInterval = 120 * time.Millisecond
	// reducedRateFactor multiplies them while the VM of this entry is short of processor time
	// or bandwidth, except for refusals and the load of the VM. Both then stay below
	// heartbeatInterval.
	reducedRateFactor = 4
	// heartbeatInterval is the longest interval between two messages on a link, and
	// the interval at which the set of links is updated.
	heartbeatInterval = 500 * time.Millisecond
	// livenessTimeout is the time without a message after which a peer is no longer
	// considered live.
	livenessTimeout = 2 * time.Second
	// dialTimeout limits one connection attempt; redialDelay is the delay before the
	// next one.
	dialTimeout = 700 * time.Millisecond
	redialDelay = 400 * time.Millisecond
	// writeTimeout limits a single write to a peer that does not read.
	writeTimeout = 2 * time.Second
	// maxQueuedUpdates limits the queued updates of each kind for one peer. The oldest
	// are dropped first.
	maxQueuedUpdates = 2000
	// peerRetention is how long after its last message a peer that is not registered
	// in the store is still dialled and counted.
	peerRetention = 10 * time.Second
)

// Handler processes messages from peers. Receive may be called concurrently.
type Handler interface {
	Receive(m *Message)
	// InitialState returns the first message of a new connection. It holds the whole
	// current state, as later messages report only changes.
	InitialState() *Message
}

// receiver is a connection that is told when a whole message has been processed.
type receiver interface{ MessageReceived() }

// Hub maintains a link to each peer and receives messages from all of them. It is
// safe for concurrent use.
type Hub struct {
	self       fleet.Peer
	seeds      []string
	handler    Handler
	registered func() map[string]fleet.Peer
	log        *telemetry.Logger

	// reducedRate makes links wait longer between batches.
	reducedRate atomic.Bool

	mu         sync.Mutex
	links      map[string]*link      // by address
	peerStates map[string]peerState  // by name
	accepted   map[net.Conn]struct{} // open inbound connections
	// relays holds the link to the relay of each other region, by region.
	relays map[string]*link
}

// peerState is a peer and the time of its last message.
type peerState struct {
	peer     fleet.Peer
	lastSeen time.Time
}

// New returns a hub. registered returns the entries that are registered in the
// store, by name.
func New(self fleet.Peer, seeds []string, handler Handler, registered func() map[string]fleet.Peer,
	log *telemetry.Logger) *Hub {
	return &Hub{
		self: self, seeds: seeds, handler: handler, registered: registered, log: log,
		links: make(map[string]*link), peerStates: make(map[string]peerState), accepted: make(map[net.Conn]struct{}),
		relays: make(map[string]*link),
	}
}

// SetReducedRate sets whether updates are sent in fewer and larger batches.
func (h *Hub) SetReducedRate(reduced bool) { h.reducedRate.Store(reduced) }

// SetSeeds replaces the seed addresses, which are dialled while at most one entry
// is known.
func (h *Hub) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = seeds
}

// Serve dials the peers and accepts their connections until ctx is done.
func (h *Hub) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		listener.Close()
		h.closeAccepted()
	})
	defer stop()
	go h.maintainLinks(ctx)
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return err
		}
		go h.receive(ctx, conn)
	}
}

func (h *Hub) closeAccepted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for conn := range h.accepted {
		conn.Close()
	}
}

// receive handles the messages of one inbound connection until it fails.
func (h *Hub) receive(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	h.mu.Lock()
	h.accepted[conn] = struct{}{}
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.accepted, conn)
		h.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	var from fleet.Peer
	for ctx.Err() == nil {
		if err := conn.SetReadDeadline(time.Now().Add(livenessTimeout + heartbeatInterval)); err != nil {
			return
		}
		m, err := readMessage(reader)
		if err != nil {
			return // the peer logs the loss on its side of the link
		}
		if m.From != nil {
			from, m.Initial = *m.From, true
		}
		m.From = &from
		h.markLive(from)
		h.handler.Receive(m)
		h.receiveRelayed(m)
		if c, ok := conn.(receiver); ok {
			c.MessageReceived()
		}
	}
}

// markLive records that a message of the peer has arrived.
func (h *Hub) markLive(peer fleet.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old, ok := h.peerStates[peer.Name]; !ok || time.Since(old.lastSeen) > livenessTimeout {
		h.log.Info("Peer is live.", "peer", peer.Name)
	}
	h.peerStates[peer.Name] = peerState{peer, time.Now()}
}

// IsLive reports whether a message of the peer arrived within livenessTimeout.
func (h *Hub) IsLive(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.peerStates[name]
	return ok && time.Since(p.lastSeen) < livenessTimeout
}

// ReportAge returns the mean time since the last message of the live peers of this region.
func (h *Hub) ReportAge() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	var total time.Duration
	live := 0
	for _, p := range h.peerStates {
		if age := time.Since(p.lastSeen); age < livenessTimeout && h.sendsDirectly(p.peer) {
			total += age
			live++
		}
	}
	return total / time.Duration(max(live, 1))
}

// LivePeers returns the live peers, sorted by name.
func (h *Hub) LivePeers() []fleet.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	var live []fleet.Peer
	for _, p := range h.peerStates {
		if time.Since(p.lastSeen) < livenessTimeout {
			live = append(live, p.peer)
		}
	}
	slices.SortFunc(live, func(a, b fleet.Peer) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// EntryCount returns the number of entries, including this one, that are registered
// in the store or have sent a message within peerRetention.
func (h *Hub) EntryCount() int {
	names := map[string]bool{h.self.Name: true}
	for name := range h.registered() {
		names[name] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, p := range h.peerStates {
		if time.Since(p.lastSeen) < peerRetention {
			names[name] = true
		}
	}
	return len(names)
}

// Send queues updates for one peer and reports whether the peer is connected.
func (h *Hub) Send(address string, add func(remote fleet.Peer, m *Message)) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.links[address]
	return l != nil && l.queue(add)
}

// Reply queues a reply to a peer's SyncRequest. Items already sent on the same
// connection are left out: during a store outage peers repeat their requests, as
// none of them has a copy that is known to be up to date.
func (h *Hub) Reply(address string, reply *Reply) {
	h.mu.Lock()
	l := h.links[address]
	h.mu.Unlock()
	if l == nil {
		return
	}
	l.queue(func(_ fleet.Peer, m *Message) {
		r := *reply
		r.Items = l.unsentItems(reply.Items)
		if m.Reply != nil { // unsolicited changes that are already queued
			r.Items = append(r.Items, m.Reply.Items...)
		}
		m.Reply = &r
	})
}

// maintainLinks keeps one link to each known peer until ctx is done.
func (h *Hub) maintainLinks(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		h.updateLinks(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateLinks opens links to new peers and closes those to peers that are no longer
// wanted. Seeds are dialled only while at most one entry is known.
func (h *Hub) updateLinks(ctx context.Context) {
	wanted := make(map[string]fleet.Peer)
	for _, p := range h.registered() {
		wanted[p.Address] = p
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.peerStates {
		if time.Since(p.lastSeen) < peerRetention {
			wanted[p.peer.Address] = p.peer
		}
	}
	if len(wanted) <= 1 {
		for _, address := range h.seeds {
			if _, ok := wanted[address]; !ok {
				wanted[address] = fleet.Peer{Address: address}
			}
		}
	}
	delete(wanted, h.self.Address)
	for address, p := range wanted {
		if l := h.links[address]; l != nil {
			l.setPeer(p)
			continue
		}
		l := &link{hub: h, address: address, peer: p, done: make(chan struct{})}
		h.links[address] = l
		go l.run(ctx)
	}
	for address, l := range h.links {
		if _, ok := wanted[address]; !ok {
			close(l.done)
			delete(h.links, address)
		}
	}
}
