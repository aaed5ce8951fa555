package invariants

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/once"
	"hyssoploom/standin"
)

// bookingTimeout is the timeout of a booking. In an idempotency record, it is also the
// time until another request may take over a reservation.
const bookingTimeout = 1500 * time.Millisecond

// startBookingFleet starts a fleet with two entries and two booking runners.
func startBookingFleet(t *testing.T) (*fleet, *storeInterceptors) {
	t.Helper()
	spec := oneDataCentreSpec(engineSpec("small-1", "small", 4, 0))
	second := spec.Backends[1]
	second.Name = "booking-2"
	spec.Backends = append(spec.Backends, second)
	f, s := startIntercepted(t, spec)
	f.putAndWait(config.KindService, "booking", &config.Service{Price: 500, Timeout: config.Duration(bookingTimeout)})
	return f, s
}

// bookings returns the bookings of all booking runners.
func (f *fleet) bookings() []standin.Booking {
	var out []standin.Booking
	for _, b := range f.Backends {
		if b.Booking != nil {
			out = append(out, b.Booking.Bookings()...)
		}
	}
	return out
}

func (f *fleet) setBookingFaults(faults standin.BookingFaults) {
	for _, b := range f.Backends {
		if b.Booking != nil {
			b.Booking.SetFaults(faults)
		}
	}
}

// sendAsync sends a request in the background and delivers its response on the channel.
func (f *fleet) sendAsync(r request) <-chan response {
	done := make(chan response, 1)
	go func() {
		got := f.send(r)
		f.t.Logf("%s: %d %s %v", got.id, got.status, got.body, got.err)
		done <- got
	}()
	return done
}

// sendUntilSettled repeats a booking while the response is "in progress", as callers
// do.
func (f *fleet) sendUntilSettled(r request) response {
	f.t.Helper()
	var last response
	eventually(f.t, "the duplicate is no longer in progress", func() bool {
		last = f.send(r)
		return last.status != http.StatusConflict || last.error().Code != "in_progress"
	})
	return last
}

// injectIntoBookingAgents injects the same write fault into every booking agent. The
// returned function waits until one is triggered and returns the agent's name and its
// fault.
func (f *fleet) injectIntoBookingAgents(s *storeInterceptors, state once.State, newSwap func(*writeFault) swapFunc) (waitTriggered func() (string, *writeFault)) {
	faults := make(map[string]*writeFault)
	for name, b := range f.Backends {
		if b.Booking != nil {
			faults[name] = s.forProcess(name).inject(writesState(state), newSwap)
		}
	}
	return func() (name string, fault *writeFault) {
		f.t.Helper()
		eventually(f.t, "an agent writes "+string(state), func() bool {
			for n, w := range faults {
				if w.wasTriggered() {
					name, fault = n, w
					return true
				}
			}
			return false
		})
		for n := range faults { // a duplicate must not trigger the other agent's fault
			s.forProcess(n).clearFaults()
		}
		return name, fault
	}
}

// onceRecord returns the idempotency record of a key of the workspace aljibe.
func (f *fleet) onceRecord(key string) once.Record {
	f.t.Helper()
	kv, err := f.Store.Get(f.t.Context(), once.StoreKey("aljibe", key))
	if errors.Is(err, dialect.ErrNotFound) {
		return once.Record{}
	}
	var r once.Record
	if err != nil || json.Unmarshal(kv.Value, &r) != nil {
		f.t.Fatalf("record of %s: %v", key, err)
	}
	return r
}

// checkBookings compares the number of bookings, and the run states reported to the
// callers, with what ran.
func (f *fleet) checkBookings(want int, responses ...response) {
	f.t.Helper()
	made := f.bookings()
	if len(made) != want {
		f.t.Errorf("%d bookings, want %d: %+v", len(made), want, made)
	}
	ran := make(map[string]bool)
	for _, b := range made {
		ran[b.RequestID] = true
	}
	for _, r := range responses {
		if r.error().Run == "not_run" && ran[r.id] {
			f.t.Errorf("%s was refused as not run (%d %s) and has run", r.id, r.status, r.body)
		}
	}
}

// Guards against a second run after an agent crashes at any step of the first one, and
// against "not run" for a call that ran.
func TestAgentCrashAtEachStep(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name          string
		state         once.State
		pause         func(*writeFault) swapFunc
		firstRunState string // run state reported to the first caller
		runs          int    // after a duplicate through another entry
		again         int    // status of the duplicate
	}{
		{"before Start", once.StateStarted, pauseBefore, "not_run", 1, http.StatusCreated},
		{"after Start", once.StateStarted, pauseAfter, "unknown", 0, http.StatusConflict},
		{"after the call", once.StateFinished, pauseBefore, "unknown", 1, http.StatusConflict},
		{"after Finish", once.StateFinished, pauseAfter, "", 1, http.StatusCreated},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f, s := startBookingFleet(t)
			waitTriggered := f.injectIntoBookingAgents(s, test.state, test.pause)
			firstRunState := f.sendAsync(booking("first", "entry-1", "k"))
			name, _ := waitTriggered()
			f.crashAgent(s, name)
			r := <-firstRunState
			if r.error().Run != test.firstRunState {
				t.Errorf("first caller got %d %s, want run state %q", r.status, r.body, test.firstRunState)
			}
			f.checkBookings(min(test.runs, len(f.bookings())), r)
			second := f.sendUntilSettled(booking("second", "entry-2", "k"))
			if second.status != test.again {
				t.Errorf("duplicate got %d %s, want %d", second.status, second.body, test.again)
			}
			f.checkBookings(test.runs, r, second)
		})
	}
}

// Guards against a second run when the agent crashes while the runner processes the
// call.
func TestAgentCrashDuringCall(t *testing.T) {
	t.Parallel()
	f, s := startBookingFleet(t)
	f.setBookingFaults(standin.BookingFaults{Delay: 300 * time.Millisecond})
	first := f.sendAsync(booking("first", "entry-1", "k"))
	name := ""
	eventually(t, "a runner has received the call", func() bool {
		for n, b := range f.Backends {
			if b.Booking != nil && len(b.Booking.Calls()) > 0 {
				name = n
			}
		}
		return name != ""
	})
	f.crashAgent(s, name)
	r := <-first
	second := f.sendUntilSettled(booking("second", "entry-2", "k"))
	if r.error().Run != "unknown" || second.error().Run != "unknown" {
		t.Errorf("got %d %s and %d %s, want unknown", r.status, r.body, second.status, second.body)
	}
	f.checkBookings(1, r, second)
}

// Guards against a retry by any layer, including net/http, of a call whose connection
// was closed after it ran.
func TestRunnerClosesConnectionAfterRun(t *testing.T) {
	t.Parallel()
	f, _ := startBookingFleet(t)
	f.setBookingFaults(standin.BookingFaults{CloseAfterRun: true})
	r := f.send(booking("first", "entry-1", "k"))
	second := f.sendUntilSettled(booking("second", "entry-2", "k"))
	unkeyed := f.send(booking("unkeyed", "entry-1", ""))
	again := f.sendUntilSettled(booking("unkeyed", "entry-2", ""))
	for _, got := range []response{r, second, unkeyed, again} {
		if got.error().Run != "unknown" {
			t.Errorf("%s got %d %s, want unknown", got.id, got.status, got.body)
		}
	}
	f.checkBookings(2, r, second, unkeyed, again)
}

// Guards against a reservation that blocks its key after its entry crashes, and against
// a second run when the entry was only paused.
func TestEntryStopsAfterReserve(t *testing.T) {
	t.Parallel()
	for _, crash := range []bool{true, false} {
		t.Run(fmt.Sprintf("crash=%t", crash), func(t *testing.T) {
			t.Parallel()
			f, s := startBookingFleet(t)
			reserve := s.forProcess("entry-1").inject(writesState(once.StateReserved), pauseAfter)
			first := f.sendAsync(booking("first", "entry-1", "k"))
			<-reserve.triggered
			eventually(t, "the reservation is in the store", func() bool { return f.onceRecord("k").State == once.StateReserved })
			if crash {
				f.crashEntry(s, "entry-1")
			}
			if early := f.send(booking("early", "entry-2", "k")); early.status != http.StatusConflict {
				t.Errorf("duplicate before the deadline got %d %s", early.status, early.body)
			}
			second := f.sendUntilSettled(booking("second", "entry-2", "k"))
			if second.status != http.StatusCreated {
				t.Errorf("duplicate got %d %s", second.status, second.body)
			}
			close(reserve.resume)
			f.checkBookings(1, <-first, second)
		})
	}
}

// Guards against an agent that is paused in Start and makes the call when it resumes,
// after its deadline and after another request has taken over the key.
func TestPausedAgentResumesAfterDeadline(t *testing.T) {
	t.Parallel()
	t.Run("before the write", func(t *testing.T) {
		t.Parallel()
		f, s := startBookingFleet(t)
		waitTriggered := f.injectIntoBookingAgents(s, once.StateStarted, pauseBefore)
		first := f.sendAsync(booking("first", "entry-1", "k"))
		name, paused := waitTriggered()
		r := <-first
		if r.error().Run != "not_run" {
			t.Errorf("first caller got %d %s, want not_run", r.status, r.body)
		}
		second := f.sendUntilSettled(booking("second", "entry-2", "k"))
		close(paused.resume)
		eventually(t, "the paused agent is idle", func() bool { return f.Backends[name].Agent.Load().Running == 0 })
		if second.status != http.StatusCreated {
			t.Errorf("duplicate got %d %s", second.status, second.body)
		}
		f.checkBookings(1, r, second)
	})
	t.Run("after the write", func(t *testing.T) {
		t.Parallel()
		f, s := startBookingFleet(t)
		waitTriggered := f.injectIntoBookingAgents(s, once.StateStarted, pauseAfter)
		first := f.sendAsync(booking("first", "entry-1", "k"))
		name, paused := waitTriggered()
		time.Sleep(bookingTimeout + bookingTimeout/10) // the deadline passes
		close(paused.resume)
		r := <-first
		eventually(t, "the paused agent is idle", func() bool { return f.Backends[name].Agent.Load().Running == 0 })
		if r.status == http.StatusCreated {
			t.Errorf("first caller got %d %s", r.status, r.body)
		}
		f.checkBookings(0, r)
		second := f.sendUntilSettled(booking("second", "entry-2", "k"))
		if second.status != http.StatusCreated {
			t.Errorf("duplicate got %d %s", second.status, second.body)
		}
		f.checkBookings(1, r, second)
	})
}

// Guards against a lost store response that is treated as a failed or a successful
// write. The call runs once, independent of which requests ask for it.
func TestLostWritesOfEachStep(t *testing.T) {
	t.Parallel()
	kinds := map[string]func(*writeFault) swapFunc{"response lost": loseResponse, "request lost": dropRequest}
	for kind, fault := range kinds {
		for _, state := range []once.State{once.StateReserved, once.StateStarted, once.StateFinished} {
			t.Run(kind+" to "+string(state), func(t *testing.T) {
				t.Parallel()
				f, s := startBookingFleet(t)
				var waitForFault func()
				if state == once.StateReserved {
					w := s.forProcess("entry-1").inject(writesState(state), fault)
					waitForFault = func() { <-w.triggered }
				} else {
					waitTriggered := f.injectIntoBookingAgents(s, state, fault)
					waitForFault = func() { waitTriggered() }
				}
				first := f.send(booking("first", "entry-1", "k"))
				waitForFault()
				second := f.sendUntilSettled(booking("second", "entry-2", "k"))
				if first.status != http.StatusCreated || second.status != http.StatusCreated {
					t.Errorf("got %d %s and %d %s", first.status, first.body, second.status, second.body)
				}
				f.checkBookings(1, first, second)
			})
		}
		t.Run(kind+" to cancelled", func(t *testing.T) {
			t.Parallel()
			f, s := startBookingFleet(t)
			f.setBookingServers(config.BackendServerOut)
			w := s.forProcess("entry-1").inject(writesState(once.StateCancelled), fault)
			first := f.send(booking("first", "entry-1", "k"))
			<-w.triggered
			if first.error().Run != "not_run" {
				t.Errorf("without a runner: %d %s", first.status, first.body)
			}
			f.setBookingServers(config.BackendServerIn)
			eventually(t, "the entries are linked", func() bool { return f.Entries["entry-2"].Entry.HasLinks(3) })
			second := f.sendUntilSettled(booking("second", "entry-2", "k"))
			if second.status != http.StatusCreated {
				t.Errorf("duplicate got %d %s", second.status, second.body)
			}
			f.checkBookings(1, first, second)
		})
	}
}

func (f *fleet) setBookingServers(state config.BackendServerState) {
	f.t.Helper()
	for name, b := range f.Backends {
		if b.Booking != nil {
			f.putAndWait(config.KindBackendServer, name, b.Record(state))
		}
	}
}

// Guards against a duplicate that runs, or that gets the answer to another request, in
// any state of the record.
func TestDuplicateAtEveryState(t *testing.T) {
	t.Parallel()
	f, s := startBookingFleet(t)
	other := booking("other-body", "entry-2", "k")
	other.body = `{"crew":3}`
	check := func(state once.State, status int) {
		t.Helper()
		eventually(t, "the record is "+string(state), func() bool { return f.onceRecord("k").State == state })
		if r := f.send(booking("second", "entry-2", "k")); r.status != status {
			t.Errorf("%s: duplicate got %d %s, want %d", state, r.status, r.body, status)
		}
		if r := f.send(other); r.status != http.StatusUnprocessableEntity {
			t.Errorf("%s: other body got %d %s", state, r.status, r.body)
		}
	}
	reserved := s.forProcess("entry-1").inject(writesState(once.StateReserved), pauseAfter)
	waitStarted := f.injectIntoBookingAgents(s, once.StateStarted, pauseAfter)
	first := f.sendAsync(booking("first", "entry-1", "k"))
	<-reserved.triggered
	check(once.StateReserved, http.StatusConflict)
	close(reserved.resume)
	_, started := waitStarted()
	check(once.StateStarted, http.StatusConflict)
	f.checkBookings(0)
	close(started.resume)
	r := <-first
	if r.status != http.StatusCreated {
		t.Errorf("first caller got %d %s", r.status, r.body)
	}
	check(once.StateFinished, http.StatusCreated)
	f.checkBookings(1, r)
}
