// Package cascade decides at which stage of a cascade a request starts, whether
// its answer waits for a rating, and what follows a rating. It is pure: time and
// randomness are arguments. Its types are not safe for concurrent use.
package cascade

import (
	"time"

	"hyssoploom/config"
)

// Config tunes a Policy. Zero fields take the defaults.
type Config struct {
	// MaxWaitShare is the share of requests whose first token may wait for a
	// rating; 0.2.
	MaxWaitShare float64
	// AuditRate is the share of answers rated after their release once a stage is
	// known; 0.1.
	AuditRate float64
	// MaxClasses bounds the remembered pairs of workspace and task class; 4096.
	MaxClasses int
	// Estimate gives the pass probability to reckon with, from the counts of a
	// Beta distribution and u, uniform in [0, 1). The default is Thompson sampling:
	// a draw from the distribution. A lower bound costs more at the same target
	// (docs/measurements/rollout-cascade.md), because it underrates every stage,
	// most of all those of which little is known, which are then never tried.
	Estimate func(pass, fail, u float64) float64
}

const (
	// fullAudit is the number of ratings of a stage below which every answer is
	// rated, and explore the number below which some requests start at a stage
	// that would not be chosen otherwise.
	fullAudit = 200
	explore   = 60
	// exploreRate is the share of requests that start at such a stage. They wait
	// for the rating, so that exploring costs no quality.
	exploreRate = 0.15
	// waitGain is the step of the price on waiting. At 0.005 the price needs some
	// hundred requests from one end of its range to the other.
	waitGain = 0.005
	// qualityTie is the difference in quality that a best effort ignores for
	// the sake of cost.
	qualityTie = 0.005
	// maxShortfall is how far an answer's expected quality may fall below the
	// target on credit. Without this bound, a class that only the costliest stage
	// answers well would get some answers from a stage that nearly always fails.
	maxShortfall = 0.1
	// maxCredit bounds the quality above the target that a task class saves up;
	// 1 pays for ten answers in a row at the greatest shortfall.
	maxCredit = 1
	// missedLimit is the number of ratings in a row that have to be missing before
	// the rater counts as down.
	missedLimit = 3
)

// Policy holds the estimates of one entry.
type Policy struct {
	cfg       Config
	memory    *memory
	waitPrice float64 // price of waiting, as a share of the costliest stage's price
	missed    int
}

// NewPolicy returns a policy without any evidence.
func NewPolicy(cfg Config) *Policy {
	orDefault(&cfg.MaxWaitShare, 0.2)
	orDefault(&cfg.AuditRate, 0.1)
	if cfg.MaxClasses == 0 {
		cfg.MaxClasses = 4096
	}
	if cfg.Estimate == nil {
		cfg.Estimate = thompson
	}
	return &Policy{cfg: cfg, memory: newMemory(cfg.MaxClasses)}
}

func orDefault(p *float64, v float64) {
	if *p == 0 {
		*p = v
	}
}

// Stage is one stage of a cascade with the version that would serve it.
type Stage struct {
	Model, Version string
	Price          int64 // micro-units per token
	Available      bool
}

// PlanRequest describes a request before it starts. An absent task class is a
// class of its own.
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

// Plan says how a request starts.
type Plan struct {
	Start int // -1 when no stage is available
	Gate  bool
	// Audit asks for a rating after the release of an answer that was not gated.
	Audit bool
	// BestEffort tells that no way through the cascade is expected to meet the
	// target; the plan is then the one with the best quality.
	BestEffort bool
	// Explore tells that the plan tries a stage that little is known about.
	Explore bool
	// Quality is the expected quality of the plan.
	Quality float64
	// Hops are the stages in order; the first is Start.
	Hops []Hop
	// OnRaterDown is the cascade's default for an absent rating.
	OnRaterDown config.RaterDownPolicy
}

// Plan chooses the start of a request; u is uniform in [0, 1).
func (p *Policy) Plan(now time.Duration, r PlanRequest, u float64) Plan {
	views := p.views(now, r, u)
	if len(views) == 0 {
		return Plan{Start: -1, BestEffort: true}
	}
	target := r.Cascade.QualityTarget
	options := enumerate(views, target, p.raterDown())
	top := views[len(views)-1].price
	own := p.memory.at(cellKey{r.Workspace, r.TaskClass})
	best := choose(options, target, p.waitPrice*top, own.credit)
	exploring := false
	if u < exploreRate && !p.raterDown() {
		if i, ok := unexplored(options, views, best); ok {
			best, exploring = i, true
		}
	}
	o := options[best]
	plan := Plan{Start: o.hops[0].Stage, Gate: o.hops[0].Gate, BestEffort: !reachable(options, target), Explore: exploring,
		Quality: o.quality, Hops: o.hops, OnRaterDown: r.Cascade.OnRaterDown}
	plan.Audit = p.audit(views, plan, u)
	p.chargeWait(plan.Gate)
	own.credit = min(maxCredit, max(0, own.credit+o.quality-target))
	return plan
}

// auditDraw numbers the draw for audits, apart from those for the stages.
const auditDraw = 1 << 32

// audit samples plans for a rating after the release.
func (p *Policy) audit(views []view, plan Plan, u float64) bool {
	for _, h := range plan.Hops {
		for _, v := range views {
			if v.stage != h.Stage {
				continue
			}
			if seen := v.seenDirect; h.Stage == plan.Start && !plan.Gate && seen < fullAudit {
				return true
			} else if h.Stage != plan.Start && v.seenAfter < fullAudit {
				return true
			}
		}
	}
	return plan.Explore || mix(u, auditDraw) < p.cfg.AuditRate
}

// chargeWait moves the price of waiting so that the share of plans that wait
// settles at MaxWaitShare at most, and those wait that save the most by it.
func (p *Policy) chargeWait(gate bool) {
	step := -p.cfg.MaxWaitShare
	if gate {
		step++
	}
	p.waitPrice = min(1, max(0, p.waitPrice+waitGain*step))
}

func (p *Policy) raterDown() bool { return p.missed >= missedLimit }

// Rating is the state of an answer's rating.
type Rating int

// The states. NotRated means that no rating came within the cascade's RateWait.
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
	Audit   bool // the answer of stage To is released at once and rated afterwards
}

// Next decides on the answer of a stage. When the rating is absent, the
// cascade's OnRaterDown decides; its default is to release. An answer of the
// last stage is always released.
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
	// Stage answered; Start is the stage at which the request began.
	Stage, Start   int
	Model, Version string
	Passed         bool
	// Missing tells that a rating was asked for and did not come.
	Missing bool
}

// Observe learns from a rating, gated or audited.
func (p *Policy) Observe(now time.Duration, o Observation) {
	if o.Missing {
		p.missed++
		return
	}
	p.missed = 0
	k := versionKey{o.Model, o.Version}
	p.memory.at(cellKey{o.Workspace, o.TaskClass}).version(now, k).observe(now, o.Stage != o.Start, o.Passed)
	p.memory.at(cellKey{"", o.TaskClass}).version(now, k).observe(now, o.Stage != o.Start, o.Passed)
}
