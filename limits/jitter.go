package limits

import "time"

// retryAfterJitter is the fraction of a Retry-After by which it varies to either
// side.
const retryAfterJitter = 0.5

// JitterRetryAfter randomizes the time after which refused callers retry. Callers
// refused at the same moment, for example when an entry or the store is lost, would
// otherwise retry at the same moment and be refused again. draw is uniform in [0,
// 1).
func JitterRetryAfter(after time.Duration, draw float64) time.Duration {
	return time.Duration(float64(after) * (1 - retryAfterJitter + 2*retryAfterJitter*draw))
}
