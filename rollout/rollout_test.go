package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssoploom/config"
)

func none(string) bool { return false }
func all(string) bool  { return true }

func only(name string) func(string) bool { return func(v string) bool { return v == name } }

func testModel() *config.Model {
	return &config.Model{Name: "m", Versions: []config.ModelVersion{
		{Version: "v1", State: config.VersionActive, Weight: 3, OnWithdraw: config.WithdrawRepin},
		{Version: "v2", State: config.VersionActive, Weight: 1, Baseline: "v1"},
		{Version: "draining", State: config.VersionDraining, Weight: 5},
		{Version: "withdrawn", State: config.VersionWithdrawn, OnWithdraw: config.WithdrawRepin},
	}}
}

// Guards against new sessions on versions that accept none, and against a
// distribution that does not match the weights.
func TestAssign(t *testing.T) {
	m := testModel()
	counts := map[string]int{}
	for i := range 1000 {
		v, err := Assign(m, none, all, float64(i)/1000)
		if err != nil {
			t.Fatal(err)
		}
		counts[v]++
	}
	if diff := cmp.Diff(map[string]int{"v1": 750, "v2": 250}, counts); diff != "" {
		t.Error(diff)
	}
	if v, err := Assign(m, only("v1"), all, 0); v != "v2" || err != nil {
		t.Errorf("with v1 quarantined: %q, %v", v, err)
	}
	_, err := Assign(m, only("v1"), only("v1"), 0.5)
	var want *NoVersionError
	if !errors.As(err, &want) || want.Quarantined != 1 || want.Forbidden != 1 {
		t.Errorf("without an eligible version: %v", err)
	}
}

// Guards against sessions that change versions unnecessarily or stay on a stopped
// version.
func TestPinned(t *testing.T) {
	for _, c := range []struct {
		version              string
		quarantined, allowed func(string) bool
		want                 PinDecision
	}{
		{"v1", none, all, Keep},
		{"draining", none, all, Keep},
		{"withdrawn", none, all, Repin},
		{"v1", only("v1"), all, Repin},
		{"v2", only("v2"), all, Refuse},
		{"v1", none, none, Refuse},
		{"absent", none, all, Refuse},
	} {
		if got := DecidePin(testModel(), c.version, c.quarantined, c.allowed); got != c.want {
			t.Errorf("DecidePin(%s) = %v; want %v", c.version, got, c.want)
		}
	}
}

// Guards against shares whose sum differs from the budget.
func TestShare(t *testing.T) {
	for budget := 0; budget < 50; budget++ {
		for agents := 1; agents < 60; agents++ {
			total := 0
			for rank := range agents {
				total += BudgetShare(budget, agents, rank)
			}
			if total != budget {
				t.Fatalf("shares of %d among %d sum to %d", budget, agents, total)
			}
		}
	}
}

// Guards against a bad version that keeps getting slots during an hour without
// ratings, and against slots that are never freed.
func TestExposureExpiry(t *testing.T) {
	key := VersionKey{"m", "v"}
	x := NewExposure()
	started := 0
	for now := time.Duration(0); now < time.Hour; now += time.Second {
		x.Expire(now)
		if x.Acquire(key, fmt.Sprint(now), 5) {
			started++
		}
	}
	if started > 9 {
		t.Errorf("%d answers in an hour without ratings; want at most 9", started)
	}
	x = NewExposure()
	x.Acquire(key, "lost", 2)
	x.Acquire(key, "rated", 2)
	if x.Acquire(key, "third", 2) || !x.Acquire(key, "lost", 2) {
		t.Error("the share is not enforced, or a request that holds a slot was refused")
	}
	x.Rated(key, "rated")
	x.Expire(ratingTimeout)
	if got := x.Unrated(key); got != 0 {
		t.Errorf("%d slots in use although a later answer was rated a minute ago", got)
	}
	x.Acquire(key, "failed", 1)
	x.Failed(key, "failed")
	x.Expire(2*ratingTimeout - 1)
	if x.Acquire(key, "next", 1) {
		t.Error("the slot of a failed answer was freed before ratingTimeout")
	}
	x.Expire(2 * ratingTimeout)
	if !x.Acquire(key, "next", 1) {
		t.Error("the slot of a failed answer was not freed after ratingTimeout")
	}
}

// Guards against a budget that does not follow the ratings and the verdict.
func TestBudget(t *testing.T) {
	for _, c := range []struct {
		counts, baseline Counts
		verdict          Verdict
		want             int
	}{
		{Counts{}, Counts{}, Continue, 8},
		{Counts{Rated: 30, Passed: 30}, Counts{}, Continue, 20},
		{Counts{Rated: 30}, Counts{}, Continue, 1},
		{Counts{Rated: 3, Passed: 1}, Counts{Rated: 100, Passed: 90}, Continue, 3},
		{Counts{Rated: 100, Passed: 10}, Counts{Rated: 100, Passed: 10}, Continue, 13},
		{Counts{}, Counts{}, Bad, 0},
		{Counts{}, Counts{}, Good, Unlimited},
	} {
		if got := EffectiveBudget(0, c.counts, c.baseline, c.verdict); got != c.want {
			t.Errorf("EffectiveBudget(%+v, %v) = %d; want %d", c.counts, c.verdict, got, c.want)
		}
	}
}

// Guards against a quarantine that stays active after an operator lifted it, and
// against one that is not active before it is in the store.
func TestQuarantineSet(t *testing.T) {
	s := NewQuarantineSet()
	q := Quarantine{Model: "m", Version: "v", ID: "b", BaseRevision: 3}
	s.Add(q)
	if !s.Active(q.Key(), 0, false) || !s.Active(q.Key(), 3, false) {
		t.Error("a raised quarantine is not active")
	}
	if s.Active(q.Key(), 4, false) || !s.Active(q.Key(), 4, true) {
		t.Error("the record in the store does not apply above BaseRevision")
	}
	b, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	list, err := DecodeQuarantines(b)
	if err != nil {
		t.Fatal(err)
	}
	o := NewQuarantineSet()
	o.Add(Quarantine{Model: "m", Version: "v", ID: "a", BaseRevision: 2})
	if !o.Merge(list) || o.Merge(list) {
		t.Error("Merge did not report the change, or reported one for known quarantines")
	}
	if diff := cmp.Diff(s.Pending(), o.Pending()); diff != "" {
		t.Error(diff)
	}
	s.ObserveRevision(q.Key(), 4)
	if len(s.Pending()) != 0 {
		t.Error("a quarantine is still pending after a later revision was observed")
	}
}

// Guards against the verdict Bad for a good version, for failures of both versions
// and for small samples, and against bad versions that are not detected.
func TestEvaluate(t *testing.T) {
	base := Counts{Answers: 400, Rated: 400, Passed: 360}
	for name, c := range map[string]struct {
		candidate, baseline Counts
		want                Verdict
	}{
		"no evidence":              {Counts{}, base, Continue},
		"same rate":                {Counts{Answers: 40, Rated: 40, Passed: 36}, base, Continue},
		"good":                     {Counts{Answers: 400, Rated: 400, Passed: 362}, base, Good},
		"bad":                      {Counts{Answers: 16, Rated: 16, Passed: 4}, base, Bad},
		"one failure":              {Counts{Answers: 1, Rated: 1}, base, Continue},
		"few baseline ratings":     {Counts{Answers: 4, Rated: 4}, Counts{Rated: 3, Passed: 3}, Continue},
		"no baseline ratings":      {Counts{Answers: 40, Rated: 40}, Counts{}, Continue},
		"errors of candidate only": {Counts{Answers: 30, Errors: 15}, base, Bad},
		"same errors of both":      {Counts{Answers: 30, Errors: 15}, Counts{Answers: 300, Errors: 150}, Continue},
		"low rate of both":         {Counts{Rated: 100, Passed: 8}, Counts{Rated: 100, Passed: 8}, Good},
	} {
		if got := Evaluate(c.candidate, c.baseline, ComparisonConfig{}); got != c.want {
			t.Errorf("%s: %v; want %v", name, got, c.want)
		}
	}
}

// Guards against attributing a failure of one data centre or a different mix of tasks
// to the version, and against missing a version that fails in one task class only.
func TestEvaluateVersionStrata(t *testing.T) {
	candidate := VersionKey{"m", "v2"}
	control := ControlKey(candidate, "v1")
	record := func(e *Evidence, k VersionKey, taskClass, dataCentre string, n int, pass float64, errors int) {
		r := rand.New(rand.NewPCG(1, uint64(n)))
		for i := range n {
			now := time.Duration(i) * 2 * errorBurstWindow
			e.Record(k, Observation{TaskClass: taskClass, DataCentre: dataCentre, Now: now, Started: true})
			if i < errors {
				e.Record(k, Observation{TaskClass: taskClass, DataCentre: dataCentre, Now: now, Failed: true})
			} else {
				e.Record(k, Observation{TaskClass: taskClass, DataCentre: dataCentre, Now: now, Rated: true, Passed: r.Float64() < pass})
			}
		}
	}
	for name, c := range map[string]struct {
		fill func(*Evidence)
		want Verdict
	}{
		"data centre failure": {func(e *Evidence) {
			record(e, candidate, "a", "north", 30, 0.9, 15)
			record(e, control, "a", "north", 30, 0.9, 15)
			record(e, control, "a", "south", 600, 0.9, 0)
		}, Continue},
		"harder mix": {func(e *Evidence) {
			record(e, candidate, "hard", "north", 60, 0.2, 0)
			record(e, candidate, "easy", "north", 10, 0.9, 0)
			record(e, control, "hard", "north", 60, 0.2, 0)
			record(e, control, "easy", "north", 600, 0.9, 0)
		}, Continue},
		"one bad class": {func(e *Evidence) {
			for _, taskClass := range []string{"a", "b", "c"} {
				record(e, candidate, taskClass, "north", 30, 0.9, 0)
				record(e, control, taskClass, "north", 300, 0.9, 0)
			}
			record(e, candidate, "d", "north", 30, 0.1, 0)
			record(e, control, "d", "north", 300, 0.9, 0)
		}, Bad},
	} {
		e := NewEvidence("o")
		c.fill(e)
		if got := e.EvaluateVersion(candidate, "v1", ComparisonConfig{}); got.Verdict != c.want {
			t.Errorf("%s: %+v; want %v", name, got, c.want)
		}
	}
}
