package release

import (
	"math"

	"hyssoploom/rollout"
)

// AnswerCounts counts the requests sent to one version and their answers.
type AnswerCounts struct {
	Sent, Good, Bad int
	// Timed counts the answers whose time could be evaluated, and Slow those of
	// them that were slow (see LatencyBaselines.Slow).
	Timed, Slow int
	// Paced counts the streams of nearly idle servers before sessions move in numbers, and
	// Fast those of them that were fast (see LatencyBaselines.Fast). A version that is a
	// few times slower as a whole has hardly any.
	Paced, Fast int
	// Steady counts the answers on routes that rarely fail, and SteadyBad those of
	// them that failed. A few failures there are stronger evidence than many on
	// other routes.
	Steady, SteadyBad int
}

// Add returns the sum of two counts, field by field.
func (t AnswerCounts) Add(o AnswerCounts) AnswerCounts {
	return AnswerCounts{t.Sent + o.Sent, t.Good + o.Good, t.Bad + o.Bad, t.Timed + o.Timed, t.Slow + o.Slow,
		t.Paced + o.Paced, t.Fast + o.Fast, t.Steady + o.Steady, t.SteadyBad + o.SteadyBad}
}

// Total returns the sum of all fields. It grows with each update and orders two
// states of the same counts.
func (t AnswerCounts) Total() int {
	return t.Sent + t.Good + t.Bad + t.Timed + t.Slow + t.Paced + t.Fast + t.Steady + t.SteadyBad
}

// passCounts returns the input of the sequential test for passed of all answers.
func passCounts(passed, all int) rollout.Counts {
	return rollout.Counts{Answers: uint64(all), Rated: uint64(all), Passed: uint64(passed)}
}

const (
	// falseAlarmRate bounds the probability that a good version is ever found bad.
	// The bound of the test is loose: TestFalseAlarms checks a lower rate.
	falseAlarmRate = 0.05
	// priorTimed and priorSlow are added to the timed answers of the old version,
	// because few of its answers can be timed under load.
	priorTimed = 30
	priorSlow  = 9
	// priorPaced and priorFast are added to the paced streams of the old version, whose
	// servers are rarely nearly idle.
	priorPaced = 80
	priorFast  = 62
	// slowMargin is the accepted rise in the share of slow answers: a new version
	// starts with empty caches.
	slowMargin = 0.02
	// failureMargin is the accepted rise in the share of failures.
	failureMargin = 0.02
	// likelyBadZScore is the difference between the versions, in standard errors,
	// above which a version is not completed although the sequential test has not
	// decided.
	likelyBadZScore = 2.6
	// likelyBadPaceZScore is that for the pace, a further comparison that must not add to
	// the false alarms.
	likelyBadPaceZScore = 3.2
)

// Evidence holds the answer counts of both versions of a rollout.
type Evidence struct {
	// Old and Target count the answers of the old and the new version since the
	// order.
	Old, Target AnswerCounts
}

// Add returns the sum of the evidence of two processes.
func (e Evidence) Add(o Evidence) Evidence { return Evidence{e.Old.Add(o.Old), e.Target.Add(o.Target)} }

// Bad reports whether the new version fails, or is slow, more often than the old
// one. It uses the sequential test of package rollout, so it may be called after
// every answer.
func (e Evidence) Bad() bool { return e.failsMoreOften() || e.isSlowMoreOften() }

func (e Evidence) failsMoreOften() bool {
	return e.anyFailureComparison(func(target, old rollout.Counts) bool { return worseBySequentialTest(target, old, failureMargin) })
}

func (e Evidence) isSlowMoreOften() bool {
	target, old := e.slowCounts()
	return worseBySequentialTest(target, old, slowMargin)
}

// LikelyBad reports whether a version that was not found bad should not be
// completed either. It is called once, at the end, and needs less evidence than
// Bad.
func (e Evidence) LikelyBad() bool {
	slowTarget, slowOld := e.slowCounts()
	return worseByZScore(slowTarget, slowOld, slowMargin) || e.hasWorsePace() ||
		e.anyFailureComparison(func(target, old rollout.Counts) bool { return worseByZScore(target, old, failureMargin) })
}

// hasWorsePace reports whether a smaller share of the streams of the new version is fast. The
// standard error is that of two equal shares: of few streams, often none is fast.
func (e Evidence) hasWorsePace() bool {
	target, old := paceCounts(e.Target, 0, 0), paceCounts(e.Old, priorPaced, priorFast)
	if target.Answers == 0 {
		return false
	}
	n, m := float64(target.Answers), float64(old.Answers)
	fast, oldFast := float64(target.Passed), float64(old.Passed)
	share := (fast + oldFast) / (n + m)
	return oldFast/m-fast/n-slowMargin > likelyBadPaceZScore*math.Sqrt(share*(1-share)*(1/n+1/m))
}

// paceCounts returns the streams whose pace is known, with a prior added; those that were
// not fast count as not passed.
func paceCounts(c AnswerCounts, paced, fast int) rollout.Counts {
	return passCounts(min(c.Fast, c.Paced)+fast, c.Paced+paced)
}

// anyFailureComparison applies compare to the failures on all routes, on steady
// routes and on the other routes: a version may fail on only one kind of route, and
// the old version may fail there too.
func (e Evidence) anyFailureComparison(compare func(target, old rollout.Counts) bool) bool {
	t, o := e.Target, e.Old
	return compare(failureCounts(t.Good+t.Bad, t.Bad), failureCounts(o.Good+o.Bad, o.Bad)) ||
		compare(failureCounts(t.Steady, t.SteadyBad), failureCounts(o.Steady, o.SteadyBad)) ||
		compare(failureCounts(t.Good+t.Bad-t.Steady, t.Bad-t.SteadyBad), failureCounts(o.Good+o.Bad-o.Steady, o.Bad-o.SteadyBad))
}

// failureCounts returns the input of the sequential test for failed of all answers.
// Counts of peers arrive independently, so a part may briefly exceed the whole.
func failureCounts(answers, failed int) rollout.Counts {
	answers = max(answers, 0)
	return passCounts(answers-min(max(failed, 0), answers), answers)
}

// slowCounts returns the timed answers of both versions; slow answers count as not
// passed.
func (e Evidence) slowCounts() (target, old rollout.Counts) {
	timed := e.Old.Timed + priorTimed
	return passCounts(e.Target.Timed-e.Target.Slow, e.Target.Timed), passCounts(timed-e.Old.Slow-priorSlow, timed)
}

func worseBySequentialTest(target, old rollout.Counts, margin float64) bool {
	return rollout.Evaluate(target, old, rollout.ComparisonConfig{Alpha: falseAlarmRate, Margin: margin}) == rollout.Bad
}

// worseByZScore compares the shares of answers that did not pass in units of their
// standard error.
func worseByZScore(target, old rollout.Counts, margin float64) bool {
	targetShare, targetVariance := failureShare(target)
	oldShare, oldVariance := failureShare(old)
	return targetShare-oldShare-margin > likelyBadZScore*math.Sqrt(targetVariance+oldVariance)
}

// failureShare returns the share of answers that did not pass and the variance of
// this estimate. One answer of either outcome is added, so that few answers give no
// evidence.
func failureShare(c rollout.Counts) (share, variance float64) {
	n := float64(c.Answers) + 2
	share = (float64(c.Answers-c.Passed) + 1) / n
	return share, share * (1 - share) / n
}
