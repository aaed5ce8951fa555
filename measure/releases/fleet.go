package releases

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hyssoploom/rollout"
)

const (
	entries            = 20
	agents             = 8
	candidateRate      = 10.0 // answers/s of the version if nothing holds it back
	baselineRate       = 30.0
	baselineRatedShare = 0.3 // share of the baseline's answers that are rated
	answerTime         = time.Second
	raterDelay         = 2 * time.Second
	tick               = 10 * time.Millisecond
	operatorReaction   = 60 * time.Second
)

// peer is an entry or an agent.
type process struct {
	evidence        *rollout.Evidence
	exposure        *rollout.Exposure
	rank            int
	heartbeatPhase  time.Duration
	sentThrough     uint64
	evaluatedCounts rollout.Counts // of the candidate at the last test
	verdict         rollout.Verdict
}

// judge tests anew when the candidate's counters have changed. Bad is final.
func (p *process) evaluate(ru Rule) {
	if n := p.evidence.Totals(candidate); n != p.evaluatedCounts && p.verdict != rollout.Bad {
		p.evaluatedCounts, p.verdict = n, ru.test(p.evidence).Verdict
	}
}

// rated is a result on its way to the agent that served the answer.
type pendingResult struct {
	due         time.Duration
	agent       *process
	key         rollout.VersionKey
	requestID   string
	observation rollout.Observation
}

// sim is a fleet in which evidence and quarantines travel by heartbeats only.
type sim struct {
	rng      *rand.Rand
	release  Release
	rule     Rule
	entries  []*process
	agents   []*process
	pending  []pendingResult
	served   int
	requests int
}

func newSim(seed uint64, release Release, ru Rule, history int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 30)), release: release, rule: ru}
	add := func(name string, rank int) *process {
		return &process{evidence: rollout.NewEvidence(name), exposure: rollout.NewExposure(), rank: rank, heartbeatPhase: time.Duration(s.rng.IntN(100)) * tick}
	}
	for i := range entries {
		s.entries = append(s.entries, add(fmt.Sprint("entry", i), 0))
	}
	past := rollout.NewEvidence("past")
	for i := range history {
		class := i % len(taskClasses)
		past.Record(baseline, rollout.Observation{TaskClass: taskClasses[class], Started: true, Rated: true,
			Passed: s.rng.Float64() < baselinePassRates[class]})
	}
	for i := range agents {
		s.agents = append(s.agents, add(fmt.Sprint("agent", i), i))
	}
	for _, p := range append(slices.Clone(s.entries), s.agents...) {
		p.evidence.Merge(past.Delta(0))
	}
	return s
}

// run returns the answers served by the version until every process has
// stopped it, or until limit.
func (s *sim) run(limit time.Duration) (served int, stopped time.Duration) {
	for now := time.Duration(0); now < limit; now += tick {
		s.startRequest(now, candidate, candidateRate, s.release.passRates, s.release.errorRate)
		s.startRequest(now, control, baselineRate, baselinePassRates, 0)
		s.recordResults(now)
		s.sendHeartbeats(now)
		if s.allStopped() {
			return s.served, now
		}
	}
	return s.served, limit
}

func (s *sim) startRequest(now time.Duration, key rollout.VersionKey, perSecond float64, passRates []float64, errorRate float64) {
	if s.rng.Float64() >= perSecond*tick.Seconds() {
		return
	}
	entry, a := s.entries[s.rng.IntN(entries)], s.agents[s.rng.IntN(agents)]
	s.requests++
	id, class := fmt.Sprint(s.requests), s.rng.IntN(len(taskClasses))
	isCandidate := key == candidate
	if isCandidate && (entry.verdict == rollout.Bad || a.verdict == rollout.Bad || !a.exposure.Acquire(key, id, s.exposureShare(a))) {
		return
	}
	o := rollout.Observation{TaskClass: taskClasses[class], DataCentre: fmt.Sprint(a.rank % 3), Now: now, Started: true}
	a.evidence.Record(key, o)
	if isCandidate {
		s.served++
	} else {
		a.evidence.Record(baseline, o)
		if s.rng.Float64() > baselineRatedShare {
			return
		}
	}
	o.Started, o.Failed = false, s.rng.Float64() < errorRate
	o.Rated, o.Passed = !o.Failed, !o.Failed && s.rng.Float64() < passRates[class]
	due := now + answerTime
	if o.Rated {
		due += raterDelay
	}
	o.Now = due
	s.pending = append(s.pending, pendingResult{due, a, key, id, o})
}

func (s *sim) exposureShare(a *process) int {
	budget := rollout.DefaultBudget
	if s.rule.growBudget {
		budget = rollout.EffectiveBudget(rollout.DefaultBudget, a.evidence.Totals(candidate), a.evidence.Totals(baseline), a.verdict)
	}
	return rollout.BudgetShare(budget, agents, a.rank)
}

func (s *sim) recordResults(now time.Duration) {
	s.pending = slices.DeleteFunc(s.pending, func(q pendingResult) bool {
		if q.due > now {
			return false
		}
		q.agent.evidence.Record(q.key, q.observation)
		if q.key != candidate {
			q.agent.evidence.Record(baseline, q.observation)
			return true
		}
		if q.observation.Rated {
			q.agent.exposure.Rated(candidate, q.requestID)
		} else {
			q.agent.exposure.Failed(candidate, q.requestID)
		}
		q.agent.evaluate(s.rule)
		return true
	})
}

func (s *sim) sendHeartbeats(now time.Duration) {
	for _, direction := range [][2][]*process{{s.agents, s.entries}, {s.entries, s.agents}} {
		for _, from := range direction[0] {
			if now%time.Second != from.heartbeatPhase {
				continue
			}
			from.exposure.Expire(now)
			d := from.evidence.Delta(from.sentThrough)
			from.sentThrough = d.Through
			for _, to := range direction[1] {
				to.evidence.Merge(d)
				to.evaluate(s.rule)
				if from.verdict == rollout.Bad {
					to.verdict = rollout.Bad
				}
			}
		}
	}
}

func (s *sim) allStopped() bool {
	running := func(p *process) bool { return p.verdict != rollout.Bad }
	return !slices.ContainsFunc(s.agents, running) && !slices.ContainsFunc(s.entries, running)
}
