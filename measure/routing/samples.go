package routing

import (
	"fmt"
	"slices"
	"time"
)

// Seeds is the number of seeds of every measurement: 1 to Seeds.
const Seeds = 10

// RunSeeds calls run with every seed and returns the results in order.
func RunSeeds[T any](run func(seed uint64) T) []T {
	results := make([]T, Seeds)
	for i := range results {
		results[i] = run(uint64(i + 1))
	}
	return results
}

// Samples holds one value per seed.
type Samples []float64

// Collect applies value to each result.
func Collect[T any](results []T, value func(T) float64) Samples {
	s := make(Samples, len(results))
	for i, r := range results {
		s[i] = value(r)
	}
	return s
}

func (s Samples) String() string {
	v := slices.Sorted(slices.Values(s))
	return fmt.Sprintf("median %.3f, min %.3f, max %.3f", v[len(v)/2], v[0], v[len(v)-1])
}

// quantile returns the q-quantile of latency over the jobs that match, or 0 if none
// does.
func quantile(jobs []*job, q float64, latency func(*job) time.Duration, match func(*job) bool) time.Duration {
	var latencies []time.Duration
	for _, j := range jobs {
		if match(j) {
			latencies = append(latencies, latency(j))
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[min(len(latencies)-1, int(q*float64(len(latencies))))]
}

func ratio(a, b time.Duration) float64 { return float64(a) / float64(b) }

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func totalLatency(j *job) time.Duration      { return j.total }
func firstTokenLatency(j *job) time.Duration { return j.firstToken }
