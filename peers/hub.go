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
	"hyssoploom/internal/sockets"
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
	// Greeting is what a peer has to be told first on a new connection.
	Greeting() *Message
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

// Heard tells whether a peer has sent something lately.
func (h *Hub) Heard(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.heard[name]
	return ok && time.Since(p.at) < silentAfter
}

// Live returns the peers that have been heard of lately, in order of their names.
func (h *Hub) Live() []fleet.Peer {
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

// Count returns the number of entries, this one included, that the store names
// or that have been heard of lately.
func (h *Hub) Count() int {
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

// link sends to one peer.
type link struct {
	hub     *Hub
	address string
	done    chan struct{}

	mu sync.Mutex
	// peer is only an address until a seed has been heard of.
	peer    fleet.Peer
	pending Message
	// relayed is news that the peer passes on in its region; greet asks for a greeting
	// of that region first.
	relayed Message
	greet   bool
	up      bool
	// told are the revisions of the items that this connection has carried.
	told map[string]int64
}

// queue adds news to the next batch. News for a peer that is not connected is
// dropped: the greeting of the next connection replaces it.
func (l *link) queue(add func(to fleet.Peer, m *Message)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		return false
	}
	add(l.peer, &l.pending)
	l.pending.bound()
	return true
}

// identify notes who is at the address of a seed.
func (l *link) identify(peer fleet.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peer.Name == "" {
		l.peer = peer
	}
}

// to returns the peer of the link.
func (l *link) to() fleet.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer
}

// bound drops the oldest of each kind of news that waits.
func (m *Message) bound() {
	m.Loads = newest(m.Loads)
	m.Reads = newest(m.Reads)
	m.Sessions = newest(m.Sessions)
	m.Charges = newest(m.Charges)
	m.Durable = newest(m.Durable)
}

// untold returns the items that the connection has not carried in this revision,
// and notes them. Messages of a connection arrive in order or not at all. The
// caller holds l.mu.
func (l *link) untold(items []fleet.Item) []fleet.Item {
	if l.told == nil {
		l.told = make(map[string]int64)
	}
	var fresh []fleet.Item
	for _, item := range items {
		if revision, ok := l.told[item.Key]; ok && revision >= item.Revision {
			continue
		}
		l.told[item.Key] = item.Revision
		fresh = append(fresh, item)
	}
	return fresh
}

func newest[T any](list []T) []T {
	if len(list) > maxQueued {
		return slices.Delete(list, 0, len(list)-maxQueued)
	}
	return list
}

func (l *link) run(ctx context.Context) {
	for {
		if err := l.connect(ctx); err != nil && ctx.Err() == nil {
			l.hub.log.Debug("Link to a peer ended.", "peer", l.to().Name, "address", l.address, "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return
		case <-l.done:
			return
		case <-time.After(redialPause):
		}
	}
}

// connect dials the peer and sends batches until the connection fails.
func (l *link) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout, Control: sockets.UserTimeout(silentAfter)}
	raw, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return err
	}
	defer raw.Close()
	l.setUp(true)
	greeting := l.hub.handler.Greeting() // takes locks under which news is queued
	greeting.From = &l.hub.self
	if err := l.write(raw, greeting); err != nil {
		return err
	}
	defer l.setUp(false)
	pause := farFlush
	if l.hub.near(l.to()) {
		pause = nearFlush
	}
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	sent := time.Time{}
	for {
		l.greetRegion()
		if m := l.batch(time.Since(sent) >= heartbeat); m != nil {
			if err := l.write(raw, m); err != nil {
				return err
			}
			sent = time.Now()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.done:
			return nil
		case <-ticker.C:
		}
	}
}

func (l *link) write(raw net.Conn, m *Message) error {
	if err := raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return writeMessage(raw, m)
}

// setUp starts or stops the queueing of news.
func (l *link) setUp(up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending, l.relayed, l.greet, l.up, l.told = Message{}, Message{}, false, up, nil
}

// batch takes what is queued; nil when there is nothing to send.
func (l *link) batch(due bool) *Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.pending
	if !l.relayed.empty() {
		relayed := l.relayed
		m.Relay = &relayed
	}
	if m.empty() && !due {
		return nil // a message without news is a heartbeat
	}
	l.pending, l.relayed = Message{}, Message{}
	return &m
}
