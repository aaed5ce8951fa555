package entry

import (
	"sync"
	"time"
)

// smoothingFactor is the weight of a new value in a movingAverage.
const smoothingFactor = 0.05

// movingAverage is an exponentially weighted moving average of durations. It is
// safe for concurrent use.
type movingAverage struct {
	mu    sync.Mutex
	value time.Duration
}

func (a *movingAverage) add(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += time.Duration(smoothingFactor * float64(d-a.value))
}

// mean returns the average, or 0 before the first value.
func (a *movingAverage) mean() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.value
}
