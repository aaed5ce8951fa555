package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"hyssoploom/dialect"
	"hyssoploom/standin"
)

// smallFleet is a cluster with two engines of model small, a booking runner and two
// entries, all of them ready.
type smallFleet struct {
	*cluster
	engines map[string]*standin.Engine
	urls    map[string]string // engine URLs by backend server
	runner  *standin.BookingRunner
}

func startSmallFleet(t *testing.T, engine standin.EngineConfig) *smallFleet {
	t.Helper()
	f := &smallFleet{cluster: newCluster(t), engines: make(map[string]*standin.Engine), urls: make(map[string]string)}
	engine.Loaded = []dialect.ModelRef{{Model: "small", Version: "1"}}
	engine.Resumes = true
	for _, name := range []string{"small-1", "small-2"} {
		f.engines[name] = standin.NewEngine(engine)
		f.urls[name] = startServer(t, f.engines[name].Handler())
		f.startAgent(name, f.urls[name], engineRecord("jylland", "small", "1"))
	}
	f.runner = standin.NewBookingRunner(standin.BookingFaults{})
	f.urls["booking"] = startServer(t, f.runner.Handler())
	f.startAgent("booking", f.urls["booking"], bookingRecord("jylland"))
	for _, name := range []string{"entry-1", "entry-2"} {
		f.startEntry(name, "jylland")
		f.waitReady(name)
	}
	return f
}

func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.URL
}

// waitReady waits until the entry has a link to every agent.
func (f *smallFleet) waitReady(entry string) {
	f.t.Helper()
	eventually(f.t, entry+" is connected to all agents", func() bool {
		vars, ok := readVars("http://" + f.entries[entry].Addr)
		return ok && vars.Hyssoploom.Links.Alive == len(f.urls)
	})
}

// balancer simulates the platform's load balancer: it detects with a delay which
// entries are ready, and does not retry requests.
type balancer struct {
	ready [2]atomic.Pointer[string] // address by entry; nil if not ready
}

const balancerPollInterval = 200 * time.Millisecond

// watch polls the readiness of one entry until stop is closed.
func (b *balancer) watch(i int, addr string, stop <-chan struct{}) {
	for {
		resp, err := http.Get("http://" + addr + "/readyz")
		if err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK {
			b.ready[i].Store(&addr)
		} else {
			b.ready[i].Store(nil)
		}
		select {
		case <-stop:
			return
		case <-time.After(balancerPollInterval):
		}
	}
}

// pick returns the address of a ready entry.
func (b *balancer) pick(n int) (string, bool) {
	for i := range b.ready {
		if addr := b.ready[(n+i)%len(b.ready)].Load(); addr != nil {
			return *addr, true
		}
	}
	return "", false
}

// sendBalanced sends request n through a ready entry.
func (f *smallFleet) sendBalanced(b *balancer, n int) response {
	addr, ok := b.pick(n)
	if !ok {
		return response{err: errors.New("no entry is ready")}
	}
	body := fmt.Sprintf(`{"model":"small","messages":[{"role":"user","content":"question %d"}]}`, n)
	return f.postTo(addr, "/v1/chat/completions", "key-brydemaatte", body, "X-Request-Id", fmt.Sprintf("load-%d", n))
}

// vars is the part of /debug/vars that the tests read.
type vars struct {
	Hyssoploom struct {
		Revision uint64
		Links    struct{ Alive int }
	}
}

func readVars(url string) (vars, bool) {
	var v vars
	resp, err := http.Get(url + "/debug/vars")
	if err != nil {
		return v, false
	}
	defer resp.Body.Close()
	return v, json.NewDecoder(resp.Body).Decode(&v) == nil
}
