package gateway_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"hyssoploom/platform/fake"
)

// Guards against requests to a server that has said in a response that it is leaving, while
// the store still calls it ready or cannot be reached.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	const leaving = "Server-Leaving: 1"
	for _, c := range []struct {
		name, path, body string
		handler          fake.Handler
	}{
		{"in a success", "/look/a", "", fake.Respond(200, "answer", leaving)},
		{"in a failure", "/look/a", "", fake.Respond(500, "broken", leaving)},
		{"in a refusal", "/look/a", "", fake.RespondRaw("HTTP/1.1 503 Full\r\nX-Request-Id: ID\r\nX-Not-Executed: 1\r\n"+leaving+"\r\nContent-Length: 0\r\n\r\n", true)},
		{"in the head of a stream", "/draft/a", "prompt", fake.Stream(1, true, 0, leaving)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			store := newStore(t)
			going, staying := fake.NewBackendServer(t, "i-going", c.handler), fake.NewBackendServer(t, "i-staying", fake.Respond(200, "answer"))
			service, method, headers := "app", "GET", []string(nil)
			if c.body != "" {
				service, method, headers = "llm", "POST", []string{"X-Model", "small", "X-Token-Counts", "100,20"}
				staying.SetHandler(fake.Stream(1, true, 0))
			}
			register(store, service, ownDC, going)
			e := start(t, store, "e1")
			e.awaitServers(1)
			send := func() clientResponse { return e.send(method, c.path, c.body, headers...) }
			send()
			if len(going.Requests()) != 1 {
				t.Fatalf("%d requests reached the only server", len(going.Requests()))
			}
			register(store, service, ownDC, staying)
			e.awaitServers(2)
			store.SetFaults(fake.StoreFaults{Hang: true})
			for range 20 {
				if a := send(); a.status != 200 {
					t.Errorf("status %d although another server takes requests", a.status)
				}
			}
			if n := len(going.Requests()); n != 1 {
				t.Errorf("%d requests after it said that it is leaving", n-1)
			}
			store.SetFaults(fake.StoreFaults{})
			again := going.Record(service, ownDC)
			again["born"] = 1700000009000 // it has started again under its id
			store.Put("servers/i-going", again)
			store.Delete("servers/i-staying")
			eventually(t, "the server is used after it has started again", func() bool {
				send()
				return len(going.Requests()) > 1
			})
		})
	}
}

// Guards against callers that are refused while the only server of a service, which has just
// said that it is leaving, still serves; and against requests to it for longer.
func TestOnlyServerLeaves(t *testing.T) {
	store := newStore(t)
	app := fake.NewBackendServer(t, "i-app", fake.Respond(200, "answer", "Server-Leaving: 1"))
	register(store, "app", ownDC, app)
	e := start(t, store, "e1")
	e.awaitServers(1)
	begun := time.Now()
	for time.Since(begun) < 500*time.Millisecond {
		if a := e.send("GET", "/look/a", ""); a.status != 200 {
			t.Fatalf("status %d while the server still serves", a.status)
		}
	}
	time.Sleep(time.Second)
	arrivals := len(app.Requests())
	for range 10 {
		sent := time.Now()
		if a := e.send("GET", "/look/a", ""); a.status != 503 || time.Since(sent) > 500*time.Millisecond {
			t.Errorf("status %d after %v, want 503 at once", a.status, time.Since(sent))
		}
	}
	if n := len(app.Requests()) - arrivals; n > 0 {
		t.Errorf("%d requests long after it said that it is leaving", n)
	}
}

// Guards against requests to a server that wants none for a time, callers that wait for it
// although no other takes them, and callers that are told to return too early or all at once.
func TestServerThatWantsNoRequests(t *testing.T) {
	const refusal = 2 * time.Second
	store := newStore(t)
	full := fake.RespondRaw(fmt.Sprintf("HTTP/1.1 503 Full\r\nX-Request-Id: ID\r\nX-Not-Executed: 1\r\nRetry-After: %v\r\nContent-Length: 0\r\n\r\n", refusal.Seconds()), true)
	refusing, open := fake.NewBackendServer(t, "i-refusing", full), fake.NewBackendServer(t, "i-open", fake.Respond(200, "answer"))
	register(store, "app", ownDC, refusing, open)
	e := start(t, store, "e1")
	e.awaitServers(2)
	eventually(t, "a request has reached the server", func() bool {
		if a := e.send("GET", "/look/a", ""); a.status != 200 {
			t.Fatalf("status %d although another server takes requests", a.status)
		}
		return len(refusing.Requests()) > 0
	})
	refused := time.Now()
	for range 30 {
		if a := e.send("GET", "/look/a", ""); a.status != 200 {
			t.Errorf("status %d although another server takes requests", a.status)
		}
	}
	if n := len(refusing.Requests()); n > 1 {
		t.Errorf("%d requests in the time in which it wants none", n-1)
	}
	open.SetHandler(full)
	e.send("GET", "/look/a", "")
	returns := make(map[string]bool)
	for range 10 {
		sent := time.Now()
		a := e.send("GET", "/look/a", "")
		if a.status != 503 || time.Since(sent) > 500*time.Millisecond {
			t.Fatalf("status %d after %v, want 503 at once", a.status, time.Since(sent))
		}
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if err != nil || time.Duration(after*float64(time.Second)) < time.Until(refused.Add(refusal))-100*time.Millisecond || after > 3 {
			t.Errorf("Retry-After %q with %v left", a.header.Get("Retry-After"), time.Until(refused.Add(refusal)))
		}
		returns[a.header.Get("Retry-After")] = true
	}
	if len(returns) < 3 {
		t.Errorf("the callers return at %d moments", len(returns))
	}
	refusing.SetHandler(fake.Respond(200, "answer"))
	eventually(t, "the server is used again", func() bool { return e.send("GET", "/look/a", "").status == 200 })
	if waited := time.Since(refused); waited < refusal-100*time.Millisecond {
		t.Errorf("used again after %v, want %v", waited, refusal)
	}
}
