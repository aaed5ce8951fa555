package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"hyssoploom/platform/fake"
)

const harmfulPart = "dead"

// crashingFleet is a set of backend servers that crash for good when they begin the answer
// to a prompt with harmfulPart, and answer all others.
type crashingFleet struct {
	servers []*fake.BackendServer
	harmful atomic.Int64 // requests with harmfulPart that reached a server
	crashes atomic.Int64
}

// newCrashingFleet registers n such servers. headFirst makes them send the head of the
// answer before they crash.
func newCrashingFleet(t *testing.T, store *fake.Store, n int, headFirst bool) *crashingFleet {
	f := &crashingFleet{}
	for i := range n {
		var server *fake.BackendServer
		server = fake.NewBackendServer(t, fmt.Sprintf("i-%d", i), func(conn net.Conn, r fake.Request) bool {
			if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), harmfulPart) {
				return fake.Stream(2, true, 0)(conn, r)
			}
			f.harmful.Add(1)
			if headFirst {
				fake.WriteHeader(conn, r, "Transfer-Encoding: chunked", "Content-Type: text/event-stream")
			}
			time.Sleep(30 * time.Millisecond)
			f.crashes.Add(1)
			server.Crash()
			return false
		})
		f.servers = append(f.servers, server)
	}
	register(store, "llm", ownDC, f.servers...)
	return f
}

// stream sends a request whose prompt has the given parts and one of its own.
func (e *entry) stream(parts ...string) clientResponse {
	e.t.Helper()
	prefix := ""
	for _, p := range parts {
		prefix += p + ":40,"
	}
	return e.send("POST", "/draft/a", "prompt", "X-Model", "small", "X-Token-Counts", "100,20",
		"X-Prompt-Prefix", fmt.Sprintf("%sown%d:20", prefix, ids.Add(1)))
}

// maxHarmfulRequests is how many requests with one harmful part may reach backend servers:
// those of the five crashes by which it is known, and three more.
const maxHarmfulRequests = 5 + 3

// Guards against a part of a prompt that crashes one backend server after the other, and
// against rejecting the other requests of the same caller.
func TestHarmfulPartStopsCrashingServers(t *testing.T) {
	for _, c := range []struct {
		name      string
		headFirst bool
	}{{"after the head of the answer", true}, {"before the head of the answer", false}} {
		t.Run(c.name, func(t *testing.T) {
			store := newStore(t)
			f := newCrashingFleet(t, store, 20, c.headFirst)
			entries := []*entry{start(t, store, "e1"), start(t, store, "e2")}
			for _, e := range entries {
				e.awaitServers(len(f.servers))
			}
			eventually(t, "the entries are connected", func() bool { return entries[0].Gateway.EntryCount() == 2 && entries[1].Gateway.EntryCount() == 2 })
			served := 0
			for i := range 12 {
				e := entries[i%len(entries)]
				e.stream("system", harmfulPart)
				if a := e.stream("system"); a.status == 200 && a.err == nil {
					served++
				}
			}
			if n := f.harmful.Load(); n > maxHarmfulRequests {
				t.Errorf("%d requests with the harmful part reached backend servers, at most %d may; %d of them crashed", n, maxHarmfulRequests, f.crashes.Load())
			}
			if served < 11 {
				t.Errorf("%d of 12 requests of the same caller without the part were served", served)
			}
			a := entries[0].stream("system", harmfulPart)
			if a.status != http.StatusServiceUnavailable || !strings.Contains(a.body, `"not_run"`) || a.header.Get("Retry-After") == "" {
				t.Errorf("a request with the harmful part got %d %q", a.status, a.body)
			}
		})
	}
}
