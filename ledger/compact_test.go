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

// storeWithBatches returns a store with n batches of one row each, and the merged
// rows. Every third row has the key of the row before it, as if entry and agent
// both wrote the charge.
func storeWithBatches(t *testing.T, n int) (*faketest.Store, *RowSet) {
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

// runInGoroutine runs the body and returns when it has ended. The body may call
// runtime.Goexit.
func runInGoroutine(body func()) {
	done := make(chan struct{})
	go func() { defer close(done); body() }()
	<-done
}

// Guards against lost and duplicated charges when a compaction has a failed call,
// stops, or is paused while another one runs, at each of its store calls.
func TestCompactorFaults(t *testing.T) {
	const batches = 6
	const calls = 1 + 1 + batches // list, merged batch, removals
	ctx := context.Background()
	for name, fault := range map[string]func(store *faketest.Store) faketest.Fault{
		"none":          func(*faketest.Store) faketest.Fault { return faketest.Pass },
		"response lost": func(*faketest.Store) faketest.Fault { return faketest.LoseResponse },
		"failed":        func(*faketest.Store) faketest.Fault { return faketest.LoseRequest },
		"applied late":  func(*faketest.Store) faketest.Fault { return faketest.DelayWrite },
		"refused":       func(*faketest.Store) faketest.Fault { return faketest.Refuse },
		"stops":         func(*faketest.Store) faketest.Fault { runtime.Goexit(); return 0 },
		// Only one call has a fault; the calls of the other compaction pass.
		"paused while another runs": func(store *faketest.Store) faketest.Fault {
			_ = Compact(ctx, store)
			return faketest.Pass
		},
		"response lost while another runs": func(store *faketest.Store) faketest.Fault {
			store.OnApplied(func(faketest.Call) {
				store.OnApplied(nil)
				_ = Compact(ctx, store)
			})
			return faketest.LoseResponse
		},
		"another half done": func(store *faketest.Store) faketest.Fault {
			n := 0
			store.OnCall(func(faketest.Call) faketest.Fault {
				if n++; n == calls/2 {
					runtime.Goexit()
				}
				return faketest.Pass
			})
			runInGoroutine(func() { _ = Compact(ctx, store) })
			store.OnCall(nil)
			return faketest.Pass
		},
	} {
		for at := 1; at <= calls; at++ {
			t.Run(fmt.Sprintf("%s/call %d", name, at), func(t *testing.T) {
				store, want := storeWithBatches(t, batches)
				n := 0
				store.OnCall(func(faketest.Call) faketest.Fault {
					if n++; n == at {
						return fault(store)
					}
					return faketest.Pass
				})
				runInGoroutine(func() { _ = Compact(ctx, store) })
				store.ApplyDelayed()
				requireStored(t, store, want)
				// A later compaction merges the batches that the fault left.
				if err := Compact(ctx, store); err != nil {
					t.Error(err)
				}
				if keys := store.Keys(Prefix); len(keys) != 1 {
					t.Errorf("batches left: %v", keys)
				}
				requireStored(t, store, want)
			})
		}
	}
}

// Guards against losing a batch when the response to its write is lost and a
// compaction merges and removes it before the writer reads it back.
func TestCompactorBeforeReadBack(t *testing.T) {
	store, want := storeWithBatches(t, 3)
	w := NewWriter(store, "late", nil)
	store.OnCall(func(c faketest.Call) faketest.Fault {
		if c.Op == "swap" {
			return faketest.LoseResponse
		}
		store.OnCall(nil) // compact before the writer's read is applied
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
	requireStored(t, store, want)
}

// Guards against merged batches above MaxBatchBytes, which is below the store's
// limit.
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
	requireStored(t, store, want)
}

// Guards against rewriting batches that are already large, and against a
// compaction that exceeds its limit on writes.
func TestCompactionBounds(t *testing.T) {
	store, want := storeWithBatches(t, 10)
	before := store.Calls("swap")
	if err := Compact(t.Context(), store, WithMaxWrites(5)); err != nil {
		t.Fatal(err)
	}
	if n := store.Calls("swap") - before; n != 5 || len(store.Keys(Prefix)) != 7 {
		t.Errorf("%d writes, %d batches left; want 5, 7", n, len(store.Keys(Prefix)))
	}
	requireStored(t, store, want)
	before = store.Calls("swap")
	if err := Compact(t.Context(), store, WithSmallBytes(1)); err != nil || store.Calls("swap") != before {
		t.Errorf("large batches were written again: %v", err)
	}
}

// Guards against batches of an unknown version that a compaction removes or that
// a read does not report.
func TestUnknownBatch(t *testing.T) {
	store, want := storeWithBatches(t, 3)
	_, err := store.CompareAndSwap(t.Context(), dialect.Write{Key: Prefix + "new/0", Value: []byte{0x92, 0x02, 0x90}})
	if err != nil {
		t.Fatal(err)
	}
	if err := Compact(t.Context(), store); !errors.Is(err, errBatchVersion) || !strings.Contains(err.Error(), "new/0") {
		t.Errorf("Compact() = %v, want the key and %v", err, errBatchVersion)
	}
	set, err := Read(t.Context(), store)
	if !errors.Is(err, errBatchVersion) || set.Len() != want.Len() || len(store.Keys(Prefix)) != 2 {
		t.Errorf("Read() = %d rows, %v; %d batches", set.Len(), err, len(store.Keys(Prefix)))
	}
}
