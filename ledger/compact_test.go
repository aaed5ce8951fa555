package ledger

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"hyssoploom/dialect"
	"hyssoploom/internal/faketest"
)

// smallBatches fills a store with n batches of one row each; every third row is
// written twice, as by an entry and an agent.
func smallBatches(t *testing.T, n int) (*faketest.Store, *RowSet) {
	t.Helper()
	store, want := new(faketest.Store), new(RowSet)
	for i := range n {
		r := row(i-i%3/2, int64(i+1))
		want.Add(r)
		w := NewWriter(store, fmt.Sprintf("boot-%d", i), nil)
		w.Add(r)
		if err := w.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	return store, want
}

// inGoroutine lets the body stop by runtime.Goexit.
func inGoroutine(body func()) {
	ended := make(chan struct{})
	go func() { defer close(ended); body() }()
	<-ended
}

// Guards against lost and doubled charges when a compactor fails, stops, or is
// paused while another one runs, at each of its calls to the store.
func TestCompactorFaults(t *testing.T) {
	const batches = 6
	const calls = 1 + 1 + batches // list, merged batch, removals
	ctx := context.Background()
	for name, fault := range map[string]func(store *faketest.Store) faketest.Fault{
		"none":          func(*faketest.Store) faketest.Fault { return faketest.Pass },
		"response lost": func(*faketest.Store) faketest.Fault { return faketest.Lose },
		"failed":        func(*faketest.Store) faketest.Fault { return faketest.Fail },
		"applied late":  func(*faketest.Store) faketest.Fault { return faketest.Late },
		"refused":       func(*faketest.Store) faketest.Fault { return faketest.Refuse },
		"stops":         func(*faketest.Store) faketest.Fault { runtime.Goexit(); return 0 },
		// The calls of the other compactor pass: only one call has a fault.
		"paused while another runs": func(store *faketest.Store) faketest.Fault {
			_ = Compact(ctx, store)
			return faketest.Pass
		},
		"response lost while another runs": func(store *faketest.Store) faketest.Fault {
			store.OnApplied(func(faketest.Call) {
				store.OnApplied(nil)
				_ = Compact(ctx, store)
			})
			return faketest.Lose
		},
		"another half done": func(store *faketest.Store) faketest.Fault {
			n := 0
			store.OnCall(func(faketest.Call) faketest.Fault {
				if n++; n == calls/2 {
					runtime.Goexit()
				}
				return faketest.Pass
			})
			inGoroutine(func() { _ = Compact(ctx, store) })
			store.OnCall(nil)
			return faketest.Pass
		},
	} {
		for at := 1; at <= calls; at++ {
			t.Run(fmt.Sprintf("%s/call %d", name, at), func(t *testing.T) {
				store, want := smallBatches(t, batches)
				n := 0
				store.OnCall(func(faketest.Call) faketest.Fault {
					if n++; n == at {
						return fault(store)
					}
					return faketest.Pass
				})
				inGoroutine(func() { _ = Compact(ctx, store) })
				store.Deliver()
				wantStored(t, store, want)
				// A later compaction cleans up what the fault left behind.
				if err := Compact(ctx, store); err != nil {
					t.Error(err)
				}
				if keys := store.Keys(Prefix); len(keys) != 1 {
					t.Errorf("batches left: %v", keys)
				}
				wantStored(t, store, want)
			})
		}
	}
}

// Guards against the loss of a batch whose response was lost and which a
// compactor merged and removed before its writer read it back.
func TestCompactorBeforeReadBack(t *testing.T) {
	store, want := smallBatches(t, 3)
	w := NewWriter(store, "late", nil)
	store.OnCall(func(c faketest.Call) faketest.Fault {
		if c.Op == "swap" {
			return faketest.Lose
		}
		store.OnCall(nil) // the writer reads back: the compactor is faster
		if err := Compact(context.Background(), store); err != nil {
			t.Error(err)
		}
		return faketest.Pass
	})
	w.Add(row(50, 5))
	want.Add(row(50, 5))
	if err := w.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	wantStored(t, store, want)
}

// Guards against merged batches above the store's limit.
func TestMergedBatchSize(t *testing.T) {
	store, want := new(faketest.Store), new(RowSet)
	for i := range 7 {
		r := row(i, 1)
		r.Outcome = strings.Repeat("x", 150_000)
		want.Add(r)
		w := NewWriter(store, fmt.Sprintf("boot-%d", i), nil)
		w.Add(r)
		if err := w.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if err := Compact(t.Context(), store); err != nil {
		t.Fatal(err)
	}
	kvs, _, _ := store.List(t.Context(), Prefix)
	for _, kv := range kvs {
		if len(kv.Value) > MaxBatchBytes || len(kvs) != 3 {
			t.Errorf("%d batches, %s has %d bytes", len(kvs), kv.Key, len(kv.Value))
		}
	}
	wantStored(t, store, want)
}

// Guards against batches that are merged again and again, and against a
// compaction that takes more of the store's write rate than allowed.
func TestCompactionBounds(t *testing.T) {
	store, want := smallBatches(t, 10)
	before := store.Calls("swap")
	if err := Compact(t.Context(), store, WithMaxWrites(5)); err != nil {
		t.Fatal(err)
	}
	if n := store.Calls("swap") - before; n != 5 || len(store.Keys(Prefix)) != 7 {
		t.Errorf("%d writes, %d batches left; want 5, 7", n, len(store.Keys(Prefix)))
	}
	wantStored(t, store, want)
	before = store.Calls("swap")
	if err := Compact(t.Context(), store, WithSmallBytes(1)); err != nil || store.Calls("swap") != before {
		t.Errorf("large batches were written again: %v", err)
	}
}

// Guards against a compactor that removes, or a reader that hides, batches of a
// version that it does not know.
func TestUnknownBatch(t *testing.T) {
	store, want := smallBatches(t, 3)
	_, err := store.Swap(t.Context(), dialect.Write{Key: Prefix + "new/0", Value: []byte{0x92, 0x02, 0x90}})
	if err != nil {
		t.Fatal(err)
	}
	if err := Compact(t.Context(), store); !errors.Is(err, errBatchVersion) || !strings.Contains(err.Error(), "new/0") {
		t.Errorf("Compact() = %v, want the key and %v", err, errBatchVersion)
	}
	book, err := Read(t.Context(), store)
	if !errors.Is(err, errBatchVersion) || book.Len() != want.Len() || len(store.Keys(Prefix)) != 2 {
		t.Errorf("Read() = %d rows, %v; %d batches", book.Len(), err, len(store.Keys(Prefix)))
	}
}
