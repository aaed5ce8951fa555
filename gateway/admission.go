package gateway

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/admission"
	"hyssoploom/fleet"
	"hyssoploom/limits"
	"hyssoploom/placing"
)

const (
	// returnTolerance is the usual delay of a report to the entries of the same region.
	returnTolerance = 100 * time.Millisecond
	// minNoRoomRetryAfter is the shortest Retry-After of a refusal for lack of room: the age
	// of what the entries know of each other.
	minNoRoomRetryAfter = transientRetryAfter
	// answerWeight is the weight of one request in serviceGate.answer.
	answerWeight = 1.0 / 16
	// clientWaitShare is the part of its remaining time for which a client waits at most
	// before it returns.
	clientWaitShare = 1.0 / 3
)

// serviceGate admits the requests for the engines of one service.
type serviceGate struct {
	*admission.Gate
	usage   *admission.Usage
	waiters map[uint64]*waitingRequest // by ticket id
	nextID  uint64
	timer   *time.Timer
	// conditions are those of the last decision, made at seenAt.
	conditions admission.Conditions
	seenAt     time.Time
	// full means that requests had to wait or were refused; it is logged when it changes.
	full      bool
	fullSince time.Time
	report    usageReport
	// answer is the moving average of the usual time of an answer, for plain services.
	answer time.Duration
}

// waitingRequest is a request that waits for room. The reason is empty when it may start.
type waitingRequest struct {
	c    *clientRequest
	done chan refusal
}

// refusal is the code of a refusal, empty if the request may start, and the time until the
// request is expected to be admitted.
type refusal struct {
	code       string
	retryAfter time.Duration
}

// admissionLog is the log record of the decision on a request while room was short.
type admissionLog struct {
	// Decision is "waited", or the code of the refusal.
	Decision string `json:"decision"`
	// ExpectedMS is the wait that was expected at arrival and WaitedMS the actual one.
	ExpectedMS int64 `json:"expected_ms"`
	WaitedMS   int64 `json:"waited_ms"`
	// Ahead is the number of requests that waited at this entry at arrival.
	Ahead int `json:"ahead"`
	// Servers and Free describe the room of the servers, as in admission.Conditions; Share
	// is this entry's share of it.
	Servers float64 `json:"servers"`
	Free    float64 `json:"free"`
	Share   float64 `json:"share"`
	Demand  float64 `json:"demand"`
	// Excess is how many times its usual work the workspace asked for.
	Excess   float64 `json:"excess"`
	Priority int     `json:"priority"`
	// Returned means that the client came back when it was told to.
	Returned     bool  `json:"returned,omitempty"`
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// clock returns the time on the clock of package admission.
func (g *Gateway) clock(t time.Time) time.Duration { return t.Sub(g.StartTime) }

// gate returns the gate of a service. The caller must hold g.mu.
func (g *Gateway) gate(service string) *serviceGate {
	s := g.gates[service]
	if s == nil {
		s = &serviceGate{Gate: admission.NewGate(), usage: admission.NewUsage(), waiters: make(map[uint64]*waitingRequest)}
		g.gates[service] = s
	}
	return s
}

// awaitRoom holds the request while the servers of its service have no room for it. It
// returns false if the request has been answered.
func (c *clientRequest) awaitRoom() bool {
	if !c.g.underPressure || c.service == nil || c.exceedsEngines() {
		return true
	}
	version := c.view.Config.Version
	code := c.waitTurn()
	if c.ctx.Err() != nil {
		c.respondEnded(nil)
		return false
	}
	if code != "" {
		c.refuseForRoom(code)
		return false
	}
	if c.view = c.g.State.View(); c.view.Config.Version != version {
		return c.admit()
	}
	return true
}

// awaitRoomAgain is awaitRoom for a request that started while there was room, and that no
// server has taken: many servers may have ended. It returns false, with the code in
// c.noRoom, if the request is refused.
func (c *clientRequest) awaitRoomAgain() bool {
	if !c.g.underPressure || c.service == nil || c.admission != nil ||
		len(c.attempts) == 0 || c.progress.MayHaveRun() {
		return true
	}
	c.noRoom = c.waitTurn()
	config := c.g.State.View().Config
	if c.noRoom == "" && c.admission != nil && c.workspace != nil && config.Workspace(c.meta.Key) == nil {
		c.noRoom = admission.CodeCancelled // the key was removed meanwhile
	}
	return c.noRoom == ""
}

// waitTurn waits until the request may start, and returns the code of the refusal if it may
// not.
func (c *clientRequest) waitTurn() string {
	w, code := c.arrive()
	if w == nil {
		return code
	}
	started := time.Now()
	code = c.await(w)
	c.admission.WaitedMS = time.Since(started).Milliseconds()
	c.g.Metrics.Observe("admission_wait", time.Since(started))
	return code
}

// arrive decides on a request. It returns the request if it has to wait, and the code of
// the refusal if it is refused.
func (c *clientRequest) arrive() (*waitingRequest, string) {
	c.identify()
	g, now := c.g, time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.gate(c.service.Name)
	t, conditions, ok := c.ticket(s, now)
	if !ok {
		return nil, "" // without a server there is nothing to wait for
	}
	workspace := hashName(c.workspaceName())
	if len(c.attempts) == 0 {
		g.reportUse(s, c.service.Name, now, workspace, time.Duration(t.Cost))
	}
	s.conditions, s.seenAt = conditions, now
	ahead := s.Waiting()
	v := s.Arrive(g.clock(now), t, conditions)
	s.end(v.Drop)
	if v.Outcome == admission.Run {
		g.logRoom(s, c.service.Name, now, false)
		return nil, ""
	}
	g.logRoom(s, c.service.Name, now, true)
	c.admission = &admissionLog{Decision: "waited", ExpectedMS: v.Wait.Milliseconds(), Ahead: ahead, Servers: conditions.Servers,
		Free: conditions.Free, Share: conditions.Share, Demand: conditions.Demand, Excess: s.usage.Excess(g.clock(now), workspace), Returned: t.Returned, Priority: t.Priority}
	c.retryAfter = v.RetryAfter
	if v.Outcome == admission.Refused {
		return nil, v.Code
	}
	if g.stopping {
		s.Remove(t.ID)
		return nil, admission.CodeDraining
	}
	g.Metrics.Add("admission_waited", 1)
	w := &waitingRequest{c: c, done: make(chan refusal, 1)}
	s.waiters[t.ID] = w
	c.ticketID = t.ID
	g.dispatchWaiting(c.service.Name)
	return w, ""
}

// ticket returns what the gate has to know of the request, and the room that the servers
// which can take it have. ok is false if there is no such server. The caller must hold g.mu.
func (c *clientRequest) ticket(s *serviceGate, now time.Time) (t admission.Ticket, conditions admission.Conditions, ok bool) {
	g := c.g
	model := ""
	if c.model >= 0 {
		model = c.route.Models[c.model]
	}
	servers, candidates := c.allCandidates(model, now, g.EntryCount()+1)
	best := placing.Best(candidates)
	if best < 0 {
		return t, conditions, false
	}
	workspace := hashName(c.workspaceName())
	work, atServer, rest, known := c.expectedWork(s, servers[best], &candidates[best], now)
	if !known {
		return t, conditions, false
	}
	c.recognise(now)
	s.nextID++
	// The kinds of a workspace's requests have equal shares, so that many small requests and
	// few large ones do not displace each other.
	t.ID, t.Workspace, t.Weight = s.nextID, c.workspaceName()+"\x00"+c.route.Name, s.usage.Weight(g.clock(now), workspace)
	t.Priority, t.Cost, t.Returned = c.priority(), float64(work), c.returned
	if c.route.LatencyTarget > 0 {
		t.StartBy = max(g.clock(c.firstArrival.Add(c.route.LatencyTarget-atServer)), 1)
	}
	t.Deadline = max(g.clock(c.deadline.Add(-atServer-rest)), 1)
	conditions = c.conditions(servers, candidates, s, now)
	return t, conditions, conditions.Servers > 0
}

// recognise finds out whether the client has returned when it was told to. The caller must
// hold g.mu.
func (c *clientRequest) recognise(now time.Time) {
	if !c.firstArrival.IsZero() {
		return
	}
	c.firstArrival = c.received
	refusal, returned := c.g.returns.Take(c.g.clock(now), c.returnKey)
	if c.returned = returned; returned {
		c.firstArrival = c.g.StartTime.Add(refusal.First)
	}
}

// expectedWork returns the work of the request at a server, the time until its answer begins
// there, with the work that is kept in front of the server, and the time of the rest of the
// answer. known is false before a plain server has answered. The caller must hold g.mu.
func (c *clientRequest) expectedWork(s *serviceGate, server *fleet.BackendServer, p *placing.Candidate, now time.Time) (work, atServer, rest time.Duration, known bool) {
	g := c.g
	if c.service.Engine != nil {
		work = p.Prefill
		atServer = g.serverAhead(c.service, s) + work + headerOverhead
		rest = g.load(server, c.service).decodeTime(c.service, &c.meta)
	} else {
		// While servers are busy, nothing shows how long their answers take otherwise.
		if work = cmp.Or(time.Duration(g.typicalAnswer(c.service, c.route, now)), s.answer); work <= 0 {
			return 0, 0, 0, false
		}
		s.answer = cmp.Or(s.answer, work)
		s.answer += time.Duration(answerWeight * float64(work-s.answer))
		atServer = max(admission.PlainWait(g.serverAhead(c.service, s), s.answer)-s.answer+work, p.ServiceTime)
	}
	if server.Region != g.Self.Region {
		atServer += crossRegionRTT
	}
	return work, atServer, rest, true
}

// serverAhead returns the work that the entries keep in front of each server of a service, or
// of each of its slots. The caller must hold g.mu.
func (g *Gateway) serverAhead(service *fleet.Service, s *serviceGate) time.Duration {
	objective := time.Duration(0)
	if config := g.State.View().Config; config != nil {
		objective = g.modelRoom.tightestTarget(config, service.Name)
	}
	if service.Engine != nil {
		return admission.EngineAhead(objective)
	}
	return admission.PlainAhead(objective, s.answer)
}

// conditions returns the room of the servers that are known to answer. The caller must hold
// g.mu.
func (c *clientRequest) conditions(servers []*fleet.BackendServer, candidates []placing.Candidate, s *serviceGate,
	now time.Time) admission.Conditions {
	out := admission.Conditions{Share: s.usage.Share(c.g.clock(now), c.g.EntryCount()), Demand: s.usage.Demand(c.g.clock(now)),
		Ahead: c.g.serverAhead(c.service, s)}
	for i := range candidates {
		p, l := &candidates[i], c.g.load(servers[i], c.service)
		switch {
		case l.unproven:
		case c.service.Engine != nil:
			out.Servers++
			out.Free += admission.EngineRoom(p.Pending, out.Ahead, p.Running, p.Slots)
		default:
			out.Servers += float64(p.Slots)
			if limit := c.connectionLimit(); limit == 0 || l.running < limit {
				plain := c.plainServer(servers[i], p, l, now)
				out.Free += plain.Room(out.Ahead, s.answer)
			}
		}
	}
	return out
}

// plainServer returns the state of a server without an engine. The caller must hold g.mu.
func (c *clientRequest) plainServer(server *fleet.BackendServer, p *placing.Candidate, l *load, now time.Time) admission.PlainServer {
	plain := admission.PlainServer{Running: p.Running, Slots: p.Slots, Slowness: p.Slowness, Most: l.rejections.Most(c.g.clock(now))}
	if connections := c.service.MaxConnections; connections > 0 && (plain.Most == 0 || connections < plain.Most) {
		plain.Most = connections
	}
	plain.PerSecond, _ = c.g.serverLimiter.PerSecond(now, server.ID)
	return plain
}

// observeRejection records that a plain server had no room for a request. The caller must
// hold g.mu.
func (g *Gateway) observeRejection(t *target) {
	if g.underPressure && t.load.cache == nil {
		t.load.rejections.Observe(g.clock(time.Now()), t.load.running+t.load.remoteRunning-1, t.server.Slots)
	}
}

// markProven records that a server answers.
func (g *Gateway) markProven(t *target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.load.unproven = false
}

// await waits until the request may start or is refused, and returns the code of the
// refusal.
func (c *clientRequest) await(w *waitingRequest) string {
	select {
	case r := <-w.done:
		c.retryAfter = r.retryAfter
		return r.code
	case <-c.ctx.Done():
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	s := c.g.gate(c.service.Name)
	s.Remove(c.ticketID)
	delete(s.waiters, c.ticketID)
	return ""
}

// refuseForRoom answers a request that cannot be served.
func (c *clientRequest) refuseForRoom(code string) {
	now := time.Now()
	after := limits.JitterRetryAfter(max(c.retryAfter, minNoRoomRetryAfter), rand.Float64())
	after = min(after, time.Duration(clientWaitShare*float64(max(c.deadline.Sub(now), 0))))
	c.admission.Decision, c.admission.RetryAfterMS = code, after.Milliseconds()
	c.g.Metrics.Add("admission_refused_"+code, 1)
	c.g.reportRefusal(c, now, after)
	c.rejectExactly(http.StatusServiceUnavailable, ReasonNoRoom, after)
}

// end tells dropped requests that they are refused. The caller must hold g.mu.
func (s *serviceGate) end(dropped []admission.Dropped) {
	for _, d := range dropped {
		if w := s.waiters[d.ID]; w != nil {
			delete(s.waiters, d.ID)
			w.done <- refusal{d.Code, d.RetryAfter}
		}
	}
}

// dispatchWaiting starts the waiting requests of a service for which there is room. The
// caller must hold g.mu.
func (g *Gateway) dispatchWaiting(service string) {
	s := g.gates[service]
	if s == nil || s.Waiting() == 0 {
		return
	}
	now := time.Now()
	changes := s.Dispatch(g.clock(now), func(id uint64) admission.Conditions {
		s.conditions, s.seenAt = s.waiters[id].c.currentConditions(s, now), now
		return s.conditions
	})
	s.end(changes.Drop)
	for _, id := range changes.Start {
		if w := s.waiters[id]; w != nil {
			delete(s.waiters, id)
			w.done <- refusal{}
		}
	}
	if wake := s.Wake(); wake > 0 {
		if s.timer == nil {
			s.timer = time.AfterFunc(wake, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.dispatchWaiting(service)
			})
		} else {
			s.timer.Reset(wake)
		}
	}
}

// currentConditions returns the room for a waiting request. The caller must hold g.mu.
func (c *clientRequest) currentConditions(s *serviceGate, now time.Time) admission.Conditions {
	// The view of the request itself is not replaced here: its own goroutine reads it.
	waiting := clientRequest{
		g: c.g, r: c.r, ctx: c.ctx, view: c.g.State.View(), route: c.route, service: c.service, workspace: c.workspace,
		meta: c.meta, prompt: c.prompt, suspectParts: c.suspectParts, received: c.received, deadline: c.deadline,
		excluded: c.excluded, progress: c.progress, model: c.model, position: c.position,
	}
	model := ""
	if c.model >= 0 {
		model = c.route.Models[c.model]
	}
	servers, candidates := waiting.allCandidates(model, now, c.g.EntryCount()+1)
	return c.conditions(servers, candidates, s, now)
}

// refuseWaiting refuses all waiting requests, because this entry stops.
func (g *Gateway) refuseWaiting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
	for _, s := range g.gates {
		s.end(s.RefuseAll(admission.CodeDraining))
	}
}

// hashName returns the hash by which entries name a workspace to each other.
func hashName(name string) uint64 { return xxhash.Sum64String(name) }
