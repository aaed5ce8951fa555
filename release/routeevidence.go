package release

import (
	"math"
	"time"
)

// TimeSlices is the number of equal parts of a rollout in which answers are counted apart,
// so that the failures of a version that turns bad late are not lost among its earlier
// answers.
const TimeSlices = 4

// RouteAnswers counts the answers of one version on one route. Repeats of a request that
// failed are not counted: they tend to fail again.
type RouteAnswers struct {
	Answers, Failed int
	// Timed counts the complete answers whose response time has a baseline, and Slow
	// those of them that were slow (see LatencyBaselines.Slow).
	Timed, Slow int
}

// Add returns the sum of two counts, field by field.
func (a RouteAnswers) Add(o RouteAnswers) RouteAnswers {
	return RouteAnswers{a.Answers + o.Answers, a.Failed + o.Failed, a.Timed + o.Timed, a.Slow + o.Slow}
}

// RouteRecord holds the answers of both versions on one route.
type RouteRecord struct {
	// Before counts the answers of the old version before the order. Old and Target
	// count those of each time slice since.
	Before      RouteAnswers
	Old, Target [TimeSlices]RouteAnswers
}

// RouteEvidence holds the answers of both versions of a rollout by route. The versions are
// compared on each route by itself, because routes fail at very different rates and the
// versions may serve them in different shares.
type RouteEvidence map[string]*RouteRecord

// Route returns the record of a route, which it adds if needed.
func (e RouteEvidence) Route(route string) *RouteRecord {
	record := e[route]
	if record == nil {
		record = &RouteRecord{}
		e[route] = record
	}
	return record
}

// Merge adds the answers of another process.
func (e RouteEvidence) Merge(o RouteEvidence) {
	for route, from := range o {
		to := e.Route(route)
		to.Before = to.Before.Add(from.Before)
		for i := range TimeSlices {
			to.Old[i] = to.Old[i].Add(from.Old[i])
			to.Target[i] = to.Target[i].Add(from.Target[i])
		}
	}
}

// TimeSlice returns the time slice of an answer.
func TimeSlice(elapsed, duration time.Duration) int {
	return min(max(int(elapsed*TimeSlices/max(duration, 1)), 0), TimeSlices-1)
}

const (
	// maxEarlierAnswers bounds the weight of the old version's answers on a route from
	// before the compared time: its failure rate changes with the state of the platform.
	maxEarlierAnswers = 40
	// maxComparedAnswers bounds the weight of the old version's answers on a route. A
	// rise below its inverse is not distinguished from chance.
	maxComparedAnswers = 300
	// jeffreysPrior is the number of pseudo-answers of each kind that are added to those
	// of the old version.
	jeffreysPrior = 0.5
	// tolerableSlowRise is a share of additional slow answers that does not count against
	// a version: a new one starts with empty caches.
	tolerableSlowRise = 0.01
	// weightAllRoutes is the weight of the hypothesis that the version is worse on all
	// routes, against that it is worse on one of them.
	weightAllRoutes = 0.6
)

// rises are the shares of additional failures, or slow answers, that a bad version is
// tested for.
var rises = [...]float64{0.15, 0.3, 0.6}

// comparison is the old version's answers on one route, as the parameters of the beta
// distribution of their failure rate, and the number of the new version's answers and
// failures.
type comparison struct {
	failed, passed float64
	answers, bad   int
}

// Suspicion is the weight of the evidence against a new version. Both numbers are natural
// logarithms of likelihood ratios: of its answers if it fails, or is slow, more often than
// the old version, and if it is no worse.
type Suspicion struct {
	// LogE is that of an e-value, the ratio averaged over all routes or one, the time since
	// when, and by how much. For a good version it exceeds log(n) at any time during the
	// rollout with a probability of less than 1/n.
	LogE float64
	// Peak is the highest ratio. It is positive for many good versions.
	Peak float64
}

// Suspicion compares the versions.
func (e RouteEvidence) Suspicion() Suspicion {
	total, peak := 0.0, 0.0
	average := func(tolerableRise float64, count func(RouteAnswers) (answers, bad int)) {
		for since := range TimeSlices {
			value, highest := eValue(e.comparisons(since, count), tolerableRise)
			total += value / (2 * TimeSlices)
			peak = max(peak, highest)
		}
	}
	average(0, func(a RouteAnswers) (answers, bad int) { return a.Answers, a.Failed })
	average(tolerableSlowRise, func(a RouteAnswers) (answers, bad int) { return a.Timed, a.Slow })
	return Suspicion{LogE: math.Log(total), Peak: peak}
}

// comparisons returns the comparison of each route on which the new version has answers
// since a time slice.
func (e RouteEvidence) comparisons(since int, count func(RouteAnswers) (answers, bad int)) []comparison {
	var list []comparison
	for _, record := range e {
		var earlier, old, target RouteAnswers
		for i := range TimeSlices {
			if i < since {
				earlier = earlier.Add(record.Old[i])
			} else {
				old, target = old.Add(record.Old[i]), target.Add(record.Target[i])
			}
		}
		answers, bad := count(target)
		if answers == 0 {
			continue
		}
		earlierFailed, earlierPassed := weigh(count, earlier.Add(record.Before), maxEarlierAnswers)
		failed, passed := weigh(count, old, maxComparedAnswers)
		list = append(list, comparison{
			failed: failed + earlierFailed + jeffreysPrior, passed: passed + earlierPassed + jeffreysPrior,
			answers: answers, bad: min(bad, answers),
		})
	}
	return list
}

// weigh returns the failed and passed answers, scaled down to at most limit in all.
func weigh(count func(RouteAnswers) (answers, bad int), a RouteAnswers, limit float64) (failed, passed float64) {
	answers, bad := count(a)
	if answers == 0 {
		return 0, 0
	}
	scale := min(limit/float64(answers), 1)
	bad = min(bad, answers)
	return float64(bad) * scale, float64(answers-bad) * scale
}

// eValue averages the likelihood ratio over the rises, on all routes together and on each.
// peak is the logarithm of the highest ratio.
func eValue(routes []comparison, tolerableRise float64) (value, peak float64) {
	if len(routes) == 0 {
		return 1, 0
	}
	var all [len(rises)]float64
	allTolerable, one := 0.0, 0.0
	for _, r := range routes {
		tolerable := r.logRatio(tolerableRise)
		allTolerable += tolerable
		for i, rise := range rises {
			ratio := r.logRatio(rise)
			all[i] += ratio
			ratio -= max(tolerable, 0)
			one += math.Exp(ratio)
			peak = max(peak, ratio)
		}
	}
	together := 0.0
	for _, ratio := range all {
		ratio -= max(allTolerable, 0)
		together += math.Exp(ratio)
		peak = max(peak, ratio)
	}
	n := float64(len(rises))
	return weightAllRoutes*together/n + (1-weightAllRoutes)*one/(n*float64(len(routes))), peak
}

// logRatio returns the logarithm of the likelihood of the new version's answers if a share
// rise of those that would pass fails, divided by their likelihood if none does. The
// failure rate of the old version is integrated out.
func (c comparison) logRatio(rise float64) float64 {
	// The sum is over the number j of failures that the old version would have had too;
	// the terms are relative to that of j = bad.
	const rescale = 1e200
	term, sum, logScale := 1.0, 1.0, 0.0
	for j := c.bad; j > 0; j-- {
		term *= rise * float64(j) / float64(c.bad-j+1) * (c.passed + float64(c.answers-j)) / (c.failed + float64(j-1))
		sum += term
		if sum > rescale {
			term, sum, logScale = term/rescale, sum/rescale, logScale+math.Log(rescale)
		}
	}
	if rise == 0 {
		return 0
	}
	return logScale + math.Log(sum) + float64(c.answers-c.bad)*math.Log1p(-rise)
}
