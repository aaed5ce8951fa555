package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// BookingFaults holds the faults to inject into a booking runner stand-in.
type BookingFaults struct {
	// Delay is the time between the receipt of a call and its effect.
	Delay time.Duration `json:"delay"`
	// CloseAfterRun closes the connection without a response after the booking
	// took effect.
	CloseAfterRun bool `json:"close_after_run"`
	// Refuse closes each connection before its call takes effect. Use
	// LoopbackServer.Refuse to refuse TCP connections.
	Refuse bool `json:"refuse"`
}

// Booking is one booking that took effect.
type Booking struct {
	ID        string `json:"id"`
	RequestID string `json:"request_id"`
	Workspace string `json:"workspace"`
	Body      string `json:"body"`
}

// BookingCall records one call that reached the booking runner.
type BookingCall struct {
	RequestID string    `json:"request_id"`
	Workspace string    `json:"workspace"`
	Method    string    `json:"method"`
	Body      string    `json:"body"`
	Start     time.Time `json:"start"`
	End       time.Time `json:"end"`      // zero while the call runs
	Answered  bool      `json:"answered"` // false if the connection was closed without a response
}

// BookingRunner is a stand-in for a service whose POST requests are not
// idempotent.
type BookingRunner struct {
	mu       sync.Mutex
	faults   BookingFaults
	calls    []*BookingCall
	bookings []Booking
}

// NewBookingRunner returns a booking runner stand-in with the given faults.
func NewBookingRunner(faults BookingFaults) *BookingRunner { return &BookingRunner{faults: faults} }

// Handler returns the HTTP handler of the booking runner and of its /standin/
// control paths.
func (b *BookingRunner) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/bookings", b.serveCreate).Methods(http.MethodPost)
	r.HandleFunc("/bookings", b.serveList).Methods(http.MethodGet)
	r.HandleFunc("/standin/faults", b.serveFaults).Methods(http.MethodPost)
	r.HandleFunc("/standin/record", func(w http.ResponseWriter, _ *http.Request) { writeEngineJSON(w, b.Calls()) }).Methods(http.MethodGet)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if b.getFaults().Refuse && !isControlPath(req.URL.Path) {
			panic(http.ErrAbortHandler)
		}
		r.ServeHTTP(w, req)
	})
}

// SetFaults replaces the faults to inject.
func (b *BookingRunner) SetFaults(f BookingFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

func (b *BookingRunner) getFaults() BookingFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// Calls returns a copy of the recorded calls.
func (b *BookingRunner) Calls() []BookingCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]BookingCall, len(b.calls))
	for i, c := range b.calls {
		out[i] = *c
	}
	return out
}

// Bookings returns the bookings that took effect.
func (b *BookingRunner) Bookings() []Booking {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.bookings)
}

func (b *BookingRunner) recordCall(r *http.Request, body string) *BookingCall {
	c := &BookingCall{RequestID: r.Header.Get("X-Request-Id"), Workspace: r.Header.Get("X-Workspace"),
		Method: r.Method, Body: body, Start: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, c)
	return c
}

// finishCall records the end of a call, and its booking if booked is set.
func (b *BookingRunner) finishCall(c *BookingCall, answered, booked bool) Booking {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.End, c.Answered = time.Now(), answered
	var booking Booking
	if booked {
		booking = Booking{ID: fmt.Sprintf("booking-%d", len(b.bookings)+1), RequestID: c.RequestID,
			Workspace: c.Workspace, Body: c.Body}
		b.bookings = append(b.bookings, booking)
	}
	return booking
}

// serveCreate books even after the caller has closed the connection, like a
// service that processes a request once it has read it.
func (b *BookingRunner) serveCreate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		writeEngineError(w, http.StatusBadRequest, err.Error())
		return
	}
	call, f := b.recordCall(r, string(body)), b.getFaults()
	time.Sleep(f.Delay)
	booking := b.finishCall(call, !f.CloseAfterRun, true)
	if f.CloseAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(booking)
}

func (b *BookingRunner) serveList(w http.ResponseWriter, r *http.Request) {
	call := b.recordCall(r, "")
	time.Sleep(b.getFaults().Delay)
	b.finishCall(call, true, false)
	writeEngineJSON(w, append([]Booking{}, b.Bookings()...))
}

func (b *BookingRunner) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f BookingFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeEngineError(w, http.StatusBadRequest, err.Error())
		return
	}
	b.SetFaults(f)
}
