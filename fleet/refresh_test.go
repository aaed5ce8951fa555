package fleet

import (
	"testing"
	"time"
)

// Guards against refresh times with which the copy exceeds the limit on its age without
// any fault, and against more calls than necessary with a long limit.
func TestRefreshTimes(t *testing.T) {
	const (
		spacing = rewatchDelay
		network = 100 * time.Millisecond // delay of the answers of the store and of a peer
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
	if RefreshTimesFor(10*time.Second) != maxRefreshTimes || RefreshTimesFor(0) != maxRefreshTimes {
		t.Error("a long limit or none changes the times")
	}
}
