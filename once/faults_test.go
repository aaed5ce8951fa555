package once

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"hyssoploom/dialect"
	"hyssoploom/internal/faketest"
)

const workspace, key = "jylland", "k/1"

var testReservation = Reservation{Workspace: workspace, Key: key, RequestID: "r1", BodyHash: "h1", Owner: "e1", Timeout: time.Minute}

// fixture simulates one key with an entry, an agent, and a second entry that
// receives a duplicate of the request.
type fixture struct {
	t      *testing.T
	store  *faketest.Store
	now    time.Time
	stores map[string]*RecordStore
	runs   []string // nonces under which the backend server was called
	notRun []string // nonces for which "not run" was reported
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, store: new(faketest.Store), now: time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC), stores: map[string]*RecordStore{}}
	ids := 0
	for _, name := range []string{"entry", "agent", "other"} {
		f.stores[name] = New(f.store, WithClock(func() time.Time { return f.now }), WithIDs(func() string {
			ids++
			return fmt.Sprintf("id-%d", ids)
		}))
	}
	return f
}

func (f *fixture) state() State {
	kv, err := f.store.Get(context.Background(), StoreKey(workspace, key))
	if errors.Is(err, dialect.ErrNotFound) {
		return "absent"
	}
	rec, decodeErr := decodeRecord(kv.Key, kv.Value)
	if err != nil || decodeErr != nil {
		f.t.Fatal(err, decodeErr)
	}
	return rec.State
}

// runStep runs one step and returns its outcome as text.
func (f *fixture) runStep(step, nonce string) (outcome, newNonce string) {
	ctx := context.Background()
	var err error
	switch step {
	case "reserve":
		var r Result
		r, err = f.stores["entry"].Reserve(ctx, testReservation)
		outcome, nonce = string(r.Outcome), r.Nonce
	case "cancel":
		var r CancelResult
		r, err = f.stores["entry"].Cancel(ctx, workspace, key, nonce)
		outcome = string(r.Outcome)
	case "start":
		var r StartResult
		r, err = f.stores["agent"].Start(ctx, workspace, key, nonce, "a1")
		outcome = string(r)
	case "finish":
		outcome, err = "ok", f.stores["agent"].Finish(ctx, workspace, key, nonce, Answer{Status: 201, Body: []byte(nonce)})
	case "abandon":
		outcome, err = "ok", f.stores["agent"].Abandon(ctx, workspace, key, nonce, "a1")
	case "abandon elsewhere":
		outcome, err = "ok", f.stores["agent"].Abandon(ctx, workspace, key, nonce, "a2")
	}
	switch {
	case errors.Is(err, dialect.ErrUnknownOutcome):
		outcome = "unknown"
	case errors.Is(err, dialect.ErrUnavailable):
		outcome = "unavailable"
	case err != nil:
		outcome = err.Error()
	}
	return outcome, nonce
}

// dispatchToAgent lets the agent start and finish the call under the nonce.
func (f *fixture) dispatchToAgent(nonce string) {
	if outcome, _ := f.runStep("start", nonce); outcome == string(Started) {
		f.runs = append(f.runs, nonce)
		f.runStep("finish", nonce)
	}
}

// cancelRequest lets the entry cancel its reservation.
func (f *fixture) cancelRequest(nonce string) {
	if outcome, _ := f.runStep("cancel", nonce); outcome == string(Cancelled) {
		f.notRun = append(f.notRun, nonce)
	}
}

// duplicateOutcome sends the request to the second entry until the outcome is
// final.
func (f *fixture) duplicateOutcome() Outcome {
	for range 3 {
		r, err := f.stores["other"].Reserve(context.Background(), testReservation)
		if err != nil {
			f.t.Fatal(err)
		}
		if r.Outcome == Reserved {
			f.dispatchToAgent(r.Nonce)
		}
		if r.Outcome != InProgress {
			return r.Outcome
		}
		f.now = f.now.Add(testReservation.Timeout)
	}
	return InProgress
}

// checkRuns fails if the call ran twice, or ran after it was reported as not run.
func (f *fixture) checkRuns() {
	f.t.Helper()
	if len(f.runs) > 1 {
		f.t.Errorf("backend server was called %d times", len(f.runs))
	}
	for _, n := range f.notRun {
		if slices.Contains(f.runs, n) {
			f.t.Errorf("\"not run\" was reported for %s, which ran", n)
		}
	}
}

// Guards against a second run and a false "not run" report after any fault at
// any step. The delayed dispatch and a duplicate arrive after the fault.
func TestEveryFaultAtEveryStep(t *testing.T) {
	steps := []struct {
		name    string
		before  []string
		success string // outcome without a fault
		from    State
		to      State
	}{
		{"reserve", nil, "reserved", "absent", StateReserved},
		{"cancel", []string{"reserve"}, "cancelled", StateReserved, StateCancelled},
		{"start", []string{"reserve"}, "started", StateReserved, StateStarted},
		{"finish", []string{"reserve", "start"}, "ok", StateStarted, StateFinished},
		{"abandon", []string{"reserve", "start"}, "ok", StateStarted, StateCancelled},
	}
	const stopProcess = faketest.Fault(-1) // the process stops before the call
	faults := []struct {
		name           string
		write, read    faketest.Fault // of the first write and of the read after it
		stopAfterWrite bool
		outcome        string // "" if the step succeeds
		stateChanges   bool   // whether the write takes effect, possibly late
	}{
		{"none", faketest.Pass, faketest.Pass, false, "", true},
		{"response lost", faketest.LoseResponse, faketest.Pass, false, "", true},
		{"failed before applying", faketest.LoseRequest, faketest.Pass, false, "", true},
		{"applied late", faketest.DelayWrite, faketest.Pass, false, "", true},
		{"refused", faketest.Refuse, faketest.Pass, false, "unavailable", false},
		{"response lost, cannot read back", faketest.LoseResponse, faketest.Refuse, false, "unknown", true},
		{"failed before applying, cannot read back", faketest.LoseRequest, faketest.Refuse, false, "unknown", false},
		{"applied late, cannot read back", faketest.DelayWrite, faketest.Refuse, false, "unknown", true},
		{"process stops before", stopProcess, faketest.Pass, false, "stopped", false},
		{"process stops after", faketest.Pass, faketest.Pass, true, "stopped", true},
	}
	// Outcome of the duplicate, by the state that the faulted request left.
	duplicateOutcome := map[State]Outcome{
		"absent": Reserved, StateReserved: Reserved, StateCancelled: Reserved, StateStarted: Unknown, StateFinished: Finished,
	}
	for _, step := range steps {
		for _, fault := range faults {
			t.Run(step.name+"/"+fault.name, func(t *testing.T) {
				f := newFixture(t)
				nonce := ""
				for _, b := range step.before {
					_, nonce = f.runStep(b, nonce)
				}
				if step.name == "finish" {
					f.runs = append(f.runs, nonce)
				}
				writes, reads := 0, 0
				f.store.OnCall(func(c faketest.Call) faketest.Fault {
					switch {
					case c.Op == "swap":
						if writes++; writes == 1 {
							if fault.write == stopProcess {
								runtime.Goexit()
							}
							return fault.write
						}
					case writes > 0:
						if reads++; reads == 1 {
							return fault.read
						}
					}
					return faketest.Pass
				})
				f.store.OnApplied(func(c faketest.Call) {
					if c.Op == "swap" && fault.stopAfterWrite {
						runtime.Goexit()
					}
				})
				outcome := "stopped"
				stepDone := make(chan struct{})
				go func() {
					defer close(stepDone)
					outcome, nonce = f.runStep(step.name, nonce)
				}()
				<-stepDone
				f.store.OnCall(nil)
				f.store.OnApplied(nil)
				want, state := fault.outcome, step.from
				if want == "" {
					want = step.success
				}
				if outcome != want {
					t.Errorf("outcome = %q, want %q", outcome, want)
				}
				if step.name == "start" && outcome == string(Started) {
					f.runs = append(f.runs, nonce)
				}
				if step.name == "cancel" && outcome == string(Cancelled) {
					f.notRun = append(f.notRun, nonce)
				}
				f.store.ApplyDelayed()
				if fault.stateChanges {
					state = step.to
				}
				if got := f.state(); got != state {
					t.Errorf("state = %s, want %s", got, state)
				}
				if got := f.duplicateOutcome(); got != duplicateOutcome[state] {
					t.Errorf("duplicate got %s, want %s", got, duplicateOutcome[state])
				}
				f.dispatchToAgent(nonce)
				f.cancelRequest(nonce)
				f.checkRuns()
			})
		}
	}
}

// Guards against a paused process that changes the record after a takeover: it
// read the record before the takeover, and its write reaches the store after it.
func TestPausedHolder(t *testing.T) {
	for _, c := range []struct{ step, outcome string }{
		{"cancel", "superseded"}, {"start", "superseded"}, {"reserve", "finished"},
	} {
		t.Run(c.step, func(t *testing.T) {
			f := newFixture(t)
			nonce := ""
			if c.step != "reserve" {
				_, nonce = f.runStep("reserve", "")
			}
			paused := false
			f.store.OnCall(func(call faketest.Call) faketest.Fault {
				if call.Op == "swap" && !paused { // the process is paused here
					paused = true
					if got := f.duplicateOutcome(); got != Reserved {
						t.Errorf("duplicate got %s, want reserved", got)
					}
				}
				return faketest.Pass
			})
			if outcome, _ := f.runStep(c.step, nonce); outcome != c.outcome {
				t.Errorf("outcome = %s, want %s", outcome, c.outcome)
			}
			f.dispatchToAgent(nonce)
			f.cancelRequest(nonce)
			f.checkRuns()
			if len(f.runs) != 1 {
				t.Errorf("%d runs, want the one of the duplicate", len(f.runs))
			}
		})
	}
}
