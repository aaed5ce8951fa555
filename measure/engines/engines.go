// Package engines plays model engines in virtual time, to measure placing and the choice
// of model by what callers get. An engine reads one prompt at a time, in chunks, and
// generates one token of each running request after each chunk; while it reads nothing,
// tokens follow each other much faster. So each long prompt slows all answers of its
// engine.
package engines

import (
	"math/rand/v2"
	"time"

	"hyssoploom/cascade"
	"hyssoploom/placing"
)

const (
	// chunkTime is the time in which an engine reads a chunk, and tokenTime the time
	// between two tokens while it reads nothing.
	chunkTime = 25 * time.Millisecond
	tokenTime = 4 * time.Millisecond
	// smallRead and largeRead are the times per 1,000 prompt tokens of the small and the
	// large model.
	smallRead = 5 * time.Millisecond
	largeRead = 50 * time.Millisecond
)

// Load is a load of requests for drafts with long prompts and answers of very different
// lengths.
type Load struct {
	Engines int
	// PerSecond is the mean number of requests per second and engine.
	PerSecond float64
	Duration  time.Duration
	// StartWithin and CompleteWithin are the times within which an answer has to begin
	// and to be complete.
	StartWithin, CompleteWithin time.Duration
}

// Decisions are the decisions under test.
type Decisions struct {
	// Place returns the index of the engine for a request.
	Place func([]placing.Candidate, *rand.Rand) int
	// Escalate reports whether the large model is asked.
	Escalate func(cascade.EscalationInput) bool
}

// Result counts the requests by what their callers got.
type Result struct {
	Requests int
	// InTime answers began and were complete in time; Good are those of them that the
	// model was able to give.
	InTime, Good int
	// Incomplete answers were cut off at the deadline.
	Incomplete int
	// Escalated requests were asked of the large model.
	Escalated int
}

// request is a request in progress.
type request struct {
	arrived time.Duration
	prompt  float64 // in 1,000 tokens
	tokens  int     // left to generate
	chance  float64 // that the small model's answer is good, in percent
	draw    float64 // the answer is good if this is below chance
	read    time.Duration
	large   bool
	engine  *engine
	inTime  bool
}

// engine is one engine.
type engine struct {
	reading []*request // prompts in order; the first is being read
	running []*request
}

func (e *engine) pending() (d time.Duration) {
	for _, r := range e.reading {
		d += r.read
	}
	return d
}

// Play plays a load and returns what callers got.
func Play(l Load, d Decisions, seed uint64) Result {
	rng := rand.New(rand.NewPCG(seed, 5))
	p := &player{load: l, decisions: d, rng: rng, engines: make([]*engine, l.Engines)}
	for i := range p.engines {
		p.engines[i] = &engine{}
	}
	next := time.Duration(0)
	for p.now < l.Duration+l.CompleteWithin {
		for next <= p.now && next < l.Duration {
			p.arrive(next)
			next += time.Duration(rng.ExpFloat64() / (l.PerSecond * float64(l.Engines)) * float64(time.Second))
		}
		p.now += chunkTime
		for _, e := range p.engines {
			p.step(e)
		}
	}
	return p.result
}

type player struct {
	load      Load
	decisions Decisions
	rng       *rand.Rand
	engines   []*engine
	now       time.Duration
	result    Result
}

func (p *player) arrive(at time.Duration) {
	r := &request{
		arrived: at, prompt: 4 + p.rng.ExpFloat64()*12, tokens: 20 + int(min(p.rng.ExpFloat64()*100, 455)),
		chance: p.rng.Float64() * 100, draw: p.rng.Float64() * 100,
	}
	p.result.Requests++
	p.place(r, smallRead)
}

// candidates describes the engines to the decisions under test.
func (p *player) candidates(r *request, read time.Duration) []placing.Candidate {
	candidates := make([]placing.Candidate, len(p.engines))
	for i, e := range p.engines {
		candidates[i] = placing.Candidate{
			Pending: e.pending(), Running: len(e.running) + len(e.reading), Slots: 64,
			Prefill: time.Duration(r.prompt * float64(read)),
		}
	}
	return candidates
}

func (p *player) place(r *request, read time.Duration) {
	r.read = time.Duration(r.prompt * float64(read))
	r.engine = p.engines[p.decisions.Place(p.candidates(r, read), p.rng)]
	r.engine.reading = append(r.engine.reading, r)
}

// step plays an engine for chunkTime.
func (p *player) step(e *engine) {
	tokens := int(chunkTime / tokenTime)
	if len(e.reading) > 0 {
		tokens = 1
		r := e.reading[0]
		if r.read -= chunkTime; r.read <= 0 {
			e.reading = e.reading[1:]
			p.answer(r)
		}
	}
	running := e.running[:0]
	for _, r := range e.running {
		r.tokens -= tokens
		switch {
		case r.tokens <= 0:
			p.finish(r)
		case p.now-r.arrived >= p.load.CompleteWithin:
			p.result.Incomplete++
		default:
			running = append(running, r)
		}
	}
	e.running = running
}

// answer begins the answer to a prompt that has been read, or asks the large model.
func (p *player) answer(r *request) {
	if !r.large && p.escalate(r) {
		r.large = true
		p.result.Escalated++
		p.place(r, largeRead)
		return
	}
	r.inTime = p.now-r.arrived <= p.load.StartWithin
	r.engine.running = append(r.engine.running, r)
}

func (p *player) escalate(r *request) bool {
	candidates := p.candidates(r, largeRead)
	best := placing.Best(candidates)
	return p.decisions.Escalate(cascade.EscalationInput{
		Confidence: int(r.chance), Elapsed: p.now - r.arrived,
		Pending: placing.Wait(&candidates[best]), Prefill: candidates[best].Prefill, Backlog: placing.Backlog(candidates),
		Decode:      time.Duration(r.tokens) * chunkTime / 2,
		StartWithin: p.load.StartWithin, CompleteWithin: p.load.CompleteWithin,
	})
}

func (p *player) finish(r *request) {
	if !r.inTime || p.now-r.arrived > p.load.CompleteWithin {
		return
	}
	p.result.InTime++
	if r.large || r.draw < r.chance {
		p.result.Good++
	}
}
