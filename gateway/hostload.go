package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/hostload"
	"hyssoploom/internal/ingress"
	"hyssoploom/peers"
)

const (
	// hostInterval is the interval at which the load of the VM is measured.
	hostInterval = 200 * time.Millisecond
	// neighbourRetryAfter is the Retry-After of a request that a neighbour can serve at once:
	// by then, entries of the region have heard of the refusal.
	neighbourRetryAfter = 60 * time.Millisecond
	// messageOverhead is added to the length of a body or an event that passes the link: for
	// the head and for what the network adds, in bytes.
	messageOverhead = 600
)

// hostLoad is the load of this entry's VM and what it has heard of its neighbours'. A nil
// *hostLoad finds the VM calm. g.mu may be held when h.mu is taken, not the other way round.
type hostLoad struct {
	g        *Gateway
	cpuShare float64 // cores that the VM has; 0 if unknown
	// received and sent count the traffic since the last sample.
	received, sent trafficCounter
	connections    atomic.Int64 // of clients
	level          atomic.Int32 // of type hostload.Level
	away           atomic.Bool

	mu         sync.Mutex
	monitor    *hostload.Monitor
	neighbours map[string]hostload.Neighbour // as reported, by name of the peer
	// unavailable is set while the entry is away, drains or cannot serve for another reason.
	unavailable bool
	// target is the tightest latency target of a version of the configuration.
	target        time.Duration
	targetVersion int64
}

// trafficCounter counts what passes the link in one direction.
type trafficCounter struct{ bytes, squares atomic.Int64 }

func (c *trafficCounter) add(n int) {
	size := int64(n + messageOverhead)
	c.bytes.Add(size)
	c.squares.Add(size * size)
}

func (c *trafficCounter) take() hostload.Traffic {
	return hostload.Traffic{Bytes: float64(c.bytes.Swap(0)), Squares: float64(c.squares.Swap(0))}
}

// newHostLoad returns the load of a VM with the given processor time per time, in cores, and
// bandwidth, each 0 if unknown.
func newHostLoad(g *Gateway, cpuShare, linkMbps float64) *hostLoad {
	h := &hostLoad{g: g, cpuShare: cpuShare, monitor: hostload.NewMonitor(linkMbps * 1e6 / 8), neighbours: make(map[string]hostload.Neighbour)}
	g.Metrics.Func("host_load", func() any { return h.metric() })
	return h
}

// countReceived and countSent count a body or an event.
func (h *hostLoad) countReceived(bytes int) {
	if h != nil {
		h.received.add(bytes)
	}
}

func (h *hostLoad) countSent(bytes int) {
	if h != nil {
		h.sent.add(bytes)
	}
}

// connState is http.Server.ConnState; it counts the connections of clients.
func (h *hostLoad) connState(conn net.Conn, state http.ConnState) {
	if h != nil {
		switch state {
		case http.StateNew:
			h.connections.Add(1)
		case http.StateClosed, http.StateHijacked:
			h.connections.Add(-1)
		}
	}
	ingress.ConnState(conn, state)
}

// watch measures the load until ctx is done.
func (h *hostLoad) watch(ctx context.Context) {
	if h == nil {
		return
	}
	last, used := time.Now(), processorTime()
	for {
		due := time.Now().Add(hostInterval)
		sleep(ctx, hostInterval)
		if ctx.Err() != nil {
			return
		}
		now, usedNow := time.Now(), processorTime()
		s := hostload.Sample{Interval: now.Sub(last), Lateness: max(now.Sub(due), 0), Received: h.received.take(), Sent: h.sent.take()}
		if h.cpuShare > 0 {
			s.Processor = (usedNow - used).Seconds() / s.Interval.Seconds() / h.cpuShare
		}
		h.observe(now, s)
		last, used = now, usedNow
	}
}

// processorTime returns the processor time that the process has used, or 0 if the system does
// not tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// observe decides on a new sample, and tells the neighbours of what has changed.
func (h *hostLoad) observe(now time.Time, s hostload.Sample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before, wasAway := h.monitor.State().Level, h.away.Load()
	state := h.monitor.Observe(h.g.clock(now), s, h.tightestTarget())
	var neighbours []hostload.Neighbour // a calm VM does not ask for them
	if state.Level > hostload.Calm || wasAway {
		neighbours = h.liveNeighbours()
	}
	connections := int(h.connections.Load())
	away := h.monitor.Divert(h.g.clock(now), h.g.Self.Name, neighbours, connections)
	h.level.Store(int32(state.Level))
	h.away.Store(away)
	h.g.hub.SetReducedRate(state.FewerReports)
	changed, was := state.Level != before || away != wasAway, h.unavailable
	h.unavailable = away || !h.g.Ready()
	if !changed && h.unavailable == was {
		return
	}
	report := h.report()
	h.g.hub.Broadcast(func(to fleet.Peer, m *peers.Message) {
		if h.g.sameDataCentre(to) {
			m.HostLoad = report
		}
	})
	if !changed {
		return
	}
	if away && !wasAway {
		h.g.Metrics.Add("host_diversions", 1)
	}
	h.g.Log.Info("The load of this VM has changed.", "level", state.Level.String(), "before", before.String(), "away", away,
		"delay_ms", state.Delay.Milliseconds(), "timers_late_ms", state.Lateness.Milliseconds(), "processor_pct", percent(state.Processor),
		"link_pct", percent(state.Link), "of_link", state.OfLink, "target_ms", h.target.Milliseconds(),
		"neighbours", len(neighbours), "calm_neighbours", countCalm(neighbours), "connections", connections)
}

func countCalm(neighbours []hostload.Neighbour) (n int) {
	for _, other := range neighbours {
		if other.Level == hostload.Calm && !other.Away {
			n++
		}
	}
	return n
}

// report returns what the neighbours have to know. The caller must hold h.mu.
func (h *hostLoad) report() *peers.HostLoad {
	return &peers.HostLoad{Level: int(h.monitor.State().Level), Away: h.unavailable}
}

// tightestTarget returns the lowest latency target of the routes. The caller must hold h.mu.
func (h *hostLoad) tightestTarget() time.Duration {
	config := h.g.State.View().Config
	if config == nil || config.Version == h.targetVersion {
		return h.target
	}
	h.target, h.targetVersion = 0, config.Version
	for _, r := range config.Routes() {
		if r.LatencyTarget > 0 && (h.target == 0 || r.LatencyTarget < h.target) {
			h.target = r.LatencyTarget
		}
	}
	return h.target
}

// liveNeighbours returns the live entries of the data centre. The caller must hold h.mu.
func (h *hostLoad) liveNeighbours() []hostload.Neighbour {
	var out []hostload.Neighbour
	live := make(map[string]bool)
	for _, p := range h.g.hub.LivePeers() {
		if h.g.sameDataCentre(p) {
			n := h.neighbours[p.Name]
			n.Name, live[p.Name] = p.Name, true
			out = append(out, n)
		}
	}
	for name := range h.neighbours {
		if !live[name] {
			delete(h.neighbours, name)
		}
	}
	return out
}

// receive takes over what a peer reports. A new connection begins without a report if the
// peer is calm.
func (h *hostLoad) receive(m *peers.Message) {
	if h == nil || m.HostLoad == nil && !m.Initial {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.HostLoad == nil {
		delete(h.neighbours, m.From.Name)
		return
	}
	if _, known := h.neighbours[m.From.Name]; !known {
		h.liveNeighbours() // forgets those that are gone
	}
	level := min(max(hostload.Level(m.HostLoad.Level), hostload.Calm), hostload.Short)
	h.neighbours[m.From.Name] = hostload.Neighbour{Level: level, Away: m.HostLoad.Away}
}

// addTo adds the report to the initial state for a peer, unless the VM is calm and the entry
// available.
func (h *hostLoad) addTo(m *peers.Message) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.monitor.State().Level > hostload.Calm || h.unavailable {
		m.HostLoad = h.report()
	}
}

// isCalm reports whether the VM has processor time and bandwidth for optional work.
func (h *hostLoad) isCalm() bool { return h == nil || hostload.Level(h.level.Load()) == hostload.Calm }

// isAway reports whether clients are to open no new connections to this entry.
func (h *hostLoad) isAway() bool { return h != nil && h.away.Load() }

// delay returns the time that each attempt of a request is expected to lose at the VM; 0 if
// it is calm.
func (h *hostLoad) delay() time.Duration {
	if h.isCalm() {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.monitor.State().Delay
}

// movesClient reports whether the connection of a request that has arrived is to be closed
// after its answer, so that its client opens the next one to a neighbour.
func (h *hostLoad) movesClient(now time.Time) bool {
	if !h.isAway() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.monitor.TakeMove(h.g.clock(now)) {
		return false
	}
	h.g.Metrics.Add("host_moved_clients", 1)
	return true
}

// refuses reports whether a request that no server has got is refused, because a neighbour
// answers it sooner.
func (h *hostLoad) refuses(target time.Duration, returned bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.monitor.Refuses(h.g.clock(time.Now()), target, h.liveNeighbours(), returned, rand.Float64())
}

// refusedByHost refuses a request that a neighbour answers sooner, because this VM is short. It
// returns false if the request goes on here.
func (c *clientRequest) refusedByHost() bool {
	h, now := c.g.host, time.Now()
	if h == nil || hostload.Level(h.level.Load()) < hostload.Short {
		return false
	}
	c.g.mu.Lock()
	c.recognizeReturn(now)
	c.g.mu.Unlock()
	after := neighbourRetryAfter
	if clientWait := clientWaitShare * float64(c.deadline.Sub(now)); clientWait < float64(after) {
		return false // the client would not wait for so long
	}
	if !h.refuses(c.route.LatencyTarget, c.returned) {
		return false
	}
	c.g.Metrics.Add("host_refused", 1)
	c.g.reportRefusal(c, now, after)
	c.rejectExactly(http.StatusServiceUnavailable, ReasonVMShort, after)
	return true
}

// hostMetric is the load of the VM in the metrics.
type hostMetric struct {
	Level       string         `json:"level"`
	Away        bool           `json:"away"`
	DelayMS     int64          `json:"delay_ms"`
	LateMS      int64          `json:"timers_late_ms"`
	Processor   float64        `json:"processor"`
	Link        float64        `json:"link"`
	Connections int64          `json:"connections"`
	Neighbours  map[string]int `json:"neighbours"` // by level
}

func (h *hostLoad) metric() hostMetric {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.monitor.State()
	m := hostMetric{Level: s.Level.String(), Away: h.away.Load(), DelayMS: s.Delay.Milliseconds(), LateMS: s.Lateness.Milliseconds(),
		Processor: s.Processor, Link: s.Link, Connections: h.connections.Load(), Neighbours: make(map[string]int)}
	for _, n := range h.liveNeighbours() {
		m.Neighbours[n.Level.String()]++
	}
	return m
}
