package once

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"hyssoploom/dialect"
	"hyssoploom/internal/faketest"
)

// Guards against a wrong answer to a duplicate at each state, before and after
// the timeout, and with another body.
func TestDuplicateAtEachState(t *testing.T) {
	for _, c := range []struct {
		steps         []string
		first, second Outcome
		other         Outcome
	}{
		{nil, Reserved, InProgress, Mismatch},
		{[]string{"reserve"}, InProgress, Reserved, Mismatch},
		{[]string{"reserve", "cancel"}, Reserved, InProgress, Mismatch},
		{[]string{"reserve", "start"}, InProgress, Unknown, Mismatch},
		{[]string{"reserve", "start", "abandon"}, Reserved, InProgress, Mismatch},
		{[]string{"reserve", "start", "finish"}, Finished, Finished, Mismatch},
	} {
		t.Run(fmt.Sprint(c.steps), func(t *testing.T) {
			w, nonce, ctx := newWorld(t), "", context.Background()
			for _, s := range c.steps {
				_, nonce = w.do(s, nonce)
			}
			for i, want := range []Outcome{c.first, c.second} {
				r, err := w.logs["other"].Reserve(ctx, booking)
				if err != nil || r.Outcome != want || (r.Outcome == Finished && string(r.Answer.Body) != nonce) {
					t.Errorf("duplicate %d got %+v, %v; want %s", i, r, err, want)
				}
				w.now = w.now.Add(booking.Timeout - time.Duration(1-i))
				if c.first == InProgress { // the full timeout has been observed
					w.now = w.now.Add(1)
				}
			}
			changed := booking
			changed.BodyHash = "h2"
			if r, err := w.logs["other"].Reserve(ctx, changed); err != nil || r.Outcome != c.other {
				t.Errorf("other body got %+v, %v; want %s", r, err, c.other)
			}
		})
	}
}

// Guards against a takeover on the word of another process's clock.
func TestTakeoverNeedsOwnObservation(t *testing.T) {
	w, ctx := newWorld(t), context.Background()
	w.do("reserve", "")
	w.now = w.now.Add(time.Hour)
	late := New(w.store, WithClock(func() time.Time { return w.now }))
	if r, err := late.Reserve(ctx, booking); err != nil || r.Outcome != InProgress {
		t.Errorf("first sight after an hour: %+v, %v; want in_progress", r, err)
	}
	w.now = w.now.Add(booking.Timeout - 1)
	if r, err := late.Reserve(ctx, booking); err != nil || r.Outcome != InProgress {
		t.Errorf("just before the timeout: %+v, %v; want in_progress", r, err)
	}
	w.now = w.now.Add(1)
	if r, err := late.Reserve(ctx, booking); err != nil || r.Outcome != Reserved {
		t.Errorf("at the timeout: %+v, %v; want reserved", r, err)
	}
}

// Guards against records above the store's limit of 1 MB and against answers
// that are stored in part.
func TestLargeAnswer(t *testing.T) {
	for size, want := range map[int]bool{MaxAnswerBytes: false, MaxAnswerBytes + 1: true} {
		w, ctx := newWorld(t), context.Background()
		_, nonce := w.do("reserve", "")
		w.do("start", nonce)
		if err := w.logs["agent"].Finish(ctx, workspace, key, nonce, Answer{Status: 200, Body: make([]byte, size)}); err != nil {
			t.Fatal(err)
		}
		r, err := w.logs["other"].Reserve(ctx, booking)
		kv, _ := w.store.Get(ctx, StoreKey(workspace, key))
		if err != nil || r.Answer.TooLarge != want || (len(r.Answer.Body) == size) == want || len(kv.Value) > 1e6 {
			t.Errorf("%d bytes: TooLarge %v, body %d, record %d, %v", size, r.Answer.TooLarge, len(r.Answer.Body), len(kv.Value), err)
		}
	}
}

// Guards against removal of records that are young or have just changed, and
// states what a difference of the clocks does.
func TestSweep(t *testing.T) {
	for _, c := range []struct {
		name    string
		age     time.Duration // by the sweeper's clock
		changed bool
		removed int
	}{
		{"young", Retention, false, 0},
		{"old", Retention + 1, false, 1},
		{"writer's clock ahead by an hour", Retention - time.Hour + 1, false, 0},
		{"changed meanwhile", Retention + 1, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, ctx := newWorld(t), context.Background()
			_, nonce := w.do("reserve", "")
			w.now = w.now.Add(c.age)
			w.store.OnCall(func(call faketest.Call) faketest.Fault {
				if call.Op == "swap" && call.Write.Delete && c.changed {
					w.do("start", nonce)
				}
				return faketest.Pass
			})
			n, err := w.logs["other"].Sweep(ctx, workspace, 0)
			if err != nil || n != c.removed || (w.state() == "absent") != (c.removed == 1) {
				t.Errorf("Sweep() = %d, %v, state %s; want %d removed", n, err, w.state(), c.removed)
			}
		})
	}
}

// Guards against two keys that share a record, and keys that leave the prefix.
func TestStoreKey(t *testing.T) {
	seen := map[string]bool{}
	for _, k := range []string{"a", "a/b", "a%2Fb", "..", ".", "a b"} {
		s := StoreKey("w", k)
		if seen[s] || s[:len("once/w/")] != "once/w/" || slices.Contains([]byte(s[len("once/w/"):]), '/') {
			t.Errorf("StoreKey(%q) = %q", k, s)
		}
		seen[s] = true
	}
}

// Guards against steps that undo a final state or report success for a call that
// was not started.
func TestStepsOutOfOrder(t *testing.T) {
	for _, c := range []struct {
		steps []string // the last one is checked
		want  string
		state State
	}{
		{[]string{"finish"}, ErrNoRecord.Error(), "absent"},
		{[]string{"abandon"}, ErrNoRecord.Error(), "absent"},
		{[]string{"start"}, string(NotReserved), "absent"},
		{[]string{"cancel"}, string(CancelSuperseded), "absent"},
		{[]string{"reserve", "finish"}, ErrNotStarted.Error(), StateReserved},
		{[]string{"reserve", "abandon"}, ErrNotStarted.Error(), StateReserved},
		{[]string{"reserve", "cancel", "start"}, string(NotReserved), StateCancelled},
		{[]string{"reserve", "start", "start"}, string(StartedElsewhere), StateStarted},
		{[]string{"reserve", "start", "cancel"}, string(AlreadyStarted), StateStarted},
		{[]string{"reserve", "start", "abandon", "finish"}, ErrNotStarted.Error(), StateCancelled},
		{[]string{"reserve", "start", "abandon elsewhere"}, ErrOtherAgent.Error(), StateStarted},
		{[]string{"reserve", "start", "finish", "abandon"}, ErrNotStarted.Error(), StateFinished},
		{[]string{"reserve", "start", "finish", "finish"}, "ok", StateFinished},
		{[]string{"reserve", "start", "finish", "start"}, string(StartFinished), StateFinished},
		{[]string{"reserve", "start", "finish", "cancel"}, string(AlreadyFinished), StateFinished},
	} {
		w, nonce, outcome := newWorld(t), "", ""
		for _, s := range c.steps {
			outcome, nonce = w.do(s, nonce)
		}
		if outcome != c.want || w.state() != c.state {
			t.Errorf("%v: outcome %q, state %s; want %q, %s", c.steps, outcome, w.state(), c.want, c.state)
		}
	}
}

// Guards against a caller that goes away while its write is on the way: the
// write is still read back.
func TestCallerGoesAway(t *testing.T) {
	w := newWorld(t)
	_, nonce := w.do("reserve", "")
	ctx, leave := context.WithCancel(context.Background())
	w.store.OnCall(func(c faketest.Call) faketest.Fault {
		if c.Op != "swap" {
			return faketest.Pass
		}
		leave()
		return faketest.Lose
	})
	if got, err := w.logs["agent"].Start(ctx, workspace, key, nonce, "a1"); got != Started || err != nil {
		t.Errorf("Start() = %q, %v; want started", got, err)
	}
	if _, err := w.logs["agent"].Start(ctx, workspace, key, nonce, "a1"); !errors.Is(err, dialect.ErrUnavailable) {
		t.Errorf("Start() before any write: error = %v, want ErrUnavailable", err)
	}
}

// Guards against records that no Sweep could tell apart from running requests,
// and keys without bound.
func TestInvalidReservation(t *testing.T) {
	for name, change := range map[string]func(*Reservation){
		"no key":       func(r *Reservation) { r.Key = "" },
		"no workspace": func(r *Reservation) { r.Workspace = "" },
		"long key":     func(r *Reservation) { r.Key = strings.Repeat("k", MaxKeyBytes+1) },
		"no timeout":   func(r *Reservation) { r.Timeout = 0 },
		"long timeout": func(r *Reservation) { r.Timeout = Retention },
	} {
		r := booking
		change(&r)
		if _, err := newWorld(t).logs["entry"].Reserve(context.Background(), r); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: error = %v, want ErrInvalid", name, err)
		}
	}
}

// BenchmarkOnceRecord measures one life of a record, the bytes it occupies
// without the answer's body, and its store calls.
func BenchmarkOnceRecord(b *testing.B) {
	ctx, store := context.Background(), new(faketest.Store)
	log, r := New(store), booking
	r.BodyHash = strings.Repeat("0f", 32) // SHA-256 in hex
	var size int
	for i := range b.N {
		r.Key = fmt.Sprintf("01JE8Q9V6M0000000000000000-%d", i)
		res, err := log.Reserve(ctx, r)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := log.Start(ctx, workspace, r.Key, res.Nonce, "01JE8Q9V6M0000000000000000"); err != nil {
			b.Fatal(err)
		}
		if err := log.Finish(ctx, workspace, r.Key, res.Nonce, Answer{Status: 201}); err != nil {
			b.Fatal(err)
		}
		if i == 0 {
			kv, _ := store.Get(ctx, StoreKey(workspace, r.Key))
			size = len(kv.Key) + len(kv.Value)
		}
	}
	b.ReportMetric(float64(size), "record_bytes")
	b.ReportMetric(float64(store.Calls("swap"))/float64(b.N), "writes/op")
	b.ReportMetric(float64(store.Calls("get")-1)/float64(b.N), "reads/op")
}
