package cascading

// outcome sums up one strategy over one run.
type outcome struct {
	cost, tokens        float64
	passed, waited, all int
	class               [4]struct{ passed, all int }
}

func (o *outcome) add(k task, last int, cost float64, waited bool) {
	o.cost += cost * k.tokens
	o.tokens += k.tokens
	o.all++
	o.class[k.class].all++
	if k.passes(last) {
		o.passed++
		o.class[k.class].passed++
	}
	if waited {
		o.waited++
	}
}

func (o outcome) quality() float64 { return float64(o.passed) / float64(o.all) }
func (o outcome) wait() float64    { return float64(o.waited) / float64(o.all) }

func (o outcome) worstClass() float64 {
	worst := 1.0
	for _, c := range o.class {
		worst = min(worst, float64(c.passed)/float64(c.all))
	}
	return worst
}

// costliest starts every request at the last stage.
func costliest(list []task) (o outcome) {
	for _, k := range list {
		o.add(k, 2, 10, false)
	}
	return o
}

// fixedEscalation starts every request at the first stage and rates every answer.
func fixedEscalation(list []task) (o outcome) {
	for _, k := range list {
		stage, cost := 0, 1.0
		for stage < 2 && !k.passes(stage) {
			stage++
			cost += float64(prices[stage])
		}
		o.add(k, stage, cost, true)
	}
	return o
}

// oracle knows the stage at which each answer passes; its cost is the lower bound.
func oracle(list []task) (o outcome) {
	for _, k := range list {
		stage := 0
		for stage < 2 && !k.passes(stage) {
			stage++
		}
		if !k.passes(stage) {
			stage = 0 // no stage passes
		}
		o.add(k, stage, float64(prices[stage]), false)
	}
	return o
}
