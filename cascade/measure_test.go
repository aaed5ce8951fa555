package cascade

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hyssoploom/config"
)

// The mixed load of design section 1.3. The version change in the middle of a
// run moves each task class to the probabilities of the next one, at the
// cheapest and the middle stage.
var (
	classes  = []string{"contract draft", "member answer", "inspection summary", "repair quote"}
	passRate = [][]float64{{0.92, 0.98, 0.99}, {0.75, 0.93, 0.99}, {0.08, 0.20, 0.99}, {0.85, 0.95, 0.99}}
	prices   = []int64{1, 4, 10}
)

const (
	measureRequests = 20_000
	measureSeeds    = 10
	measureRate     = 20 // requests/s
	measureDelay    = 2 * time.Second
	workspaces      = 5
)

// task is one request; its answer at a stage passes when ease is below the
// stage's probability, so a costlier stage passes whatever a cheaper one does.
type task struct {
	class  int
	ease   float64
	tokens float64
	late   bool // after the version change
}

func (k task) passes(stage int) bool {
	class := k.class
	if k.late && stage < 2 {
		class = (class + 1) % len(classes)
	}
	return k.ease < passRate[class][stage]
}

func (k task) version(stage int) string {
	if k.late && stage < 2 {
		return "v2"
	}
	return "v1"
}

func tasks(seed uint64) []task {
	r := rand.New(rand.NewPCG(seed, 10))
	out := make([]task, measureRequests)
	for i := range out {
		out[i] = task{r.IntN(len(classes)), r.Float64(), math.Exp(5 + r.NormFloat64()), i >= len(out)/2}
	}
	return out
}

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

func costliest(list []task) (o outcome) {
	for _, k := range list {
		o.add(k, 2, 10, false)
	}
	return o
}

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

// strategy is one way to choose the start of a request.
type strategy struct {
	name   string
	target float64
	cfg    Config
	outage int // quarter of the run without ratings; the version change is at the end of the second
	onDown config.RaterDefault
}

// run applies the policy; its ratings arrive after the rater's delay.
func (s strategy) run(list []task, seed uint64) (o outcome) {
	p := NewPolicy(s.cfg)
	r := rand.New(rand.NewPCG(seed, 20))
	rec := &config.Cascade{QualityTarget: s.target, OnRaterDown: s.onDown}
	type due struct {
		at time.Duration
		o  Observation
	}
	var queue []due
	for i, k := range list {
		now := time.Duration(i) * time.Second / measureRate
		down := s.outage == 1+i*4/len(list)
		for len(queue) > 0 && queue[0].at <= now {
			p.Observe(now, queue[0].o)
			queue = queue[1:]
		}
		req := PlanRequest{Workspace: fmt.Sprint(r.IntN(workspaces)), TaskClass: classes[k.class], Cascade: rec}
		for n, price := range prices {
			req.Stages = append(req.Stages, Stage{fmt.Sprint("stage", n), k.version(n), price, true})
		}
		plan := p.Plan(now, req, r.Float64())
		stage, cost, gate, audit := plan.Start, float64(prices[plan.Start]), plan.Gate, plan.Audit
		for {
			if gate || audit {
				queue = append(queue, due{now + measureDelay, Observation{Workspace: req.Workspace, TaskClass: req.TaskClass,
					Stage: stage, Start: plan.Start, Model: req.Stages[stage].Model, Version: k.version(stage), Passed: k.passes(stage), Missing: down}})
			}
			if !gate {
				break
			}
			rated := Failed
			if down {
				rated = NotRated
			} else if k.passes(stage) {
				rated = Passed
			}
			step := p.Next(plan, stage, rated)
			if step.Release {
				break
			}
			stage, gate, audit = step.To, step.Gate, step.Audit
			cost += float64(prices[stage])
		}
		o.add(k, stage, cost, plan.Gate)
	}
	return o
}

// lowerBound is the mean of a Beta distribution less z standard deviations.
func lowerBound(z float64) func(pass, fail, u float64) float64 {
	return func(pass, fail, _ float64) float64 {
		n := pass + fail
		m := pass / n
		return max(0, m-z*math.Sqrt(m*(1-m)/(n+1)))
	}
}

type spread struct{ values []float64 }

func (s *spread) add(v float64) { s.values = append(s.values, v) }

func (s spread) min() float64 { return slices.Min(s.values) }
func (s spread) max() float64 { return slices.Max(s.values) }

func (s spread) mean() float64 {
	sum := 0.0
	for _, v := range s.values {
		sum += v
	}
	return sum / float64(len(s.values))
}

func (s spread) String() string {
	return fmt.Sprintf("%.3f (%.3f to %.3f)", s.mean(), s.min(), s.max())
}

// strategies are the options that were weighed for the start stage. The checks
// hold for those with Config{}, the default.
var strategies = []strategy{
	{name: "Thompson sampling", target: 0.9, cfg: Config{}},
	{name: "Thompson sampling", target: 0.85, cfg: Config{}},
	{name: "Thompson sampling", target: 0.95, cfg: Config{}},
	{name: "rater down in the second quarter, pass", target: 0.9, outage: 2},
	{name: "rater down in the third quarter, escalate", target: 0.9, outage: 3, onDown: config.RaterDownEscalate},
	{name: "rater down in the third quarter, pass", target: 0.9, outage: 3},
	{name: "Beta mean", target: 0.9, cfg: Config{Estimate: lowerBound(0)}},
	{name: "Beta lower bound, z = 0.5", target: 0.9, cfg: Config{Estimate: lowerBound(0.5)}},
	{name: "Beta lower bound, z = 1", target: 0.9, cfg: Config{Estimate: lowerBound(1)}},
	{name: "Beta lower bound, z = 1.64", target: 0.9, cfg: Config{Estimate: lowerBound(1.64)}},
	{name: "Thompson sampling, waiting not priced", target: 0.9, cfg: Config{MaxWaitShare: 1}},
}

type result struct{ top, fixed, low, quality, worst, wait spread }

func (s strategy) measure() (r result) {
	for seed := range uint64(measureSeeds) {
		list := tasks(seed)
		o := s.run(list, seed)
		r.top.add(o.cost / costliest(list).cost)
		r.fixed.add(o.cost / fixedEscalation(list).cost)
		r.low.add(o.cost / oracle(list).cost)
		r.quality.add(o.quality())
		r.worst.add(o.worstClass())
		r.wait.add(o.wait())
	}
	return r
}

// Guards the targets for cost at the quality target and for waits. The cost
// targets hold for the quality target 0.9; the other rows show how cost moves.
func TestMeasureCost(t *testing.T) {
	var group errgroup.Group
	group.SetLimit(4)
	results := make([]result, len(strategies))
	for i, s := range strategies {
		group.Go(func() error {
			results[i] = s.measure()
			return nil
		})
	}
	_ = group.Wait()
	var table strings.Builder
	table.WriteString("\n| strategy | target | cost / costliest | cost / fixed escalation | cost / oracle | quality | worst class | waits |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i, s := range strategies {
		r := results[i]
		fmt.Fprintf(&table, "| %s | %v | %v | %v | %v | %v | %v | %v |\n", s.name, s.target, r.top, r.fixed, r.low, r.quality, r.worst, r.wait)
		if s.cfg.Estimate != nil || s.cfg.MaxWaitShare != 0 {
			continue
		}
		if s.target == 0.9 && s.outage == 0 && (r.top.max() > 0.45 || r.fixed.max() > 0.92) {
			t.Errorf("cost %v of the costliest and %v of fixed escalation; targets 0.45 and 0.92", r.top, r.fixed)
		}
		// With "pass", operators accept answers of a new version unrated while the
		// rater is down; nothing can hold the quality then, so it is only reported.
		unknowable := s.outage == 3 && s.onDown != config.RaterDownEscalate
		if !unknowable && r.quality.min() < s.target || r.wait.max() > 0.25 {
			t.Errorf("%s: quality %v at the target %v, waits %v; target 0.25", s.name, r.quality, s.target, r.wait)
		}
	}
	t.Log(table.String())
}

func BenchmarkPlan(b *testing.B) {
	p := NewPolicy(Config{})
	r := request(0.9)
	learn(p, 500, 0.80, 0.93, 0.99)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.TaskClass = classes[i%len(classes)]
		p.Plan(time.Duration(i)*time.Millisecond, r, float64(i%997)/997)
	}
}
