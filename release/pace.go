package release

import "time"

const (
	// An answer counts as slow from these multiples of the pace of the fastest
	// answers, and of the expected time to its head. About a quarter of the answers
	// of a loaded version are slow by this measure, nearly all of one that takes four
	// times as long.
	slowPace = 3.2
	slowHead = 2.2
	// leastExpected is the expected time from which the head of an answer is looked
	// at.
	leastExpected = 50 * time.Millisecond
	// eventMargin and wholeMargin are added for very short times.
	eventMargin = 5 * time.Millisecond
	wholeMargin = 20 * time.Millisecond
	// lightRunning and lightWait bound the load of a backend server at which the
	// pace of an answer says something about its version.
	lightRunning = 6
	lightWait    = 80 * time.Millisecond
	// paceStep is the relative change of the pace of the fastest answers by one
	// answer, and paceQuantile the part of the answers that are faster than it.
	paceStep     = 0.05
	paceQuantile = 0.2
	// leastEvents is the number of events from which their pace is looked at.
	leastEvents = 3
)

// Timing is how fast a backend server answered one request.
type Timing struct {
	// Kind groups answers that take alike: a model, or a route of a plain service.
	Kind string
	// Wait is the expected time before the work begins and Running the requests
	// that the server had, both when the request was sent.
	Wait    time.Duration
	Running int
	// Expected is the expected time to the head of the answer; 0 when unknown.
	Expected time.Duration
	// First is the time to the head of the answer, or the time until the request
	// was given up; Rest is the time after it, in which Events came.
	First, Rest time.Duration
	Events      int
	// NonStreaming tells that First is the time of the whole answer of a plain service.
	NonStreaming bool
}

// light tells whether the server's load cannot explain a slow answer.
func (t *Timing) light() bool { return t.Running <= lightRunning && t.Wait <= lightWait }

// LatencyBaselines tracks the pace of the fastest answers by kind.
type LatencyBaselines struct {
	events map[string]time.Duration // between events
	wholes map[string]time.Duration // of whole answers
}

// NewLatencyBaselines returns a tracker without observations.
func NewLatencyBaselines() *LatencyBaselines {
	return &LatencyBaselines{events: make(map[string]time.Duration), wholes: make(map[string]time.Duration)}
}

// Observe adds an answer of a version that is in service.
func (p *LatencyBaselines) Observe(t Timing) {
	switch {
	case !t.light():
	case t.NonStreaming:
		track(p.wholes, t.Kind, t.First)
	case t.Events >= leastEvents:
		track(p.events, t.Kind, t.Rest/time.Duration(t.Events))
	}
}

func track(usual map[string]time.Duration, kind string, observed time.Duration) {
	value, ok := usual[kind]
	switch {
	case !ok:
		value = observed
	case observed > value:
		value += time.Duration(float64(value) * paceStep * paceQuantile)
	default:
		value -= time.Duration(float64(value) * paceStep * (1 - paceQuantile))
	}
	usual[kind] = max(value, time.Microsecond)
}

// Slow tells whether an answer took much longer than the fastest ones; known is
// false when its server was too busy to say, or nothing is known of its kind.
func (p *LatencyBaselines) Slow(t Timing) (slow, known bool) {
	if !t.light() {
		return false, false
	}
	if t.NonStreaming {
		usual, ok := p.wholes[t.Kind]
		return t.First > scaled(usual, slowPace)+wholeMargin, ok
	}
	if usual, ok := p.events[t.Kind]; ok && t.Events >= leastEvents {
		return t.Rest/time.Duration(t.Events) > scaled(usual, slowPace)+eventMargin, true
	}
	expected := t.Expected + t.Wait
	return t.First > scaled(expected, slowHead), expected >= leastExpected
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
