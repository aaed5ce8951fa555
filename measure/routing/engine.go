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
	firstTokenBase = 40 * time.Millisecond
	firstTokenStep = 8 * time.Millisecond
	engineCold     = 2
	engineWarm     = 16
	engineWarmAt   = 20
	collapse       = 20
	chunkTokens    = 10 // tokens per step of the simulation
	reportEvery    = time.Second
	expireEvery    = 100 * time.Millisecond
	retryDelay     = 50 * time.Millisecond
)

// Work describes the answers of a run.
type Work struct {
	meanTokens int
	tokenTime  time.Duration
	deadline   time.Duration // the caller leaves
}

var (
	// LongAnswers are those of the design, section 1.4: 960,000 tokens per 4,800
	// requests, and under 60 ms between tokens.
	LongAnswers = Work{meanTokens: 200, tokenTime: 50 * time.Millisecond, deadline: time.Minute}
	// ShortAnswers end within about one interval of the load reports.
	ShortAnswers = Work{meanTokens: 100, tokenTime: 10 * time.Millisecond, deadline: 30 * time.Second}
)

// capacity is the rate that one warm engine completes with all slots busy.
func (w Work) capacity() float64 {
	d := firstTokenBase + engineWarm*firstTokenStep + time.Duration(w.meanTokens)*w.tokenTime
	return engineWarm / d.Seconds()
}

// server is one engine with its agent.
type server struct {
	sim      *sim
	index    int
	ctrl     *admission.Controller
	waiting  map[uint64]*job
	running  map[uint64]*job
	cold     bool
	progress int // completions towards the warm state
	above    int // starts that found a cold engine at its limit
	warmAt   time.Duration
}

func (v *server) arrive(j *job) {
	s := v.sim
	v.waiting[j.id] = j
	t := admission.Ticket{ID: j.id, Workspace: j.workspace, Deadline: j.deadline}
	if s.oneFlow {
		t.Workspace = ""
	}
	verdict := v.ctrl.Arrive(s.now, t)
	v.apply(admission.Changes{Drop: verdict.Drop})
	switch verdict.Outcome {
	case admission.Run:
		v.start(j)
	case admission.Refused:
		v.refuse(j)
	}
}

func (v *server) apply(ch admission.Changes) {
	for _, d := range ch.Drop {
		v.refuse(v.waiting[d.ID])
	}
	for _, id := range ch.Start {
		v.start(v.waiting[id])
	}
}

func (v *server) refuse(j *job) {
	delete(v.waiting, j.id)
	j.entry.finished(j, v.index)
	v.sim.resend(j)
}

func (v *server) start(j *job) {
	delete(v.waiting, j.id)
	j.started = true
	v.running[j.id] = j
	if v.cold && len(v.running) > engineCold {
		v.above++
		v.progress = 0
	}
	v.step(firstTokenBase+time.Duration(len(v.running))*firstTokenStep, func() {
		if v.running[j.id] == nil {
			return
		}
		j.first = v.sim.now - j.arrived
		v.apply(v.ctrl.FirstToken(v.sim.now, j.id))
		v.generate(j, j.tokens)
	})
	v.sim.after(j.deadline-v.sim.now, func() { v.end(j, false) })
}

// step waits for the time that a piece of work takes at the present load.
func (v *server) step(d time.Duration, do func()) {
	if v.cold && len(v.running) > engineCold {
		d *= collapse
	}
	v.sim.after(d, do)
}

func (v *server) generate(j *job, left int) {
	if left <= 0 {
		v.end(j, true)
		return
	}
	n := min(left, chunkTokens)
	v.step(time.Duration(n)*v.sim.work.tokenTime, func() {
		if v.running[j.id] != nil {
			v.generate(j, left-n)
		}
	})
}

// end completes a job, or cuts it because the caller has left.
func (v *server) end(j *job, ok bool) {
	if v.running[j.id] == nil {
		return
	}
	s := v.sim
	if ok {
		j.total = s.now - j.arrived
		j.entry.answer += (j.total - j.entry.answer) / 20
		if len(v.running) <= engineCold || !v.cold {
			v.progress++
		}
		if v.cold && v.progress >= engineWarmAt {
			v.cold, v.warmAt = false, s.now
		}
	}
	delete(v.running, j.id)
	j.entry.finished(j, v.index)
	v.apply(v.ctrl.Done(s.now, admission.Result{ID: j.id, OK: ok}))
}
