// Package limits holds an entry's shares of the limits that the whole fleet has
// to keep: retries, and requests to cold backend servers. The shares of all
// entries together stay within the limit. It is pure: time is an argument. Its
// types are not safe for concurrent use.
package limits

import "time"

// buckets is the number of parts in which a window is counted.
const buckets = 20

// Window counts events over a sliding span of time.
type Window struct {
	span   time.Duration // of one bucket
	counts [buckets + 2]int
	newest int64 // number of the newest bucket since the zero time
}

// NewWindow returns an empty window of the given length.
func NewWindow(length time.Duration) *Window { return &Window{span: length / buckets} }

// Add counts n events.
func (w *Window) Add(now time.Time, n int) {
	w.advance(now)
	w.counts[w.index(w.newest)] += n
}

// AtLeast counts the events that certainly lie within the window before now.
func (w *Window) AtLeast(now time.Time) int { return w.sum(now, buckets) }

// AtMost counts all events that may lie within the window before now.
func (w *Window) AtMost(now time.Time) int { return w.sum(now, buckets+2) }

func (w *Window) sum(now time.Time, n int) int {
	w.advance(now)
	total := 0
	for i := range n {
		total += w.counts[w.index(w.newest-int64(i))]
	}
	return total
}

func (w *Window) index(bucket int64) int { return int(bucket % int64(len(w.counts))) }

// advance clears the buckets that have passed.
func (w *Window) advance(now time.Time) {
	bucket := now.UnixNano() / int64(w.span)
	for steps := 0; w.newest < bucket && steps < len(w.counts); steps++ {
		w.newest++
		w.counts[w.index(w.newest)] = 0
	}
	w.newest = max(w.newest, bucket)
}
