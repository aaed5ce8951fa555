// Package attempt decides whether a request may be sent to another backend server.
// All retry decisions are made here, for all dialects: calls of the platform's
// routes, chat completions and plain services. It does no I/O.
package attempt

// Outcome is the result of one send of a request.
type Outcome int

// Outcomes of a send. Outcome.String depends on their order.
const (
	// Delivered means that the caller has the answer, or as much of it as there
	// will be.
	Delivered Outcome = iota
	// NotSent means that no backend server can have received the request.
	NotSent
	// NotRun means that the backend server reported that it has not run the request
	// and will not.
	NotRun
	// Failed means that the backend server ran the request and answered with an
	// error.
	Failed
	// Broken means that the answer was lost; the request may have run.
	Broken
	// Escalated means that the answer is discarded in favour of that of a better
	// model; the caller has received nothing of it.
	Escalated
	// Ended means that the request may have run and is not sent again, because the
	// caller has left, the deadline has passed, the failure is final or another attempt
	// was answered first.
	Ended
	// EndedUnsent means that the request is not sent again for one of the reasons of
	// Ended, and that no backend server can have received this send.
	EndedUnsent
	// Stale means that the configuration is too old to send the request.
	Stale
)

// Outcomes lists all outcomes.
var Outcomes = []Outcome{Delivered, NotSent, NotRun, Failed, Broken, Escalated, Ended, EndedUnsent, Stale}

func (o Outcome) String() string {
	return [...]string{"delivered", "not_sent", "not_run", "failed", "broken", "unsure", "ended", "ended", "stale"}[o]
}

// MayHaveRun reports whether a backend server may have run this send.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case NotSent, NotRun, EndedUnsent, Stale:
		return false
	}
	return true
}

// Policy limits how often a request may be sent.
type Policy struct {
	// Repeatable means that the request may run more than once.
	Repeatable bool
	// MaxRuns bounds the sends that may have run, and MaxRefusals the sends that a
	// backend server reported as not run. 0 means no limit.
	MaxRuns, MaxRefusals int
}

// Progress counts the sends of one request.
type Progress struct {
	// Received counts the sends that a backend server received or may have
	// received, Runs those of them that may have run, and Refusals those that have
	// not.
	Received, Runs, Refusals int
}

// Add counts a send by its outcome.
func (p *Progress) Add(o Outcome) {
	switch {
	case o.MayHaveRun():
		p.Received++
		p.Runs++
	case o == NotRun:
		p.Received++
		p.Refusals++
	}
}

// MayHaveRun reports whether a backend server may have run the request. If so, a
// refusal must not claim that the request was not run.
func (p *Progress) MayHaveRun() bool { return p.Runs > 0 }

// MayRetry reports whether a request may be sent again after its last send ended
// with o. p includes that send.
func (policy Policy) MayRetry(p Progress, o Outcome) bool {
	switch o {
	case NotSent:
		return true
	case NotRun:
		return policy.MaxRefusals == 0 || p.Refusals < policy.MaxRefusals
	case Failed, Broken:
		return policy.Repeatable && policy.hasRunsLeft(p)
	case Escalated:
		return policy.hasRunsLeft(p)
	}
	return false
}

func (policy Policy) hasRunsLeft(p Progress) bool {
	return policy.MaxRuns == 0 || p.Runs < policy.MaxRuns
}

// MayAddSecond reports whether a second attempt may be sent while the first is not
// answered. p includes neither of them; if both may run, or both are refused, the limits
// still hold.
func (policy Policy) MayAddSecond(p Progress) bool {
	return policy.Repeatable && (policy.MaxRuns == 0 || p.Runs+2 <= policy.MaxRuns) &&
		(policy.MaxRefusals == 0 || p.Refusals+2 <= policy.MaxRefusals)
}

// Sends holds the outcome of one send, or of a first attempt and a second one that was
// sent before the first had ended.
type Sends struct {
	First, Second Outcome
	// Both is set if there was a second attempt.
	Both bool
}

// precedence orders the outcomes by which of two sends decides how a request ends.
var precedence = [...]int{Delivered: 0, Ended: 1, EndedUnsent: 2, Stale: 3, Escalated: 4, Failed: 5, Broken: 6, NotRun: 7, NotSent: 8}

// Decisive returns the outcome that decides how the request ends if it is not sent again.
func (s Sends) Decisive() Outcome {
	if s.Both && precedence[s.Second] < precedence[s.First] {
		return s.Second
	}
	return s.First
}

// count adds the sends to p.
func (s Sends) count(p *Progress) {
	p.Add(s.First)
	if s.Both {
		p.Add(s.Second)
	}
}

// mayRetry reports whether the request may be sent again after both sends have ended.
func (policy Policy) mayRetry(p Progress, s Sends) bool {
	return policy.MayRetry(p, s.First) && (!s.Both || policy.MayRetry(p, s.Second))
}

// Run sends a request until it is answered or must not be sent again. next makes
// one send; p does not include that send yet. It returns ok false when no backend
// server is available or the retry budget is used up. last is the outcome of the
// last send, and sent is false if there was none.
func Run(policy Policy, p *Progress, next func() (o Outcome, ok bool)) (last Outcome, sent bool) {
	return RunSends(policy, p, func() (Sends, bool) {
		o, ok := next()
		return Sends{First: o}, ok
	})
}

// RunSends is Run for requests that may be sent to two backend servers at once. next
// returns when all of its sends have ended; it may make a second one if MayAddSecond
// allows it. last is the decisive outcome of the last sends.
func RunSends(policy Policy, p *Progress, next func() (s Sends, ok bool)) (last Outcome, sent bool) {
	for {
		s, ok := next()
		if !ok {
			return last, sent
		}
		last, sent = s.Decisive(), true
		s.count(p)
		if !policy.mayRetry(*p, s) {
			return last, sent
		}
	}
}
