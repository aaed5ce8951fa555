package admission

import (
	"math"
	"time"
)

const (
	// baselineDown and baselineUp are the weights of a sample below and above
	// the baseline of the first-token time. The baseline follows improvements
	// quickly; it rises slowly, so that a slow backend server does not become its
	// own baseline at once.
	baselineDown = 0.2
	baselineUp   = 0.02
	// averageWeight is the weight of a sample in the reported average.
	averageWeight = 0.1
	// minSamples is the number of samples before the baseline is used.
	minSamples = 5
	// slowInRow is the number of consecutive slow first tokens that counts as
	// cold. A single one can be a long prompt.
	slowInRow = 2
)

// limiter holds the concurrency limit of one backend server.
type limiter struct {
	cold, warm int
	warmAfter  int
	slowFactor float64

	limit   int
	epoch   int // changes with each change of the limit
	good    int // good completions at the current limit
	backoff int // factor on warmAfter: doubled by a reset during growth
	resets  int

	baseline, average float64 // seconds
	samples           int
	slow              int // consecutive slow first tokens

	bootID string
	uptime time.Duration
}

func (l *limiter) set(limit int) {
	if limit == l.limit {
		return
	}
	l.limit, l.good = limit, 0
	l.epoch++
}

func (l *limiter) configure(cold, warm int) {
	l.cold = max(cold, 1)
	l.warm = max(warm, l.cold)
	l.set(min(max(l.limit, l.cold), l.warm))
}

// reset falls to the cold limit. The work that runs does not count as evidence
// for the new start.
func (l *limiter) reset() {
	if l.limit > l.cold && l.limit < l.warm {
		l.backoff = min(l.backoff*2, maxBackoff)
	}
	l.limit, l.good, l.slow = l.cold, 0, 0
	l.epoch++
	l.resets++
}

// shrink answers a rejection by the backend server.
func (l *limiter) shrink() { l.set(max(l.cold, int(float64(l.limit)*overloadFactor))) }

// status compares a load report with the one before. The first report tells
// nothing: the limit starts cold.
func (l *limiter) status(bootID string, uptime time.Duration) {
	if l.bootID != "" && (bootID != l.bootID || uptime < l.uptime) {
		l.reset()
	}
	l.bootID, l.uptime = bootID, uptime
}

// isSlow tells whether a first-token time counts as that of a cold server.
func (l *limiter) isSlow(d time.Duration) bool {
	return l.samples >= minSamples && d.Seconds() > l.slowFactor*l.baseline
}

// sample takes a first-token time and tells whether it was slow.
func (l *limiter) sample(d time.Duration) bool {
	slow := l.isSlow(d)
	l.observe(d.Seconds(), slow)
	if slow {
		l.overdue()
	} else {
		l.slow = 0
	}
	return slow
}

// overdue counts a slow first token.
func (l *limiter) overdue() {
	if l.slow++; l.slow >= min(slowInRow, l.limit) {
		l.reset()
	}
}

// observe updates the average and the baseline. Slow samples raise the baseline
// only at the cold limit, where the load cannot be lowered further: a server
// that stays slow there has become slower for another reason than load.
func (l *limiter) observe(s float64, slow bool) {
	if l.samples == 0 {
		l.baseline, l.average = s, s
	}
	l.samples++
	l.average += averageWeight * (s - l.average)
	if slow && l.limit > l.cold {
		return
	}
	weight := baselineUp
	if s < l.baseline {
		weight = baselineDown
	}
	// The bound keeps one stalled request from raising the baseline much.
	l.baseline += weight * (min(s, l.slowFactor*l.baseline) - l.baseline)
}

// completed counts a good completion that ran at the current limit. From the
// cold limit, growth takes warmAfter of them, because a backend server warms by
// completed requests; after that one per slot for each step.
func (l *limiter) completed() {
	l.good++
	need := l.limit
	if l.limit == l.cold {
		need = max(need, l.warmAfter*l.backoff)
	}
	if l.good < need || l.limit >= l.warm {
		return
	}
	step := max(1, int(math.Round(float64(l.limit)*growthStep)))
	l.set(min(l.warm, l.limit+step))
	if l.limit == l.warm {
		l.backoff = 1
	}
}
