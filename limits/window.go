// Package limits implements one entry's shares of the limits that apply to the
// whole fleet: retries, and requests to cold backend servers and to servers that name a
// limit. The shares of all entries together stay within each limit. It does no I/O and
// takes the time as an argument. Its types are not safe for concurrent use.
package limits

import "time"

// windowBuckets is the number of buckets into which a window is divided.
const windowBuckets = 20

// Window counts events over a sliding time window. Steps of the time of day do not change
// the counts.
type Window struct {
	bucketWidth time.Duration
	counts      [windowBuckets + 2]int
	origin      time.Time // of the first call; buckets are numbered from it
	newest      int64     // number of the newest bucket
}

// NewWindow returns an empty window of the given length.
func NewWindow(length time.Duration) *Window { return &Window{bucketWidth: length / windowBuckets} }

// Add counts n events at now.
func (w *Window) Add(now time.Time, n int) {
	w.advance(now)
	w.counts[w.index(w.newest)] += n
}

// AtLeast returns the number of events that are certainly within the window before
// now.
func (w *Window) AtLeast(now time.Time) int { return w.sum(now, windowBuckets) }

// AtMost returns the number of events that may be within the window before now.
func (w *Window) AtMost(now time.Time) int { return w.sum(now, windowBuckets+2) }

func (w *Window) sum(now time.Time, n int) int {
	w.advance(now)
	total := 0
	for i := range n {
		total += w.counts[w.index(w.newest-int64(i))]
	}
	return total
}

func (w *Window) index(bucket int64) int { return int(bucket % int64(len(w.counts))) }

// advance clears the buckets that have left the window.
func (w *Window) advance(now time.Time) {
	if w.origin.IsZero() {
		w.origin, w.newest = now, int64(len(w.counts))
	}
	// The difference of two times is that of their monotonic readings.
	bucket := int64(len(w.counts)) + int64(now.Sub(w.origin)/w.bucketWidth)
	for steps := 0; w.newest < bucket && steps < len(w.counts); steps++ {
		w.newest++
		w.counts[w.index(w.newest)] = 0
	}
	w.newest = max(w.newest, bucket)
}
