package rollout

import (
	"fmt"
	"testing"
)

const (
	benchOrigins  = 650
	benchVersions = 3
)

var taskClasses = []string{"contract draft", "member answer", "inspection summary", "repair quote"}

// benchEvidence returns the evidence of an entry after each agent has counted three
// versions with four task classes.
func benchEvidence(origins int) *Evidence {
	e := NewEvidence("entry")
	for i := range origins {
		e.Merge(benchAgentEvidence(i, 200).Delta(0))
	}
	return e
}

// benchAgentEvidence returns the evidence of agent i after it has recorded the given
// number of answers per version.
func benchAgentEvidence(i, answers int) *Evidence {
	a := NewEvidence(fmt.Sprintf("01JEBOOT%018d", i)) // as long as a ULID
	for n := range answers * benchVersions {
		k := VersionKey{"member-answers-large", fmt.Sprintf("2026-11-%02d", n%benchVersions)}
		o := Observation{TaskClass: taskClasses[n/benchVersions%len(taskClasses)], DataCentre: fmt.Sprint(i % 6), Started: true}
		o.Rated, o.Passed = n%10 < 3, n%10 < 2
		a.Record(k, o)
	}
	return a
}

// BenchmarkEvidenceMerge merges the delta of one agent's heartbeat, in which all
// versions have changed, into the evidence of 650 agents.
func BenchmarkEvidenceMerge(b *testing.B) {
	e := benchEvidence(benchOrigins)
	a := benchAgentEvidence(7, 200)
	b.ReportAllocs()
	for b.Loop() {
		since := a.seq
		for v := range benchVersions {
			a.Record(VersionKey{"member-answers-large", fmt.Sprintf("2026-11-%02d", v)},
				Observation{TaskClass: taskClasses[0], DataCentre: "1", Started: true})
		}
		if !e.Merge(a.Delta(since)) {
			b.Fatal("Merge reported no change for a delta with new counters")
		}
	}
}

// BenchmarkEvidenceDelta encodes and decodes the evidence of all origins, as for a
// new link. It reports the encoded size of that evidence and of one agent's
// heartbeat.
func BenchmarkEvidenceDelta(b *testing.B) {
	e, agent := benchEvidence(benchOrigins), benchAgentEvidence(7, 200)
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
	raw, err := agent.Delta(0).Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(size)/benchOrigins/benchVersions, "B/version-origin")
	b.ReportMetric(float64(len(raw))/benchVersions, "B/version-heartbeat")
}
