package room

import (
	"math"
	"time"
)

const (
	// lengthQuantile is the quantile of the output lengths that is expected: engines run
	// out of memory by the long ones.
	lengthQuantile = 0.75
	// largeQuantile is the quantile of a kind's needs for which room is kept.
	largeQuantile = 0.9
	// quantileStep is the relative change of a quantile per observation.
	quantileStep = 0.05
	// largeMemory is the time in which the needs of a kind that is not asked for decay to
	// 1/e: longer than the pauses of a kind that is in use.
	largeMemory = 30 * time.Second
	// idleAfter is the pause of a kind from which on its needs decay: entries with few
	// clients see a request of a kind each few seconds.
	idleAfter = 10 * time.Second
	// minRatio and maxRatio bound the ratio of output to the client's estimate.
	minRatio, maxRatio = 0.1, 20
	// defaultShare is the share of the maximum output that is expected at first, without an
	// estimate by the client.
	defaultShare = 0.3
)

// Lengths learns by kind of request how long outputs are and how much memory the largest
// requests need. The zero value is ready to use.
type Lengths struct {
	kinds map[string]*kind
}

type kind struct {
	ratio float64 // of the output to the client's estimate
	share float64 // of the output of the maximum, without an estimate
	large float64 // tokens, at the time at
	at    time.Time
}

func (l *Lengths) kind(name string) *kind {
	if l.kinds == nil {
		l.kinds = make(map[string]*kind)
	}
	k := l.kinds[name]
	if k == nil {
		k = &kind{ratio: 1, share: defaultShare}
		l.kinds[name] = k
	}
	return k
}

// Output returns the expected output of a request in tokens: at most maximum, whatever the
// client estimates. hint is 0 without an estimate.
func (l *Lengths) Output(name string, hint, maximum int64) int64 {
	k := l.kind(name)
	maximum = max(maximum, 0)
	if hint <= 0 {
		return int64(k.share * float64(maximum))
	}
	return int64(min(k.ratio*float64(hint), float64(maximum)))
}

// ObserveOutput records the length of a whole output.
func (l *Lengths) ObserveOutput(name string, hint, maximum, tokens int64) {
	k := l.kind(name)
	if hint > 0 {
		k.ratio = min(max(follow(k.ratio, float64(tokens)/float64(hint), lengthQuantile), minRatio), maxRatio)
	} else if maximum > 0 {
		k.share = min(max(follow(k.share, float64(tokens)/float64(maximum), lengthQuantile), 0), 1)
	}
}

// ObserveNeed records the memory that a request of a kind needs.
func (l *Lengths) ObserveNeed(now time.Time, name string, need int64) {
	k := l.kind(name)
	if k.large = k.largeAt(now); k.large < 1 {
		k.large = float64(need)
	} else {
		k.large = follow(k.large, float64(need), largeQuantile)
	}
	k.at = now
}

// largeAt returns the need of the largest tenth. It falls while the kind is not asked for, so
// that no room is kept for a kind that has ceased.
func (k *kind) largeAt(now time.Time) float64 {
	idle := max(now.Sub(k.at)-idleAfter, 0)
	return k.large * math.Exp(-idle.Seconds()/largeMemory.Seconds())
}

// Reserve returns the memory that a request leaves free for the largest tenth of each kind:
// 0 if it is one of them itself.
func (l *Lengths) Reserve(now time.Time, need int64) int64 {
	largest := 0.0
	for _, k := range l.kinds {
		largest = max(largest, k.largeAt(now))
	}
	if float64(need) >= largest {
		return 0
	}
	return int64(largest)
}

// Retain drops the kinds for which keep returns false.
func (l *Lengths) Retain(keep func(name string) bool) {
	for name := range l.kinds {
		if !keep(name) {
			delete(l.kinds, name)
		}
	}
}

// follow moves an estimate of a quantile by one observation.
func follow(estimate, observed, quantile float64) float64 {
	if observed > estimate {
		return estimate * (1 + quantileStep*quantile)
	}
	return estimate * (1 - quantileStep*(1-quantile))
}
