package embedded

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

func post(t *testing.T, url, key, body string, header ...string) (int, http.Header, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(b)
}

// Guards against failures on the path of a request from the entry to a backend
// server, and against a booking that a retry with the same key repeats.
func TestRequestEndToEnd(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	spec := DefaultSpec()
	spec.Logs = os.Stderr
	f, err := Start(ctx, spec)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	url := f.Entries["entry-jylland"].URL
	for _, body := range []string{
		`{"model":"small","messages":[{"role":"user","content":"hello"}]}`,
		`{"model":"small","stream":true,"messages":[{"role":"user","content":"hello"}]}`,
		`{"model":"auto","messages":[{"role":"user","content":"hello"}]}`,
	} {
		start := time.Now()
		status, header, answer := post(t, url+"/v1/chat/completions", "key-brydemaatte", body)
		t.Log(time.Since(start), status, header, answer)
		if status != http.StatusOK {
			t.Errorf("status %d", status)
		}
	}
	for range 2 {
		status, header, answer := post(t, url+"/services/booking/bookings", "key-aljibe", `{"mat":3}`, "Idempotency-Key", "b-1")
		t.Log(status, header, answer)
		if status/100 != 2 {
			t.Errorf("status %d", status)
		}
	}
	if n := len(f.Backends["booking-jylland"].Booking.Bookings()); n != 1 {
		t.Errorf("%d bookings, want 1", n)
	}
}
