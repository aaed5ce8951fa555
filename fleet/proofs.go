package fleet

import "time"

// ProofTimes are the pauses that keep the copy of the store proven well before it
// is too old to be used. A watch that returns with a change proves only its start,
// so that a proof may be as old as two waits; a copy that comes from a peer is
// older by the pause between two questions.
type ProofTimes struct {
	// Wait is how long a watch waits that has to prove the copy. The shorter it is,
	// the later after a loss of the store keyed requests have to be refused; each
	// watch is paid for.
	Wait time.Duration
	// Ask is the pause between two questions to the reader of the data centre.
	Ask time.Duration
	// Cover is the age of the copy up to which an entry relies on that reader.
	Cover time.Duration
	// AskAfter is the age from which other peers are asked too, and AskFarAfter that
	// from which those of other regions are, to which bytes are paid for.
	AskAfter, AskFarAfter time.Duration
}

// longestProofTimes are enough for any limit; shorter limits get parts of them.
var longestProofTimes = ProofTimes{
	Wait: 1100 * time.Millisecond, Ask: 250 * time.Millisecond, Cover: 1900 * time.Millisecond, AskAfter: 2300 * time.Millisecond,
	AskFarAfter: 2800 * time.Millisecond,
}

const (
	// The parts of the limit that the times may take.
	waitPart, askPart, coverPart, askAfterPart, askFarAfterPart = 0.28, 0.065, 0.49, 0.59, 0.72
)

// ProofTimesFor returns the times for a copy that must not be older than limit; 0
// is no limit.
func ProofTimesFor(limit time.Duration) ProofTimes {
	t := longestProofTimes
	if limit <= 0 {
		return t
	}
	part := func(longest time.Duration, of float64) time.Duration {
		return min(longest, time.Duration(of*float64(limit)))
	}
	return ProofTimes{
		Wait: part(t.Wait, waitPart), Ask: part(t.Ask, askPart),
		Cover: part(t.Cover, coverPart), AskAfter: part(t.AskAfter, askAfterPart),
		AskFarAfter: part(t.AskFarAfter, askFarAfterPart),
	}
}
