// Package routing measures packages route and admission together on a simulated
// fleet (design section 1.3). Time is virtual, so that results depend on the seed
// only.
package routing

import (
	"time"

	"hyssoploom/admission"
)

// The engine model of the measurements: the first token takes 40 ms plus 8 ms for
// each concurrent request; answer lengths are log-normal. A cold engine bears 2
// requests; above that each step of every request takes 20 times as long, and
// nothing counts towards its warm state, which it reaches after 20 completions.
const (
	firstTokenBase     = 40 * time.Millisecond
	firstTokenStep     = 8 * time.Millisecond
	engineColdLimit    = 2
	engineWarmLimit    = 16
	engineWarmAfter    = 20
	coldOverloadFactor = 20
	tokensPerStep      = 10 // tokens per step of the simulation
	reportInterval     = time.Second
	expireInterval     = 100 * time.Millisecond
	retryDelay         = 50 * time.Millisecond
)

// Work describes the answers of a run.
type Workload struct {
	meanTokens int
	tokenTime  time.Duration
	deadline   time.Duration // the caller leaves
}

var (
	// LongAnswers are those of the design, section 1.4: 960,000 tokens per 4,800
	// requests, and under 60 ms between tokens.
	LongAnswers = Workload{meanTokens: 200, tokenTime: 50 * time.Millisecond, deadline: time.Minute}
	// ShortAnswers end within about one interval of the load reports.
	ShortAnswers = Workload{meanTokens: 100, tokenTime: 10 * time.Millisecond, deadline: 30 * time.Second}
)

// capacity is the rate that one warm engine completes with all slots busy.
func (w Workload) capacity() float64 {
	d := firstTokenBase + engineWarmLimit*firstTokenStep + time.Duration(w.meanTokens)*w.tokenTime
	return engineWarmLimit / d.Seconds()
}

// server is one engine with its agent.
type server struct {
	sim               *sim
	index             int
	ctrl              *admission.Controller
	waiting           map[uint64]*job
	running           map[uint64]*job
	cold              bool
	warmUpCompletions int // completions towards the warm state
	startsAboveLimit  int // starts that found a cold engine at its limit
	warmAt            time.Duration
}

func (srv *server) arrive(j *job) {
	s := srv.sim
	srv.waiting[j.id] = j
	t := admission.Ticket{ID: j.id, Workspace: j.workspace, Deadline: j.deadline}
	if s.oneFlow {
		t.Workspace = ""
	}
	verdict := srv.ctrl.Arrive(s.now, t)
	srv.apply(admission.Changes{Drop: verdict.Drop})
	switch verdict.Outcome {
	case admission.Run:
		srv.start(j)
	case admission.Refused:
		srv.refuse(j)
	}
}

func (srv *server) apply(ch admission.Changes) {
	for _, d := range ch.Drop {
		srv.refuse(srv.waiting[d.ID])
	}
	for _, id := range ch.Start {
		srv.start(srv.waiting[id])
	}
}

func (srv *server) refuse(j *job) {
	delete(srv.waiting, j.id)
	j.entry.decrementSent(j, srv.index)
	srv.sim.resend(j)
}

func (srv *server) start(j *job) {
	delete(srv.waiting, j.id)
	j.started = true
	srv.running[j.id] = j
	if srv.cold && len(srv.running) > engineColdLimit {
		srv.startsAboveLimit++
		srv.warmUpCompletions = 0
	}
	srv.scheduleStep(firstTokenBase+time.Duration(len(srv.running))*firstTokenStep, func() {
		if srv.running[j.id] == nil {
			return
		}
		j.firstToken = srv.sim.now - j.arrived
		srv.apply(srv.ctrl.FirstToken(srv.sim.now, j.id))
		srv.generate(j, j.tokens)
	})
	srv.sim.schedule(j.deadline-srv.sim.now, func() { srv.finish(j, false) })
}

// step waits for the time that a piece of work takes at the present load.
func (srv *server) scheduleStep(d time.Duration, fn func()) {
	if srv.cold && len(srv.running) > engineColdLimit {
		d *= coldOverloadFactor
	}
	srv.sim.schedule(d, fn)
}

func (srv *server) generate(j *job, remaining int) {
	if remaining <= 0 {
		srv.finish(j, true)
		return
	}
	n := min(remaining, tokensPerStep)
	srv.scheduleStep(time.Duration(n)*srv.sim.workload.tokenTime, func() {
		if srv.running[j.id] != nil {
			srv.generate(j, remaining-n)
		}
	})
}

// end completes a job, or cuts it because the caller has left.
func (srv *server) finish(j *job, ok bool) {
	if srv.running[j.id] == nil {
		return
	}
	s := srv.sim
	if ok {
		j.total = s.now - j.arrived
		j.entry.avgAnswerTime += (j.total - j.entry.avgAnswerTime) / 20
		if len(srv.running) <= engineColdLimit || !srv.cold {
			srv.warmUpCompletions++
		}
		if srv.cold && srv.warmUpCompletions >= engineWarmAfter {
			srv.cold, srv.warmAt = false, s.now
		}
	}
	delete(srv.running, j.id)
	j.entry.decrementSent(j, srv.index)
	srv.apply(srv.ctrl.Done(s.now, admission.Result{ID: j.id, OK: ok}))
}
