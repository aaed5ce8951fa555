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
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// job is one request of a caller.
type job struct {
	id        uint64
	workspace string
	entry     *simEntry
	tokens    int
	bytes     int
	arrived   time.Duration
	deadline  time.Duration
	attempts  int
	tried     map[string]bool
	sentAt    time.Duration // of the last attempt
	started   bool
	first     time.Duration // latency of the first token; 0 without one
	total     time.Duration // latency of the whole answer; 0 when it is not complete
	crossed   bool
	gone      bool // refused for good
}

// simEntry is one entry with its view of the servers.
type simEntry struct {
	sim      *sim
	region   int
	eps      []route.Endpoint
	reported time.Duration
	budgets  map[string]*route.RetryBudget // by workspace
	answer   time.Duration                 // moving average of the answer time
}

// sim is a fleet in virtual time.
type sim struct {
	now     time.Duration
	seq     int
	queue   events
	rng     *rand.Rand
	work    Work
	policy  policy
	oneFlow bool // agents see all requests as those of one workspace
	servers []*server
	entries []*simEntry
	jobs    []*job
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, do})
}

// newSim returns servers and entries spread evenly over the regions.
func newSim(seed uint64, servers, entries, regions int, w Work, p policy) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), work: w, policy: p}
	for i := range servers {
		s.servers = append(s.servers, &server{sim: s, index: i, ctrl: admission.New(p.config), waiting: map[uint64]*job{}, running: map[uint64]*job{}})
	}
	for i := range entries {
		e := &simEntry{sim: s, region: i % regions, budgets: map[string]*route.RetryBudget{}}
		for k := range servers {
			e.eps = append(e.eps, route.Endpoint{Name: fmt.Sprint(k), DataCentre: fmt.Sprint(k % regions),
				Region: fmt.Sprint(k % regions), Alive: true, Loaded: []string{"m@1"}})
		}
		s.entries = append(s.entries, e)
	}
	s.after(0, s.report)
	s.after(0, s.expire)
	return s
}

// report gives every entry a fresh load report of every server.
func (s *sim) report() {
	for _, e := range s.entries {
		e.reported = s.now
		for i, srv := range s.servers {
			r, ep := srv.ctrl.Report(), &e.eps[i]
			ep.Running, ep.Queued, ep.Limit, ep.Cold, ep.Sent = r.Running, r.Queued, r.Limit, r.Cold, 0
		}
	}
	s.after(reportEvery, s.report)
}

func (s *sim) expire() {
	for _, srv := range s.servers {
		srv.apply(srv.ctrl.Expire(s.now))
	}
	s.after(expireEvery, s.expire)
}

// arrivals sends requests of one workspace at a rate per second until the end.
func (s *sim) arrivals(workspace string, rate float64, end time.Duration) {
	var next func()
	next = func() {
		if s.now >= end {
			return
		}
		j := &job{id: uint64(len(s.jobs) + 1), workspace: workspace, entry: s.entries[s.rng.IntN(len(s.entries))],
			tokens:  1 + int(float64(s.work.meanTokens)*math.Exp(s.rng.NormFloat64()*0.8-0.32)),
			bytes:   500 + int(4000*math.Exp(s.rng.NormFloat64()*1.2)),
			arrived: s.now, deadline: s.now + s.work.deadline, tried: map[string]bool{}}
		s.jobs = append(s.jobs, j)
		j.entry.budget(j).RecordRequest()
		j.entry.send(j)
		s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(0, next)
}

func (s *sim) run(end time.Duration) {
	for s.queue.Len() > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

func (e *simEntry) send(j *job) {
	s := e.sim
	region := fmt.Sprint(e.region)
	for k := range e.eps {
		e.eps[k].ReportAge = s.now - e.reported
	}
	i, err := s.policy.choose(e, route.Request{Model: "m", Version: "1", DataCentre: region, Region: region, Tried: j.tried, BodyBytes: j.bytes,
		AnswerTime: e.answer})
	if err != nil {
		j.gone = true
		return
	}
	j.attempts++
	j.sentAt = s.now
	j.crossed = e.eps[i].Region != region
	j.tried[e.eps[i].Name] = true
	e.eps[i].Sent++
	s.servers[i].arrive(j)
}

// budget returns the retry budget of the job's workspace: a shared one would let
// a workspace that is refused often use up the retries of the others.
func (e *simEntry) budget(j *job) *route.RetryBudget {
	b := e.budgets[j.workspace]
	if b == nil {
		b = route.NewRetryBudget()
		e.budgets[j.workspace] = b
	}
	return b
}

// finished takes a job off the entry's own count.
func (e *simEntry) finished(j *job, server int) {
	if j.sentAt >= e.reported {
		e.eps[server].Sent = max(0, e.eps[server].Sent-1)
	}
}

// resend gives a job another attempt if the policy allows it.
func (s *sim) resend(j *job) {
	if j.gone = s.now >= j.deadline || !s.policy.retry(j); !j.gone {
		s.after(retryDelay, func() { j.entry.send(j) })
	}
}

// setAlive tells every entry whether the link to a server is up.
func (s *sim) setAlive(server int, alive bool) {
	for _, e := range s.entries {
		e.eps[server].Alive = alive
	}
}

// warmAll gives every server an agent that has reached its warm limit.
func (s *sim) warmAll() {
	for _, v := range s.servers {
		v.ctrl = warmController(s.policy.config)
	}
}
