// Package routing measures packages route and admission together on a simulated
// fleet (design, section 1.3). Time is virtual, so the results depend only on the
// seed.
package routing

import (
	"time"

	"hyssoploom/admission"
)

// Parameters of the engine model. The first token takes firstTokenBase plus
// firstTokenStep for each concurrent request; answer lengths are log-normal. A
// cold engine handles engineColdLimit concurrent requests. Above that limit every
// step takes coldOverloadFactor times as long and completions do not count towards
// the engineWarmAfter completions after which the engine is warm.
const (
	firstTokenBase     = 40 * time.Millisecond
	firstTokenStep     = 8 * time.Millisecond
	engineColdLimit    = 2
	engineWarmLimit    = 16
	engineWarmAfter    = 20
	coldOverloadFactor = 20
	tokensPerStep      = 10
	reportInterval     = time.Second
	expireInterval     = 100 * time.Millisecond
	retryDelay         = 50 * time.Millisecond
)

// Workload describes the answers that the requests of a run ask for.
type Workload struct {
	meanTokens int
	tokenTime  time.Duration
	deadline   time.Duration // from arrival until the caller disconnects
}

var (
	// LongAnswers follows section 1.4 of the design: 960,000 tokens per 4,800
	// requests and less than 60 ms between tokens.
	LongAnswers = Workload{meanTokens: 200, tokenTime: 50 * time.Millisecond, deadline: time.Minute}
	// ShortAnswers has answers that complete within about one interval of the load
	// reports.
	ShortAnswers = Workload{meanTokens: 100, tokenTime: 10 * time.Millisecond, deadline: 30 * time.Second}
)

// capacity returns the requests per second that one warm engine completes with
// all slots busy.
func (w Workload) capacity() float64 {
	d := firstTokenBase + engineWarmLimit*firstTokenStep + time.Duration(w.meanTokens)*w.tokenTime
	return engineWarmLimit / d.Seconds()
}

// server simulates an engine and the admission controller of its agent.
type server struct {
	sim               *sim
	index             int
	ctrl              *admission.Controller
	waiting           map[uint64]*job
	running           map[uint64]*job
	cold              bool
	warmUpCompletions int // since the last overload
	startsAboveLimit  int // requests started while the cold engine was at its limit
	warmAt            time.Duration
}

// arrive passes a job to the admission controller, which starts, queues or refuses
// it.
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

// apply refuses and starts the waiting jobs that the admission controller names.
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

// start runs a job on the engine until it completes or reaches its deadline.
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

// scheduleStep calls fn after a step that takes d, or coldOverloadFactor times as
// long on an overloaded cold engine.
func (srv *server) scheduleStep(d time.Duration, fn func()) {
	if srv.cold && len(srv.running) > engineColdLimit {
		d *= coldOverloadFactor
	}
	srv.sim.schedule(d, fn)
}

// generate simulates the remaining tokens of an answer, tokensPerStep at a time.
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

// finish ends a running job: it has completed, or the caller has disconnected at
// the deadline.
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
