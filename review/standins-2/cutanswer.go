package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is the time for which the entry stands still, and crashTime that for which the
	// runner is down meanwhile.
	freezeTime = 4 * time.Second
	crashTime  = 2 * time.Second
)

// plainService is the service of plainConfiguration.
const plainService = "booking-app"

// plainConfiguration returns a version of the configuration with the routes of a plain service.
func plainConfiguration(version int, keys ...string) map[string]any {
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": "r-" + name, "host": "crew.example", "prefix": "/" + name + "/", "kind": kind, "timeoutMs": 6000, "targetLatencyMs": 400,
			"priority": 2, "service": plainService, "maxAttempts": 3, "public": false, "sessionAffinity": false, "resumable": false, "allowedRegions": []string{},
		}
	}
	return configuration(version,
		[]map[string]any{route("look", "idempotent"), route("book", "non_idempotent")},
		[]map[string]any{{"name": plainService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0}}, keys...)
}

// cutAnswer plays a runner that crashes in the middle of answers without a length while the entry
// stands still. With "freeze" only the entry stands still, with "crash" only the runner crashes.
func cutAnswer(recordPath, trouble string) int {
	w := newWorld(maatteNet, recordPath)
	w.store.put("op/config", plainConfiguration(7, firstKey))
	var runners []*runnerProcess
	for i := range 4 { // so that one of them is the largest share that the site plays
		zone := w.site.zones[min(i, len(w.site.zones)-1)][0]
		runners = append(runners, w.startRunner(plainService, zone, 6, crashTime, runnerConfig{ID: fmt.Sprintf("i-%d", i), Unframed: true, HalfMS: 800}))
	}
	w.startEntries()
	time.Sleep(time.Second)
	e := w.entries[0]
	var clients sync.WaitGroup
	var mu sync.Mutex
	broken := 0
	for n := range 8 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			method, path := http.MethodGet, "/look/a"
			if n%2 == 1 {
				method, path = http.MethodPost, "/book/a"
			}
			id := fmt.Sprintf("request-%d", n)
			w.note("client sends %s %s as %s to %s", method, path, id, e.name)
			a := ask(e, firstKey, 6*time.Second, method, path, id)
			whole := a.body == bodyOf(id)
			w.note("client gets for %s: status %d, seal %q, ends as a complete answer %t, %d bytes, the runner's whole body %t", id, a.status, a.seal, a.complete, len(a.body), whole)
			if a.status == http.StatusOK && a.complete && !whole {
				mu.Lock()
				broken++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(400 * time.Millisecond) // the first halves have been written
	if trouble != "0" && trouble != "crash" {
		w.note("entry %s stands still", e.name)
		e.signal(syscall.SIGSTOP)
	}
	time.Sleep(200 * time.Millisecond)
	if trouble != "0" && trouble != "freeze" {
		runners[0].kill() // the one in the zone of the entry, which has the requests
	}
	time.Sleep(freezeTime - 200*time.Millisecond)
	if trouble != "0" && trouble != "crash" {
		e.signal(syscall.SIGCONT)
		w.note("entry %s goes on", e.name)
	}
	clients.Wait()
	w.note("%d answers that were cut looked complete", broken)
	return w.end(broken > 0)
}
