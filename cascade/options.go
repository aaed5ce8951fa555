package cascade

import (
	"math"
	"slices"
	"time"

	"hyssoploom/config"
)

// stageEstimate holds the estimates for one available stage.
type stageEstimate struct {
	stage int
	price float64
	// direct counts the ratings of requests that start at this stage, and after those
	// of requests that were escalated to it. Both include priors.
	direct, after               beta
	sampledDirect, sampledAfter float64 // pass probabilities sampled for this plan
	directWeight, afterWeight   float64 // number of ratings, without priors
}

// option is one possible sequence of stages.
type option struct {
	hops    []Hop
	quality float64 // expected
	sampled float64 // quality by the sampled probabilities
	cost    float64 // expected price per token
}

// enumerateOptions lists, for each stage, a release without a rating and, except for
// the last stage, a start with a rating that escalates on failure.
func enumerateOptions(estimates []stageEstimate, target float64, ungatedOnly bool) []option {
	var out []option
	for i, v := range estimates {
		out = append(out, option{hops: []Hop{{Stage: v.stage}}, quality: v.direct.mean(), sampled: v.sampledDirect, cost: v.price})
		if i+1 < len(estimates) && !ungatedOnly {
			out = append(out, gatedOption(estimates[i:], target))
		}
	}
	return out
}

// gatedOption starts at the first stage and waits for ratings until the sampled
// quality is high enough to release an answer of the next stage without one.
func gatedOption(estimates []stageEstimate, target float64) option {
	first := estimates[0]
	o := option{hops: []Hop{{first.stage, true}}, quality: first.direct.mean(), sampled: first.sampledDirect, cost: first.price}
	for i, v := range estimates[1:] {
		o.cost += (1 - o.quality) * v.price
		o.quality += (1 - o.quality) * v.after.mean()
		o.sampled += (1 - o.sampled) * v.sampledAfter
		done := i+2 == len(estimates) || o.sampled >= target
		o.hops = append(o.hops, Hop{v.stage, !done})
		if done {
			break
		}
	}
	return o
}

func (o option) price(wait float64) float64 {
	if o.hops[0].Gate {
		return o.cost + wait
	}
	return o.cost
}

// chooseOption returns the cheapest option whose sampled quality meets the target,
// lowered by the credit if there is any. If no option meets the target, it returns
// the cheapest of those with the best sampled quality.
func chooseOption(options []option, target, wait, credit float64) int {
	top := 0.0
	for _, o := range options {
		top = max(top, o.sampled)
	}
	floor := target - min(credit, maxShortfall)
	if top < target {
		floor = top - qualityTie
	}
	best := -1
	for i, o := range options {
		if o.sampled >= floor && (best < 0 || o.price(wait) < options[best].price(wait)) {
			best = i
		}
	}
	return best
}

// targetReachable reports whether any option is expected to meet the target.
func targetReachable(options []option, target float64) bool {
	return slices.ContainsFunc(options, func(o option) bool { return o.quality >= target })
}

// explorationOption returns a gated option that starts at a cheaper stage than best
// and at one with few ratings.
func explorationOption(options []option, estimates []stageEstimate, best int) (int, bool) {
	for i, o := range options {
		start := o.hops[0]
		if !start.Gate || start.Stage >= options[best].hops[0].Stage {
			continue
		}
		for _, v := range estimates {
			if v.stage == start.Stage && v.directWeight < exploreRatings {
				return i, true
			}
		}
	}
	return 0, false
}

// estimateStages returns the estimates of the available stages.
func (p *Policy) estimateStages(now time.Duration, r PlanRequest, u float64) []stageEstimate {
	local := p.classCache.get(classKey{r.Workspace, r.TaskClass})
	shared := p.classCache.get(classKey{"", r.TaskClass})
	var out []stageEstimate
	for i, s := range r.Stages {
		if !s.Available {
			continue
		}
		k := versionKey{s.Model, s.Version}
		l, g := local.version(now, k).aged(now), shared.version(now, k).aged(now)
		v := stageEstimate{stage: i, price: float64(s.Price),
			direct: poolEstimates(l.direct, g.direct), after: poolEstimates(l.after, g.after),
			directWeight: g.directWeight, afterWeight: g.afterWeight}
		if n := len(out); n > 0 {
			v.direct = v.direct.withPrior(directFromEscalations(out[n-1].direct, v.after), inferredRatings)
		}
		v.sampledDirect = p.cfg.Estimate(v.direct.pass+1, v.direct.fail+1, deriveUniform(u, 2*uint64(i)))
		v.sampledAfter = p.cfg.Estimate(v.after.pass+1, v.after.fail+1, deriveUniform(u, 2*uint64(i)+1))
		out = append(out, v)
	}
	if p.raterDown() && r.Cascade.OnRaterDown == config.RaterDownEscalate {
		excludeUnrated(out)
	}
	return out
}

// excludeUnrated rules out the stages whose version has few ratings, except the
// last stage: without a rater, the ratings inherited from another version cannot be
// verified.
func excludeUnrated(estimates []stageEstimate) {
	for i := 0; i+1 < len(estimates); i++ {
		if v := &estimates[i]; v.directWeight+v.afterWeight < exploreRatings {
			v.sampledDirect = 0
		}
	}
}

// deriveUniform derives the i-th of several independent uniform numbers from u,
// using the finalizer of SplitMix64.
func deriveUniform(u float64, i uint64) float64 {
	x := math.Float64bits(u) + (i+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// sampleBeta samples a Beta distribution in normal approximation. u is uniform in
// [0, 1).
func sampleBeta(pass, fail, u float64) float64 {
	n := pass + fail
	m := pass / n
	z := math.Sqrt2 * math.Erfinv(2*max(u, 1e-9)-1)
	return min(1, max(0, m+z*math.Sqrt(m*(1-m)/(n+1))))
}
