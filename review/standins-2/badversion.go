package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// rolloutTime is the durationS of the order, and afterTime the time for which traffic goes on
	// after it.
	rolloutTime = 16 * time.Second
	afterTime   = 14 * time.Second
	// rollbackTime is rollbackMs of the site, exposureShare and exposureSlack its bounds of the same
	// names, and badAnswers the bad answer after which rollbackTime begins.
	rollbackTime  = 5 * time.Second
	exposureShare = 0.15
	exposureSlack = 30
	badAnswers    = 50
)

// badVersion plays a new version of a plain service that answers every second request with a
// failure of its own, 400. With "errors" it is 500, with "reset" the channel is closed without an
// answer.
func badVersion(recordPath, trouble string) int {
	w := newWorld(maatteNet, recordPath)
	w.store.put("op/config", plainConfiguration(7, firstKey))
	var old, target []*runnerProcess
	for i, z := range w.site.zones {
		old = append(old, w.startRunner(plainService, z[0], 6, -1, runnerConfig{ID: fmt.Sprintf("old-%d", i)}))
	}
	w.startEntries()
	time.Sleep(time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	sent := make(map[string]time.Time) // by request
	answers := make(map[int]int)       // by status
	stop := make(chan struct{})
	clients.Add(1)
	go func() { // 20 requests a second, as on the sheet
		defer clients.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				id, method, path := fmt.Sprintf("request-%d", n), http.MethodPost, "/book/a"
				if n%4 == 0 {
					method, path = http.MethodGet, "/look/a"
				}
				e := w.entries[n%len(w.entries)]
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				a := ask(e, firstKey, 6*time.Second, method, path, id)
				w.note("client sent %s %s to %s and gets status %d", id, path, e.name, a.status)
				mu.Lock()
				answers[a.status]++
				mu.Unlock()
			}()
		}
	}()
	time.Sleep(3 * time.Second)
	failure := "400 Bad Request"
	switch trouble {
	case "0":
		failure = ""
	case "errors":
		failure = "500 Internal Server Error"
	case "reset":
		failure = resetFailure
	}
	for i, z := range w.site.zones {
		target = append(target, w.startVersion(plainService, z[0], "v2", 6, -1, runnerConfig{ID: fmt.Sprintf("new-%d", i), Failure: failure}))
	}
	w.store.put("op/rollout/"+plainService, map[string]any{"service": plainService, "target": "v2", "durationS": rolloutTime.Seconds()})
	ordered := time.Now()
	w.note("the roll-out of v2 is ordered")
	ended := false
	for time.Since(ordered) < rolloutTime+afterTime {
		time.Sleep(10 * time.Millisecond)
		var status struct{ State string }
		if value := w.store.value("status/rollout/" + plainService); ended || value == nil || json.Unmarshal(value, &status) != nil {
			continue
		}
		switch status.State {
		case "completed":
			ended = true
			w.note("the roll-out is completed; the old runners stop")
			for _, r := range old {
				r.kill()
			}
		case "rolled_back":
			ended = true
			w.note("the roll-out is rolled back")
			for _, r := range target {
				r.draining.Store(true)
			}
		}
	}
	close(stop)
	clients.Wait()
	w.note("answers by status: %v", answers)
	if trouble == "0" {
		return w.end(false)
	}
	bad := w.reportsOf(func(r report) bool { return r.What == "fails" })
	deadline := ordered.Add(rolloutTime).UnixMilli()
	all := len(w.reportsOf(func(r report) bool { return r.What == "arrives" && r.AtMS >= ordered.UnixMilli() && r.AtMS <= deadline }))
	arrived := w.reportsOf(func(r report) bool {
		return r.What == "arrives" && strings.HasPrefix(r.Runner, "new-") && r.AtMS >= ordered.UnixMilli()
	})
	exposed, late := 0, 0
	for _, r := range arrived {
		if r.AtMS <= deadline {
			exposed++
		}
		if len(bad) >= badAnswers && sent[r.Request].UnixMilli() > bad[badAnswers-1].AtMS+rollbackTime.Milliseconds() {
			late++
		}
	}
	allowed := exposureShare*float64(all) + exposureSlack
	w.note("v2 got %d of %d requests until the deadline, %.0f are allowed; it gave %d bad answers", exposed, all, allowed, len(bad))
	w.note("%d requests reached v2 that were sent later than %s after its bad answer %d", late, rollbackTime, badAnswers)
	return w.end(float64(exposed) > allowed || late > 0)
}
