package cascade

import "time"

// view is what is known about one available stage.
type view struct {
	stage int
	price float64
	// direct is the pass probability of answers that start here, and after that
	// of answers that follow a failure at the stage before.
	direct, after         beta
	lowDirect, lowAfter   float64
	seenDirect, seenAfter float64 // ratings behind the estimates, without priors
}

// option is one way through a cascade.
type option struct {
	hops    []Hop
	quality float64 // lower bound
	cost    float64 // expected price per token
}

// enumerate lists, for each stage, the release without a rating, and a start
// with a rating that escalates on failure.
func enumerate(views []view, target float64, ungatedOnly bool) []option {
	var out []option
	for i, v := range views {
		out = append(out, option{hops: []Hop{{Stage: v.stage}}, quality: v.lowDirect, cost: v.price})
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
	o := option{hops: []Hop{{first.stage, true}}, quality: first.lowDirect, cost: first.price}
	reach := 1 - first.direct.mean()
	for i, v := range views[1:] {
		o.quality += (1 - o.quality) * v.lowAfter
		o.cost += reach * v.price
		reach *= 1 - v.after.mean()
		last := i+2 == len(views)
		done := last || o.quality >= target
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

// choose returns the cheapest option that meets the target or, when none does,
// the cheapest of those with the best quality.
func choose(options []option, target, wait float64) (best int, met bool) {
	top := 0.0
	for _, o := range options {
		top = max(top, o.quality)
	}
	met = top >= target
	floor := target
	if !met {
		floor = top - qualityTie
	}
	best = -1
	for i, o := range options {
		if o.quality >= floor && (best < 0 || o.price(wait) < options[best].price(wait)) {
			best = i
		}
	}
	return best, met
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
		v.lowDirect = p.cfg.Bound(v.direct.pass+1, v.direct.fail+1, u)
		v.lowAfter = p.cfg.Bound(v.after.pass+1, v.after.fail+1, u)
		out = append(out, v)
	}
	return out
}
