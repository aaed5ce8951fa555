package e2e

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hyssoploom/internal/fakenet"
	"hyssoploom/ledger"
	"hyssoploom/once"
)

// brokenHeads are the beginnings of the answers of serveBroken, by path.
var brokenHeads = map[string]string{
	"/status-000":        "HTTP/1.1 000 \r\n\r\n",
	"/status-101":        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"/blank-in-name":     "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 6\r\n\r\n",
	"/blank-before-name": "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n Content-Length: 6\r\n\r\n",
	"/lf-before-name":    "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n\nContent-Length: 6\r\n\r\n",
}

// serveBroken starts a service that sends the head of a request's path, and "forged" as the
// body. It returns its URL.
func serveBroken(t *testing.T) string {
	return fakenet.ServeRaw(t, func(conn *net.TCPConn, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(conn, brokenHeads[r.URL.Path]+"forged")
	})
}

// storeAnswer stores an answer to the booking of postBooking with a key, as an agent does.
func (f *smallFleet) storeAnswer(key string, a once.Answer) {
	f.t.Helper()
	const workspace, boot = "aljibe", "boot"
	store, ctx := once.New(f.store), f.t.Context()
	reserved, err := store.Reserve(ctx, once.Reservation{
		Workspace: workspace, Key: key, RequestID: key, Owner: boot, Timeout: time.Minute,
		BodyHash: ledger.HashCall(http.MethodPost, "booking", "/bookings", []byte(booking)),
	})
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := store.Start(ctx, workspace, key, reserved.Nonce, boot); err != nil {
		f.t.Fatal(err)
	}
	if err := store.Finish(ctx, workspace, key, reserved.Nonce, a); err != nil {
		f.t.Fatal(err)
	}
}

// Guards against answers of a service with broken heads that reach callers through agent and
// entry, or that make one of them fail.
func TestBrokenServiceAnswers(t *testing.T) {
	c := newCluster(t)
	c.startAgent("booking", serveBroken(t), bookingRecord("jylland"))
	f := &smallFleet{cluster: c, urls: map[string]string{"booking": ""}}
	f.startEntry("entry-1", "jylland")
	f.waitReady("entry-1")
	t.Run("answers", func(t *testing.T) {
		for path := range brokenHeads {
			for _, header := range [][]string{nil, {"Idempotency-Key", "visit-" + path[1:]}} {
				t.Run(fmt.Sprint(path[1:], header), func(t *testing.T) {
					t.Parallel()
					r := f.post("entry-1", "/services/booking"+path, "key-aljibe", "{}", header...)
					if r.err != nil || r.status < 500 || r.run() == "" || r.run() == "not_run" || strings.Contains(r.body, "forged") {
						t.Errorf("status %d, %v: %q", r.status, r.err, r.body)
					}
				})
			}
		}
	})
	t.Run("stored", func(t *testing.T) {
		f.storeAnswer("visit-stored", once.Answer{Status: 0, Body: []byte("forged")})
		r := f.postBooking("entry-1", "visit-stored")
		if r.err != nil || r.status != http.StatusBadGateway || r.run() != "unknown" || strings.Contains(r.body, "forged") {
			t.Errorf("status %d, %v: %q", r.status, r.err, r.body)
		}
	})
	if output := f.entries["entry-1"].Output() + f.agents["booking"].Output(); strings.Contains(output, "panic") {
		t.Error("a process has panicked")
	}
}
