package fleet

import (
	"testing"
	"time"
)

// Guards against a limit that the copy of an undisturbed entry exceeds now and
// then, and against more calls than a long limit needs.
func TestRefreshTimes(t *testing.T) {
	const (
		spacing = watchSpacing
		network = 100 * time.Millisecond // answers of the store and of a peer
	)
	for limit := 800 * time.Millisecond; limit <= 20*time.Second; limit += 100 * time.Millisecond {
		p := RefreshTimesFor(limit)
		oldest := 2*p.WatchWait + spacing + p.RequestInterval + network
		if oldest >= limit {
			t.Errorf("limit %v: the copy may be %v old", limit, oldest)
		}
		if !(p.WatchWait+p.RequestInterval < p.MaxReaderAge && p.MaxReaderAge < p.RequestPeersAfter && p.RequestPeersAfter < p.RequestRemoteAfter && p.RequestRemoteAfter+p.RequestInterval < limit) {
			t.Errorf("limit %v: %+v", limit, p)
		}
	}
	if RefreshTimesFor(10*time.Second) != longestProofTimes || RefreshTimesFor(0) != longestProofTimes {
		t.Error("a long limit changes the times")
	}
}
