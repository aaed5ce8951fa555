package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/fleet"
	"hyssoploom/peers"
	"hyssoploom/release"
	"hyssoploom/speed"
)

const (
	// maxSpeedRunning is the number of other requests at a server up to which the time of
	// an answer shows the server's own speed.
	maxSpeedRunning = 3
	// paceRunningShare is the share of an engine's slots up to which the intervals of events
	// show its own speed: the steps of few requests take as long as that of one.
	paceRunningShare = 0.25
	// maxPaceWrite is the longest time of a write to a client after which the next interval
	// is the engine's.
	maxPaceWrite = 3 * time.Millisecond
	// firstRouteKind and routeKinds are the kinds of samples of plain services, by route.
	firstRouteKind, routeKinds = 64, 64
	// maxModelKinds is the number of models whose times are told apart.
	maxModelKinds = firstRouteKind / 2
)

// slowness returns the time that a server takes relative to the median server of its
// service: 1 unless the servers measure uneven. The caller must hold g.mu.
func (g *Gateway) slowness(s *fleet.BackendServer, now time.Time) float64 {
	e := g.speeds[s.Service]
	if e == nil || g.startedAgain(e, s) {
		return 1
	}
	return e.Slowness(now, s.ID)
}

// startedAgain forgets the speed of a server whose record shows another start.
func (g *Gateway) startedAgain(e *speed.Estimator, s *fleet.BackendServer) bool {
	l := g.loads[s.ID]
	if l == nil || l.speedStartedAtMS == s.StartedAtMS {
		return false
	}
	again := l.speedStartedAtMS != 0
	l.speedStartedAtMS = s.StartedAtMS
	if again {
		e.Forget(s.ID)
	}
	return again
}

// typicalAnswer returns the time, in nanoseconds, that the median server of a plain service
// takes for an answer of a route; 0 if it is not known. The caller must hold g.mu.
func (g *Gateway) typicalAnswer(service *fleet.Service, route *fleet.Route, now time.Time) float64 {
	if e := g.speeds[service.Name]; e != nil {
		return e.Typical(now, routeKind(route)) * float64(time.Microsecond)
	}
	return 0
}

// readKind and writeKind return the kinds of samples of the times in which a model reads a
// prompt, relative to the nominal time, and of its event intervals in microseconds.
func readKind(model int) uint8  { return uint8(2 * model) }
func writeKind(model int) uint8 { return uint8(2*model + 1) }

// routeKind returns the kind of samples of the times of a route's answers in microseconds.
func routeKind(route *fleet.Route) uint8 {
	return firstRouteKind + uint8(xxhash.Sum64String(route.Name)%routeKinds)
}

// modelIndex returns the index of the model that an attempt runs on, or -1.
func (c *clientRequest) modelIndex(t *target) int {
	name := c.modelName(t.model)
	i := slices.IndexFunc(c.service.Engine.Models, func(m fleet.Model) bool { return m.Name == name })
	return min(i, maxModelKinds-1)
}

// showsSpeed reports whether the times of an attempt show the speed of its server.
func (t *target) showsSpeed(now time.Time) bool {
	return t.running <= maxSpeedRunning && !t.server.ColdAt(now)
}

// observeHeadSpeed records the time to the head of the response of an idle engine. The time
// of the way counts too much from other regions.
func (g *Gateway) observeHeadSpeed(c *clientRequest, t *target, took time.Duration) {
	now := time.Now()
	if c.service.Engine == nil || t.nominalPrefill < minObservedPrefill || t.server.Region != g.Self.Region || !t.showsSpeed(now) {
		return
	}
	if i := c.modelIndex(t); i >= 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.observeSpeed(now, t.server, readKind(i), float64(took)/float64(t.nominalPrefill+headerOverhead))
	}
}

// observeAnswerSpeed records the time of a whole answer of a plain service. The caller must
// hold g.mu.
func (g *Gateway) observeAnswerSpeed(c *clientRequest, t *target, timing *release.Timing) {
	if now := time.Now(); timing.NonStreaming && t.showsSpeed(now) {
		g.observeSpeed(now, t.server, routeKind(c.route), float64(timing.First)/float64(time.Microsecond))
	}
}

// paceObserver records the pace of an engine from one of its streams.
type paceObserver struct {
	c *clientRequest
	t *target
	speed.Pace
	written time.Time // when the write of the last event began
	held    bool
}

// beforeWrite records an event that has arrived. another means that one after it has
// arrived too.
func (p *paceObserver) beforeWrite(isProgress, another bool) {
	p.written = time.Now()
	if !isProgress || p.c.service.Engine == nil {
		return
	}
	interval, ok := p.Event(p.written, p.held)
	p.held = another
	if ok {
		p.c.g.observePace(p.c, p.t, interval)
	}
}

// afterWrite tells that the client has got the event.
func (p *paceObserver) afterWrite() {
	p.held = p.held || time.Since(p.written) > maxPaceWrite
}

// observePace records the interval between events of an engine's stream.
func (g *Gateway) observePace(c *clientRequest, t *target, interval time.Duration) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if kind, ok := g.paceKind(c, t, now); ok {
		g.observeSpeed(now, t.server, kind, float64(interval)/float64(time.Microsecond))
	}
}

// paceKind returns the kind of sample that an interval between events is at the moment, and
// whether it shows the engine's speed. The caller must hold g.mu.
func (g *Gateway) paceKind(c *clientRequest, t *target, now time.Time) (kind uint8, ok bool) {
	if c.service.Engine == nil || t.server.ColdAt(now) {
		return 0, false
	}
	i := c.modelIndex(t)
	if i < 0 {
		return 0, false
	}
	others := t.load.running + t.load.remoteRunning - 1
	reading := t.load.pending+t.load.remotePending > 0
	if reading || float64(others) > max(paceRunningShare*float64(t.server.Slots), maxSpeedRunning) {
		if e := g.speeds[t.server.Service]; e != nil {
			e.Busy(now, t.server.ID)
		}
		return 0, false
	}
	return writeKind(i), true
}

// observeSpeed adds a sample and reports it to the peers. The caller must hold g.mu.
func (g *Gateway) observeSpeed(now time.Time, s *fleet.BackendServer, kind uint8, observed float64) {
	if g.State.View().Servers[s.ID] == nil {
		return
	}
	e := g.speedsOf(s.Service)
	g.startedAgain(e, s)
	if !e.Observe(now, s.ID, kind, observed) {
		return
	}
	if r, ok := e.Unreported(now, s.ID); ok {
		update := peers.ServerSpeed{Server: s.ID, Last: r.Last, Kinds: r.Kinds, Steps: r.Steps}
		g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.ServerSpeeds = append(m.ServerSpeeds, update) })
		g.Metrics.Add("speed_reports", 1)
	}
}

// speedsOf returns the estimator of a service, creating it if needed. The caller must hold
// g.mu.
func (g *Gateway) speedsOf(service string) *speed.Estimator {
	e := g.speeds[service]
	if e == nil {
		e = speed.NewEstimator()
		g.speeds[service] = e
	}
	return e
}

// receiveSpeeds adds the samples of a peer. The caller must hold g.mu.
func (g *Gateway) receiveSpeeds(now time.Time, view *fleet.View, m *peers.Message) {
	for _, r := range m.ServerSpeeds {
		s := view.Servers[r.Server]
		if s == nil {
			continue
		}
		if !g.speedsOf(s.Service).Receive(now, m.From.Name, r.Server, speed.Report{Last: r.Last, Kinds: r.Kinds, Steps: r.Steps}) {
			g.Metrics.Add("speed_reports_rejected", 1)
		}
	}
}

// addSpeeds adds this entry's last samples to the initial state for a peer. The caller must
// hold g.mu.
func (g *Gateway) addSpeeds(m *peers.Message) {
	for _, e := range g.speeds {
		e.ForEach(func(id string, r speed.Report) {
			m.ServerSpeeds = append(m.ServerSpeeds, peers.ServerSpeed{Server: id, Last: r.Last, Kinds: r.Kinds, Steps: r.Steps})
		})
	}
}

// pruneSpeeds drops the samples of servers that are gone, and logs when the servers of a
// service begin or cease to measure uneven. The caller must hold g.mu.
func (g *Gateway) pruneSpeeds(view *fleet.View) {
	now := time.Now()
	for service, e := range g.speeds {
		if len(view.ByService[service]) == 0 {
			delete(g.speeds, service)
			continue
		}
		e.Retain(func(id string) bool { return view.Servers[id] != nil }, g.hub.IsLive)
		uneven, spread := e.Uneven(now)
		if uneven != g.uneven[service] {
			g.uneven[service] = uneven
			g.Log.Info("The servers of a service changed between even and uneven speed.", "service", service,
				"uneven", uneven, "spread_octaves", spread, "servers", len(view.ByService[service]))
		}
	}
}

// slownessMetric returns the slowness of each server whose service measures uneven, by id.
func (g *Gateway) slownessMetric() map[string]float64 {
	view, now := g.State.View(), time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	slowness := make(map[string]float64)
	for service, e := range g.speeds {
		if uneven, _ := e.Uneven(now); uneven {
			for _, s := range view.ByService[service] {
				slowness[s.ID] = e.Slowness(now, s.ID)
			}
		}
	}
	return slowness
}
