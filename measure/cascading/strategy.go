package cascading

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hyssoploom/cascade"
	"hyssoploom/config"
)

// Strategy is a way to choose the stage at which a request starts.
type Strategy struct {
	Name string
	// Target is the quality target, a share of answers that pass.
	Target float64
	Config cascade.Config
	// OutageQuarter is the quarter of the run in which the rater is down, from 1; 0
	// means no outage. The version changes at the end of the second quarter.
	OutageQuarter int
	OnRaterDown   config.RaterDownPolicy
}

// Strategies are the strategies that the measurement compares. The targets apply to
// those with the default Config.
var Strategies = []Strategy{
	{Name: "Thompson sampling", Target: 0.9},
	{Name: "Thompson sampling", Target: 0.85},
	{Name: "Thompson sampling", Target: 0.95},
	{Name: "rater down in the second quarter, pass", Target: 0.9, OutageQuarter: 2},
	{Name: "rater down in the third quarter, escalate", Target: 0.9, OutageQuarter: 3, OnRaterDown: config.RaterDownEscalate},
	{Name: "rater down in the third quarter, pass", Target: 0.9, OutageQuarter: 3},
	{Name: "Beta mean", Target: 0.9, Config: cascade.Config{Estimate: lowerBound(0)}},
	{Name: "Beta lower bound, z = 0.5", Target: 0.9, Config: cascade.Config{Estimate: lowerBound(0.5)}},
	{Name: "Beta lower bound, z = 1", Target: 0.9, Config: cascade.Config{Estimate: lowerBound(1)}},
	{Name: "Beta lower bound, z = 1.64", Target: 0.9, Config: cascade.Config{Estimate: lowerBound(1.64)}},
	{Name: "Thompson sampling, waiting not priced", Target: 0.9, Config: cascade.Config{MaxWaitShare: 1}},
}

// run applies the policy to the tasks. Each rating reaches the policy after
// raterDelay.
func (s Strategy) run(list []task, seed uint64) (sum totals) {
	p := cascade.NewPolicy(s.Config)
	r := rand.New(rand.NewPCG(seed, 20))
	cascadeConfig := &config.Cascade{QualityTarget: s.Target, OnRaterDown: s.OnRaterDown}
	type pendingObservation struct {
		at time.Duration
		o  cascade.Observation
	}
	var queue []pendingObservation
	for i, t := range list {
		now := time.Duration(i) * time.Second / requestsPerSecond
		down := s.OutageQuarter == 1+i*4/len(list)
		for len(queue) > 0 && queue[0].at <= now {
			p.Observe(now, queue[0].o)
			queue = queue[1:]
		}
		req := cascade.PlanRequest{Workspace: fmt.Sprint(r.IntN(workspaces)), TaskClass: classes[t.class], Cascade: cascadeConfig}
		for n, price := range prices {
			req.Stages = append(req.Stages, cascade.Stage{Model: fmt.Sprint("stage", n), Version: t.version(n), Price: price, Available: true})
		}
		plan := p.Plan(now, req, r.Float64())
		stage, cost, gate, audit := plan.Start, float64(prices[plan.Start]), plan.Gate, plan.Audit
		for {
			if gate || audit {
				queue = append(queue, pendingObservation{now + raterDelay, cascade.Observation{Workspace: req.Workspace, TaskClass: req.TaskClass,
					Stage: stage, Start: plan.Start, Model: req.Stages[stage].Model, Version: t.version(stage), Passed: t.passes(stage), Missing: down}})
			}
			if !gate {
				break
			}
			rated := cascade.Failed
			if down {
				rated = cascade.NotRated
			} else if t.passes(stage) {
				rated = cascade.Passed
			}
			step := p.Next(plan, stage, rated)
			if step.Release {
				break
			}
			stage, gate, audit = step.To, step.Gate, step.Audit
			cost += float64(prices[stage])
		}
		sum.add(t, stage, cost, plan.Gate)
	}
	return sum
}

// lowerBound estimates a pass rate by the mean of a Beta distribution minus z
// standard deviations.
func lowerBound(z float64) func(pass, fail, u float64) float64 {
	return func(pass, fail, _ float64) float64 {
		n := pass + fail
		m := pass / n
		return max(0, m-z*math.Sqrt(m*(1-m)/(n+1)))
	}
}
