package release

import "time"

const (
	// An answer is slow when its event interval or response time exceeds
	// slowIntervalFactor times the baseline, or its time to the headers exceeds
	// slowHeadFactor times the expected time. On busy backend servers about a quarter
	// of the answers of a good version exceed these limits, and nearly all answers of
	// a version that takes four times as long.
	slowIntervalFactor = 3.2
	slowHeadFactor     = 2.2
	// EvaluationEvents is the number of events after which the time of a stream is
	// evaluated. Slow streams end late: those that are still running at the end of a
	// rollout must count too.
	EvaluationEvents = 6
	// An answer is fast when its event interval is at most fastIntervalFactor times the
	// baseline. Only servers with at most maxIdleRunning other requests are compared: there
	// a good version is nearly always fast.
	fastIntervalFactor = 1.5
	maxIdleRunning     = 1
	// minExpectedHead is the shortest expected time to the headers for which the
	// observed time is evaluated.
	minExpectedHead = 50 * time.Millisecond
	// intervalMargin and responseMargin are added to the limits, because the
	// relative limits are too tight for very short times.
	intervalMargin = 5 * time.Millisecond
	responseMargin = 20 * time.Millisecond
	// maxLightRunning and maxLightWait are the numbers of running requests and the
	// expected wait above which a slow answer may be due to the load of the backend
	// server instead of its version.
	maxLightRunning = 6
	maxLightWait    = 80 * time.Millisecond
	// maxLightShare replaces maxLightRunning on servers with many slots, as a share of them:
	// each running request slows such a server less.
	maxLightShare = 6.0 / 64
	// quantileStep scales the relative change of a baseline per answer, and
	// trackedQuantile is the quantile of the observed times that a baseline follows.
	quantileStep    = 0.05
	trackedQuantile = 0.2
	// minEvents is the number of events an answer needs for its interval to be
	// evaluated.
	minEvents = 3
)

// Timing holds the measured times of one answer and the load of its backend server.
type Timing struct {
	// Kind groups answers with comparable times: a model, or a route of a plain
	// service.
	Kind string
	// Wait is the expected queueing time and Running the number of requests on the
	// backend server, both at the time of the send.
	Wait    time.Duration
	Running int
	// Slots is the number of requests that the backend server runs at once, 0 if unknown.
	Slots int
	// Expected is the expected time to the headers of the answer, or 0 if unknown.
	Expected time.Duration
	// First is the time to the headers, or until the request was given up. Rest is
	// the time after the headers, in which Events arrived.
	First, Rest time.Duration
	Events      int
	// NonStreaming means that First is the time to the complete answer of a plain
	// service.
	NonStreaming bool
}

// lightlyLoaded reports whether the backend server's load is too low to explain a
// slow answer.
func (t *Timing) lightlyLoaded() bool {
	return t.Running <= max(maxLightRunning, int(maxLightShare*float64(t.Slots))) && t.Wait <= maxLightWait
}

// LatencyBaselines tracks a low quantile of the event interval and of the response
// time for each kind of answer.
type LatencyBaselines struct {
	intervals map[string]time.Duration // between events, by kind
	responses map[string]time.Duration // of non-streaming answers, by kind
}

// NewLatencyBaselines returns baselines without observations.
func NewLatencyBaselines() *LatencyBaselines {
	return &LatencyBaselines{intervals: make(map[string]time.Duration), responses: make(map[string]time.Duration)}
}

// Observe adds an answer of a version that is not being tested by a rollout.
func (b *LatencyBaselines) Observe(t Timing) {
	switch {
	case !t.lightlyLoaded():
	case t.NonStreaming:
		updateBaseline(b.responses, t.Kind, t.First)
	case t.Events >= minEvents:
		updateBaseline(b.intervals, t.Kind, t.Rest/time.Duration(t.Events))
	}
}

func updateBaseline(baselines map[string]time.Duration, kind string, observed time.Duration) {
	value, ok := baselines[kind]
	switch {
	case !ok:
		value = observed
	case observed > value:
		value += time.Duration(float64(value) * quantileStep * trackedQuantile)
	default:
		value -= time.Duration(float64(value) * quantileStep * (1 - trackedQuantile))
	}
	baselines[kind] = max(value, time.Microsecond)
}

// Slow reports whether an answer took much longer than the baseline of its kind.
// known is false when there is no baseline, or when the load of the backend server
// could explain a long time.
func (b *LatencyBaselines) Slow(t Timing) (slow, known bool) {
	if !t.lightlyLoaded() {
		return false, false
	}
	if t.NonStreaming {
		baseline, ok := b.responses[t.Kind]
		return t.First > scaled(baseline, slowIntervalFactor)+responseMargin, ok
	}
	if baseline, ok := b.intervals[t.Kind]; ok && t.Events >= minEvents {
		return t.Rest/time.Duration(t.Events) > scaled(baseline, slowIntervalFactor)+intervalMargin, true
	}
	expected := t.Expected + t.Wait
	return t.First > scaled(expected, slowHeadFactor), expected >= minExpectedHead
}

// Fast reports whether a stream of a nearly idle server was about as fast as the baseline
// of its kind. known is false for other answers.
func (b *LatencyBaselines) Fast(t Timing) (fast, known bool) {
	baseline, ok := b.intervals[t.Kind]
	if !ok || t.NonStreaming || t.Events < minEvents || t.Running > maxIdleRunning || !t.lightlyLoaded() {
		return false, false
	}
	return t.Rest/time.Duration(t.Events) <= scaled(baseline, fastIntervalFactor), true
}

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
