package releases

import (
	"math"

	"hyssoploom/rollout"
)

// Rule is a test of a version.
type Rule struct {
	Name string
	test func(e *rollout.Evidence) rollout.TestResult
	ramp bool // Budget grows with ratings; else it is full from the start
}

// byJudge is the test of package rollout.
func byJudge(e *rollout.Evidence) rollout.TestResult {
	return e.EvaluateVersion(candidate, baseline.Version, rollout.ComparisonConfig{})
}

// badIf returns the finding of a rule that knows no good versions.
func badIf(bad bool) rollout.TestResult {
	if bad {
		return rollout.TestResult{Verdict: rollout.Bad}
	}
	return rollout.TestResult{}
}

// byFixedRates is Wald's test of the baseline's pass rate against one that is
// lower by 0.2, at the same level.
func byFixedRates(e *rollout.Evidence) rollout.TestResult {
	c, b := ratingArm(e.Totals(candidate)), ratingArm(e.Totals(baseline))
	if b.n() == 0 {
		return rollout.TestResult{}
	}
	p0 := min(0.99, max(0.22, b.rate()))
	p1 := p0 - 0.2
	return badIf(c.pass*math.Log(p1/p0)+c.fail*math.Log((1-p1)/(1-p0)) > math.Log(1/0.0005))
}

// byWindow compares after every 30 ratings, one-sided at the level 0.0005.
func byWindow(e *rollout.Evidence) rollout.TestResult {
	const window, z = 30, 3.29
	c, b := ratingArm(e.Totals(candidate)), ratingArm(e.Totals(baseline)).capped()
	if c.n() < window || b.n() == 0 {
		return rollout.TestResult{}
	}
	p := (c.pass + b.pass) / (c.n() + b.n())
	return badIf((b.rate()-c.rate())/math.Sqrt(max(1e-9, p*(1-p)*(1/c.n()+1/b.n()))) > z)
}

// Rules are the test in use and those that it was weighed against.
var Rules = []Rule{
	{"sequential, unknown rates; budget grows", byJudge, true},
	{"sequential, unknown rates; full budget", byJudge, false},
	{"Wald, fixed rates; budget grows", byFixedRates, true},
	{"window of 30; budget grows", byWindow, true},
}

// baselineCap bounds the number of baseline answers that byWindow counts, as the
// test of package rollout does.
const baselineCap = 200

// arm holds the ratings of one version; scaled counts need not be whole.
type arm struct{ pass, fail float64 }

func (a arm) n() float64    { return a.pass + a.fail }
func (a arm) rate() float64 { return a.pass / a.n() }

func (a arm) capped() arm {
	if n := a.n(); n > baselineCap {
		return arm{a.pass * baselineCap / n, a.fail * baselineCap / n}
	}
	return a
}

func ratingArm(c rollout.Counts) arm {
	return arm{float64(c.Passed), float64(c.Rated) - float64(c.Passed)}
}
