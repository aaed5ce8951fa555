package rollout

import (
	"math"

	"hyssoploom/config"
)

// Verdict is the result of a test so far.
type Verdict int

// Verdicts. Good lifts the limit on exposure but does not end the test, so that a
// version that turns bad later is still detected.
const (
	Continue Verdict = iota
	Bad
	Good
)

func (v Verdict) String() string {
	return [...]string{"continue", "bad", "good"}[v]
}

// ComparisonConfig holds the parameters of the comparison of a version with its
// baseline. Zero fields take the defaults.
type ComparisonConfig struct {
	// Alpha bounds the probability that a good version ever gets the verdict Bad;
	// default 0.005. The bound is loose; TestMeasureFalseQuarantines
	// (measure/releases) measures the actual probability.
	Alpha float64
	// Margin is the decrease of the pass rate that is still acceptable; default 0.02.
	Margin float64
	// ErrorMargin is the increase of the error rate that is still acceptable; default
	// 0.02.
	ErrorMargin float64
	// GoodRated is the minimum number of ratings for the verdict Good; default 100.
	GoodRated uint64
	// GoodMargin is the decrease of the pass rate that Good rules out; default 0.1.
	GoodMargin float64
}

func (c ComparisonConfig) withDefaults() ComparisonConfig {
	setDefault(&c.Alpha, 0.005)
	setDefault(&c.Margin, 0.02)
	setDefault(&c.ErrorMargin, 0.02)
	setDefault(&c.GoodMargin, 0.1)
	if c.GoodRated == 0 {
		c.GoodRated = 100
	}
	return c
}

func setDefault(p *float64, v float64) {
	if *p == 0 {
		*p = v
	}
}

// maxBaselineAnswers bounds the number of baseline answers in a comparison. The
// penalty for not knowing the baseline's rate grows with the logarithm of its
// answers, and beyond a few hundred answers they add little information.
const maxBaselineAnswers = 200

// minControlRatings is the number of ratings of the control group from which the
// baseline's ratings from before the test are no longer used.
const minControlRatings = 50

// nonInferiorityZ is the 99% quantile of the standard normal distribution, for a
// one-sided test.
const nonInferiorityZ = 2.33

// Weights of the e-values in the combined test; they sum to 1. A weighted average
// of e-values is an e-value, so Alpha holds for the combined test.
const (
	weightRatings     = 0.5
	weightTaskClasses = 0.25
	weightErrors      = 0.25
)

// TestResult is a verdict with the component of the test that decided it.
type TestResult struct {
	Verdict Verdict
	// Reason is set for Bad: "ratings", "ratings of one task class" or "errors".
	Reason string
	// LogE is the natural logarithm of the e-value against the version.
	LogE float64
}

// Evaluate compares a candidate with its baseline, without stratification by task
// class and data centre. Prefer Evidence.EvaluateVersion where the counters by
// stratum are available.
//
// The test is sequential: it may be repeated after every answer. Its statistic is
// an e-value: the likelihood of both versions' results, averaged over a Jeffreys
// prior for each pass rate, divided by the highest likelihood under any pair of
// rates at which the candidate is no worse than the baseline. For a good version
// its expectation is at most 1 at any stopping time, so by Ville's inequality it
// ever reaches 1/Alpha with a probability of at most Alpha. Unlike a test with
// fixed rates it does not assume a pass rate, and a baseline with few answers
// makes the result weaker but not invalid. Failures that affect both versions
// alike leave it below 1.
func Evaluate(candidate, baseline Counts, cfg ComparisonConfig) Verdict {
	c := cells{{0, withoutErrors(candidate)}, {taskClassCells, candidate}}
	b := cells{{0, withoutErrors(baseline)}, {taskClassCells, baseline}}
	return evaluate(c, b, b, cfg).Verdict
}

func withoutErrors(c Counts) Counts {
	c.Errors = 0
	return c
}

// EvaluateVersion tests a version against its baseline, with ratings stratified by
// task class and errors by data centre. Errors in a data centre where the baseline
// had no answers are not counted, because they cannot be distinguished from a
// failure of the data centre. There the exposure budget limits the version,
// because a failed answer keeps its slot for ratingTimeout.
func (e *Evidence) EvaluateVersion(candidate VersionKey, baseline string, cfg ComparisonConfig) TestResult {
	control := e.totals[ControlKey(candidate, baseline)]
	ratings := control
	if sumCounts(control, isTaskClassCell).Rated < minControlRatings {
		ratings = e.totals[VersionKey{candidate.Model, baseline}]
	}
	return evaluate(e.totals[candidate], ratings, control, cfg)
}

// ControlKey returns the key of the control group of a test: answers of the baseline
// are recorded under it a second time while the candidate is tested. Errors are
// compared with those of the same period only. In a comparison with the baseline's
// whole history, every failure of the platform during the test would count against
// the candidate.
func ControlKey(candidate VersionKey, baseline string) VersionKey {
	return VersionKey{candidate.Model, baseline + "|" + candidate.Version}
}

// RecordKeys returns the keys under which an answer of a version is recorded: its
// own key and the control key of each active version that is tested against it.
func RecordKeys(m *config.Model, version string) []VersionKey {
	keys := []VersionKey{{m.Name, version}}
	for _, v := range m.Versions {
		if v.Baseline == version && v.State == config.VersionActive {
			keys = append(keys, ControlKey(VersionKey{m.Name, v.Version}, version))
		}
	}
	return keys
}

func sumCounts(c cells, want func(uint8) bool) Counts {
	var out Counts
	for _, n := range c {
		if want(n.ID) {
			out = out.add(n.Counts)
		}
	}
	return out
}

// evaluate compares ratings with those in baseline and errors with those in control.
func evaluate(candidate, baseline, control cells, cfg ComparisonConfig) TestResult {
	cfg = cfg.withDefaults()
	pooled, byTaskClass := compareRatings(candidate, baseline, cfg.Margin)
	errors := compareErrors(candidate, control, cfg.ErrorMargin)
	components := []struct {
		reason    string
		logEValue float64 // weighted
	}{
		{"ratings", pooled + math.Log(weightRatings)},
		{"ratings of one task class", byTaskClass + math.Log(weightTaskClasses)},
		{"errors", errors + math.Log(weightErrors)},
	}
	strongest, total := 0, 0.0
	for i, c := range components {
		total += math.Exp(c.logEValue)
		if c.logEValue > components[strongest].logEValue {
			strongest = i
		}
	}
	result := TestResult{LogE: math.Log(total)}
	switch {
	case total >= 1/cfg.Alpha:
		result.Verdict, result.Reason = Bad, components[strongest].reason
	case total < 1 && notInferior(candidate, baseline, cfg):
		result.Verdict = Good
	}
	return result
}

// arm holds the results of one side of a comparison. Scaled counts may be
// fractions.
type arm struct{ pass, fail float64 }

func (a arm) n() float64    { return a.pass + a.fail }
func (a arm) rate() float64 { return a.pass / a.n() }

func (a arm) capped() arm {
	if n := a.n(); n > maxBaselineAnswers {
		return arm{a.pass * maxBaselineAnswers / n, a.fail * maxBaselineAnswers / n}
	}
	return a
}

func ratingArm(c Counts) arm { return arm{float64(c.Passed), float64(c.Rated) - float64(c.Passed)} }

func errorArm(c Counts) arm {
	failed := min(float64(c.Errors), float64(c.Answers))
	return arm{float64(c.Answers) - failed, failed}
}

// compareRatings returns the logarithms of the e-value over all task classes and of
// the average of the e-values by task class.
func compareRatings(candidate, baseline cells, margin float64) (pooled, byTaskClass float64) {
	c, b := standardize(candidate, baseline, isTaskClassCell, ratingArm)
	var total float64
	for _, n := range candidate {
		if base := baseline.counts(n.ID); isTaskClassCell(n.ID) && n.Rated > 0 && base.Rated > 0 {
			total += math.Exp(logEValue(ratingArm(n.Counts), ratingArm(base).capped(), margin))
		}
	}
	return logEValue(c, b, margin), math.Log(total / taskClassCells)
}

func compareErrors(candidate, control cells, margin float64) float64 {
	c, b := standardize(candidate, control, func(id uint8) bool { return !isTaskClassCell(id) }, errorArm)
	return logEValue(c, b, margin)
}

// standardize pools the strata in which both versions have results. It weights the
// baseline's rate in each stratum by the candidate's share of results there;
// otherwise a version that received harder tasks would appear worse.
func standardize(candidate, baseline cells, want func(uint8) bool, of func(Counts) arm) (c, b arm) {
	for _, n := range candidate {
		if a := of(n.Counts); want(n.ID) && a.n() > 0 && of(baseline.counts(n.ID)).n() > 0 {
			c.pass, c.fail = c.pass+a.pass, c.fail+a.fail
		}
	}
	var rate, inverseN float64
	for _, n := range candidate {
		a, base := of(n.Counts), of(baseline.counts(n.ID))
		if !want(n.ID) || a.n() == 0 || base.n() == 0 {
			continue
		}
		w := a.n() / c.n()
		rate += w * base.rate()
		inverseN += w * w / base.n()
	}
	if inverseN == 0 {
		return arm{}, arm{}
	}
	n := min(1/inverseN, maxBaselineAnswers) // effective number of baseline answers
	return c, arm{rate * n, (1 - rate) * n}
}

// logEValue returns the natural logarithm of the e-value (see Evaluate) for the
// hypothesis that the pass rate of c is lower than that of b by more than margin.
func logEValue(c, b arm, margin float64) float64 {
	if c.n() == 0 || b.n() == 0 || c.rate() >= b.rate()-margin {
		return math.Inf(-1)
	}
	return logMarginalLikelihood(c) + logMarginalLikelihood(b) - maxLogNullLikelihood(c, b, margin)
}

// logMarginalLikelihood averages the likelihood of a over a Jeffreys prior for its
// pass rate.
func logMarginalLikelihood(a arm) float64 {
	return logBeta(a.pass+0.5, a.fail+0.5) - math.Log(math.Pi)
}

func logBeta(x, y float64) float64 {
	lx, _ := math.Lgamma(x)
	ly, _ := math.Lgamma(y)
	lxy, _ := math.Lgamma(x + y)
	return lx + ly - lxy
}

// maxLogNullLikelihood returns the highest log likelihood under the null hypothesis
// that the rate of c is at least the rate of b minus margin, for results outside
// that region. The maximum is then on its boundary, where the log likelihood is
// concave, so a ternary search finds it.
func maxLogNullLikelihood(c, b arm, margin float64) float64 {
	at := func(p float64) float64 { return logLikelihood(c, p) + logLikelihood(b, p+margin) }
	lo, hi := 0.0, 1-margin
	const steps = 24 // narrows the interval to less than 1e-4; the maximum is flat
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
	const tiny = 1e-12 // keeps the logarithm finite at p = 0 and p = 1
	return a.pass*math.Log(max(p, tiny)) + a.fail*math.Log(max(1-p, tiny))
}

// notInferior reports whether there are enough ratings and the candidate's pass rate
// is lower than the baseline's by less than GoodMargin with 99% confidence.
func notInferior(candidate, baseline cells, cfg ComparisonConfig) bool {
	c, b := standardize(candidate, baseline, isTaskClassCell, ratingArm)
	if c.n() < float64(cfg.GoodRated) {
		return false
	}
	variance := func(a arm) float64 { // with two pseudo-results, so that it is never 0
		p := (a.pass + 1) / (a.n() + 2)
		return p * (1 - p) / a.n()
	}
	se := math.Sqrt(variance(c) + variance(b))
	return c.rate()-b.rate()-nonInferiorityZ*se > -cfg.GoodMargin
}
