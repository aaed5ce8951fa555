package cascade

import (
	"math"
	"slices"
	"time"

	"hyssoploom/config"
)

// view is what is known about one available stage.
type view struct {
	stage int
	price float64
	// direct is the pass probability of answers that start here, and after that
	// of answers that follow a failure at the stage before.
	direct, after         beta
	drawDirect, drawAfter float64 // for this plan
	seenDirect, seenAfter float64 // ratings behind the estimates, without priors
}

// option is one way through a cascade.
type option struct {
	hops    []Hop
	quality float64 // expected
	drawn   float64 // quality by this plan's draws
	cost    float64 // expected price per token
}

// enumerate lists, for each stage, the release without a rating, and a start
// with a rating that escalates on failure.
func enumerate(views []view, target float64, ungatedOnly bool) []option {
	var out []option
	for i, v := range views {
		out = append(out, option{hops: []Hop{{Stage: v.stage}}, quality: v.direct.mean(), drawn: v.drawDirect, cost: v.price})
		if i+1 < len(views) && !ungatedOnly {
			out = append(out, gated(views[i:], target))
		}
	}
	return out
}

// gated starts at the first view and waits for ratings until an answer of the
// next stage is good enough to be released without one.
func gated(views []view, target float64) option {
	first := views[0]
	o := option{hops: []Hop{{first.stage, true}}, quality: first.direct.mean(), drawn: first.drawDirect, cost: first.price}
	for i, v := range views[1:] {
		o.cost += (1 - o.quality) * v.price
		o.quality += (1 - o.quality) * v.after.mean()
		o.drawn += (1 - o.drawn) * v.drawAfter
		done := i+2 == len(views) || o.drawn >= target
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

// choose returns the cheapest option whose drawn quality meets the target, if
// need be with the help of credit, or else the cheapest of those with the best
// drawn quality.
func choose(options []option, target, wait, credit float64) int {
	top := 0.0
	for _, o := range options {
		top = max(top, o.drawn)
	}
	floor := target - min(credit, maxShortfall)
	if top < target {
		floor = top - qualityTie
	}
	best := -1
	for i, o := range options {
		if o.drawn >= floor && (best < 0 || o.price(wait) < options[best].price(wait)) {
			best = i
		}
	}
	return best
}

// reachable reports whether any option is expected to meet the target.
func reachable(options []option, target float64) bool {
	return slices.ContainsFunc(options, func(o option) bool { return o.quality >= target })
}

// unexplored returns a gated option that starts at a cheaper stage than best
// does and at one that little is known about.
func unexplored(options []option, views []view, best int) (int, bool) {
	for i, o := range options {
		start := o.hops[0]
		if !start.Gate || start.Stage >= options[best].hops[0].Stage {
			continue
		}
		for _, v := range views {
			if v.stage == start.Stage && v.seenDirect < explore {
				return i, true
			}
		}
	}
	return 0, false
}

// views collects the estimates for the available stages.
func (p *Policy) views(now time.Duration, r PlanRequest, u float64) []view {
	local := p.memory.at(cellKey{r.Workspace, r.TaskClass})
	shared := p.memory.at(cellKey{"", r.TaskClass})
	var out []view
	for i, s := range r.Stages {
		if !s.Available {
			continue
		}
		k := versionKey{s.Model, s.Version}
		l, g := local.version(now, k).aged(now), shared.version(now, k).aged(now)
		v := view{stage: i, price: float64(s.Price),
			direct: pool(l.direct, g.direct), after: pool(l.after, g.after),
			seenDirect: g.directSeen, seenAfter: g.afterSeen}
		if n := len(out); n > 0 {
			v.direct = v.direct.withPrior(follow(out[n-1].direct, v.after), chainWeight)
		}
		v.drawDirect = p.cfg.Estimate(v.direct.pass+1, v.direct.fail+1, mix(u, 2*uint64(i)))
		v.drawAfter = p.cfg.Estimate(v.after.pass+1, v.after.fail+1, mix(u, 2*uint64(i)+1))
		out = append(out, v)
	}
	if p.raterDown() && r.Cascade.OnRaterDown == config.RaterDownEscalate {
		distrust(out)
	}
	return out
}

// distrust rules out the stages whose version has hardly been rated, other than
// the last: without a rater, what they inherited from another version cannot be
// checked.
func distrust(views []view) {
	for i := 0; i+1 < len(views); i++ {
		if v := &views[i]; v.seenDirect+v.seenAfter < explore {
			v.drawDirect = 0
		}
	}
}

// mix derives the i-th of several independent uniform numbers from u, by the
// finalizer of SplitMix64.
func mix(u float64, i uint64) float64 {
	x := math.Float64bits(u) + (i+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// thompson draws from a Beta distribution, in normal approximation. u is
// uniform in [0, 1).
func thompson(pass, fail, u float64) float64 {
	n := pass + fail
	m := pass / n
	z := math.Sqrt2 * math.Erfinv(2*max(u, 1e-9)-1)
	return min(1, max(0, m+z*math.Sqrt(m*(1-m)/(n+1))))
}
