package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

var (
	candidate = VersionKey{"m", "v2"}
	control   = ControlKey(candidate, "v1")
	taskClass = []string{"contract draft", "member answer", "inspection summary", "repair quote"}
	baseRates = []float64{0.92, 0.9, 0.85, 0.88}
)

// release is a version under test.
type release struct {
	name   string
	pass   []float64 // by task class
	errors float64   // share of answers that fail
	// compare tells to run the other rules, too.
	compare bool
}

var releases = []release{
	{"passes 0.2 of answers", []float64{0.2, 0.2, 0.2, 0.2}, 0, true},
	{"passes 0.35 of answers", []float64{0.35, 0.35, 0.35, 0.35}, 0, false},
	{"passes 0.5 of answers", []float64{0.5, 0.5, 0.5, 0.5}, 0, true},
	{"passes 0.05 in one class of four", []float64{0.92, 0.05, 0.85, 0.88}, 0, true},
	{"half of the answers fail", baseRates, 0.5, false},
	{"as good as the baseline", baseRates, 0, false},
}

// rule is a test of a version, for comparison.
type rule struct {
	name string
	test func(e *Evidence) Finding
	ramp bool // Budget grows with ratings; else it is full from the start
}

func byJudge(e *Evidence) Finding { return e.JudgeVersion(candidate, "v1", TestConfig{}) }

func badIf(bad bool) Finding {
	if bad {
		return Finding{Verdict: Bad}
	}
	return Finding{}
}

// byFixedRates is Wald's test of the baseline's pass rate against one that is
// lower by 0.2, at the same level.
func byFixedRates(e *Evidence) Finding {
	c, b := ratingArm(e.Totals(candidate)), ratingArm(e.Totals(VersionKey{"m", "v1"}))
	if b.n() == 0 {
		return Finding{}
	}
	p0 := min(0.99, max(0.22, b.rate()))
	p1 := p0 - 0.2
	return badIf(c.pass*math.Log(p1/p0)+c.fail*math.Log((1-p1)/(1-p0)) > math.Log(1/0.0005))
}

// byWindow compares after every 30 ratings, one-sided at the level 0.0005.
func byWindow(e *Evidence) Finding {
	const window, z = 30, 3.29
	c, b := ratingArm(e.Totals(candidate)), ratingArm(e.Totals(VersionKey{"m", "v1"})).capped()
	if c.n() < window || b.n() == 0 {
		return Finding{}
	}
	p := (c.pass + b.pass) / (c.n() + b.n())
	return badIf((b.rate()-c.rate())/math.Sqrt(max(1e-9, p*(1-p)*(1/c.n()+1/b.n()))) > z)
}

var rules = []rule{
	{"sequential, unknown rates; budget grows", byJudge, true},
	{"sequential, unknown rates; full budget", byJudge, false},
	{"Wald, fixed rates; budget grows", byFixedRates, true},
	{"window of 30; budget grows", byWindow, true},
}

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

type peer struct {
	e      *Evidence
	x      *Exposure
	rank   int
	phase  time.Duration
	sent   uint64
	judged Counts // of the candidate at the last test
	now    Verdict
}

// judge tests anew when the candidate's counters have changed. Bad is final.
func (p *peer) judge(ru rule) {
	if n := p.e.Totals(candidate); n != p.judged && p.now != Bad {
		p.judged, p.now = n, ru.test(p.e).Verdict
	}
}

type rated struct {
	at    time.Duration
	agent *peer
	key   VersionKey
	id    string
	o     Observation
}

// sim is a fleet in which evidence and quarantines travel by heartbeats only.
type sim struct {
	r       *rand.Rand
	rel     release
	rule    rule
	entries []*peer
	agents  []*peer
	queue   []rated
	served  int
	n       int
}

func newSim(seed uint64, rel release, ru rule, history int) *sim {
	s := &sim{r: rand.New(rand.NewPCG(seed, 30)), rel: rel, rule: ru}
	add := func(name string, rank int) *peer {
		return &peer{e: NewEvidence(name), x: NewExposure(), rank: rank, phase: time.Duration(s.r.IntN(100)) * tick}
	}
	for i := range entries {
		s.entries = append(s.entries, add(fmt.Sprint("entry", i), 0))
	}
	past := NewEvidence("past")
	for i := range history {
		class := i % len(taskClass)
		past.Record(VersionKey{"m", "v1"}, Observation{TaskClass: taskClass[class], Started: true, Rated: true,
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

func (s *sim) start(now time.Duration, key VersionKey, perSecond float64, pass []float64, errors float64) {
	if s.r.Float64() >= perSecond*tick.Seconds() {
		return
	}
	entry, a := s.entries[s.r.IntN(entries)], s.agents[s.r.IntN(agents)]
	s.n++
	id, class := fmt.Sprint(s.n), s.r.IntN(len(taskClass))
	under := key == candidate
	if under && (entry.now == Bad || a.now == Bad || !a.x.Acquire(key, id, s.share(a))) {
		return
	}
	o := Observation{TaskClass: taskClass[class], DataCentre: fmt.Sprint(a.rank % 3), Now: now, Started: true}
	a.e.Record(key, o)
	if under {
		s.served++
	} else {
		a.e.Record(VersionKey{"m", "v1"}, o)
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
	budget := DefaultBudget
	if s.rule.ramp {
		budget = Budget(DefaultBudget, a.e.Totals(candidate), a.e.Totals(VersionKey{"m", "v1"}), a.now)
	}
	return Share(budget, agents, a.rank)
}

func (s *sim) rate(now time.Duration) {
	s.queue = slices.DeleteFunc(s.queue, func(q rated) bool {
		if q.at > now {
			return false
		}
		q.agent.e.Record(q.key, q.o)
		if q.key != candidate {
			q.agent.e.Record(VersionKey{"m", "v1"}, q.o)
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
				if from.now == Bad {
					to.now = Bad
				}
			}
		}
	}
}

func (s *sim) allStopped() bool {
	running := func(p *peer) bool { return p.now != Bad }
	return !slices.ContainsFunc(s.agents, running) && !slices.ContainsFunc(s.entries, running)
}

type spread []float64

func (s spread) String() string {
	sum := 0.0
	for _, v := range s {
		sum += v
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", sum/float64(len(s)), slices.Min(s), slices.Max(s))
}

// exposureRow is the outcome of one release under one rule over all seeds.
type exposureRow struct {
	rel                    release
	rule                   rule
	history                int
	served, stopped, ratio spread
}

func (row *exposureRow) measure() {
	const seeds, limit = 10, 90 * time.Second
	for seed := range uint64(seeds) {
		served, stopped := newSim(seed, row.rel, row.rule, row.history).run(limit)
		row.served = append(row.served, float64(served))
		row.stopped = append(row.stopped, stopped.Seconds())
		row.ratio = append(row.ratio, float64(served)/(demand*operatorTime.Seconds()))
	}
}

func exposureRows() (rows []*exposureRow) {
	for _, rel := range releases {
		rows = append(rows, &exposureRow{rel: rel, rule: rules[0], history: 1000}, &exposureRow{rel: rel, rule: rules[0], history: 10})
		if rel.compare {
			for _, ru := range rules[1:] {
				rows = append(rows, &exposureRow{rel: rel, rule: ru, history: 1000})
			}
		}
	}
	good := releases[len(releases)-1]
	return append(rows, &exposureRow{rel: good, rule: rules[1], history: 1000})
}

// Guards the target for answers served by a bad version. The target holds for a
// version that is bad throughout; the other rows are reported.
func TestMeasureExposure(t *testing.T) {
	const target = 30
	var group errgroup.Group
	group.SetLimit(4)
	rows := exposureRows()
	for _, row := range rows {
		group.Go(func() error {
			row.measure()
			return nil
		})
	}
	_ = group.Wait()
	var table strings.Builder
	table.WriteString("\n| version | test | ratings of the baseline before | answers served | s until all stopped | answers / operator |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, row := range rows {
		fmt.Fprintf(&table, "| %s | %s | %d | %v | %v | %v |\n", row.rel.name, row.rule.name, row.history, row.served, row.stopped, row.ratio)
		if row.rel.name == releases[0].name && row.rule.name == rules[0].name && slices.Max(row.served) > target {
			t.Errorf("%s, %d ratings before: %v answers; target %d", row.rel.name, row.history, row.served, target)
		}
	}
	t.Log(table.String())
}
