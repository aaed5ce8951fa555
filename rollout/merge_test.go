package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func newProperties(t *testing.T) *gopter.Properties {
	p := gopter.DefaultTestParametersWithSeed(20261204)
	p.MinSuccessfulTests = 200
	t.Helper()
	return gopter.NewProperties(p)
}

var testKeys = []VersionKey{{"m", "v1"}, {"m", "v2"}, {"n", "v1"}}

// recordRandomEvents records random events at several processes. It returns their
// evidence and all deltas that they sent.
func recordRandomEvents(r *rand.Rand, processes int) (all []*Evidence, sent []Delta) {
	for i := range processes {
		all = append(all, NewEvidence(fmt.Sprint("boot", i)))
	}
	since := make([]uint64, processes)
	for step := range 60 {
		i := r.IntN(processes)
		all[i].Record(testKeys[r.IntN(len(testKeys))], Observation{
			TaskClass: fmt.Sprint(r.IntN(4)), DataCentre: fmt.Sprint(r.IntN(3)), Now: time.Duration(step) * time.Second,
			Started: true, Rated: r.IntN(2) == 0, Passed: r.IntN(2) == 0, Failed: r.IntN(8) == 0})
		if r.IntN(3) == 0 {
			d := all[i].Delta(since[i])
			since[i] = d.Through
			sent = append(sent, d)
		}
	}
	for i, e := range all {
		sent = append(sent, e.Delta(since[i]))
	}
	return all, sent
}

// formatState formats the totals of a process and the delta that it would send.
func formatState(e *Evidence) string {
	d := e.Delta(0)
	slices.SortFunc(d.Counters, func(a, b OriginCounters) int {
		return strings.Compare(fmt.Sprint(a.Origin, a.Key), fmt.Sprint(b.Origin, b.Key))
	})
	out := ""
	for _, p := range d.Counters {
		out += fmt.Sprint(p.Origin, p.Key, p.Cells, ";")
	}
	for _, k := range testKeys {
		out += fmt.Sprint(k, e.totals[k], e.Totals(k), ";")
	}
	return out
}

// Guards against counters that depend on the order of deltas, count a repeated delta
// twice, or stay too low after a lost delta although a later full delta has them.
func TestEvidenceMergeAnyOrder(t *testing.T) {
	p := newProperties(t)
	p.Property("order, duplication and loss do not matter", prop.ForAll(func(seed uint64) string {
		r := rand.New(rand.NewPCG(seed, 1))
		all, sent := recordRandomEvents(r, 4)
		a, b := NewEvidence("a"), NewEvidence("b")
		for _, d := range sent {
			a.Merge(d)
		}
		for _, i := range r.Perm(len(sent)) {
			if r.IntN(3) > 0 { // a third of the deltas is lost
				b.Merge(sent[i])
				b.Merge(sent[i])
			}
		}
		for _, e := range all { // a new link starts with a full delta
			b.Merge(e.Delta(0))
		}
		if b.Merge(a.Delta(0)) {
			return "merging evidence that is already known reported a change"
		}
		return cmp.Diff(formatState(a), formatState(b))
	}, gen.UInt64()))
	p.TestingRun(t)
}

// Guards against an encoding that loses counters, and against a decoder that accepts
// truncated or inconsistent data.
func TestDeltaCodec(t *testing.T) {
	_, sent := recordRandomEvents(rand.New(rand.NewPCG(1, 1)), 3)
	e := NewEvidence("x")
	for _, d := range sent {
		e.Merge(d)
	}
	e.CompactDeparted(func(o string) bool { return o == "boot1" })
	want := e.Delta(0)
	b, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeDelta(b)
	if err != nil {
		t.Fatal(err)
	}
	got.Through = want.Through
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	for i := range b {
		if _, err := DecodeDelta(b[:i]); err == nil {
			t.Fatalf("DecodeDelta accepted a delta truncated to %d of %d bytes", i, len(b))
		}
	}
	invalid, _ := encode(&wireDelta{Strings: []string{"a"}, Counters: [][]uint64{{0, 0, 1}}})
	if _, err := DecodeDelta(invalid); err == nil {
		t.Error("DecodeDelta accepted a string index outside the table")
	}
}

// Guards against compactions that lose counters or count them twice: compactions and
// late counters arrive in any order, and two processes compact concurrently.
func TestCompactionAnyOrder(t *testing.T) {
	p := newProperties(t)
	p.Property("compaction preserves totals", prop.ForAll(func(seed uint64) string {
		r := rand.New(rand.NewPCG(seed, 2))
		all, sent := recordRandomEvents(r, 6)
		plain := NewEvidence("plain")
		a, b, late := NewEvidence("a"), NewEvidence("b"), NewEvidence("late")
		for _, e := range all {
			plain.Merge(e.Delta(0))
			a.Merge(e.Delta(0))
			b.Merge(e.Delta(0))
		}
		a.CompactDeparted(func(o string) bool { return o == "boot0" || o == "boot1" })
		b.CompactDeparted(func(o string) bool { return o == "boot1" || o == "boot2" })
		deltas := append([]Delta{a.Delta(0), b.Delta(0)}, sent...)
		for _, i := range r.Perm(len(deltas)) {
			late.Merge(deltas[i])
		}
		want := fmt.Sprint(plain.totals)
		if got := fmt.Sprint(late.totals); got != want {
			return fmt.Sprintf("late, after the first compactions: %s; want %s", got, want)
		}
		da, db := a.Delta(0), b.Delta(0)
		a.Merge(db)
		b.Merge(da)
		a.CompactDeparted(func(o string) bool { return o != "boot5" }) // a second epoch drops counters by origin
		b.Merge(a.Delta(0))
		late.Merge(a.Delta(0))
		for _, d := range sent {
			late.Merge(d)
		}
		for name, e := range map[string]*Evidence{"a": a, "b": b, "late": late} {
			if got := fmt.Sprint(e.totals); got != want {
				return fmt.Sprintf("%s: %s; want %s", name, got, want)
			}
		}
		return ""
	}, gen.UInt64()))
	p.TestingRun(t)
}

// Guards against state that grows with each restart of a process, and against
// ignoring the counters of a process that was compacted while it was running.
func TestCompactionBoundsState(t *testing.T) {
	e := NewEvidence("here")
	for i := range 3000 {
		o := NewEvidence(fmt.Sprint("boot", i))
		o.Record(testKeys[0], Observation{Started: true})
		e.Merge(o.Delta(0))
		if i%10 == 9 {
			e.CompactDeparted(func(string) bool { return true })
		}
	}
	if got := e.Totals(testKeys[0]).Answers; got != 3000 {
		t.Errorf("%d answers; want 3000", got)
	}
	if len(e.byOrigin) > 40 || len(e.compaction.Members) > maxCompactedOrigins {
		t.Errorf("%d counters by origin and %d compacted origins are kept; want at most 40 and maxCompactedOrigins", len(e.byOrigin), len(e.compaction.Members))
	}
	returned := NewEvidence("boot2999")
	returned.Merge(e.Delta(0))
	returned.Record(testKeys[0], Observation{Started: true})
	e.Merge(returned.Delta(0))
	if got := e.Totals(testKeys[0]).Answers; got != 3001 {
		t.Errorf("%d answers after a compacted process continued; want 3001", got)
	}
}

// Guards against counters from peers that restore a version which was deleted from
// the configuration.
func TestForget(t *testing.T) {
	a, b := NewEvidence("a"), NewEvidence("b")
	b.Record(testKeys[0], Observation{Started: true})
	a.Merge(b.Delta(0))
	a.Forget(testKeys[0])
	if a.Merge(b.Delta(0)) || a.Totals(testKeys[0]) != (Counts{}) || len(a.Versions()) != 0 {
		t.Error("a peer restored a forgotten version")
	}
	a.Record(testKeys[0], Observation{Started: true})
	if a.Totals(testKeys[0]).Answers != 1 {
		t.Error("events of a version that was released again are not counted")
	}
}

// Guards against processes that permanently disagree about a quarantine because its
// copies arrived in a different order.
func TestQuarantineMergeAnyOrder(t *testing.T) {
	p := newProperties(t)
	p.Property("order and duplication do not matter", prop.ForAll(func(seed uint64) string {
		r := rand.New(rand.NewPCG(seed, 3))
		var list []Quarantine
		for i := range 12 {
			k := testKeys[r.IntN(len(testKeys))]
			list = append(list, Quarantine{Model: k.Model, Version: k.Version, ID: fmt.Sprint(i), BaseRevision: uint64(r.IntN(3))})
		}
		a, b, c := NewQuarantineSet(), NewQuarantineSet(), NewQuarantineSet()
		a.Merge(list)
		for _, i := range r.Perm(len(list)) {
			b.Add(list[i])
			b.Add(list[i])
		}
		half := list[:len(list)/2]
		c.Merge(list[len(half):])
		c.Merge(half)
		return cmp.Diff(a.All(), b.All()) + cmp.Diff(a.All(), c.All())
	}, gen.UInt64()))
	p.TestingRun(t)
}
