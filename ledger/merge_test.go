package ledger

import (
	"bytes"
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hyssoploom/internal/faketest"
)

// rowFromBits derives a row from bits. Each field has few values, so that rows
// often agree in some fields and differ in others.
func rowFromBits(bits uint16) Row {
	pick := func(n uint16) uint16 {
		v := bits % n
		bits /= n
		return v
	}
	r := row(int(pick(3)), int64(pick(3)))
	r.Stage = int(pick(2))
	r.Attempt = fmt.Sprint(pick(3))
	r.TokensOut = int64(pick(2))
	r.Outcome = []string{"complete", "cut"}[pick(2)]
	r.Version = []string{"1", "2"}[pick(2)]
	zone := time.FixedZone("west", -3*3600)
	r.At = []time.Time{r.At, r.At.In(zone), r.At.Add(time.Nanosecond)}[pick(3)]
	return r
}

func newProperties(seed int64, tests int) *gopter.Properties {
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = tests
	p.MaxShrinkCount = 100 // 1,000 takes 6 minutes with the race detector
	return gopter.NewProperties(p)
}

// Guards against a charge that depends on the order, duplication or encoding of
// the messages that carry its rows.
func TestMergeLaws(t *testing.T) {
	properties := newProperties(20261204, 500)
	bits := gen.UInt16()
	properties.Property("commutative, associative, idempotent, largest amount", prop.ForAll(func(x, y, z uint16) bool {
		a, b, c := rowFromBits(x), rowFromBits(y), rowFromBits(z)
		b.RequestID, b.Stage, c.RequestID, c.Stage = a.RequestID, a.Stage, a.RequestID, a.Stage
		m := Merge(a, Merge(b, c))
		return Merge(a, b) == Merge(b, a) && m == Merge(Merge(a, b), c) && Merge(a, a) == a.normalized() &&
			m.Amount == max(a.Amount, b.Amount, c.Amount)
	}, bits, bits, bits))
	properties.Property("any order, duplication and grouping of messages", prop.ForAll(func(list []uint16, seed int64) string {
		rng := rand.New(rand.NewSource(seed))
		want, parts := new(RowSet), []*RowSet{new(RowSet), new(RowSet)}
		for _, x := range list {
			want.Add(rowFromBits(x))
		}
		for _, i := range append(rng.Perm(len(list)), rng.Perm(len(list))...) {
			encoded, err := EncodeRow(rowFromBits(list[i]))
			if err != nil {
				return err.Error()
			}
			r, err := DecodeRow(encoded)
			if err != nil {
				return err.Error()
			}
			parts[rng.Intn(2)].Add(r)
		}
		parts[0].Merge(parts[1])
		return cmp.Diff(want.Rows(), parts[0].Rows())
	}, gen.SliceOf(bits), gen.Int64()))
	properties.TestingRun(t)
}

// Guards against sums that mix different workspaces, stages or bodies.
func TestBill(t *testing.T) {
	second, otherBody, otherWorkspace, later := row(1, 10), row(1, 100), row(1, 1000), row(2, 10000)
	second.Stage, second.Model = 1, "thorough"
	otherBody.BodyHash = "c"
	otherWorkspace.Workspace = "maule"
	later.At = later.At.Add(time.Hour)
	set := rowSetOf(row(1, 1), row(1, 1), second, otherBody, otherWorkspace, later)
	if got := set.Total("jylland", "r-1"); got != 111 {
		t.Errorf("Total() = %d, want 111", got)
	}
	got := set.Bill(Filter{Workspace: "jylland", From: row(1, 1).At, To: later.At})
	want := Bill{Requests: 2, Amount: 111, Lines: []BillLine{
		{Workspace: "jylland", Model: "brief", Version: "2026-11-30", Rows: 2, TokensOut: 101, Amount: 101},
		{Workspace: "jylland", Model: "thorough", Version: "2026-11-30", Rows: 1, TokensOut: 10, Amount: 10},
	}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("Bill() differs (-want +got):\n%s", diff)
	}
	if all := set.Bill(Filter{}); all.Amount != 11111 || all.Requests != 4 || len(all.Lines) != 3 {
		t.Errorf("Bill of everything = %+v", all)
	}
}

// Guards against a panic or exhausted memory when a corrupt batch is decoded.
func TestDamagedBatch(t *testing.T) {
	encoded, _ := EncodeRow(row(1, 1))
	whole := encodeBatch([][]byte{encoded, encoded})
	if rows, err := decodeBatch(whole); err != nil || len(rows) != 2 {
		t.Fatal(rows, err)
	}
	for i := range whole {
		if _, err := decodeBatch(whole[:i]); err == nil {
			t.Errorf("a batch cut at %d of %d was accepted", i, len(whole))
		}
	}
	huge := append(bytes.Clone(whole[:2]), 0xdd, 0xff, 0xff, 0xff, 0xff)
	if _, err := decodeBatch(huge); err == nil {
		t.Error("a batch with an encoded length of 4 billion rows and no rows was accepted")

	}
}

// productionRow returns a row with fields of the sizes found in production.
func productionRow(i int) Row {
	return Row{
		Workspace: "jylland", RequestID: fmt.Sprintf("01JE8Q9V6M%016d", i),
		BodyHash: "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
		Stage:    1, Attempt: "2", Model: "brief", Version: "2026-11-30", TokensIn: 900, TokensOut: 200,
		Amount: 1_300_000, Outcome: "complete", At: time.Date(2026, 12, 4, 12, 0, 0, 123456789, time.UTC),
	}
}

func BenchmarkRowEncode(b *testing.B) {
	var encoded []byte
	for i := range b.N {
		encoded, _ = EncodeRow(productionRow(i))
	}
	b.ReportMetric(float64(len(encoded)), "row_bytes")
}

// BenchmarkWriterAdd measures Add and the memory that a waiting row occupies.
func BenchmarkWriterAdd(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := NewWriter(new(faketest.Store), "boot", nil, WithMaxRows(b.N))
	for i := range b.N {
		w.Add(productionRow(i))
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "held_bytes/row")
	runtime.KeepAlive(w)
}
