// Package cascade decides at which stage of a model cascade a request starts,
// whether its answer waits for a rating, and what happens after the rating. It does
// no I/O and takes time and random numbers as arguments. Its types are not safe for
// concurrent use.
package cascade

import (
	"time"

	"hyssoploom/config"
)

// Config holds the parameters of a Policy. Zero fields take the defaults.
type Config struct {
	// MaxWaitShare is the maximum share of requests whose first token may wait for
	// a rating. The default is 0.2.
	MaxWaitShare float64
	// AuditRate is the share of answers that are rated after their release once a
	// stage has enough ratings. The default is 0.1.
	AuditRate float64
	// MaxClasses bounds the number of remembered pairs of workspace and task class.
	// The default is 4096.
	MaxClasses int
	// Estimate returns the pass probability to plan with, from the counts of a Beta
	// distribution and u, uniform in [0, 1). The default is Thompson sampling: a
	// random sample of the distribution. A lower confidence bound costs more at the
	// same target (docs/measurements/rollout-cascade.md): it underrates every
	// stage, most of all those with few ratings, which are then never tried.
	Estimate func(pass, fail, u float64) float64
}

const (
	// fullAuditRatings is the number of ratings of a stage below which every answer
	// is rated, and exploreRatings the number below which some requests start at a
	// stage that would not be chosen otherwise.
	fullAuditRatings = 200
	exploreRatings   = 60
	// exploreRate is the share of requests that start at such a stage. They wait
	// for the rating, so that exploration costs no quality.
	exploreRate = 0.15
	// waitPriceStep is the step size of the price of waiting. At 0.005, the price
	// needs a few hundred requests to cross its range.
	waitPriceStep = 0.005
	// qualityTie is the quality difference that a best-effort plan ignores in
	// favour of lower cost.
	qualityTie = 0.005
	// maxShortfall is the maximum difference by which the expected quality of an
	// answer may be below the target when classState.credit allows it. Without this
	// limit, a class that only the costliest stage answers well would get some answers
	// from a stage that nearly always fails.
	maxShortfall = 0.1
	// maxCredit bounds classState.credit. A credit of 1 allows ten consecutive answers
	// with the maximum shortfall.
	maxCredit = 1
	// maxMissedRatings is the number of consecutive missing ratings after which the
	// rater counts as down.
	maxMissedRatings = 3
)

// Policy plans requests with the estimates of one entry.
type Policy struct {
	cfg           Config
	classCache    *classCache
	waitPrice     float64 // price of waiting, as a fraction of the costliest stage's price
	missedRatings int
}

// NewPolicy returns a policy without ratings.
func NewPolicy(cfg Config) *Policy {
	orDefault(&cfg.MaxWaitShare, 0.2)
	orDefault(&cfg.AuditRate, 0.1)
	if cfg.MaxClasses == 0 {
		cfg.MaxClasses = 4096
	}
	if cfg.Estimate == nil {
		cfg.Estimate = sampleBeta
	}
	return &Policy{cfg: cfg, classCache: newClassCache(cfg.MaxClasses)}
}

func orDefault(p *float64, v float64) {
	if *p == 0 {
		*p = v
	}
}

// Stage is one stage of a cascade and the version that would serve it.
type Stage struct {
	Model, Version string
	Price          int64 // micro-units per token
	Available      bool
}

// PlanRequest describes a request before it starts. An empty task class is a class
// of its own.
type PlanRequest struct {
	Workspace, TaskClass string
	Cascade              *config.Cascade
	Stages               []Stage // cheapest first
}

// Hop is one stage of a plan.
type Hop struct {
	Stage int
	Gate  bool // wait for the rating before the answer is released
}

// Plan is the sequence of stages for a request.
type Plan struct {
	Start int // -1 when no stage is available
	Gate  bool
	// Audit requests a rating after the release of an answer that was not gated.
	Audit bool
	// BestEffort means that no option is expected to meet the target; the plan is
	// then the one with the best quality.
	BestEffort bool
	// Explore means that the plan tries a stage with few ratings.
	Explore bool
	// Quality is the expected quality of the plan.
	Quality float64
	// Hops are the stages in order; the first is Start.
	Hops []Hop
	// OnRaterDown is the cascade's decision when a rating is missing.
	OnRaterDown config.RaterDownPolicy
}

// Plan chooses the stages for a request. u is uniform in [0, 1).
func (p *Policy) Plan(now time.Duration, r PlanRequest, u float64) Plan {
	estimates := p.estimateStages(now, r, u)
	if len(estimates) == 0 {
		return Plan{Start: -1, BestEffort: true}
	}
	target := r.Cascade.QualityTarget
	options := enumerateOptions(estimates, target, p.raterDown())
	top := estimates[len(estimates)-1].price
	own := p.classCache.get(classKey{r.Workspace, r.TaskClass})
	best := chooseOption(options, target, p.waitPrice*top, own.credit)
	exploring := false
	if u < exploreRate && !p.raterDown() {
		if i, ok := explorationOption(options, estimates, best); ok {
			best, exploring = i, true
		}
	}
	o := options[best]
	plan := Plan{Start: o.hops[0].Stage, Gate: o.hops[0].Gate, BestEffort: !targetReachable(options, target), Explore: exploring,
		Quality: o.quality, Hops: o.hops, OnRaterDown: r.Cascade.OnRaterDown}
	plan.Audit = p.audit(estimates, plan, u)
	p.updateWaitPrice(plan.Gate)
	own.credit = min(maxCredit, max(0, own.credit+o.quality-target))
	return plan
}

// auditDraw is the index of the random number for audits, distinct from those of
// the stages.
const auditDraw = 1 << 32

// audit reports whether the plan's answer is rated after its release: always while
// a stage has few ratings or is being explored, otherwise at AuditRate.
func (p *Policy) audit(estimates []stageEstimate, plan Plan, u float64) bool {
	for _, h := range plan.Hops {
		for _, v := range estimates {
			if v.stage != h.Stage {
				continue
			}
			if seen := v.directWeight; h.Stage == plan.Start && !plan.Gate && seen < fullAuditRatings {
				return true
			} else if h.Stage != plan.Start && v.afterWeight < fullAuditRatings {
				return true
			}
		}
	}
	return plan.Explore || deriveUniform(u, auditDraw) < p.cfg.AuditRate
}

// updateWaitPrice adjusts the price of waiting so that at most MaxWaitShare of the
// plans wait, and those wait that save the most by it.
func (p *Policy) updateWaitPrice(gate bool) {
	step := -p.cfg.MaxWaitShare
	if gate {
		step++
	}
	p.waitPrice = min(1, max(0, p.waitPrice+waitPriceStep*step))
}

func (p *Policy) raterDown() bool { return p.missedRatings >= maxMissedRatings }

// Rating is the result of rating an answer.
type Rating int

// The ratings. NotRated means that no rating arrived within the cascade's RatingWait.
const (
	NotRated Rating = iota
	Passed
	Failed
)

// Decision says what happens to an answer after its rating.
type Decision struct {
	Release bool
	To      int  // stage to escalate to when Release is false
	Gate    bool // the answer of stage To waits for its rating
	Audit   bool // the answer of stage To is released immediately and rated afterwards
}

// Next decides on the answer of a stage. When the rating is missing, the cascade's
// OnRaterDown decides; its default is to release. An answer of the last stage is
// always released.
func (p *Policy) Next(plan Plan, stage int, rated Rating) Decision {
	accept := rated == Passed || rated == NotRated && plan.OnRaterDown != config.RaterDownEscalate
	for i, h := range plan.Hops {
		if h.Stage != stage || accept || i+1 == len(plan.Hops) {
			continue
		}
		next := plan.Hops[i+1]
		return Decision{To: next.Stage, Gate: next.Gate && rated != NotRated, Audit: plan.Audit}
	}
	return Decision{Release: true}
}

// Observation is the rating of one answer.
type Observation struct {
	Workspace, TaskClass string
	// Stage is the stage that answered, and Start the stage at which the request
	// started.
	Stage, Start   int
	Model, Version string
	Passed         bool
	// Missing means that a rating was requested and did not arrive.
	Missing bool
}

// Observe updates the estimates with a rating of a gated or audited answer.
func (p *Policy) Observe(now time.Duration, o Observation) {
	if o.Missing {
		p.missedRatings++
		return
	}
	p.missedRatings = 0
	k := versionKey{o.Model, o.Version}
	p.classCache.get(classKey{o.Workspace, o.TaskClass}).version(now, k).observe(now, o.Stage != o.Start, o.Passed)
	p.classCache.get(classKey{"", o.TaskClass}).version(now, k).observe(now, o.Stage != o.Start, o.Passed)
}
