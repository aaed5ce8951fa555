package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hyssoploom/platform/fake"
)

type netConn = net.Conn

// events returns the body of a stream with the events from first to last.
func events(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", id, id)
	}
	return b.String()
}

// Guards against streams with missing, duplicated or partial events, and against
// truncated streams that look complete.
func TestStreams(t *testing.T) {
	half := func(conn net.Conn, a fake.Request) bool {
		fake.Stream(3, false, 0)(conn, a)
		io.WriteString(conn, "8\r\nid: 4\nda\r\n")
		return false
	}
	for _, c := range []struct {
		name          string
		first, second fake.Handler
		path          string
		lastEvent     string
		body          string
		cut           bool
	}{
		{"whole", fake.Stream(5, true, 0), nil, "/draft/a", "", events(1, 5), false},
		{"resumed", fake.Stream(3, false, 0), fake.Stream(6, true, 0), "/draft/a", "", events(1, 6), false},
		{"resumed in the middle of an event", half, fake.Stream(6, true, 0), "/draft/a", "", events(1, 6), false},
		{"resumed before the first event", fake.Stream(0, false, 0), fake.Stream(2, true, 0), "/draft/a", "", events(1, 2), false},
		{"continued by the client", fake.Stream(4, false, 0), fake.Stream(6, true, 0), "/draft/a", "2", events(3, 6), false},
		{"cannot be resumed", fake.Stream(3, false, 0), fake.Stream(6, true, 0), "/once/a", "", events(1, 3), true},
		{"fails on all backend servers", fake.Stream(3, false, 0), fake.Stream(3, false, 0), "/draft/a", "", events(1, 3), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newStore(t)
			register(store, "llm", ownDC, fake.NewBackendServer(t, "i-1", c.first))
			n := 1
			if c.second != nil {
				register(store, "llm", otherRegionDC, fake.NewBackendServer(t, "i-2", c.second))
				n++
			}
			e := start(t, store, "e1")
			e.awaitServers(n)
			headers := []string{"X-Model", "small"}
			if c.lastEvent != "" {
				headers = append(headers, "Last-Event-Id", c.lastEvent)
			}
			a := e.send("POST", c.path, "prompt", headers...)
			if a.status != 200 || a.body != c.body {
				t.Errorf("status %d, body %q, want %q", a.status, a.body, c.body)
			}
			if (a.err != nil) != c.cut {
				t.Errorf("error at the end of the stream: %v", a.err)
			}
		})
	}
}

// Guards against events that are delayed by buffering.
func TestEventsForwardedImmediately(t *testing.T) {
	store := newStore(t)
	register(store, "llm", ownDC, fake.NewBackendServer(t, "i-1", fake.Stream(2, true, 700*time.Millisecond)))
	e := start(t, store, "e1")
	e.awaitServers(1)
	reader := e.raw("POST /draft/a HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: p1\r\nX-Model: small\r\nX-Key: " + key +
		"\r\nContent-Length: 0\r\n\r\n")
	begun := time.Now()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	first := make([]byte, len(events(1, 1)))
	if _, err := io.ReadFull(response.Body, first); err != nil || string(first) != events(1, 1) {
		t.Fatalf("%q %v", first, err)
	}
	if took := time.Since(begun); took > 600*time.Millisecond {
		t.Errorf("the first event took %v", took)
	}
}

// Guards against a cascade that keeps a low-confidence response while the large model
// is idle, asks the large model after a confident one, or shows the client a discarded
// response.
func TestCascade(t *testing.T) {
	for _, c := range []struct {
		confidence int
		models     string
	}{{10, "small large"}, {90, "small"}} {
		store := newStore(t)
		app := fake.NewBackendServer(t, "i-1", func(conn net.Conn, a fake.Request) bool {
			confidence := 95
			if a.Header.Get("X-Model") == "small" {
				confidence = c.confidence
			}
			return fake.Stream(2, true, 0, fmt.Sprintf("X-Confidence: %d", confidence))(conn, a)
		})
		register(store, "llm", ownDC, app)
		e := start(t, store, "e1")
		e.awaitServers(1)
		a := e.send("POST", "/draft/a", "prompt", "X-Model", "*", "X-Token-Counts", "100,20", "X-Prompt-Prefix", "a:60,b:40")
		if a.status != 200 || a.body != events(1, 2) {
			t.Errorf("got %+v", a)
		}
		var models []string
		for _, arrival := range app.Requests() {
			models = append(models, arrival.Header.Get("X-Model"))
		}
		if got := strings.Join(models, " "); got != c.models {
			t.Errorf("confidence %d: models %s, want %s", c.confidence, got, c.models)
		}
	}
}

// Guards against a cold backend server that receives more than the entry's share of
// what it can handle.
func TestColdServer(t *testing.T) {
	store := newStore(t)
	app := fake.NewBackendServer(t, "i-1", fake.Stream(1, true, 0))
	record := app.Record("llm", ownDC)
	record["coldRemainingMs"] = 60000
	store.Put("servers/i-1", record)
	e := start(t, store, "e1")
	e.awaitServers(1)
	for range 20 {
		e.send("POST", "/draft/a", "prompt", "X-Model", "small")
	}
	// The backend server can handle 2 requests per second, and 2 more are allowed. One
	// entry and another that may just be starting share them.
	if n := len(app.Requests()); n != 2 {
		t.Errorf("a cold backend server received %d requests, want 2", n)
	}
}
