package ingress

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"hyssoploom/telemetry"
)

const (
	// connectionBytes is the memory of a connection of net/http without a request: its
	// goroutine, two buffers of 4 KiB, and its records. messageConnectionBytes is that of a
	// connection with one buffer.
	connectionBytes        = 20 << 10
	messageConnectionBytes = 12 << 10
	// byteCost is the memory that net/http takes for a byte of a head: the line that is
	// being read grows by doubling and is then copied into strings.
	byteCost = 3
	// fieldCost is the memory in bytes that a parsed header field takes besides its text:
	// its place in a map that grows by doubling, and a slice of values.
	fieldCost = 200
	// messageByteCost is the memory for a byte of a message, whose buffer grows by doubling.
	messageByteCost = 3
	// kernelBufferBytes limits what the kernel holds for each direction of a connection while
	// many are open: two usual windows of a slow network. The kernel's own limit is several
	// MiB, which a crowd that does not read, or is not read from, would fill.
	kernelBufferBytes = 64 << 10
	// logInterval is the least interval between two log lines of one kind.
	logInterval = time.Second
)

// Config configures a Guard.
type Config struct {
	// MemoryBytes and Connections limit what all connections of the listeners hold together.
	MemoryBytes int64
	Connections int
	// HeadLimits returns the limits on the head that begins now, and HeadTimeout the time in
	// which it has to arrive after its first byte, which is also the time until the first
	// byte on a new connection. IdleTimeout is the longest time between two requests.
	HeadLimits  func() Limits
	HeadTimeout func() time.Duration
	IdleTimeout func() time.Duration
	// WriteTimeout is how long a client may take nothing of what is written to it.
	WriteTimeout time.Duration
}

// Guard bounds what the clients of its listeners make the process hold. It is safe for
// concurrent use.
type Guard struct {
	config  Config
	log     *telemetry.Logger
	metrics *telemetry.Metrics
	start   time.Time

	mu      sync.Mutex
	account *account
	room    sync.Cond // signalled when there may be room, and when a listener is closed
	logged  map[string]*logCount
}

// logCount counts events of one kind since its last log line.
type logCount struct {
	at     time.Time
	events int
}

// New returns a guard.
func New(config Config, log *telemetry.Logger, metrics *telemetry.Metrics) *Guard {
	g := &Guard{
		config: config, log: log, metrics: metrics, start: time.Now(), logged: make(map[string]*logCount),
		account: newAccount(bounds{config.MemoryBytes, config.Connections}),
	}
	g.room.L = &g.mu
	metrics.Func("client_connections", func() any {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.account.used().connections
	})
	metrics.Func("client_memory_bytes", func() any {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.account.used().bytes
	})
	return g
}

// Listener returns a listener whose connections are bounded by the guard. It is for an
// http.Server with ConnState as its hook and without time-outs of its own for heads and idle
// connections. own is set for listeners of the system's own use, such as readiness checks, whose
// requests have no body and are answered at once.
func (g *Guard) Listener(l net.Listener, own bool) net.Listener {
	to := clients
	if own {
		to = checks
	}
	return &listener{Listener: l, guard: g, group: to}
}

// MessageListener returns a listener for links between the processes of the fleet. The receiver
// has to call MessageReceived after each whole message, or Authenticated once the other side
// has proved itself.
func (g *Guard) MessageListener(l net.Listener) net.Listener {
	return &listener{Listener: l, guard: g, group: links}
}

// ConnState is the http.Server.ConnState of servers whose listener is one of a guard.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.endRequest()
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

type listener struct {
	net.Listener
	guard  *Guard
	group  group
	closed bool // guarded by guard.mu
}

// Accept implements net.Listener. While there is no room, a new connection waits.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: conn, guard: l.guard}
	c.holder = holder{address: clientAddress(conn), group: l.group, base: connectionBytes, close: c.closeSocket}
	if l.group == links {
		c.holder.base = messageConnectionBytes
	}
	if !l.guard.admit(l, &c.holder) {
		conn.Close()
		return nil, fmt.Errorf("accept: %w", net.ErrClosed)
	}
	if l.group != links && l.guard.crowded() {
		limitKernelBuffers(conn)
	}
	c.startWaiting()
	return c, nil
}

// limitKernelBuffers ignores errors: the connection may have ended, which its first read
// reports.
func limitKernelBuffers(conn net.Conn) {
	if c, ok := conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = c.SetReadBuffer(kernelBufferBytes)
	}
	if c, ok := conn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = c.SetWriteBuffer(kernelBufferBytes)
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.guard.mu.Lock()
	l.closed = true
	l.guard.room.Broadcast()
	l.guard.mu.Unlock()
	return l.Listener.Close()
}

// clientAddress returns the address against which a connection counts: the IPv4 address, or
// the network of 64 bits that one client of IPv6 may use.
func clientAddress(conn net.Conn) string {
	a, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().Network()
	}
	ip := a.Addr().Unmap()
	if ip.Is6() {
		if p, err := ip.Prefix(64); err == nil {
			return p.String()
		}
	}
	return ip.String()
}

// admit waits for room for a connection. It returns false if the listener is closed before.
func (g *Guard) admit(l *listener, h *holder) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for waited := false; !l.closed; waited = true {
		removed, wait, ok := g.account.admit(g.now(), h)
		g.closeForRoom(removed)
		if ok {
			return true
		}
		if !waited {
			g.report("Clients wait for room to connect.", "clients_waited")
		}
		g.waitForRoom(wait)
	}
	return false
}

// crowded tells whether connections hold more than a small part of the bounds.
func (g *Guard) crowded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.account.crowded()
}

// waitForRoom waits until there may be room, at most for the given time if it is not 0. The
// caller must hold g.mu.
func (g *Guard) waitForRoom(atMost time.Duration) {
	if atMost > 0 {
		timer := time.AfterFunc(atMost, func() {
			g.mu.Lock() // the waiting goroutine has released it, so that it is not missed
			defer g.mu.Unlock()
			g.room.Broadcast()
		})
		defer timer.Stop()
	}
	g.room.Wait()
}

// now returns the time since the guard was made.
func (g *Guard) now() time.Duration { return time.Since(g.start) }

// grow takes memory for a head or message and reports whether there was room.
func (g *Guard) grow(h *holder, n int64, whole bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	removed, ok := g.account.grow(g.now(), h, n, whole)
	g.closeForRoom(removed)
	return ok
}

// closeForRoom closes connections that were removed from the account. The caller must hold
// g.mu: closing does not wait for the client.
func (g *Guard) closeForRoom(removed []*holder) {
	for _, h := range removed {
		h.close()
		g.report("Closed a connection of a client to make room.", "clients_closed_for_room", "client", h.address, "held_bytes", h.held)
	}
}

func (g *Guard) setPhase(h *holder, p phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.setPhase(g.now(), h, p)
	g.room.Broadcast()
}

func (g *Guard) settle(h *holder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.settle(g.now(), h)
	g.room.Broadcast()
}

func (g *Guard) remove(h *holder) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.account.remove(h)
	g.room.Broadcast()
}

// reportEvent is report for callers that do not hold g.mu.
func (g *Guard) reportEvent(text, metric string, kv ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report(text, metric, kv...)
}

// report counts an event and logs the first of its kind in each logInterval. The caller must
// hold g.mu.
func (g *Guard) report(text, metric string, kv ...any) {
	g.metrics.Add(metric, 1)
	count := g.logged[metric]
	if count == nil {
		count = &logCount{}
		g.logged[metric] = count
	}
	count.events++
	if now := time.Now(); now.Sub(count.at) >= logInterval {
		used := g.account.used()
		g.log.Warn(text, append(kv, "events", count.events, "connections", used.connections,
			"memory_bytes", used.bytes, "memory_limit", g.account.bounds.bytes)...)
		count.at, count.events = now, 0
	}
}
