package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	rolloutTime  = 12 * time.Second
	rollbackTime = 5 * time.Second // the bound rollbackMs
	badAnswers   = 50              // after which rollbackMs begins
	// outcomeTraffic is the number of requests a second for each of the services.
	outcomeTraffic = 60
	// watchedFor is how long the case goes on after the first outcome.
	watchedFor = 10 * time.Second
)

// storeFront passes the calls of one entry on to the store. It can lose the answer of a write
// that the store has carried out: then the channel returns nothing further.
type storeFront struct {
	store    string
	listener net.Listener
	// loses decides whether the answer to a write is lost.
	loses func(body []byte) bool
}

func newStoreFront(store string, loses func([]byte) bool) *storeFront {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	f := &storeFront{store: store, listener: listener, loses: loses}
	go func() { _ = http.Serve(listener, f) }() // until the process ends
	return f
}

func (f *storeFront) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	// The store carries out a write also if the caller has left meanwhile.
	call, err := http.NewRequest(q.Method, "http://"+f.store+q.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.Method == http.MethodGet {
		call = call.WithContext(q.Context())
	}
	call.Header = q.Header.Clone()
	lost := q.URL.Path == "/kv-txn" && f.loses != nil && f.loses(body)
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	if lost {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body) // an error means that the caller has left
}

// outcome is a state of a rollout that the platform has seen in the store.
type outcome struct {
	at    time.Time
	state string
}

// rollingService is a service whose runners are replaced by those of a new version.
type rollingService struct {
	name     string
	old, new []*backendRunner

	mu       sync.Mutex
	outcomes []outcome
	failed   []time.Time          // answers of the new version that were failures
	arrived  map[string]time.Time // requests that reached the new version
}

func (s *rollingService) line(at time.Time, line string) {
	var verb, id string
	if n, _ := fmt.Sscan(line, &verb, &id); n != 2 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch verb {
	case "run":
		s.arrived[id] = at
	case "failed":
		s.failed = append(s.failed, at)
	}
}

// statusOf returns the service and the state of a write of a rollout's status.
func statusOf(body []byte) (service, state string) {
	var txn struct {
		Puts []struct {
			Key   string
			Value []byte
		}
	}
	if json.Unmarshal(body, &txn) != nil {
		return "", ""
	}
	for _, put := range txn.Puts {
		var status struct{ Service, Target, State string }
		if len(put.Key) > len("status/rollout/") && put.Key[:len("status/rollout/")] == "status/rollout/" && json.Unmarshal(put.Value, &status) == nil {
			return status.Service, status.State
		}
	}
	return "", ""
}

// staleOutcome rolls out new versions of three services at once. The answer to the write of the
// first outcome is lost, and then the new versions of the other services turn bad.
func staleOutcome(r *rig) bool {
	services := []*rollingService{{name: "booking-app"}, {name: "billing-app"}, {name: "delivery-app"}}
	var routes, configured []any
	for _, s := range services {
		s.arrived = make(map[string]time.Time)
		route := plainRoute(s.name, "idempotent", s.name, 2)
		routes = append(routes, route)
		configured = append(configured, map[string]any{"name": s.name, "healthPath": "/health", "maxConnections": 110, "coldStartS": 0, "coldPerS": 0})
		for i, zone := range []string{zoneA, zoneB} {
			b := r.newRunner(s.name, zone, runnerOptions{work: 30 * time.Millisecond})
			b.start(fmt.Sprintf("i-%s-old-%d", s.name, i))
			b.register(0)
			s.old = append(s.old, b)
		}
	}
	r.store.Put("op/config", configuration(1, routes, configured))
	var mu sync.Mutex
	lostFor := ""
	loses := func(body []byte) bool {
		service, state := statusOf(body)
		if state != "" {
			r.note("the store gets a write of status %s for %s", state, service)
		}
		mu.Lock()
		defer mu.Unlock()
		if !r.trouble || lostFor != "" || state != "completed" {
			return false
		}
		lostFor = service
		r.note("the answer to this write is lost")
		return true
	}
	entries := r.startEntries(2, []string{zoneA, zoneB}, bounds, func(int) string {
		return newStoreFront(r.store.Address(), loses).listener.Addr().String()
	})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	sent := make(map[string]time.Time)
	statuses := make(map[string]int)
	for _, s := range services {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / outcomeTraffic)):
				}
				q := &request{id: fmt.Sprintf("%s-%05d", s.name, n), method: http.MethodGet, path: "/" + s.name + "/x", deadline: bookingDeadline}
				clients.Go(func() {
					q.send(entries[n%len(entries)].front)
					mu.Lock()
					defer mu.Unlock()
					sent[q.id] = q.sent
					statuses[fmt.Sprintf("%s %d", s.name, q.status)]++
					r.note("client %s: status %d, error %v", q.id, q.status, q.err)
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	for _, s := range services {
		for i, zone := range []string{zoneA, zoneB} {
			b := r.newRunner(s.name, zone, runnerOptions{work: 30 * time.Millisecond})
			b.version, b.onLine = "v2", s.line
			b.start(fmt.Sprintf("i-%s-new-%d", s.name, i))
			b.register(0)
			s.new = append(s.new, b)
		}
	}
	for _, s := range services {
		r.store.Put("op/rollout/"+s.name, map[string]any{"service": s.name, "target": "v2", "durationS": rolloutTime.Seconds()})
		r.note("the rollout of %s to v2 is ordered", s.name)
	}
	r.followRollouts(services, &mu, &lostFor)
	close(stop)
	clients.Wait()
	r.note("answers: %v", statuses)
	broken := false
	for _, s := range services {
		s.mu.Lock()
		r.verdict("%s: outcomes %v, %d failed answers of v2", s.name, states(s.outcomes), len(s.failed))
		late := 0
		if len(s.failed) >= badAnswers {
			bound := s.failed[badAnswers-1].Add(rollbackTime)
			for id := range s.arrived {
				if at, ok := sent[id]; ok && at.After(bound) {
					late++
				}
			}
		}
		s.mu.Unlock()
		if late > 0 {
			broken = true
			r.verdict("EXPOSURE: the bad version of %s got %d requests that were sent later than %s after its %dth bad answer", s.name, late, rollbackTime, badAnswers)
		}
	}
	return broken
}

func states(outcomes []outcome) (list []string) {
	for _, o := range outcomes {
		list = append(list, o.state)
	}
	return list
}

// followRollouts acts on the outcomes in the store as the platform does, until some time after
// the first one: at completed the old runners stop at once, at rolled_back the new ones drain
// some seconds later.
func (r *rig) followRollouts(services []*rollingService, mu *sync.Mutex, lostFor *string) {
	var first time.Time
	turned := make(map[string]bool)
	for begun := time.Now(); time.Since(begun) < rolloutTime+watchedFor && (first.IsZero() || time.Since(first) < watchedFor); time.Sleep(5 * time.Millisecond) {
		mu.Lock()
		lost := *lostFor
		mu.Unlock()
		for _, s := range services {
			if lost != "" && s.name != lost && !turned[s.name] {
				turned[s.name] = true
				for _, b := range s.new {
					b.process.signal(syscall.SIGUSR2)
				}
				r.note("v2 of %s turns bad", s.name)
			}
			var status struct{ State string }
			_ = json.Unmarshal(r.store.Get("status/rollout/"+s.name), &status) // empty before the first write
			s.mu.Lock()
			n := len(s.outcomes)
			changed := status.State != "" && (n == 0 || s.outcomes[n-1].state != status.State)
			if changed {
				s.outcomes = append(s.outcomes, outcome{time.Now(), status.State})
			}
			s.mu.Unlock()
			if !changed {
				continue
			}
			r.note("the platform sees the rollout of %s %s", s.name, status.State)
			if status.State == "in_progress" {
				continue
			}
			if first.IsZero() {
				first = time.Now()
			}
			if status.State == "completed" {
				for _, b := range s.old {
					b.process.signal(syscall.SIGKILL)
					r.store.Delete("servers/" + b.options.id)
				}
			}
		}
	}
}
