package cascade

import "time"

const (
	// keepConfidence is the confidence in percent from which the answer of a small
	// model is kept while larger models are idle. About half of the answers of the
	// smallest model lie below it.
	keepConfidence = 50
	// waitShare is the wait for a larger model, as a part of the latency target, at
	// which only answers without any confidence are asked for again.
	waitShare = 0.2
	// limitShare is the part of the time until the deadline that a larger model's
	// answer may be expected to take; an answer cut at the deadline is worth nothing.
	limitShare = 0.8
)

// EscalationInput describes an answer of a small model that the caller has not seen yet.
type EscalationInput struct {
	// Confidence is the model's own opinion in percent.
	Confidence int
	// Elapsed is the time since the request; Pending is the wait for an engine with
	// the larger model, Prefill the time in which that would read the prompt, and Decode
	// the time in which it would generate the answer.
	Elapsed, Pending, Prefill, Decode time.Duration
	// Target is the time within which the answer has to begin, and Deadline that within
	// which it has to be complete.
	Target, Deadline time.Duration
}

// Escalate tells whether the larger model is asked. The confidence that an
// answer needs falls with the wait for the larger model: under load, the engines'
// time goes to the answers that need it most. An answer that would begin late, or
// would not be complete at the deadline, is not asked for again.
func Escalate(d EscalationInput) bool {
	begin := d.Elapsed + d.Pending + d.Prefill
	if begin > d.Target || float64(begin+d.Decode) > limitShare*float64(d.Deadline) {
		return false
	}
	room := 1 - d.Pending.Seconds()/(d.Target.Seconds()*waitShare)
	return float64(d.Confidence) < keepConfidence*room
}
