package cascading

// totals sums up the requests of one run. Cost is in units of price times tokens.
type totals struct {
	cost, tokens             float64
	passed, waited, requests int
	class                    [4]struct{ passed, requests int }
}

// add counts a request that ended at finalStage; cost is the sum of the prices of the
// stages that answered it.
func (o *totals) add(t task, finalStage int, cost float64, waited bool) {
	o.cost += cost * t.tokens
	o.tokens += t.tokens
	o.requests++
	o.class[t.class].requests++
	if t.passes(finalStage) {
		o.passed++
		o.class[t.class].passed++
	}
	if waited {
		o.waited++
	}
}

func (o totals) quality() float64   { return float64(o.passed) / float64(o.requests) }
func (o totals) waitShare() float64 { return float64(o.waited) / float64(o.requests) }

// worstClass returns the lowest share of passed answers of a task class.
func (o totals) worstClass() float64 {
	worst := 1.0
	for _, c := range o.class {
		worst = min(worst, float64(c.passed)/float64(c.requests))
	}
	return worst
}

// costliest is the baseline that starts every request at the last stage.
func costliest(list []task) (o totals) {
	for _, t := range list {
		o.add(t, 2, 10, false)
	}
	return o
}

// fixedEscalation is the baseline that starts every request at the first stage and
// escalates each answer that does not pass.
func fixedEscalation(list []task) (o totals) {
	for _, t := range list {
		stage, cost := 0, 1.0
		for stage < 2 && !t.passes(stage) {
			stage++
			cost += float64(prices[stage])
		}
		o.add(t, stage, cost, true)
	}
	return o
}

// oracle starts each request at the cheapest stage that passes; its cost is the lower
// bound.
func oracle(list []task) (o totals) {
	for _, t := range list {
		stage := 0
		for stage < 2 && !t.passes(stage) {
			stage++
		}
		if !t.passes(stage) {
			stage = 0 // no stage passes, so the cheapest one answers
		}
		o.add(t, stage, float64(prices[stage]), false)
	}
	return o
}
