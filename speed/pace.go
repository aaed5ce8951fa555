package speed

import (
	"slices"
	"time"
)

const (
	// paceIntervals is the number of intervals from which a pace is taken, and
	// minPaceIntervals that from which it is taken once paceTime has passed: a server that
	// turns slow shows it while its streams run.
	paceIntervals    = 8
	minPaceIntervals = 4
	paceTime         = 500 * time.Millisecond
	// paceQuantile is the quantile of the intervals that counts as the server's own: the
	// longer ones contain the reading of other prompts.
	paceQuantile = 0.25
)

// Pace takes the pace of a server from the events of one stream that runs on it. The zero
// value is ready for use. It answers servers whose mean interval says more of what they read
// for others than of their speed.
type Pace struct {
	last, since time.Time
	// late means that the last event was read late, so that the interval after it is shorter
	// than the server's.
	late      bool
	intervals []time.Duration
}

// Event records an event that has arrived. held means that the time since the last event was
// not the server's: the entry was late to read, or wrote to a slow client meanwhile. It
// returns the interval of the server if enough are known, and begins anew.
func (p *Pace) Event(now time.Time, held bool) (interval time.Duration, ok bool) {
	if last := p.last; !held && !p.late && !last.IsZero() {
		if len(p.intervals) == 0 {
			p.since = last
		}
		p.intervals = append(p.intervals, now.Sub(last))
	}
	p.last, p.late = now, held
	if n := len(p.intervals); n < minPaceIntervals || n < paceIntervals && now.Sub(p.since) < paceTime {
		return 0, false
	}
	slices.Sort(p.intervals)
	interval = p.intervals[int(paceQuantile*float64(len(p.intervals)))]
	p.intervals = p.intervals[:0]
	return interval, interval > 0
}
