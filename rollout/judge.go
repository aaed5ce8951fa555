package rollout

import (
	"math"

	"hyssoploom/config"
)

// Verdict is the state of a test.
type Verdict int

// The verdicts. Good ends the exposure budget but not the test: a version that
// turns bad later is still found.
const (
	Continue Verdict = iota
	Bad
	Good
)

func (v Verdict) String() string {
	return [...]string{"continue", "bad", "good"}[v]
}

// TestConfig tunes the test of a version. Zero fields take the defaults.
type TestConfig struct {
	// Alpha bounds the probability that a good version is ever judged bad; 0.005.
	// The bound is loose: of 6,000 good releases in TestMeasureFalseQuarantines
	// (measure/releases) none was judged bad.
	Alpha float64
	// Margin is the fall in the pass rate that still counts as good; 0.02.
	Margin float64
	// ErrorMargin is the rise in the error rate that still counts as good; 0.02.
	ErrorMargin float64
	// GoodRated is the number of ratings before a version may be good; 100.
	GoodRated uint64
	// GoodMargin is the fall in the pass rate that Good rules out; 0.1.
	GoodMargin float64
}

func (c TestConfig) withDefaults() TestConfig {
	orDefault(&c.Alpha, 0.005)
	orDefault(&c.Margin, 0.02)
	orDefault(&c.ErrorMargin, 0.02)
	orDefault(&c.GoodMargin, 0.1)
	if c.GoodRated == 0 {
		c.GoodRated = 100
	}
	return c
}

func orDefault(p *float64, v float64) {
	if *p == 0 {
		*p = v
	}
}

// baselineCap bounds the number of baseline answers in a comparison. The cost
// of not knowing the baseline's rate grows with the logarithm of its answers,
// and beyond some hundred answers they add little.
const baselineCap = 200

// controlRated is the number of ratings of the baseline during the test from
// which the ratings before the test are no longer used.
const controlRated = 50

// goodZ is the one-sided 99% quantile of the normal distribution.
const goodZ = 2.33

// Weights of the parts of the test; they sum to 1. An average of e-values is an
// e-value, so the level holds for all parts together.
const (
	weightRatings = 0.5
	weightClasses = 0.25
	weightErrors  = 0.25
)

// TestResult is a verdict with the part of the test that decided it.
type TestResult struct {
	Verdict Verdict
	// Reason is "ratings", "ratings of one task class" or "errors" for Bad.
	Reason string
	// LogE is the natural logarithm of the evidence against the version.
	LogE float64
}

// Evaluate compares a candidate with its baseline without regard to task class
// and data centre. EvaluateVersion is the test to use where the evidence is at
// hand.
//
// The test is sequential: it may be repeated after every answer. Its statistic
// is the likelihood of both versions' results, averaged over a Jeffreys prior
// for each pass rate, divided by the highest likelihood under any pair of rates
// at which the candidate is no worse than the baseline. For a good version its
// expectation is at most 1 at any stopping time, so that by Ville's inequality
// it ever reaches 1/Alpha with probability at most Alpha. Unlike a test with
// fixed rates it needs no assumed pass rate, and a baseline with few answers
// weakens the evidence instead of falsifying it. Failures that hit both alike
// leave it below 1.
func Evaluate(candidate, baseline Counts, cfg TestConfig) Verdict {
	c := cells{{0, withoutErrors(candidate)}, {classCells, candidate}}
	b := cells{{0, withoutErrors(baseline)}, {classCells, baseline}}
	return judge(c, b, b, cfg).Verdict
}

func withoutErrors(c Counts) Counts {
	c.Errors = 0
	return c
}

// EvaluateVersion tests a version against its baseline, by task class for ratings
// and by data centre for errors. Errors in a data centre where the baseline
// answered nothing do not count, because nothing tells them from a failure of
// the data centre; an answer that failed keeps its slot, so there the exposure
// budget holds the version back.
func (e *Evidence) EvaluateVersion(candidate VersionKey, baseline string, cfg TestConfig) TestResult {
	control := e.totals[ControlKey(candidate, baseline)]
	ratings := control
	if sum(control, isClass).Rated < controlRated {
		ratings = e.totals[VersionKey{candidate.Model, baseline}]
	}
	return judge(e.totals[candidate], ratings, control, cfg)
}

// ControlKey is the key under which answers of the baseline are recorded a
// second time while candidate is tested. Errors are compared with those of the
// same period only: set against the baseline's whole history, any failure of
// the platform during the test would count against the candidate.
func ControlKey(candidate VersionKey, baseline string) VersionKey {
	return VersionKey{candidate.Model, baseline + "|" + candidate.Version}
}

// RecordKeys lists the keys under which an answer of a version is recorded: its
// own and one for each active version that is tested against it.
func RecordKeys(m *config.Model, version string) []VersionKey {
	keys := []VersionKey{{m.Name, version}}
	for _, v := range m.Versions {
		if v.Baseline == version && v.State == config.VersionActive {
			keys = append(keys, ControlKey(VersionKey{m.Name, v.Version}, version))
		}
	}
	return keys
}

func sum(c cells, want func(uint8) bool) Counts {
	var out Counts
	for _, n := range c {
		if want(n.ID) {
			out = out.add(n.Counts)
		}
	}
	return out
}

// judge tests ratings against those in baseline and errors against control.
func judge(candidate, baseline, control cells, cfg TestConfig) TestResult {
	cfg = cfg.withDefaults()
	pooled, classes := compareRatings(candidate, baseline, cfg.Margin)
	errors := compareErrors(candidate, control, cfg.ErrorMargin)
	parts := []struct {
		reason string
		logE   float64
	}{
		{"ratings", pooled + math.Log(weightRatings)},
		{"ratings of one task class", classes + math.Log(weightClasses)},
		{"errors", errors + math.Log(weightErrors)},
	}
	best, total := 0, 0.0
	for i, p := range parts {
		total += math.Exp(p.logE)
		if p.logE > parts[best].logE {
			best = i
		}
	}
	f := TestResult{LogE: math.Log(total)}
	switch {
	case total >= 1/cfg.Alpha:
		f.Verdict, f.Reason = Bad, parts[best].reason
	case total < 1 && notInferior(candidate, baseline, cfg):
		f.Verdict = Good
	}
	return f
}

// arm is one side of a comparison; scaled counts need not be whole.
type arm struct{ pass, fail float64 }

func (a arm) n() float64    { return a.pass + a.fail }
func (a arm) rate() float64 { return a.pass / a.n() }

func (a arm) capped() arm {
	if n := a.n(); n > baselineCap {
		return arm{a.pass * baselineCap / n, a.fail * baselineCap / n}
	}
	return a
}

func ratingArm(c Counts) arm { return arm{float64(c.Passed), float64(c.Rated) - float64(c.Passed)} }

func errorArm(c Counts) arm {
	failed := min(float64(c.Errors), float64(c.Answers))
	return arm{float64(c.Answers) - failed, failed}
}

// compareRatings returns the evidence over all task classes and the average of
// the evidence in each.
func compareRatings(candidate, baseline cells, margin float64) (pooled, classes float64) {
	c, b := standardize(candidate, baseline, isClass, ratingArm)
	var total float64
	for _, n := range candidate {
		if base := baseline.at(n.ID); isClass(n.ID) && n.Rated > 0 && base.Rated > 0 {
			total += math.Exp(logE(ratingArm(n.Counts), ratingArm(base).capped(), margin))
		}
	}
	return logE(c, b, margin), math.Log(total / classCells)
}

func compareErrors(candidate, control cells, margin float64) float64 {
	c, b := standardize(candidate, control, func(id uint8) bool { return !isClass(id) }, errorArm)
	return logE(c, b, margin)
}

// standardize pools the strata that both versions have, weighting the
// baseline's rates by the candidate's share of answers in each. Otherwise a
// version that happened to get the harder tasks would look worse.
func standardize(candidate, baseline cells, want func(uint8) bool, of func(Counts) arm) (c, b arm) {
	for _, n := range candidate {
		if a := of(n.Counts); want(n.ID) && a.n() > 0 && of(baseline.at(n.ID)).n() > 0 {
			c.pass, c.fail = c.pass+a.pass, c.fail+a.fail
		}
	}
	var rate, spread float64
	for _, n := range candidate {
		a, base := of(n.Counts), of(baseline.at(n.ID))
		if !want(n.ID) || a.n() == 0 || base.n() == 0 {
			continue
		}
		w := a.n() / c.n()
		rate += w * base.rate()
		spread += w * w / base.n()
	}
	if spread == 0 {
		return arm{}, arm{}
	}
	n := min(1/spread, baselineCap) // effective number of baseline answers
	return c, arm{rate * n, (1 - rate) * n}
}

// logE is the logarithm of the evidence that c passes less often than b by more
// than margin.
func logE(c, b arm, margin float64) float64 {
	if c.n() == 0 || b.n() == 0 || c.rate() >= b.rate()-margin {
		return math.Inf(-1)
	}
	return logJeffreys(c) + logJeffreys(b) - logNull(c, b, margin)
}

func logJeffreys(a arm) float64 {
	return logBeta(a.pass+0.5, a.fail+0.5) - math.Log(math.Pi)
}

func logBeta(x, y float64) float64 {
	lx, _ := math.Lgamma(x)
	ly, _ := math.Lgamma(y)
	lxy, _ := math.Lgamma(x + y)
	return lx + ly - lxy
}

// logNull is the highest log likelihood at which c's rate is at least b's rate
// less margin. It lies on the border; the likelihood is concave there.
func logNull(c, b arm, margin float64) float64 {
	at := func(p float64) float64 { return logLikelihood(c, p) + logLikelihood(b, p+margin) }
	lo, hi := 0.0, 1-margin
	const steps = 24 // narrows the interval below 1e-4; the maximum is flat
	for range steps {
		third := (hi - lo) / 3
		if at(lo+third) < at(hi-third) {
			lo += third
		} else {
			hi -= third
		}
	}
	return at((lo + hi) / 2)
}

func logLikelihood(a arm, p float64) float64 {
	const tiny = 1e-12 // keeps the logarithm finite at the ends
	return a.pass*math.Log(max(p, tiny)) + a.fail*math.Log(max(1-p, tiny))
}

func notInferior(candidate, baseline cells, cfg TestConfig) bool {
	c, b := standardize(candidate, baseline, isClass, ratingArm)
	if c.n() < float64(cfg.GoodRated) {
		return false
	}
	variance := func(a arm) float64 { // with two added answers, so that it is never 0
		p := (a.pass + 1) / (a.n() + 2)
		return p * (1 - p) / a.n()
	}
	se := math.Sqrt(variance(c) + variance(b))
	return c.rate()-b.rate()-goodZ*se > -cfg.GoodMargin
}
