package invariants

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"hyssoploom/standin"
)

// Guards against "not run" for a booking that was made by an earlier request with the
// same key or request id.
func TestRepeatedBookingIsNotToldNotRun(t *testing.T) {
	t.Parallel()
	f, _ := startBookingFleet(t)
	same := booking("same", "entry-1", "same")
	f.wantStatus(http.StatusCreated,
		f.send(booking("keyed", "entry-1", "k")), f.send(booking("by-id", "entry-1", "")), f.send(same))
	repeat := func(when string) {
		t.Helper()
		for _, r := range []request{booking("again", "entry-2", "k"), booking("by-id", "entry-2", ""), booking("same", "entry-2", "same")} {
			if got := f.send(r); got.error().Run != "unknown" {
				t.Errorf("%s: %s got %d %s, want unknown", when, r.id, got.status, got.body)
			}
		}
	}
	f.Store.SetDown(true)
	repeat("store down")
	if r := f.send(booking("", "entry-2", "")); r.error().Run != "not_run" {
		t.Errorf("a new booking in an outage got %d %s, want not_run", r.status, r.body)
	}
	// An entry that reaches neither the store nor an agent has no records.
	for name := range f.Backends {
		if err := f.KillAgent(name); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.KillEntry("entry-2"); err != nil {
		t.Fatal(err)
	}
	if err := f.StartEntry(t.Context(), "entry-2"); err != nil {
		t.Fatal(err)
	}
	repeat("no records")
	if n := len(f.bookings()); n != 3 {
		t.Errorf("%d bookings, want 3", n)
	}
}

// checkChat compares the answer with what the engines generate for the prompt.
func (s *randomFaults) checkChat(r sentRequest) {
	model, version, _ := strings.Cut(r.response.header.Get("X-Model-Version"), "@")
	expected := strings.Join(standin.AnswerTokens(model, version, r.prompt, 12, false), "")
	content := r.response.content()
	complete := !strings.Contains(r.request.body, `"stream":true`) || strings.Contains(r.response.body, "data: [DONE]")
	switch {
	case complete && content != expected:
		s.t.Errorf("%s: answer %q, want %q", r.request.id, content, expected)
	case !complete && (!strings.HasPrefix(expected, content) || r.error().Run != "unknown"):
		s.t.Errorf("%s: truncated stream %q ended with %+v; want a prefix of %q and run state unknown", r.request.id, content, r.error(), expected)
	}
}

// checkBooking verifies that the booking in the answer was made for the request's key.
func (s *randomFaults) checkBooking(r sentRequest) {
	var made standin.Booking
	if err := json.Unmarshal([]byte(r.response.body), &made); err != nil || made.Body != r.request.body || s.sent[made.RequestID].key != r.key {
		s.t.Errorf("%s: key %s received the booking %s", r.request.id, r.key, r.response.body)
	}
}

// checkNotRun verifies that a request refused as not run did not run.
func (s *randomFaults) checkNotRun(r sentRequest) {
	if n := len(s.engineRuns()[r.request.id]); n > 0 {
		s.t.Errorf("%s: refused as not run with %s but ran on %d engines", r.request.id, r.response.body, n)
	}
	for _, b := range s.Backends {
		if b.Booking == nil || r.key == "" {
			continue
		}
		for _, call := range b.Booking.Calls() {
			if call.RequestID == r.request.id || s.sent[call.RequestID].key == r.key && call.Start.Before(r.at) {
				s.t.Errorf("%s: refused as not run with %s, but its key ran as %s", r.request.id, r.response.body, call.RequestID)
			}
		}
	}
}

// Guards against a false "not run", an incomplete or wrong answer, a booking that runs
// twice, and a missing or excess charge under combinations of faults.
func TestNotRunIsTrueUnderFaults(t *testing.T) {
	t.Parallel()
	s := startRandomFaults(t)
	s.sendRounds(30)
	var responses []response
	outcomes := make(map[string]int)
	for id, r := range s.sent {
		responses = append(responses, r.response)
		switch run := r.error().Run; {
		case r.response.err != nil:
			t.Errorf("%s: %v", id, r.response.err)
		case r.response.status == http.StatusOK:
			outcomes["answered"]++
			s.checkChat(r)
		case r.response.status == http.StatusCreated:
			outcomes["booked"]++
			s.checkBooking(r)
		case run == "not_run":
			outcomes[run]++
			s.checkNotRun(r)
		case run == "unknown":
			outcomes[run]++
		default:
			t.Errorf("%s: %d %s has no run state", id, r.response.status, r.response.body)
		}
	}
	byKey := make(map[string]int)
	for _, b := range s.bookings() {
		byKey[s.sent[b.RequestID].key]++
	}
	for key, n := range byKey {
		if n > 1 {
			t.Errorf("key %s ran %d times", key, n)
		}
	}
	t.Logf("outcomes: %v, %d keys ran", outcomes, len(byKey))
	for _, outcome := range []string{"answered", "booked", "not_run", "unknown"} {
		if outcomes[outcome] < 3 {
			t.Errorf("only %d requests were %s, want at least 3 for a meaningful test", outcomes[outcome], outcome)
		}
	}
	s.checkLedger(responses...)
}
