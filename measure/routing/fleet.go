package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hyssoploom/admission"
	"hyssoploom/route"
)

// event is a call at a time; events at the same time run in the order of seq.
type event struct {
	due time.Duration
	seq int
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// job is one request of a caller.
type job struct {
	id            uint64
	workspace     string
	entry         *simEntry
	tokens        int
	bodyBytes     int
	arrived       time.Duration
	deadline      time.Duration
	attempts      int
	tried         map[string]bool
	sentAt        time.Duration // of the last attempt
	started       bool
	firstToken    time.Duration // latency of the first token; 0 without one
	total         time.Duration // latency of the whole answer; 0 when it is not complete
	crossedRegion bool
	rejected      bool // refused for good
}

// simEntry is one entry with its view of the servers.
type simEntry struct {
	sim           *sim
	region        int
	endpoints     []route.Endpoint
	lastReport    time.Duration
	retryBudgets  map[string]*route.RetryBudget // by workspace
	avgAnswerTime time.Duration                 // moving average of the answer time
}

// sim is a fleet in virtual time.
type sim struct {
	now        time.Duration
	seq        int
	eventQueue eventHeap
	rng        *rand.Rand
	workload   Workload
	policy     policy
	oneFlow    bool // agents see all requests as those of one workspace
	servers    []*server
	entries    []*simEntry
	jobs       []*job
}

func (s *sim) schedule(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.eventQueue, event{s.now + d, s.seq, fn})
}

// newSim returns servers and entries spread evenly over the regions.
func newSim(seed uint64, servers, entries, regions int, w Workload, p policy) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), workload: w, policy: p}
	for i := range servers {
		s.servers = append(s.servers, &server{sim: s, index: i, ctrl: admission.New(p.config), waiting: map[uint64]*job{}, running: map[uint64]*job{}})
	}
	for i := range entries {
		e := &simEntry{sim: s, region: i % regions, retryBudgets: map[string]*route.RetryBudget{}}
		for k := range servers {
			e.endpoints = append(e.endpoints, route.Endpoint{Name: fmt.Sprint(k), DataCentre: fmt.Sprint(k % regions),
				Region: fmt.Sprint(k % regions), Alive: true, Loaded: []string{"m@1"}})
		}
		s.entries = append(s.entries, e)
	}
	s.schedule(0, s.publishReports)
	s.schedule(0, s.expireRequests)
	return s
}

// report gives every entry a fresh load report of every server.
func (s *sim) publishReports() {
	for _, e := range s.entries {
		e.lastReport = s.now
		for i, srv := range s.servers {
			r, ep := srv.ctrl.Report(), &e.endpoints[i]
			ep.Running, ep.Queued, ep.Limit, ep.Cold, ep.Sent = r.Running, r.Queued, r.Limit, r.Cold, 0
		}
	}
	s.schedule(reportInterval, s.publishReports)
}

func (s *sim) expireRequests() {
	for _, srv := range s.servers {
		srv.apply(srv.ctrl.Expire(s.now))
	}
	s.schedule(expireInterval, s.expireRequests)
}

// arrivals sends requests of one workspace at a rate per second until the end.
func (s *sim) generateArrivals(workspace string, rate float64, end time.Duration) {
	var next func()
	next = func() {
		if s.now >= end {
			return
		}
		j := &job{id: uint64(len(s.jobs) + 1), workspace: workspace, entry: s.entries[s.rng.IntN(len(s.entries))],
			tokens:    1 + int(float64(s.workload.meanTokens)*math.Exp(s.rng.NormFloat64()*0.8-0.32)),
			bodyBytes: 500 + int(4000*math.Exp(s.rng.NormFloat64()*1.2)),
			arrived:   s.now, deadline: s.now + s.workload.deadline, tried: map[string]bool{}}
		s.jobs = append(s.jobs, j)
		j.entry.retryBudget(j).RecordRequest()
		j.entry.send(j)
		s.schedule(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.schedule(0, next)
}

func (s *sim) run(end time.Duration) {
	for s.eventQueue.Len() > 0 && s.eventQueue[0].due <= end {
		e := heap.Pop(&s.eventQueue).(event)
		s.now = e.due
		e.fn()
	}
}

func (e *simEntry) send(j *job) {
	s := e.sim
	region := fmt.Sprint(e.region)
	for k := range e.endpoints {
		e.endpoints[k].ReportAge = s.now - e.lastReport
	}
	i, err := s.policy.choose(e, route.Request{Model: "m", Version: "1", DataCentre: region, Region: region, Tried: j.tried, BodyBytes: j.bodyBytes,
		AnswerTime: e.avgAnswerTime})
	if err != nil {
		j.rejected = true
		return
	}
	j.attempts++
	j.sentAt = s.now
	j.crossedRegion = e.endpoints[i].Region != region
	j.tried[e.endpoints[i].Name] = true
	e.endpoints[i].Sent++
	s.servers[i].arrive(j)
}

// budget returns the retry budget of the job's workspace: a shared one would let
// a workspace that is refused often use up the retries of the others.
func (e *simEntry) retryBudget(j *job) *route.RetryBudget {
	b := e.retryBudgets[j.workspace]
	if b == nil {
		b = route.NewRetryBudget()
		e.retryBudgets[j.workspace] = b
	}
	return b
}

// finished takes a job off the entry's own count.
func (e *simEntry) decrementSent(j *job, server int) {
	if j.sentAt >= e.lastReport {
		e.endpoints[server].Sent = max(0, e.endpoints[server].Sent-1)
	}
}

// resend gives a job another attempt if the policy allows it.
func (s *sim) resend(j *job) {
	if j.rejected = s.now >= j.deadline || !s.policy.retry(j); !j.rejected {
		s.schedule(retryDelay, func() { j.entry.send(j) })
	}
}

// setAlive tells every entry whether the link to a server is up.
func (s *sim) setAlive(server int, alive bool) {
	for _, e := range s.entries {
		e.endpoints[server].Alive = alive
	}
}

// warmAll gives every server an agent that has reached its warm limit.
func (s *sim) warmAll() {
	for _, srv := range s.servers {
		srv.ctrl = newWarmController(s.policy.config)
	}
}
