package entry

import (
	"sync"
	"time"
)

// averageWeight is the weight of a new value in a moving average.
const smoothingFactor = 0.05

// movingAverage is an exponentially weighted mean of durations.
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

// mean returns 0 before the first value.
func (a *movingAverage) mean() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.value
}
