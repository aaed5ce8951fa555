package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// reuseTime is the time after which the address of a runner that is gone belongs to a runner of
// another service. addrReuseS of the site is 2.
const reuseTime = 2500 * time.Millisecond

// cutStream plays a runner that crashes for good in the middle of streams without a length, and
// whose address goes to another service, while the entry stands still. With "freeze" only the entry
// stands still, with "crash" only the runner is replaced.
func cutStream(recordPath, trouble string) int {
	w := newWorld(aljibeHub, recordPath)
	w.store.put("op/config", configuration(7, []map[string]any{streamRoute}, []map[string]any{engineService, {
		"name": "agenda-app", "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0,
	}}, firstKey))
	config := runnerConfig{Events: 10, EventMS: 300, Unframed: true}
	for i := range 7 {
		config.ID = fmt.Sprintf("i-%d", i)
		w.startRunner("redactor", w.site.zones[i%len(w.site.zones)][0], 64, -1, config)
	}
	w.startEntries()
	time.Sleep(time.Second)
	e := w.entries[0]
	var clients sync.WaitGroup
	var mu sync.Mutex
	broken := 0
	for n := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			id := fmt.Sprintf("request-%d", n)
			w.note("client sends %s to %s", id, e.name)
			a := ask(e, firstKey, 12*time.Second, http.MethodPost, "/draft/a", id, "X-Model: m0", "X-Token-Counts: 900,60",
				fmt.Sprintf("X-Prompt-Prefix: 5c1e07a2:400,91bd3f06:400,c-%x:100", n))
			whole := ""
			for last := 1; last <= config.Events; last++ {
				whole += event(last)
			}
			w.note("client gets for %s: status %d, ends as a complete stream %t, %d of %d bytes", id, a.status, a.complete, len(a.body), len(whole))
			if a.status == http.StatusOK && a.complete && a.body != whole {
				mu.Lock()
				broken++
				mu.Unlock()
			}
		}()
	}
	time.Sleep(1200 * time.Millisecond) // some events have been written
	// The runner that has most of the streams.
	runs := make(map[string]int)
	for _, r := range w.reportsOf(func(r report) bool { return r.What == "runs" }) {
		runs[r.Runner]++
	}
	busiest := w.runners[0]
	for _, r := range w.runners {
		if runs[r.config.ID+"-1"] > runs[busiest.config.ID+"-1"] {
			busiest = r
		}
	}
	freezes, crashes := trouble != "0" && trouble != "crash", trouble != "0" && trouble != "freeze"
	if freezes {
		w.note("entry %s stands still", e.name)
		e.signal(syscall.SIGSTOP)
	}
	time.Sleep(200 * time.Millisecond)
	if crashes {
		busiest.kill()
		time.Sleep(reuseTime)
		w.startRunner("agenda-app", busiest.zone, 6, -1, runnerConfig{ID: "i-agenda", Address: busiest.config.Address, Plain: true})
	}
	time.Sleep(freezeTime - 200*time.Millisecond - reuseTime)
	if freezes {
		e.signal(syscall.SIGCONT)
		w.note("entry %s goes on", e.name)
	}
	clients.Wait()
	w.note("%d streams that were cut looked complete", broken)
	return w.end(broken > 0)
}
