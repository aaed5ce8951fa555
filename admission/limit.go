package admission

import (
	"math"
	"time"
)

const (
	// baselineFallWeight and baselineRiseWeight are the weights of samples below
	// and above the baseline of the first-token time. The baseline follows
	// improvements quickly and rises slowly, so that a slow backend server does not
	// immediately become its own baseline.
	baselineFallWeight = 0.2
	baselineRiseWeight = 0.02
	// averageWeight is the weight of a sample in the reported moving average.
	averageWeight = 0.1
	// minSamples is the number of samples before the baseline is used.
	minSamples = 5
	// coldAfterSlow is the number of consecutive slow first tokens after which the
	// server counts as cold. A single one may be a long prompt.
	coldAfterSlow = 2
)

// limiter adapts the concurrency limit of one backend server.
type limiter struct {
	coldLimit, warmLimit int
	warmAfter            int
	slowFactor           float64

	limit       int
	limitEpoch  int // incremented with each change of the limit
	completions int // successful requests at the current limit
	backoff     int // factor on warmAfter; doubled by a reset during growth
	resets      int

	baseline, average float64 // seconds
	samples           int
	slowInRow         int // consecutive slow first tokens

	bootID string
	uptime time.Duration
}

func (l *limiter) setLimit(limit int) {
	if limit == l.limit {
		return
	}
	l.limit, l.completions = limit, 0
	l.limitEpoch++
}

func (l *limiter) configure(cold, warm int) {
	l.coldLimit = max(cold, 1)
	l.warmLimit = max(warm, l.coldLimit)
	l.setLimit(min(max(l.limit, l.coldLimit), l.warmLimit))
}

// reset returns to the cold limit. Running requests are not evidence for the new
// limit.
func (l *limiter) reset() {
	if l.limit > l.coldLimit && l.limit < l.warmLimit {
		l.backoff = min(l.backoff*2, maxBackoff)
	}
	l.limit, l.completions, l.slowInRow = l.coldLimit, 0, 0
	l.limitEpoch++
	l.resets++
}

// reduce lowers the limit after a rejection by the backend server.
func (l *limiter) reduce() { l.setLimit(max(l.coldLimit, int(float64(l.limit)*overloadFactor))) }

// engineStatus resets the limit when the report shows a restart. The first report
// is ignored, because the limit starts cold.
func (l *limiter) engineStatus(bootID string, uptime time.Duration) {
	if l.bootID != "" && (bootID != l.bootID || uptime < l.uptime) {
		l.reset()
	}
	l.bootID, l.uptime = bootID, uptime
}

// isSlow reports whether a first-token time indicates a cold server.
func (l *limiter) isSlow(d time.Duration) bool {
	return l.samples >= minSamples && d.Seconds() > l.slowFactor*l.baseline
}

// recordFirstToken records a first-token time and reports whether it was slow.
func (l *limiter) recordFirstToken(d time.Duration) bool {
	slow := l.isSlow(d)
	l.observe(d.Seconds(), slow)
	if slow {
		l.recordSlow()
	} else {
		l.slowInRow = 0
	}
	return slow
}

// recordSlow counts a slow first token.
func (l *limiter) recordSlow() {
	if l.slowInRow++; l.slowInRow >= min(coldAfterSlow, l.limit) {
		l.reset()
	}
}

// observe updates the average and the baseline. Slow samples raise the baseline
// only at the cold limit, where the load cannot be reduced further: a server that
// stays slow there is slower for a reason other than load.
func (l *limiter) observe(s float64, slow bool) {
	if l.samples == 0 {
		l.baseline, l.average = s, s
	}
	l.samples++
	l.average += averageWeight * (s - l.average)
	if slow && l.limit > l.coldLimit {
		return
	}
	weight := baselineRiseWeight
	if s < l.baseline {
		weight = baselineFallWeight
	}
	// The bound limits the effect of one stalled request on the baseline.
	l.baseline += weight * (min(s, l.slowFactor*l.baseline) - l.baseline)
}

// recordCompletion counts a successful request that ran at the current limit.
// Growth from the cold limit takes warmAfter of them, because a backend server
// warms up by completing requests; each further step takes one per slot.
func (l *limiter) recordCompletion() {
	l.completions++
	need := l.limit
	if l.limit == l.coldLimit {
		need = max(need, l.warmAfter*l.backoff)
	}
	if l.completions < need || l.limit >= l.warmLimit {
		return
	}
	step := max(1, int(math.Round(float64(l.limit)*growthStep)))
	l.setLimit(min(l.warmLimit, l.limit+step))
	if l.limit == l.warmLimit {
		l.backoff = 1
	}
}
