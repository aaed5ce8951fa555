package cascade

import "time"

const (
	// minConfidence is the confidence in percent from which the answer of a small
	// model is kept while larger models are idle. About half of the answers of the
	// smallest model are below it.
	minConfidence = 60
	// backlogWeight lowers the required confidence, as a fraction per second of reading
	// and second of backlog.
	backlogWeight = 0.5
	// maxPendingShare is the wait for a larger model, as a fraction of the latency
	// target, at which no answer is escalated any more. Up to it, the required
	// confidence falls to zero.
	maxPendingShare = 0.2
	// deadlineShare is the fraction of the time until the deadline that a larger
	// model's answer may be expected to take, because an answer cut off at the
	// deadline is worthless.
	deadlineShare = 0.8
)

// EscalationInput describes an answer of a small model that has not been sent to
// the caller yet, and the cost of asking the larger model.
type EscalationInput struct {
	// Confidence is the confidence in percent that the model reported.
	Confidence int
	// Elapsed is the time since the request arrived. Pending is the wait for an
	// engine with the larger model, Prefill the time in which that engine would
	// read the prompt, and Decode the time in which it would generate the answer.
	Elapsed, Pending, Prefill, Decode time.Duration
	// Backlog is the mean time until an engine has read the prompts that it has
	// accepted, over all engines.
	Backlog time.Duration
	// StartWithin is the time within which the answer has to start, and CompleteWithin the
	// time within which it has to be complete, both since the request arrived.
	StartWithin, CompleteWithin time.Duration
}

// Escalate reports whether the larger model should be asked. The confidence that an
// answer needs falls with the wait for the larger model, so that under load the
// engines work on the answers that need it most. Among hundreds of engines one is
// nearly always idle, so it also falls with the backlog of all of them, by the time
// that reading the prompt takes from the other requests. A request is not escalated
// when its answer would start late or would not be complete by the deadline.
func Escalate(d EscalationInput) bool {
	if !startsInTime(&d) || !completesInTime(&d) {
		return false
	}
	urgency := 1 - d.Pending.Seconds()/(d.StartWithin.Seconds()*maxPendingShare) -
		backlogWeight*d.Prefill.Seconds()*d.Backlog.Seconds()
	return float64(d.Confidence) < minConfidence*urgency
}
