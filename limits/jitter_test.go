package limits

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against callers that are refused at the same moment and retry at the same
// moment. 600 refused callers retry at servers that accept 20 of them per 10 ms;
// those above that are refused again. Without jitter, most callers are refused
// repeatedly.
func TestRetryAfterJitter(t *testing.T) {
	const callers, capacity, tick, after = 600, 20, 10 * time.Millisecond, 300 * time.Millisecond
	refusedAgain := func(draw func() float64) (again int, last time.Duration) {
		due := make([]time.Duration, callers)
		for i := range due {
			due[i] = JitterRetryAfter(after, draw())
		}
		for now := time.Duration(0); len(due) > 0; now += tick {
			taken := 0
			var left []time.Duration
			for _, at := range due {
				switch {
				case at > now:
					left = append(left, at)
				case taken < capacity:
					taken++
					last = now
				default:
					again++
					left = append(left, now+JitterRetryAfter(after, draw()))
				}
			}
			due = left
		}
		return again, last
	}
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 8))
		together, lastTogether := refusedAgain(func() float64 { return 0.5 })
		spread, lastSpread := refusedAgain(rng.Float64)
		t.Logf("seed %d: refused again: %d without jitter, %d with jitter; all served after %v and %v", seed, together, spread, lastTogether, lastSpread)
		if spread > together/5 || lastSpread > lastTogether/2 {
			t.Errorf("seed %d: refused again: %d with jitter, %d without; all served after %v with jitter, %v without", seed, spread, together, lastSpread, lastTogether)
		}
	}
	for _, draw := range []float64{0, 0.25, 0.999} {
		if got := JitterRetryAfter(time.Second, draw); got < 500*time.Millisecond || got >= 1500*time.Millisecond {
			t.Errorf("draw %v: %v", draw, got)
		}
	}
}
