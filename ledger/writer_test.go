package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssoploom/dialect"
	"hyssoploom/internal/faketest"
)

func row(request int, amount int64) Row {
	return Row{
		Workspace: "jylland", RequestID: fmt.Sprintf("r-%d", request), BodyHash: "b", Attempt: "1",
		Model: "brief", Version: "2026-11-30", TokensOut: amount, Amount: amount, Outcome: "complete",
		At: time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC),
	}
}

func rowSetOf(rows ...Row) *RowSet {
	b := new(RowSet)
	for _, r := range rows {
		b.Add(r)
	}
	return b
}

// requireStored fails unless the store holds exactly the rows of want.
func requireStored(t *testing.T, store *faketest.Store, want *RowSet) {
	t.Helper()
	got, err := Read(context.Background(), store.Copy())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want.Rows(), got.Rows()); diff != "" {
		t.Errorf("rows in the store differ (-want +got):\n%s", diff)
	}
}

// runWithWriter runs a test on a fake clock with a Writer whose Serve runs until
// the end of the test.
func runWithWriter(t *testing.T, test func(t *testing.T, store *faketest.Store, w *Writer), opts ...WriterOption) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := new(faketest.Store)
		w := NewWriter(store, "boot", nil, opts...)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- w.Serve(ctx) }()
		test(t, store, w)
		stop()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("Serve() = %v, want context.Canceled", err)
		}
	})
}

// Guards against one write per row, against two commits within a window or a
// commit long after it, and against delaying a row after an idle period.
func TestWriterGroupCommit(t *testing.T) {
	runWithWriter(t, func(t *testing.T, store *faketest.Store, w *Writer) {
		var durable []RowKey
		w.OnDurable = func(keys []RowKey) { durable = append(durable, keys...) }
		want := new(RowSet)
		want.Add(row(100, 1))
		done := w.Add(row(100, 1))
		synctest.Wait()
		select {
		case <-done:
		default:
			t.Error("the first row waits")
		}
		durable = nil
		for i := range 100 {
			want.Add(row(i, 1))
			done = w.Add(row(i, 1))
		}
		time.Sleep(DefaultWindow - time.Nanosecond)
		if n := store.Calls("swap"); n != 1 {
			t.Errorf("%d writes within the window, want 1", n)
		}
		time.Sleep(time.Nanosecond)
		<-done
		synctest.Wait()
		if store.Calls("swap") != 2 || len(durable) != 100 || durable[99] != row(99, 1).Key() {
			t.Errorf("%d writes, %d rows reported; want 2, 100", store.Calls("swap"), len(durable))
		}
		requireStored(t, store, want)
	})
}

// Guards against batches above MaxBatchBytes, and against rows that are not
// written because they do not fit in the first batch.
func TestWriterSplitsBatches(t *testing.T) {
	runWithWriter(t, func(t *testing.T, store *faketest.Store, w *Writer) {
		want := new(RowSet)
		want.Add(row(600, 1))
		<-w.Add(row(600, 1)) // committed alone, because the Writer was idle
		for i := range 600 {
			r := row(i, 1)
			r.Outcome = strings.Repeat("x", 2000)
			want.Add(r)
			w.Add(r)
		}
		time.Sleep(4 * DefaultWindow)
		for _, key := range store.Keys(Prefix) {
			if kv, _ := store.Get(t.Context(), key); len(kv.Value) > MaxBatchBytes {
				t.Errorf("%s has %d bytes", key, len(kv.Value))
			}
		}
		if n := len(store.Keys(Prefix)); n != 1+3 {
			t.Errorf("%d batches for one row and 1.2 MB, want 4", n)
		}
		requireStored(t, store, want)
	})
}

// Guards against lost rows, unbounded memory and too frequent retries in a store
// outage of two hours, and against a slow recovery after it.
func TestWriterLongOutage(t *testing.T) {
	const limit = 1000
	runWithWriter(t, func(t *testing.T, store *faketest.Store, w *Writer) {
		store.OnCall(func(faketest.Call) faketest.Fault { return faketest.Refuse })
		want := new(RowSet)
		var done []<-chan struct{}
		for i := range limit + limit/4 {
			if full := w.Full(); full != (i >= limit) {
				t.Fatalf("Full() = %v with %d rows", full, i)
			}
			want.Add(row(i, 1))
			done = append(done, w.Add(row(i, 1)))
			time.Sleep(2 * time.Hour / (limit + limit/4))
		}
		dropped := w.Add(row(limit*2, 1))
		want.Add(row(0, 7)) // a larger variant of a row that is held
		w.Add(row(0, 7))
		s := w.Stats()
		// Row 0 has been moved to a batch, so its larger variant is dropped too.
		if s.Dropped != 2 || s.Waiting != limit+limit/4 || s.OldestAge < 2*time.Hour-time.Minute {
			t.Errorf("Stats() = %+v", s)
		}
		if n := store.Calls("swap"); n > int(2*time.Hour/(maxBackoff/2))+20 {
			t.Errorf("%d writes in the outage", n)
		}
		store.OnCall(nil)
		time.Sleep(2 * maxBackoff)
		for _, d := range done {
			<-d
		}
		select {
		case <-dropped:
			t.Error("a dropped row was reported durable")
		default:
		}
		if n := w.Stats().Waiting; n != 0 {
			t.Errorf("%d rows waiting after the outage", n)
		}
		w.Add(row(0, 7))
		if err := w.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		requireStored(t, store, want)
	}, WithMaxRows(limit))
}

// Guards against rows that are lost, or falsely reported durable, when half of
// all store calls fail in one of the five ways.
func TestWriterLostResponses(t *testing.T) {
	for seed := range uint64(20) {
		runWithWriter(t, func(t *testing.T, store *faketest.Store, w *Writer) {
			rng := rand.New(rand.NewPCG(seed, 0))
			store.OnCall(func(faketest.Call) faketest.Fault {
				return faketest.Fault(max(0, rng.IntN(2*int(faketest.Hang))-int(faketest.Hang)+1))
			})
			want, stored := new(RowSet), 0
			w.OnDurable = func(keys []RowKey) {
				stored += len(keys)
				set, err := Read(t.Context(), store.Copy())
				for _, key := range keys {
					if _, ok := set.Get(key); err != nil || !ok {
						t.Errorf("seed %d: %v was reported durable and is not in the store, %v", seed, key, err)
					}
				}
			}
			for i := range 50 {
				want.Add(row(i, 1))
				w.Add(row(i, 1))
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(10 * time.Minute)
			synctest.Wait()
			store.ApplyDelayed()
			if stored != 50 {
				t.Errorf("seed %d: %d rows reported durable, want 50", seed, stored)
			}
			requireStored(t, store, want)
		})
	}
}

// Guards against losing a batch whose write is running when Serve is stopped, and
// against a Flush that returns too early or never.
func TestFlushAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(faketest.Store)
		w := NewWriter(store, "boot", nil)
		ctx, stop := context.WithCancel(t.Context())
		store.OnCall(func(faketest.Call) faketest.Fault { stop(); return faketest.LoseResponse })
		w.Add(row(1, 1))
		if err := w.Serve(ctx); !errors.Is(err, context.Canceled) {
			t.Fatalf("Serve() = %v", err)
		}
		w.Add(row(2, 1))
		short, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		store.OnCall(func(faketest.Call) faketest.Fault { return faketest.Refuse })
		if err := w.Flush(short); !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, dialect.ErrUnavailable) {
			t.Errorf("Flush() in an outage = %v", err)
		}
		store.OnCall(nil)
		if err := w.Flush(t.Context()); err != nil || w.Stats().Waiting != 0 {
			t.Errorf("Flush() = %v, %d rows left", err, w.Stats().Waiting)
		}
		requireStored(t, store, rowSetOf(row(1, 1), row(2, 1)))
	})
}

// Guards against losing the batch of the previous run when a supervisor restarts
// Serve.
func TestServeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := new(faketest.Store)
		w := NewWriter(store, "boot", nil)
		for _, fault := range []faketest.Fault{faketest.Refuse, faketest.Pass} {
			store.OnCall(func(faketest.Call) faketest.Fault { return fault })
			ctx, stop := context.WithTimeout(t.Context(), time.Second)
			defer stop()
			if fault == faketest.Refuse {
				w.Add(row(1, 1))
			}
			_ = w.Serve(ctx)
		}
		requireStored(t, store, rowSetOf(row(1, 1)))
	})
}

// Guards against an endless loop and a false durable report when the key of a
// batch already holds a different value.
func TestWriterKeyTaken(t *testing.T) {
	runWithWriter(t, func(t *testing.T, store *faketest.Store, w *Writer) {
		foreign, _ := EncodeRow(row(9, 9))
		_, _ = store.CompareAndSwap(t.Context(), dialect.Write{Key: Prefix + "boot/0000000000", Value: encodeBatch([][]byte{foreign})})
		<-w.Add(row(1, 1))
		requireStored(t, store, rowSetOf(row(9, 9), row(1, 1)))
	})
}

// Guards against handing over or releasing the rows of another entry, and against
// replacing a row by one that Merge ranks lower.
func TestRowBuffer(t *testing.T) {
	store := new(faketest.Store)
	buf := NewRowBuffer(NewWriter(store, "agent", nil))
	second := row(1, 20)
	second.Attempt = "2"
	buf.Hold("entry-1", second)
	buf.Hold("entry-1", row(1, 20)) // the same amount by attempt 1: attempt 2 is charged
	buf.Hold("entry-2", row(2, 5))
	buf.Hold("entry-2", row(3, 5))
	buf.Release("entry-2", []RowRef{row(3, 5).Ref(), row(4, 5).Ref()})
	buf.Release("entry-2", []RowRef{row(1, 20).Ref()}) // not a row of entry-2
	if n := buf.HandOver("entry-1"); n != 2 || buf.Len() != 1 || len(buf.Entries()) != 1 || buf.Full() {
		t.Errorf("%d orphans, %d rows held; want 2, 1", n, buf.Len())
	}
	if err := buf.writer.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	requireStored(t, store, rowSetOf(second))
}

// Guards against a premature report: while only the smaller row of an earlier
// attempt is in the store, reporting its key durable would make the agent discard
// the larger row of a later attempt.

func TestLargerRowWhileCommitting(t *testing.T) {
	runWithWriter(t, func(t *testing.T, store *faketest.Store, w *Writer) {
		var reports []int // waiting rows at each report
		w.OnDurable = func([]RowKey) { reports = append(reports, w.Stats().Waiting) }
		store.OnApplied(func(faketest.Call) {
			store.OnApplied(nil)
			w.Add(row(1, 20))
		})
		w.Add(row(1, 5))
		time.Sleep(time.Second)
		synctest.Wait()
		if len(reports) != 1 || reports[0] != 0 {
			t.Errorf("reports with %v rows waiting, want one with none", reports)
		}
		requireStored(t, store, rowSetOf(row(1, 20)))
	})
}

// Guards against rows that the store has lost and that are not written again, and against
// rows that are kept for longer than the retention or beyond the limit.
func TestRequeue(t *testing.T) {
	const retention = 200 * time.Millisecond
	store := &lossyStore{values: make(map[string][]byte)}
	w := NewWriter(store, "boot", nil, WithRetention(retention), WithMaxRows(3))
	add := func(id string) { w.Add(Row{Workspace: "w", RequestID: id, Amount: 1}) }
	flush := func() {
		t.Helper()
		if err := w.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	add("a")
	add("b")
	flush()
	store.values = make(map[string][]byte) // the store has gone back
	if n := w.Requeue(); n != 2 {
		t.Errorf("%d rows queued again, want 2", n)
	}
	flush()
	if len(store.values) != 1 {
		t.Errorf("%d batches in the store", len(store.values))
	}
	for _, id := range []string{"c", "d"} {
		add(id)
		flush()
	}
	if n := w.Requeue(); n != 3 {
		t.Errorf("%d rows queued again, want the limit of 3", n)
	}
	flush()
	time.Sleep(2 * retention)
	if n := w.Requeue(); n != 0 {
		t.Errorf("%d rows queued again after the retention", n)
	}
}

// lossyStore keeps values without conditions.
type lossyStore struct{ values map[string][]byte }

func (s *lossyStore) Get(_ context.Context, key string) (dialect.KV, error) {
	value, ok := s.values[key]
	if !ok {
		return dialect.KV{}, dialect.ErrNotFound
	}
	return dialect.KV{Key: key, Value: value}, nil
}

func (s *lossyStore) CompareAndSwap(_ context.Context, w dialect.Write) (uint64, error) {
	s.values[w.Key] = w.Value
	return 1, nil
}
