package gateway_test

import (
	"fmt"
	"testing"

	"hyssoploom/ledger"
	"hyssoploom/platform"
	"hyssoploom/platform/fake"
)

// rows reads the charges that are in the store.
func rows(t *testing.T, store *fake.Store) []ledger.Row {
	t.Helper()
	book, err := ledger.Read(t.Context(), platform.ProductStore{Store: platform.NewStore(store.Address())})
	if err != nil {
		t.Fatal(err)
	}
	return book.Rows()
}

// Guards against requests that are charged twice or not at all: repeats within an
// entry, cascades, and requests that were not run.
func TestChargedOnce(t *testing.T) {
	store := newStore(t)
	unsure := func(conn netConn, a fake.Arrival) bool {
		confidence := 95
		if a.Header.Get("X-Model") == "small" {
			confidence = 1
		}
		return fake.Stream(2, true, 0, fmt.Sprintf("X-Confidence: %d", confidence))(conn, a)
	}
	register(store, "llm", near, fake.NewRunner(t, "i-llm", unsure))
	register(store, "app", near, fake.NewRunner(t, "i-1", fake.Answer(500, "broken")))
	register(store, "app", far, fake.NewRunner(t, "i-2", fake.Answer(200, "hello")))
	e := start(t, store, "e1")
	e.awaitServers(3)
	e.send("POST", "/draft/a", "prompt", "X-Model", "*", "X-Token-Counts", "100,20", "X-Request-Id", "cascade")
	e.send("GET", "/look/a", "", "X-Request-Id", "repeated")
	e.send("GET", "/open/a", "", "X-Key", "", "X-Request-Id", "public")
	e.send("POST", "/once/a", "prompt", "X-Model", "absent", "X-Key", "wrong", "X-Request-Id", "refused")
	if err := e.Gateway.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	got := make(map[string]int)
	for _, r := range rows(t, store) {
		got[fmt.Sprintf("%s/%d %s %d+%d", r.RequestID, r.Stage, r.Model, r.TokensIn, r.TokensOut)]++
		if r.Workspace != workspace {
			t.Errorf("workspace %q", r.Workspace)
		}
	}
	want := []string{"cascade/0 small 100+0", "cascade/1 large 100+2", "repeated/0  0+0"}
	for _, w := range want {
		if got[w] != 1 {
			t.Errorf("%d rows %q; all: %v", got[w], w, got)
		}
	}
	if len(got) != len(want) {
		t.Errorf("rows %v", got)
	}
}

// Guards against charges that are lost with the entry that made them.
func TestChargesSurviveEntryLoss(t *testing.T) {
	store := newStore(t)
	register(store, "app", near, fake.NewRunner(t, "i-1", fake.Answer(200, "hello")))
	lost := startAt(t, store, "e1", near)
	holder := startAt(t, store, "e2", far)
	lost.awaitServers(1)
	eventually(t, "the entries hear each other", func() bool { return lost.Gateway.EntryCount() == 2 && holder.Gateway.EntryCount() == 2 })
	for i := range 5 {
		if a := lost.send("POST", "/book/a", "x", "X-Request-Id", fmt.Sprint("b", i)); a.status != 200 {
			t.Fatalf("status %d", a.status)
		}
	}
	// The first charge after a pause is written at once, the others within the window.
	eventually(t, "the peer holds the charges", func() bool { return holder.Gateway.HeldChargeCount() >= 4 })
	lost.Stop() // as if killed: nothing more is written
	if n := len(rows(t, store)); n > 1 {
		t.Fatalf("%d rows were written before the test's fault", n)
	}
	eventually(t, "the peer takes the charges over", func() bool { return holder.Gateway.HeldChargeCount() == 0 })
	if err := holder.Gateway.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if n := len(rows(t, store)); n != 5 {
		t.Errorf("%d rows after the entry was lost, want 5", n)
	}
}
