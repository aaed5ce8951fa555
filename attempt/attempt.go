// Package attempt decides whether a request may be sent to another backend
// server. It is the only place that does, for all dialects: calls of the platform's
// routes, chat completions and plain services. It is pure and knows no network.
package attempt

// Outcome is how one send of a request ended.
type Outcome int

// The outcomes.
const (
	// Delivered: the caller has the answer, or as much as there will be.
	Delivered Outcome = iota
	// NotSent: no backend server can have seen the request.
	NotSent
	// NotRun: the backend server said that it has not run the request and will not.
	NotRun
	// Failed: the backend server ran the request and answered with a failure.
	Failed
	// Broken: the answer was lost; the request may have run.
	Broken
	// Unsure: the answer is dropped for that of a better model; the caller has
	// received nothing of it.
	Unsure
	// Ended: the caller has left, the time is over or the failure is final, after
	// the request may have run.
	Ended
	// EndedUnsent is Ended before a backend server can have seen this send.
	EndedUnsent
	// Stale: the configuration is no longer fresh enough to send the request on.
	Stale
)

// Outcomes are all outcomes.
var Outcomes = []Outcome{Delivered, NotSent, NotRun, Failed, Broken, Unsure, Ended, EndedUnsent, Stale}

func (o Outcome) String() string {
	return [...]string{"delivered", "not_sent", "not_run", "failed", "broken", "unsure", "ended", "ended", "stale"}[o]
}

// MayHaveRun tells whether a backend server may have run the send.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case NotSent, NotRun, EndedUnsent, Stale:
		return false
	}
	return true
}

// Policy says how often a request may be sent.
type Policy struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// MaxRuns bounds the sends that may have run, MaxRefusals those that a backend
	// server said it did not run; 0 is no limit.
	MaxRuns, MaxRefusals int
}

// Progress counts the sends of one request.
type Progress struct {
	// Received counts the sends that a backend server received or may have, Runs
	// those of them that may have run, and Refusals those that have not.
	Received, Runs, Refusals int
}

// Add counts a send.
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

// MayHaveRun tells whether a backend server may have run the request: a refusal
// must not promise otherwise.
func (p *Progress) MayHaveRun() bool { return p.Runs > 0 }

// MayRetry tells whether a request may be sent again after its last send, which p
// includes, ended with o.
func (policy Policy) MayRetry(p Progress, o Outcome) bool {
	switch o {
	case NotSent:
		return true
	case NotRun:
		return policy.MaxRefusals == 0 || p.Refusals < policy.MaxRefusals
	case Failed, Broken:
		return policy.Repeatable && policy.hasRuns(p)
	case Unsure:
		return policy.hasRuns(p)
	}
	return false
}

func (policy Policy) hasRuns(p Progress) bool { return policy.MaxRuns == 0 || p.Runs < policy.MaxRuns }

// Run sends a request until it is answered or must not be sent again. next makes
// one send, with p as it was before; ok is false when there is no backend server
// for it, or the budget for repeated sends is used up. last is the outcome of the
// last send and sent is false when there was none.
func Run(policy Policy, p *Progress, next func() (o Outcome, ok bool)) (last Outcome, sent bool) {
	for {
		o, ok := next()
		if !ok {
			return last, sent
		}
		last, sent = o, true
		p.Add(o)
		if !policy.MayRetry(*p, o) {
			return last, sent
		}
	}
}
