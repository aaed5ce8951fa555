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
	candidateRate      = 10.0 // answers/s of the candidate without an exposure limit
	baselineRate       = 30.0 // answers/s
	baselineRatedShare = 0.3  // share of the baseline's answers that are rated
	answerTime         = time.Second
	raterDelay         = 2 * time.Second
	tick               = 10 * time.Millisecond
	operatorReaction   = 60 * time.Second
)

// process is an entry or an agent.
type process struct {
	evidence        *rollout.Evidence
	exposure        *rollout.Exposure
	rank            int
	heartbeatPhase  time.Duration  // offset of the heartbeats within each second
	sentThrough     uint64         // last change of the evidence that was sent
	evaluatedCounts rollout.Counts // of the candidate at the last test
	verdict         rollout.Verdict
}

// evaluate tests the candidate again if its counts have changed. The verdict Bad is
// final.
func (p *process) evaluate(rule Rule) {
	if n := p.evidence.Totals(candidate); n != p.evaluatedCounts && p.verdict != rollout.Bad {
		p.evaluatedCounts, p.verdict = n, rule.test(p.evidence).Verdict
	}
}

// pendingResult is a rating or failure that the agent that served the answer records
// at the time due.
type pendingResult struct {
	due         time.Duration
	agent       *process
	key         rollout.VersionKey
	requestID   string
	observation rollout.Observation
}

// sim simulates a fleet in which only heartbeats carry evidence and quarantines.
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

// newSim returns a fleet in which every process has the evidence of history ratings of
// the baseline.
func newSim(seed uint64, release Release, rule Rule, history int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 30)), release: release, rule: rule}
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

// run returns how many answers the candidate served until every process had stopped
// it, and when that was, at most limit.
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

// startRequest starts a request in this tick with the probability that perSecond
// gives, unless the verdict or the exposure budget excludes the candidate.
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

// exposureShare returns the agent's part of the exposure budget.
func (s *sim) exposureShare(a *process) int {
	budget := rollout.DefaultBudget
	if s.rule.growBudget {
		budget = rollout.EffectiveBudget(rollout.DefaultBudget, a.evidence.Totals(candidate), a.evidence.Totals(baseline), a.verdict)
	}
	return rollout.BudgetShare(budget, agents, a.rank)
}

// recordResults records the results that are due and evaluates the candidate.
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

// sendHeartbeats sends new evidence and the verdict Bad from agents to entries and
// from entries to agents, once a second for each process.
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

// allStopped reports whether every process has the verdict Bad.
func (s *sim) allStopped() bool {
	running := func(p *process) bool { return p.verdict != rollout.Bad }
	return !slices.ContainsFunc(s.agents, running) && !slices.ContainsFunc(s.entries, running)
}
