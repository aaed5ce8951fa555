package cascade

import "time"

const (
	// keepConfidence is the confidence in percent from which the answer of a small
	// model is kept while larger models are idle. About half of the answers of the
	// smallest model lie below it.
	keepConfidence = 50
	// waitShare is the wait for a larger model, as a part of the latency target, at
	// which only answers without any confidence are asked for again.
	waitShare = 0.35
)

// Doubt describes an answer of a small model that the caller has not seen yet.
type Doubt struct {
	// Confidence is the model's own opinion in percent.
	Confidence int
	// Elapsed is the time since the request; Pending is the wait for an engine with
	// the larger model and Read the time in which that would read the prompt.
	Elapsed, Pending, Read time.Duration
	// Target is the time within which the answer has to begin.
	Target time.Duration
}

// Escalate tells whether the larger model is asked. The confidence that an
// answer needs falls with the wait for the larger model: under load, the engines'
// time goes to the answers that need it most. An answer that would begin late is
// not asked for again.
func Escalate(d Doubt) bool {
	if d.Elapsed+d.Pending+d.Read > d.Target {
		return false
	}
	room := 1 - d.Pending.Seconds()/(d.Target.Seconds()*waitShare)
	return float64(d.Confidence) < keepConfidence*room
}
