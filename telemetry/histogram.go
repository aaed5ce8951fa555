package telemetry

import (
	"encoding/json"
	"sync"
	"time"
)

// latencyBounds are the upper bounds of the buckets of a Histogram, in steps of 1, 2
// and 5. They range from the time of one call within a data centre to the longest
// deadline.
var latencyBounds = []time.Duration{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second,
}

// Histogram counts durations in the buckets of latencyBounds. It implements
// expvar.Var and is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	counts [histogramBucketCount]int64
	sum    time.Duration
}

// histogramBucketCount is the number of buckets: one for each of latencyBounds and
// one for longer durations.
const histogramBucketCount = 13

// Observe counts one duration.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sum += d
	for i, bound := range latencyBounds {
		if d <= bound {
			h.counts[i]++
			return
		}
	}
	h.counts[len(latencyBounds)]++
}

// String returns the histogram as JSON: the cumulative count up to each upper bound
// in milliseconds, the total count, and the sum in milliseconds.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	type bucket struct {
		LeMS  int64 `json:"le_ms"`
		Count int64 `json:"count"`
	}
	out := struct {
		Buckets []bucket `json:"buckets"`
		Count   int64    `json:"count"`
		SumMS   int64    `json:"sum_ms"`
	}{SumMS: h.sum.Milliseconds()}
	for i, bound := range latencyBounds {
		out.Count += h.counts[i]
		out.Buckets = append(out.Buckets, bucket{bound.Milliseconds(), out.Count})
	}
	out.Count += h.counts[len(latencyBounds)]
	text, err := json.Marshal(out)
	if err != nil {
		panic("telemetry: encode histogram: " + err.Error())
	}
	return string(text)
}
