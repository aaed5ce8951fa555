package fleet

import (
	"testing"
	"time"
)

// Guards against a limit that the copy of an undisturbed entry exceeds now and
// then, and against more calls than a long limit needs.
func TestProofTimes(t *testing.T) {
	const (
		spacing = watchSpacing
		network = 100 * time.Millisecond // answers of the store and of a peer
	)
	for limit := 800 * time.Millisecond; limit <= 20*time.Second; limit += 100 * time.Millisecond {
		p := ProofTimesFor(limit)
		oldest := 2*p.Wait + spacing + p.Ask + network
		if oldest >= limit {
			t.Errorf("limit %v: the copy may be %v old", limit, oldest)
		}
		if !(p.Wait+p.Ask < p.Cover && p.Cover < p.AskAfter && p.AskAfter < p.AskFarAfter && p.AskFarAfter+p.Ask < limit) {
			t.Errorf("limit %v: %+v", limit, p)
		}
	}
	if ProofTimesFor(10*time.Second) != longestProofTimes || ProofTimesFor(0) != longestProofTimes {
		t.Error("a long limit changes the times")
	}
}
