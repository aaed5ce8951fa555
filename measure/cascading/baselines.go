package cascading

// totals sums up the requests of one run. Cost is in units of price times tokens.
type totals struct {
	cost, tokens             float64
	passed, waited, requests int
	class                    [4]struct{ passed, requests int }
}

// add counts a request that ended at finalStage; cost is the sum of the prices of the
// stages that answered it.
func (sum *totals) add(t task, finalStage int, cost float64, waited bool) {
	sum.cost += cost * t.tokens
	sum.tokens += t.tokens
	sum.requests++
	sum.class[t.class].requests++
	if t.passes(finalStage) {
		sum.passed++
		sum.class[t.class].passed++
	}
	if waited {
		sum.waited++
	}
}

func (sum totals) quality() float64   { return float64(sum.passed) / float64(sum.requests) }
func (sum totals) waitShare() float64 { return float64(sum.waited) / float64(sum.requests) }

// worstClass returns the lowest share of passed answers of a task class.
func (sum totals) worstClass() float64 {
	worst := 1.0
	for _, c := range sum.class {
		worst = min(worst, float64(c.passed)/float64(c.requests))
	}
	return worst
}

// costliest is the baseline that starts every request at the last stage.
func costliest(list []task) (sum totals) {
	for _, t := range list {
		sum.add(t, 2, 10, false)
	}
	return sum
}

// fixedEscalation is the baseline that starts every request at the first stage and
// escalates each answer that does not pass.
func fixedEscalation(list []task) (sum totals) {
	for _, t := range list {
		stage, cost := 0, 1.0
		for stage < 2 && !t.passes(stage) {
			stage++
			cost += float64(prices[stage])
		}
		sum.add(t, stage, cost, true)
	}
	return sum
}

// oracle starts each request at the cheapest stage that passes; its cost is the lower
// bound.
func oracle(list []task) (sum totals) {
	for _, t := range list {
		stage := 0
		for stage < 2 && !t.passes(stage) {
			stage++
		}
		if !t.passes(stage) {
			stage = 0 // no stage passes, so the cheapest one answers
		}
		sum.add(t, stage, float64(prices[stage]), false)
	}
	return sum
}
