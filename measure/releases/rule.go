package releases

import (
	"math"

	"hyssoploom/rollout"
)

// Rule is a way to test a version.
type Rule struct {
	Name       string
	test       func(e *rollout.Evidence) rollout.TestResult
	growBudget bool // the exposure budget grows with ratings; otherwise it is full from the start
}

// bySequentialTest is the test of package rollout.
func bySequentialTest(e *rollout.Evidence) rollout.TestResult {
	return e.EvaluateVersion(candidate, baseline.Version, rollout.ComparisonConfig{})
}

// verdictIfBad returns the result of a rule that never finds a version good.
func verdictIfBad(bad bool) rollout.TestResult {
	if bad {
		return rollout.TestResult{Verdict: rollout.Bad}
	}
	return rollout.TestResult{}
}

// byFixedRates is Wald's sequential probability ratio test of the baseline's pass
// rate against a rate lower by 0.2, at the level 0.0005.
func byFixedRates(e *rollout.Evidence) rollout.TestResult {
	c, b := ratingsOf(e.Totals(candidate)), ratingsOf(e.Totals(baseline))
	if b.n() == 0 {
		return rollout.TestResult{}
	}
	p0 := min(0.99, max(0.22, b.rate()))
	p1 := p0 - 0.2
	return verdictIfBad(c.pass*math.Log(p1/p0)+c.fail*math.Log((1-p1)/(1-p0)) > math.Log(1/0.0005))
}

// byWindow compares the pass rates once the candidate has 30 ratings, with a
// one-sided test at the level 0.0005.
func byWindow(e *rollout.Evidence) rollout.TestResult {
	const window, z = 30, 3.29
	c, b := ratingsOf(e.Totals(candidate)), ratingsOf(e.Totals(baseline)).capped()
	if c.n() < window || b.n() == 0 {
		return rollout.TestResult{}
	}
	p := (c.pass + b.pass) / (c.n() + b.n())
	return verdictIfBad((b.rate()-c.rate())/math.Sqrt(max(1e-9, p*(1-p)*(1/c.n()+1/b.n()))) > z)
}

// Rules are the test of package rollout, which comes first, and its alternatives.
var Rules = []Rule{
	{"sequential, unknown rates; budget grows", bySequentialTest, true},
	{"sequential, unknown rates; full budget", bySequentialTest, false},
	{"Wald, fixed rates; budget grows", byFixedRates, true},
	{"window of 30; budget grows", byWindow, true},
}

// maxBaselineRatings bounds the baseline ratings that byWindow counts, as the test of
// package rollout does.
const maxBaselineRatings = 200

// arm holds the ratings of one version. The counts are fractional after scaling.
type arm struct{ pass, fail float64 }

func (a arm) n() float64    { return a.pass + a.fail }
func (a arm) rate() float64 { return a.pass / a.n() }

// capped scales the ratings down to at most maxBaselineRatings.
func (a arm) capped() arm {
	if n := a.n(); n > maxBaselineRatings {
		return arm{a.pass * maxBaselineRatings / n, a.fail * maxBaselineRatings / n}
	}
	return a
}

func ratingsOf(c rollout.Counts) arm {
	return arm{float64(c.Passed), float64(c.Rated) - float64(c.Passed)}
}
