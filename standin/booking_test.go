package standin

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"hyssoploom/dialect"
)

// TestBookingRunsOnce guards against a client that sends a booking again after
// its connection broke: net/http retries requests with an Idempotency-Key on
// reused connections. The first call opens a connection that could be reused.
func TestBookingRunsOnce(t *testing.T) {
	b := NewBookingRunner(BookingFaults{})
	s, err := ListenLoopback("127.0.0.1:0", b.Handler())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	client := dialect.NewHTTPService(s.URL(), nil)
	call := func(method, id string) (dialect.ServiceResponse, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return client.Call(ctx, dialect.ServiceRequest{RequestID: id, Workspace: "w", Method: method, Path: "bookings",
			Header: http.Header{"Idempotency-Key": {"k-" + id}}, Body: []byte(`{"room":1}`)})
	}
	if r, err := call(http.MethodPost, "a"); err != nil || r.Status != http.StatusCreated {
		t.Fatalf("got %+v, %v", r, err)
	}
	b.SetFaults(BookingFaults{CloseAfterRun: true})
	if _, err := call(http.MethodPost, "b"); err == nil || errors.Is(err, dialect.ErrRefusedConnection) {
		t.Errorf("closed after running: got %v", err)
	}
	b.SetFaults(BookingFaults{Refuse: true})
	if _, err := call(http.MethodPost, "c"); err == nil || errors.Is(err, dialect.ErrRefusedConnection) {
		t.Errorf("closed before running: got %v", err)
	}
	b.SetFaults(BookingFaults{})
	_ = s.Refuse(true)
	if _, err := call(http.MethodPost, "d"); !errors.Is(err, dialect.ErrRefusedConnection) {
		t.Errorf("closed port: got %v", err)
	}
	if err := s.Refuse(false); err != nil {
		t.Fatal(err)
	}
	r, err := call(http.MethodGet, "e")
	if err != nil || strings.Count(string(r.Body), "booking-") != 2 || len(b.Bookings()) != 2 {
		t.Errorf("bookings: %s, %v", r.Body, err)
	}
	calls := b.Calls()
	if len(calls) != 3 || calls[1].RequestID != "b" || calls[1].Answered || !calls[0].Answered {
		t.Errorf("calls: %+v", calls)
	}
}
