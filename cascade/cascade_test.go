package cascade

import (
	"fmt"
	"testing"

	"hyssoploom/config"
)

// newPlanRequest returns a request for a cascade of three stages.
func newPlanRequest(target float64) PlanRequest {
	return PlanRequest{Workspace: "w", TaskClass: "c", Cascade: &config.Cascade{QualityTarget: target}, Stages: []Stage{
		{"small", "v1", 1, true}, {"medium", "v1", 4, true}, {"large", "v1", 10, true}}}
}

// recordRatings records n ratings for each stage, both as the start and after an
// escalation.
func recordRatings(p *Policy, n int, rates ...float64) {
	for stage, rate := range rates {
		model := newPlanRequest(0).Stages[stage].Model
		for i := range n {
			passed := float64(i%100) < rate*100
			for start := max(0, stage-1); start <= stage; start++ {
				p.Observe(0, Observation{Workspace: "w", TaskClass: "c", Stage: stage, Start: start, Model: model, Version: "v1", Passed: passed})
			}
		}
	}
}

const noSampling = 0.99 // a draw that neither explores nor audits

// Guards against starts that miss the quality target or cost more than needed.
func TestPlanStart(t *testing.T) {
	for name, c := range map[string]struct {
		rates      []float64
		start      int
		gate, best bool
	}{
		"cheapest meets the target":      {[]float64{0.97, 0.99, 0.99}, 0, false, false},
		"cheap with a rating":            {[]float64{0.80, 0.70, 0.99}, 0, true, false},
		"only the costliest":             {[]float64{0.05, 0.10, 0.99}, 2, false, false},
		"no stage alone, the chain does": {[]float64{0.60, 0.60, 0.60}, 0, true, false},
		"no plan meets the target":       {[]float64{0.05, 0.05, 0.30}, 0, true, true},
	} {
		p := NewPolicy(Config{})
		recordRatings(p, 500, c.rates...)
		plan := p.Plan(0, newPlanRequest(0.9), noSampling)
		if plan.Start != c.start || plan.Gate != c.gate || plan.BestEffort != c.best {
			t.Errorf("%s: %+v", name, plan)
		}
	}
}

// Guards against plans that use a stage without a backend server.
func TestPlanAvailability(t *testing.T) {
	p := NewPolicy(Config{})
	recordRatings(p, 500, 0.97, 0.99, 0.99)
	r := newPlanRequest(0.9)
	r.Stages[0].Available = false
	if plan := p.Plan(0, r, noSampling); plan.Start != 1 {
		t.Errorf("first stage not available: %+v", plan)
	}
	r.Stages[1].Available, r.Stages[2].Available = false, false
	if plan := p.Plan(0, r, noSampling); plan.Start != -1 {
		t.Errorf("no stage available: %+v", plan)
	}
}

// Guards against a request that gets no answer when ratings are missing.
func TestNext(t *testing.T) {
	p := NewPolicy(Config{})
	plan := Plan{Hops: []Hop{{0, true}, {1, true}, {2, false}}, Audit: true}
	escalate := plan
	escalate.OnRaterDown = config.RaterDownEscalate
	for _, c := range []struct {
		plan  Plan
		stage int
		rated Rating
		want  Decision
	}{
		{plan, 0, Passed, Decision{Release: true}},
		{plan, 0, Failed, Decision{To: 1, Gate: true, Audit: true}},
		{plan, 1, Failed, Decision{To: 2, Audit: true}},
		{plan, 2, Failed, Decision{Release: true}},
		{plan, 0, NotRated, Decision{Release: true}},
		{escalate, 0, NotRated, Decision{To: 1, Audit: true}},
		{escalate, 2, NotRated, Decision{Release: true}},
	} {
		if got := p.Next(c.plan, c.stage, c.rated); got != c.want {
			t.Errorf("Next(%v, %d, %v) = %+v; want %+v", c.plan.OnRaterDown, c.stage, c.rated, got, c.want)
		}
	}
}

// Guards against waiting for a rater that is down, and against not using it again
// after it recovers.
func TestPlanRaterDown(t *testing.T) {
	p := NewPolicy(Config{})
	recordRatings(p, 500, 0.80, 0.70, 0.99)
	for range maxMissedRatings {
		p.Observe(0, Observation{Missing: true})
	}
	if plan := p.Plan(0, newPlanRequest(0.9), noSampling); plan.Gate || plan.Start != 2 {
		t.Errorf("rater down: %+v", plan)
	}
	p.Observe(0, Observation{Workspace: "w", TaskClass: "c", Model: "small", Version: "v1", Passed: true})
	if plan := p.Plan(0, newPlanRequest(0.9), noSampling); !plan.Gate {
		t.Errorf("rater back: %+v", plan)
	}
}

// Guards against reusing an estimate for another version without more ratings, and
// against a new workspace that starts without the shared estimates.
func TestVersionChangeAndFallback(t *testing.T) {
	p := NewPolicy(Config{})
	recordRatings(p, 500, 0.97, 0.99, 0.99)
	r := newPlanRequest(0.9)
	r.Workspace = "new"
	if plan := p.Plan(0, r, noSampling); plan.Start != 0 || plan.Gate || plan.Audit {
		t.Errorf("new workspace: %+v", plan)
	}
	r.Stages[0].Version = "v2"
	if plan := p.Plan(0, r, noSampling); !plan.Audit && !plan.Gate {
		t.Errorf("new version is not rated more: %+v", plan)
	}
	if plan := p.Plan(1000*halfLife, newPlanRequest(0.9), noSampling); !plan.Audit && !plan.Gate {
		t.Errorf("old estimate is not rated more: %+v", plan)
	}
}

// Guards against unbounded state when callers use many task classes and versions.
func TestMemoryBound(t *testing.T) {
	p := NewPolicy(Config{MaxClasses: 8})
	for i := range 1000 {
		r := newPlanRequest(0.9)
		r.TaskClass = fmt.Sprint(i)
		r.Stages[0].Version = fmt.Sprint(i)
		p.Plan(0, r, noSampling)
		r.TaskClass = "c"
		p.Plan(0, r, noSampling)
	}
	if n := len(p.classCache.states); n > 8 || p.classCache.lru.Len() != n {
		t.Errorf("%d class states", n)
	}
	if n := len(p.classCache.get(classKey{"w", "c"}).versions); n > maxVersions {
		t.Errorf("%d versions in a class state", n)
	}
}
