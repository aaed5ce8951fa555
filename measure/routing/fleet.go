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

// event is a function call at a virtual time. Events that are due at the same time
// run in the order of seq.
type event struct {
	due time.Duration
	seq int
	fn  func()
}

// eventHeap implements heap.Interface; the event that is due first is on top.
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

// job is a request with its progress.
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
	sentAt        time.Duration // time of the last attempt
	started       bool
	firstToken    time.Duration // latency of the first token; 0 without one
	total         time.Duration // latency of the whole answer; 0 if it did not complete
	crossedRegion bool
	rejected      bool // refused without another attempt
}

// simEntry simulates an entry. Its endpoints hold the last load report of each
// server and the requests sent since.
type simEntry struct {
	sim           *sim
	region        int
	endpoints     []route.Endpoint
	lastReport    time.Duration
	retryBudgets  map[string]*route.RetryBudget // by workspace
	avgAnswerTime time.Duration                 // exponential moving average
}

// sim simulates a fleet in virtual time.
type sim struct {
	now        time.Duration
	seq        int
	eventQueue eventHeap
	rng        *rand.Rand
	workload   Workload
	policy     policy
	oneFlow    bool // agents treat all requests as those of one workspace
	servers    []*server
	entries    []*simEntry
	jobs       []*job
}

// schedule calls fn after d.
func (s *sim) schedule(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.eventQueue, event{s.now + d, s.seq, fn})
}

// newSim returns a fleet whose servers and entries are spread evenly over the
// regions.
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

// publishReports updates every entry with the load report of every server, and
// repeats that at each reportInterval.
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

// expireRequests drops the queued jobs whose deadline has passed, and repeats that
// at each expireInterval.
func (s *sim) expireRequests() {
	for _, srv := range s.servers {
		srv.apply(srv.ctrl.Expire(s.now))
	}
	s.schedule(expireInterval, s.expireRequests)
}

// generateArrivals sends requests of one workspace until end, as a Poisson process
// with the given rate per second.
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

// run executes the events that are due by end.
func (s *sim) run(end time.Duration) {
	for s.eventQueue.Len() > 0 && s.eventQueue[0].due <= end {
		e := heap.Pop(&s.eventQueue).(event)
		s.now = e.due
		e.fn()
	}
}

// send starts an attempt on the server that the policy chooses, or rejects the job
// if there is none.
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

// retryBudget returns the retry budget of the job's workspace. With a budget shared
// by all workspaces, one whose requests are often refused would use up the retries
// of the others.
func (e *simEntry) retryBudget(j *job) *route.RetryBudget {
	b := e.retryBudgets[j.workspace]
	if b == nil {
		b = route.NewRetryBudget()
		e.retryBudgets[j.workspace] = b
	}
	return b
}

// decrementSent removes a job from the entry's count of requests sent since the
// last load report. Jobs sent earlier are part of the report.
func (e *simEntry) decrementSent(j *job, server int) {
	if j.sentAt >= e.lastReport {
		e.endpoints[server].Sent = max(0, e.endpoints[server].Sent-1)
	}
}

// resend schedules another attempt of a refused job if its deadline has not passed
// and the policy allows a retry.
func (s *sim) resend(j *job) {
	if j.rejected = s.now >= j.deadline || !s.policy.retry(j); !j.rejected {
		s.schedule(retryDelay, func() { j.entry.send(j) })
	}
}

// setAlive sets on every entry whether the link to a server is up.
func (s *sim) setAlive(server int, alive bool) {
	for _, e := range s.entries {
		e.endpoints[server].Alive = alive
	}
}

// warmAll replaces every admission controller by one that has reached its warm
// limit.
func (s *sim) warmAll() {
	for _, srv := range s.servers {
		srv.ctrl = newWarmController(s.policy.config)
	}
}
