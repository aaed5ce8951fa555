package gateway_test

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"hyssoploom/platform/fake"
)

const (
	limitWindow = 4 * time.Second
	// limitNotice is the time after the first naming of a limit from which it binds all
	// entries together.
	limitNotice = 4 * time.Second
)

// limitedServer names a limit in all its responses and records when requests arrive.
type limitedServer struct {
	perSecond float64 // 0 means no limit

	mu       sync.Mutex
	arrivals []time.Time
}

func (s *limitedServer) handle(conn net.Conn, r fake.Request) bool {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	var header []string
	if s.perSecond > 0 {
		header = append(header, fmt.Sprintf("Server-Limit: %.1f", s.perSecond))
	}
	return fake.Respond(200, "hello", header...)(conn, r)
}

// allowed is the number of requests that the server may get in any limitWindow.
func (s *limitedServer) allowed() float64 { return 1.5*s.perSecond*limitWindow.Seconds() + 5 }

// busiest returns the largest number of requests in any limitWindow, from limitNotice after
// the first request on.
func (s *limitedServer) busiest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for i, from := range s.arrivals {
		if from.Sub(s.arrivals[0]) < limitNotice {
			continue
		}
		n := 0
		for _, at := range s.arrivals[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// load sends requests from all entries in turn at a rate until the duration has passed, and
// returns the responses.
func load(entries []*entry, perSecond int, duration time.Duration) (responses []clientResponse) {
	var mu sync.Mutex
	var all sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	begun := time.Now()
	for i := 0; time.Since(begun) < duration; i++ {
		<-ticker.C
		all.Go(func() {
			a := entries[i%len(entries)].send("GET", "/look/a", "")
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, a)
		})
	}
	all.Wait()
	return responses
}

// Guards against entries that together send a server more than the limit that it names,
// while other servers could take the requests.
func TestServerLimitOfAllEntries(t *testing.T) {
	store := newStore(t)
	limited := &limitedServer{perSecond: 2}
	unlimited := &limitedServer{}
	register(store, "app", ownDC, fake.NewBackendServer(t, "i-1", limited.handle), fake.NewBackendServer(t, "i-2", unlimited.handle))
	entries := []*entry{start(t, store, "e1"), start(t, store, "e2"), start(t, store, "e3")}
	for _, e := range entries {
		e.awaitServers(2)
	}
	for _, a := range load(entries, 60, limitNotice+limitWindow+time.Second) {
		if a.status != 200 {
			t.Fatalf("a request got %d %q although a server without a limit could take it", a.status, a.body)
		}
	}
	if n := limited.busiest(); float64(n) > limited.allowed() {
		t.Errorf("a server that takes %.1f requests a second got %d in 4 s, %.0f are allowed", limited.perSecond, n, limited.allowed())
	}
	if n := limited.busiest(); float64(n) < limited.perSecond*limitWindow.Seconds()/2 {
		t.Errorf("the server got only %d requests in 4 s", n)
	}
}
