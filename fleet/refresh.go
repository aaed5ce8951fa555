package fleet

import "time"

// RefreshTimes are the pauses that keep the copy of the store proven well before it
// is too old to be used. A watch that returns with a change proves only its start,
// so that a proof may be as old as two waits; a copy that comes from a peer is
// older by the pause between two questions.
type RefreshTimes struct {
	// WatchWait is how long a watch waits that has to prove the copy. The shorter it is,
	// the later after a loss of the store keyed requests have to be refused; each
	// watch is paid for.
	WatchWait time.Duration
	// RequestInterval is the pause between two questions to the reader of the data centre.
	RequestInterval time.Duration
	// MaxReaderAge is the age of the copy up to which an entry relies on that reader.
	MaxReaderAge time.Duration
	// RequestPeersAfter is the age from which other peers are asked too, and RequestRemoteAfter that
	// from which those of other regions are, to which bytes are paid for.
	RequestPeersAfter, RequestRemoteAfter time.Duration
}

// longestProofTimes are enough for any limit; shorter limits get parts of them.
var longestProofTimes = RefreshTimes{
	WatchWait: 1100 * time.Millisecond, RequestInterval: 250 * time.Millisecond, MaxReaderAge: 1900 * time.Millisecond, RequestPeersAfter: 2300 * time.Millisecond,
	RequestRemoteAfter: 2800 * time.Millisecond,
}

const (
	// The parts of the limit that the times may take.
	waitPart, askPart, coverPart, askAfterPart, askFarAfterPart = 0.28, 0.065, 0.49, 0.59, 0.72
)

// RefreshTimesFor returns the times for a copy that must not be older than limit; 0
// is no limit.
func RefreshTimesFor(limit time.Duration) RefreshTimes {
	t := longestProofTimes
	if limit <= 0 {
		return t
	}
	part := func(longest time.Duration, of float64) time.Duration {
		return min(longest, time.Duration(of*float64(limit)))
	}
	return RefreshTimes{
		WatchWait: part(t.WatchWait, waitPart), RequestInterval: part(t.RequestInterval, askPart),
		MaxReaderAge: part(t.MaxReaderAge, coverPart), RequestPeersAfter: part(t.RequestPeersAfter, askAfterPart),
		RequestRemoteAfter: part(t.RequestRemoteAfter, askFarAfterPart),
	}
}
