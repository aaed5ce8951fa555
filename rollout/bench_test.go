package rollout

import (
	"fmt"
	"testing"
)

const (
	benchOrigins  = 650
	benchVersions = 3
)

// benchEvidence is what an entry holds when each of 650 agents has counted three
// versions over four task classes.
func benchEvidence(origins int) *Evidence {
	e := NewEvidence("entry")
	for i := range origins {
		e.Merge(benchAgent(i, 200).Delta(0))
	}
	return e
}

func benchAgent(i, answers int) *Evidence {
	a := NewEvidence(fmt.Sprintf("01JEBOOT%018d", i)) // as long as a ULID
	for n := range answers * benchVersions {
		k := VersionKey{"member-answers-large", fmt.Sprintf("2026-11-%02d", n%benchVersions)}
		o := Observation{TaskClass: taskClass[n/benchVersions%len(taskClass)], DataCentre: fmt.Sprint(i % 6), Started: true}
		o.Rated, o.Passed = n%10 < 3, n%10 < 2
		a.Record(k, o)
	}
	return a
}

// One operation merges a heartbeat's delta of one agent, with all of its
// versions changed, into the evidence of 650 agents.
func BenchmarkEvidenceMerge(b *testing.B) {
	e := benchEvidence(benchOrigins)
	a := benchAgent(7, 200)
	b.ReportAllocs()
	for b.Loop() {
		since := a.seq
		for v := range benchVersions {
			a.Record(VersionKey{"member-answers-large", fmt.Sprintf("2026-11-%02d", v)},
				Observation{TaskClass: taskClass[0], DataCentre: "1", Started: true})
		}
		if !e.Merge(a.Delta(since)) {
			b.Fatal("nothing changed")
		}
	}
}

// One operation encodes and decodes the evidence of all origins, as for a new
// link. The metrics give the size of that, and of a heartbeat of one agent.
func BenchmarkEvidenceDelta(b *testing.B) {
	e, one := benchEvidence(benchOrigins), benchAgent(7, 200)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		raw, err := e.Delta(0).Encode()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := DecodeDelta(raw); err != nil {
			b.Fatal(err)
		}
		size = len(raw)
	}
	raw, err := one.Delta(0).Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(size)/benchOrigins/benchVersions, "B/version-origin")
	b.ReportMetric(float64(len(raw))/benchVersions, "B/version-heartbeat")
}

func BenchmarkJudgeVersion(b *testing.B) {
	t := newTrial(3)
	t.run(200, func(*Evidence) bool { return true })
	b.ReportAllocs()
	for b.Loop() {
		t.e.JudgeVersion(candidate, "v1", TestConfig{})
	}
}
