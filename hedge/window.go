package hedge

import (
	"cmp"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// sliceLength is the time after which the oldest observations of a window are dropped,
	// and windowSlices the number of slices of a window.
	sliceLength  = 10 * time.Second
	windowSlices = 6
	// recentSlices is the number of slices, including the one that is being filled, that
	// show how a service does now.
	recentSlices = 2
	// maxLatency is the largest latency that is distinguished.
	maxLatency = time.Minute
	// significantDigits of the histograms' values bound their error to a sixteenth, in
	// 2 KiB a histogram.
	significantDigits = 1
	// tailLevels is the number of quantiles of the tail: how long the request has been waited
	// for is compared with all but the last.
	tailLevels = 4
	// refreshInterval is the age up to which a summary is used again, while the observations
	// have not grown by a quarter.
	refreshInterval = time.Second
)

// Summary describes the latencies of a window.
type Summary struct {
	Count  int64
	Median time.Duration
	// Tails are the latencies that the share of the slowest answers exceeds for which the
	// window was asked, a half of it, a quarter and so on.
	Tails [tailLevels]time.Duration
}

// window holds the latencies of the last minute.
type window struct {
	origin  time.Time
	newest  int64 // number of the newest slice
	slices  [windowSlices]*hdrhistogram.Histogram
	summary Summary // of all slices
	recent  Summary // of the newest ones
	// summarizedAt and share are the inputs of the summaries.
	summarizedAt time.Time
	share        float64
	// unseen is the number of observations since the summaries.
	unseen int64
}

func newWindow(now time.Time) *window {
	w := &window{origin: now}
	for i := range w.slices {
		w.slices[i] = newHistogram()
	}
	return w
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Milliseconds(), significantDigits)
}

func (w *window) observe(now time.Time, latency time.Duration) {
	w.advance(now)
	w.unseen++
	value := min(max(latency, time.Millisecond), maxLatency).Milliseconds()
	// The error is ignored: the value is within the range of the histogram.
	_ = w.slice(0).RecordValue(value)
}

// slice returns the slice of the given age, 0 for the newest.
func (w *window) slice(age int64) *hdrhistogram.Histogram {
	return w.slices[(w.newest-age+windowSlices)%windowSlices]
}

// advance clears the slices that have left the window.
func (w *window) advance(now time.Time) {
	current := int64(now.Sub(w.origin) / sliceLength)
	for steps := 0; w.newest < current && steps < windowSlices; steps++ {
		w.newest++
		w.slice(0).Reset()
	}
	w.newest = max(w.newest, current)
}

// summarize returns the latencies of the whole window and of its newest slices, with the
// tail of the given share.
func (w *window) summarize(now time.Time, share float64) (all, recent Summary) {
	if now.Sub(w.summarizedAt) < refreshInterval && 4*w.unseen <= w.summary.Count && w.share == share {
		return w.summary, w.recent
	}
	w.advance(now)
	merged := newHistogram()
	for age := range int64(windowSlices) {
		merged.Merge(w.slice(age))
		if age == recentSlices-1 {
			w.recent = summaryOf(merged, share)
		}
	}
	w.summary, w.summarizedAt, w.share = summaryOf(merged, share), now, share
	w.unseen = 0
	return w.summary, w.recent
}

// median returns the median latency, 0 if nothing is known.
func (w *window) median(now time.Time) time.Duration {
	if w == nil {
		return 0
	}
	all, _ := w.summarize(now, cmp.Or(w.share, maxTail))
	return all.Median
}

func summaryOf(h *hdrhistogram.Histogram, share float64) Summary {
	at := func(q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(100*q)) * time.Millisecond
	}
	s := Summary{Count: h.TotalCount(), Median: at(0.5)}
	for i := range s.Tails {
		s.Tails[i] = at(1 - share)
		share /= 2
	}
	return s
}
