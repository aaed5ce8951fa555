package peers

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/telemetry"
)

const (
	// nearFlush and farFlush are the pauses between batches within a region and
	// between regions, where bytes are paid for.
	nearFlush = 40 * time.Millisecond
	farFlush  = 120 * time.Millisecond
	// heartbeat is the longest pause between messages.
	heartbeat = 500 * time.Millisecond
	// silentAfter is the silence after which a peer's news no longer counts.
	silentAfter = 2 * time.Second
	// dialTimeout and redialPause bound the attempts to reach a peer.
	dialTimeout = 700 * time.Millisecond
	redialPause = 400 * time.Millisecond
	// writeTimeout bounds one write to a peer that does not read.
	writeTimeout = 2 * time.Second
	// maxQueued bounds each kind of news that waits for a peer; older ones are
	// dropped first.
	maxQueued = 2000
	// forgetAfter is how long a peer that is not in the store is still dialled
	// after its last message.
	forgetAfter = 10 * time.Second
)

// Handler takes the messages of peers. Receive may be called concurrently.
type Handler interface {
	Receive(m *Message)
	// InitialState is what a peer has to be told first on a new connection.
	InitialState() *Message
}

// Hub sends to all peers and receives from them. It is safe for concurrent use.
type Hub struct {
	self    fleet.Peer
	seeds   []string
	handler Handler
	listed  func() map[string]fleet.Peer
	log     *telemetry.Logger

	mu    sync.Mutex
	links map[string]*link      // by address
	heard map[string]heardPeer  // by name
	conns map[net.Conn]struct{} // accepted
	// relays are the links over which each other region is told what all entries have
	// to know.
	relays map[string]*link
}

type heardPeer struct {
	peer fleet.Peer
	at   time.Time
}

// New returns a hub. listed returns the entries that the store names.
func New(self fleet.Peer, seeds []string, handler Handler, listed func() map[string]fleet.Peer,
	log *telemetry.Logger) *Hub {
	return &Hub{
		self: self, seeds: seeds, handler: handler, listed: listed, log: log,
		links: make(map[string]*link), heard: make(map[string]heardPeer), conns: make(map[net.Conn]struct{}),
		relays: make(map[string]*link),
	}
}

// SetSeeds changes the addresses that are dialled besides the entries that the
// store names.
func (h *Hub) SetSeeds(seeds []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = seeds
}

// Serve connects to the peers and accepts their connections until ctx ends.
func (h *Hub) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		listener.Close()
		h.closeAccepted()
	})
	defer stop()
	go h.dialPeers(ctx)
	for {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return err
		}
		go h.receive(ctx, raw)
	}
}

func (h *Hub) closeAccepted() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for raw := range h.conns {
		raw.Close()
	}
}

// receive reads the messages of one peer.
func (h *Hub) receive(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	h.mu.Lock()
	h.conns[raw] = struct{}{}
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.conns, raw)
		h.mu.Unlock()
	}()
	reader := bufio.NewReader(raw)
	var from fleet.Peer
	for ctx.Err() == nil {
		if err := raw.SetReadDeadline(time.Now().Add(silentAfter + heartbeat)); err != nil {
			return
		}
		m, err := readMessage(reader)
		if err != nil {
			return // the peer's own side of the link logs the loss
		}
		if m.From != nil {
			from = *m.From
		}
		m.From = &from
		h.note(from)
		h.handler.Receive(m)
		h.receiveRelayed(m)
	}
}

func (h *Hub) note(peer fleet.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old, ok := h.heard[peer.Name]; !ok || time.Since(old.at) > silentAfter {
		h.log.Info("Heard from a peer.", "peer", peer.Name)
	}
	h.heard[peer.Name] = heardPeer{peer, time.Now()}
}

// IsLive tells whether a peer has sent something lately.
func (h *Hub) IsLive(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.heard[name]
	return ok && time.Since(p.at) < silentAfter
}

// LivePeers returns the peers that have been heard of lately, in order of their names.
func (h *Hub) LivePeers() []fleet.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	var live []fleet.Peer
	for _, p := range h.heard {
		if time.Since(p.at) < silentAfter {
			live = append(live, p.peer)
		}
	}
	slices.SortFunc(live, func(a, b fleet.Peer) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// EntryCount returns the number of entries, this one included, that the store names
// or that have been heard of lately.
func (h *Hub) EntryCount() int {
	names := map[string]bool{h.self.Name: true}
	for name := range h.listed() {
		names[name] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, p := range h.heard {
		if time.Since(p.at) < forgetAfter {
			names[name] = true
		}
	}
	return len(names)
}

// Send queues news for one peer and tells whether the peer is connected.
func (h *Hub) Send(address string, add func(to fleet.Peer, m *Message)) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.links[address]
	return l != nil && l.queue(add)
}

// Reply queues a copy of the store for one peer, without the items that the peer
// was sent before on the same connection: while the store is away, peers ask many
// times for what none of them can prove yet.
func (h *Hub) Reply(address string, reply *Reply) {
	h.mu.Lock()
	l := h.links[address]
	h.mu.Unlock()
	if l == nil {
		return
	}
	l.queue(func(_ fleet.Peer, m *Message) {
		r := *reply
		r.Items = l.untold(reply.Items)
		if m.Reply != nil { // changes that wait to be passed on
			r.Items = append(r.Items, m.Reply.Items...)
		}
		m.Reply = &r
	})
}

// dialPeers keeps one link to each peer.
func (h *Hub) dialPeers(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
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

func (h *Hub) updateLinks(ctx context.Context) {
	wanted := make(map[string]fleet.Peer)
	for _, p := range h.listed() {
		wanted[p.Address] = p
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.heard {
		if time.Since(p.at) < forgetAfter {
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
			l.identify(p)
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
