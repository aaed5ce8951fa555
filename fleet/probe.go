package fleet

import "time"

const (
	// readerProbeDelay is the mean delay between two calls of a reader to a store that
	// fails.
	readerProbeDelay = 150 * time.Millisecond
	// maxProbeDelay is the longest mean delay of an entry that relies on a reader. It
	// bounds for how long such an entry misses the end of an outage of which no peer
	// tells it.
	maxProbeDelay = 2400 * time.Millisecond
)

// probePause returns the pause before the next call to a store that has failed several
// times in a row. It answers an outage of the store in a fleet of hundreds of entries:
// the readers call at a constant rate, and as soon as one of them succeeds, its peers get
// the state from it. The calls of the others only matter when their reader is cut off
// itself, and double their pauses, so that they neither load nor bill the store. jitter
// is uniform in [0, 1) and spreads the calls by half of the mean.
func probePause(failures int, reader bool, jitter float64) time.Duration {
	mean := readerProbeDelay
	for i := 0; i < failures && !reader && mean < maxProbeDelay; i++ {
		mean *= 2
	}
	return time.Duration((0.5 + jitter) * float64(min(mean, maxProbeDelay)))
}
