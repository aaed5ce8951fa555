package fleet

import "time"

// RefreshTimes holds the intervals and ages that keep the copy of the store well below
// the age at which it may no longer be used. A watch that returns a change shows only
// that the copy was up to date when the watch started, so the age can reach two waits.
// A copy obtained from a peer is older by the interval between two requests.
type RefreshTimes struct {
	// WatchWait is how long a watch waits that has to keep the copy fresh. With a shorter
	// wait, requests with a key are accepted for longer after a loss of the store, but
	// each watch is billed.
	WatchWait time.Duration
	// RequestInterval is the interval between sync requests to the reader of the data
	// centre.
	RequestInterval time.Duration
	// MaxReaderAge is the age of the copy from which an entry calls the store itself
	// instead of relying on that reader.
	MaxReaderAge time.Duration
	// RequestPeersAfter is the age from which sync requests also go to other peers, and
	// RequestRemoteAfter the age from which they also go to other regions. Traffic
	// between regions is billed.
	RequestPeersAfter, RequestRemoteAfter time.Duration
}

// maxRefreshTimes are the longest times that are used. Short limits on the age get
// shorter ones.
var maxRefreshTimes = RefreshTimes{
	WatchWait:          1100 * time.Millisecond,
	RequestInterval:    250 * time.Millisecond,
	MaxReaderAge:       1900 * time.Millisecond,
	RequestPeersAfter:  2300 * time.Millisecond,
	RequestRemoteAfter: 2800 * time.Millisecond,
}

// The longest times as fractions of the limit on the age.
const (
	watchWaitFraction, requestIntervalFraction, maxReaderAgeFraction,
	requestPeersFraction, requestRemoteFraction = 0.28, 0.065, 0.49, 0.59, 0.72
)

// RefreshTimesFor returns the times for a copy that must not be older than limit; 0
// means no limit.
func RefreshTimesFor(limit time.Duration) RefreshTimes {
	t := maxRefreshTimes
	if limit <= 0 {
		return t
	}
	scale := func(maximum time.Duration, fraction float64) time.Duration {
		return min(maximum, time.Duration(fraction*float64(limit)))
	}
	return RefreshTimes{
		WatchWait:          scale(t.WatchWait, watchWaitFraction),
		RequestInterval:    scale(t.RequestInterval, requestIntervalFraction),
		MaxReaderAge:       scale(t.MaxReaderAge, maxReaderAgeFraction),
		RequestPeersAfter:  scale(t.RequestPeersAfter, requestPeersFraction),
		RequestRemoteAfter: scale(t.RequestRemoteAfter, requestRemoteFraction),
	}
}
