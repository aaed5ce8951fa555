package limits

import "time"

// returnSpread is the part of a Retry-After by which it varies to either side.
const returnSpread = 0.5

// JitterRetryAfter spreads the time after which refused callers come back: callers that were
// refused in one moment, as when an entry or the store is lost, would otherwise
// return in one moment and be refused again. draw is uniform in [0, 1).
func JitterRetryAfter(after time.Duration, draw float64) time.Duration {
	return time.Duration(float64(after) * (1 - returnSpread + 2*returnSpread*draw))
}
