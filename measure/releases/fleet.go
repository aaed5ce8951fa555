package releases

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hyssoploom/rollout"
)

const (
	entries      = 20
	agents       = 8
	demand       = 10.0 // answers/s of the version if nothing holds it back
	baseDemand   = 30.0
	baseRated    = 0.3 // share of the baseline's answers that are rated
	answerTime   = time.Second
	raterDelay   = 2 * time.Second
	tick         = 10 * time.Millisecond
	operatorTime = 60 * time.Second
)

// peer is an entry or an agent.
type peer struct {
	e      *rollout.Evidence
	x      *rollout.Exposure
	rank   int
	phase  time.Duration
	sent   uint64
	judged rollout.Counts // of the candidate at the last test
	now    rollout.Verdict
}

// judge tests anew when the candidate's counters have changed. Bad is final.
func (p *peer) judge(ru Rule) {
	if n := p.e.Totals(candidate); n != p.judged && p.now != rollout.Bad {
		p.judged, p.now = n, ru.test(p.e).Verdict
	}
}

// rated is a result on its way to the agent that served the answer.
type rated struct {
	at    time.Duration
	agent *peer
	key   rollout.VersionKey
	id    string
	o     rollout.Observation
}

// sim is a fleet in which evidence and quarantines travel by heartbeats only.
type sim struct {
	r       *rand.Rand
	rel     Release
	rule    Rule
	entries []*peer
	agents  []*peer
	queue   []rated
	served  int
	n       int
}

func newSim(seed uint64, rel Release, ru Rule, history int) *sim {
	s := &sim{r: rand.New(rand.NewPCG(seed, 30)), rel: rel, rule: ru}
	add := func(name string, rank int) *peer {
		return &peer{e: rollout.NewEvidence(name), x: rollout.NewExposure(), rank: rank, phase: time.Duration(s.r.IntN(100)) * tick}
	}
	for i := range entries {
		s.entries = append(s.entries, add(fmt.Sprint("entry", i), 0))
	}
	past := rollout.NewEvidence("past")
	for i := range history {
		class := i % len(taskClass)
		past.Record(baseline, rollout.Observation{TaskClass: taskClass[class], Started: true, Rated: true,
			Passed: s.r.Float64() < baseRates[class]})
	}
	for i := range agents {
		s.agents = append(s.agents, add(fmt.Sprint("agent", i), i))
	}
	for _, p := range append(slices.Clone(s.entries), s.agents...) {
		p.e.Merge(past.Delta(0))
	}
	return s
}

// run returns the answers served by the version until every process has
// stopped it, or until limit.
func (s *sim) run(limit time.Duration) (served int, stopped time.Duration) {
	for now := time.Duration(0); now < limit; now += tick {
		s.start(now, candidate, demand, s.rel.pass, s.rel.errors)
		s.start(now, control, baseDemand, baseRates, 0)
		s.rate(now)
		s.heartbeats(now)
		if s.allStopped() {
			return s.served, now
		}
	}
	return s.served, limit
}

func (s *sim) start(now time.Duration, key rollout.VersionKey, perSecond float64, pass []float64, errors float64) {
	if s.r.Float64() >= perSecond*tick.Seconds() {
		return
	}
	entry, a := s.entries[s.r.IntN(entries)], s.agents[s.r.IntN(agents)]
	s.n++
	id, class := fmt.Sprint(s.n), s.r.IntN(len(taskClass))
	under := key == candidate
	if under && (entry.now == rollout.Bad || a.now == rollout.Bad || !a.x.Acquire(key, id, s.share(a))) {
		return
	}
	o := rollout.Observation{TaskClass: taskClass[class], DataCentre: fmt.Sprint(a.rank % 3), Now: now, Started: true}
	a.e.Record(key, o)
	if under {
		s.served++
	} else {
		a.e.Record(baseline, o)
		if s.r.Float64() > baseRated {
			return
		}
	}
	o.Started, o.Failed = false, s.r.Float64() < errors
	o.Rated, o.Passed = !o.Failed, !o.Failed && s.r.Float64() < pass[class]
	due := now + answerTime
	if o.Rated {
		due += raterDelay
	}
	o.Now = due
	s.queue = append(s.queue, rated{due, a, key, id, o})
}

func (s *sim) share(a *peer) int {
	budget := rollout.DefaultBudget
	if s.rule.ramp {
		budget = rollout.EffectiveBudget(rollout.DefaultBudget, a.e.Totals(candidate), a.e.Totals(baseline), a.now)
	}
	return rollout.BudgetShare(budget, agents, a.rank)
}

func (s *sim) rate(now time.Duration) {
	s.queue = slices.DeleteFunc(s.queue, func(q rated) bool {
		if q.at > now {
			return false
		}
		q.agent.e.Record(q.key, q.o)
		if q.key != candidate {
			q.agent.e.Record(baseline, q.o)
			return true
		}
		if q.o.Rated {
			q.agent.x.Rated(candidate, q.id)
		} else {
			q.agent.x.Failed(candidate, q.id)
		}
		q.agent.judge(s.rule)
		return true
	})
}

func (s *sim) heartbeats(now time.Duration) {
	for _, side := range [][2][]*peer{{s.agents, s.entries}, {s.entries, s.agents}} {
		for _, from := range side[0] {
			if now%time.Second != from.phase {
				continue
			}
			from.x.Expire(now)
			d := from.e.Delta(from.sent)
			from.sent = d.Through
			for _, to := range side[1] {
				to.e.Merge(d)
				to.judge(s.rule)
				if from.now == rollout.Bad {
					to.now = rollout.Bad
				}
			}
		}
	}
}

func (s *sim) allStopped() bool {
	running := func(p *peer) bool { return p.now != rollout.Bad }
	return !slices.ContainsFunc(s.agents, running) && !slices.ContainsFunc(s.entries, running)
}
