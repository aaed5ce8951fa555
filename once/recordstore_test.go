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

// Guards against a wrong outcome for a duplicate in each state of the record,
// before and after the timeout, and for a request with a different body.
func TestDuplicateAtEachState(t *testing.T) {
	for _, c := range []struct {
		steps         []string
		first, second Outcome
		otherBody     Outcome
	}{
		{nil, Reserved, InProgress, Mismatch},
		{[]string{"reserve"}, InProgress, Reserved, Mismatch},
		{[]string{"reserve", "cancel"}, Reserved, InProgress, Mismatch},
		{[]string{"reserve", "start"}, InProgress, Unknown, Mismatch},
		{[]string{"reserve", "start", "abandon"}, Reserved, InProgress, Mismatch},
		{[]string{"reserve", "start", "finish"}, Finished, Finished, Mismatch},
	} {
		t.Run(fmt.Sprint(c.steps), func(t *testing.T) {
			f, nonce, ctx := newFixture(t), "", context.Background()
			for _, s := range c.steps {
				_, nonce = f.runStep(s, nonce)
			}
			for i, want := range []Outcome{c.first, c.second} {
				r, err := f.stores["other"].Reserve(ctx, testReservation)
				if err != nil || r.Outcome != want || (r.Outcome == Finished && string(r.Answer.Body) != nonce) {
					t.Errorf("duplicate %d got %+v, %v; want %s", i, r, err, want)
				}
				f.now = f.now.Add(testReservation.Timeout - time.Duration(1-i))
				if c.first == InProgress { // the full timeout has been observed
					f.now = f.now.Add(1)
				}
			}
			changed := testReservation
			changed.BodyHash = "h2"
			if r, err := f.stores["other"].Reserve(ctx, changed); err != nil || r.Outcome != c.otherBody {
				t.Errorf("other body got %+v, %v; want %s", r, err, c.otherBody)
			}
		})
	}
}

// Guards against a takeover that relies on the clock of another process: only
// the time for which this process has observed the reservation counts.
func TestTakeoverNeedsOwnObservation(t *testing.T) {
	f, ctx := newFixture(t), context.Background()
	f.runStep("reserve", "")
	f.now = f.now.Add(time.Hour)
	second := New(f.store, WithClock(func() time.Time { return f.now }))
	if r, err := second.Reserve(ctx, testReservation); err != nil || r.Outcome != InProgress {
		t.Errorf("first sight after an hour: %+v, %v; want in_progress", r, err)
	}
	f.now = f.now.Add(testReservation.Timeout - 1)
	if r, err := second.Reserve(ctx, testReservation); err != nil || r.Outcome != InProgress {
		t.Errorf("just before the timeout: %+v, %v; want in_progress", r, err)
	}
	f.now = f.now.Add(1)
	if r, err := second.Reserve(ctx, testReservation); err != nil || r.Outcome != Reserved {
		t.Errorf("at the timeout: %+v, %v; want reserved", r, err)
	}
}

// Guards against records above the store's limit of 1 MB and against partially
// stored answers.
func TestLargeAnswer(t *testing.T) {
	for size, want := range map[int]bool{MaxAnswerBytes: false, MaxAnswerBytes + 1: true} {
		f, ctx := newFixture(t), context.Background()
		_, nonce := f.runStep("reserve", "")
		f.runStep("start", nonce)
		if err := f.stores["agent"].Finish(ctx, workspace, key, nonce, Answer{Status: 200, Body: make([]byte, size)}); err != nil {
			t.Fatal(err)
		}
		r, err := f.stores["other"].Reserve(ctx, testReservation)
		kv, _ := f.store.Get(ctx, StoreKey(workspace, key))
		if err != nil || r.Answer.TooLarge != want || (len(r.Answer.Body) == size) == want || len(kv.Value) > 1e6 {
			t.Errorf("%d bytes: TooLarge %v, body %d, record %d, %v", size, r.Answer.TooLarge, len(r.Answer.Body), len(kv.Value), err)
		}
	}
}

// Guards against removal of records that are within their retention by the sweeper's
// clock or that change during the sweep.
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
			f, ctx := newFixture(t), context.Background()
			_, nonce := f.runStep("reserve", "")
			f.now = f.now.Add(c.age)
			f.store.OnCall(func(call faketest.Call) faketest.Fault {
				if call.Op == "swap" && call.Write.Delete && c.changed {
					f.runStep("start", nonce)
				}
				return faketest.Pass
			})
			n, err := f.stores["other"].Sweep(ctx, workspace, 0)
			if err != nil || n != c.removed || (f.state() == "absent") != (c.removed == 1) {
				t.Errorf("Sweep() = %d, %v, state %s; want %d removed", n, err, f.state(), c.removed)
			}
		})
	}
}

// Guards against two idempotency keys that map to one store key, and against
// store keys outside the prefix of the workspace.
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

// Guards against steps that change a final state or report success for a call
// that was not started.
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
		f, nonce, outcome := newFixture(t), "", ""
		for _, s := range c.steps {
			outcome, nonce = f.runStep(s, nonce)
		}
		if outcome != c.want || f.state() != c.state {
			t.Errorf("%v: outcome %q, state %s; want %q, %s", c.steps, outcome, f.state(), c.want, c.state)
		}
	}
}

// Guards against an unknown outcome when the caller's context ends during the
// write: the write is still read back.
func TestCallerGoesAway(t *testing.T) {
	f := newFixture(t)
	_, nonce := f.runStep("reserve", "")
	ctx, leave := context.WithCancel(context.Background())
	f.store.OnCall(func(c faketest.Call) faketest.Fault {
		if c.Op != "swap" {
			return faketest.Pass
		}
		leave()
		return faketest.LoseResponse
	})
	if got, err := f.stores["agent"].Start(ctx, workspace, key, nonce, "a1"); got != Started || err != nil {
		t.Errorf("Start() = %q, %v; want started", got, err)
	}
	if _, err := f.stores["agent"].Start(ctx, workspace, key, nonce, "a1"); !errors.Is(err, dialect.ErrUnavailable) {
		t.Errorf("Start() before any write: error = %v, want ErrUnavailable", err)
	}
}

// Guards against timeouts so long that Sweep would remove the record of a
// running request, and against empty and overlong keys.
func TestInvalidReservation(t *testing.T) {
	for name, change := range map[string]func(*Reservation){
		"no key":       func(r *Reservation) { r.Key = "" },
		"no workspace": func(r *Reservation) { r.Workspace = "" },
		"long key":     func(r *Reservation) { r.Key = strings.Repeat("k", MaxKeyBytes+1) },
		"no timeout":   func(r *Reservation) { r.Timeout = 0 },
		"long timeout": func(r *Reservation) { r.Timeout = Retention },
	} {
		r := testReservation
		change(&r)
		if _, err := newFixture(t).stores["entry"].Reserve(context.Background(), r); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: error = %v, want ErrInvalid", name, err)
		}
	}
}

// BenchmarkOnceRecord measures the steps from reservation to stored answer, the
// size of the record without a body, and the number of store calls.
func BenchmarkOnceRecord(b *testing.B) {
	ctx, store := context.Background(), new(faketest.Store)
	records, r := New(store), testReservation
	r.BodyHash = strings.Repeat("0f", 32) // SHA-256 in hex
	var size int
	for i := range b.N {
		r.Key = fmt.Sprintf("01JE8Q9V6M0000000000000000-%d", i)
		res, err := records.Reserve(ctx, r)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := records.Start(ctx, workspace, r.Key, res.Nonce, "01JE8Q9V6M0000000000000000"); err != nil {
			b.Fatal(err)
		}
		if err := records.Finish(ctx, workspace, r.Key, res.Nonce, Answer{Status: 201}); err != nil {
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
