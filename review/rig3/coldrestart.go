package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["cold-restart"] = coldRestart }

const (
	coldPerSecond                = 8.8
	coldOvershoot, coldSlack     = 1.5, 5.0
	coldTime                     = 3 * time.Second
	coldDown                     = 2 * time.Second // the runners are down for so long
	coldKillAfter                = 1250 * time.Millisecond
	coldEntries, coldRunnerCount = 8, 2
	// coldCrash is the rate at which a cold runner crashes: well above coldPerSecond.
	coldCrash   = 3 * coldPerSecond
	coldTraffic = 300     // bookings a second
	coldPrefix  = "cold-" // of the ids of runners that came back cold
)

// sentArrived is a request that reached a runner, with the time at which its client sent it.
type sentArrived struct{ sent, arrived time.Time }

// mostInASecond returns the largest number of requests that were sent and arrived inside one
// second.
func mostInASecond(requests []sentArrived) int {
	most := 0
	for _, first := range requests {
		n := 0
		for _, r := range requests {
			if !r.sent.Before(first.sent) && !r.arrived.After(first.sent.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// ranAtCold reports whether a request ran at a runner that came back cold.
func ranAtCold(runs []string) bool {
	return slices.ContainsFunc(runs, func(id string) bool { return strings.HasPrefix(id, coldPrefix) })
}

// arrivedSince returns the number of requests that arrived later than a time.
func arrivedSince(requests []sentArrived, at time.Time) (n int) {
	for _, r := range requests {
		if r.arrived.After(at) {
			n++
		}
	}
	return n
}

// coldRestart lets the runners of a service crash and come back cold, and then kills all
// entries at the same moment.
func coldRestart(t *trial) (bool, error) {
	store, err := newStore(t.record)
	if err != nil {
		return false, err
	}
	store.put("op/config", configuration(7, func(_, services map[string]object) {
		services[bookingIn]["coldStartS"], services[bookingIn]["coldPerS"] = coldTime.Seconds(), coldPerSecond
	}), 0)
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	got := make(map[string][]sentArrived) // by runner
	crashed := make(map[string]bool)
	lost := 0
	start := func(id string, cold bool) (*runner, error) {
		r, err := newRunner(t.record, store, id, bookingIn, "north-a", "v1", 32)
		if err != nil {
			return nil, err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		var coldUntil time.Time
		if cold {
			coldUntil = time.Now().Add(coldTime)
			r.cold = coldUntil
			r.write()
		}
		r.handle = func(c *runnerConn, req *runnerRequest) bool {
			if req.id != "" && time.Now().Before(coldUntil) {
				mu.Lock()
				got[id] = append(got[id], sentArrived{sent[req.id], time.Now()})
				crashes := !crashed[id] && float64(arrivedSince(got[id], time.Now().Add(-time.Second))) > coldCrash
				crashed[id] = crashed[id] || crashes
				mu.Unlock()
				if crashes {
					t.add(id, "crashes under its load")
					r.stop()
					return false
				}
			}
			return r.run(c, req, 60*time.Millisecond)
		}
		return r, nil
	}
	var runners []*runner
	for i := range coldRunnerCount {
		r, err := start(fmt.Sprintf("i-%d", i+1), false)
		if err != nil {
			return false, err
		}
		runners = append(runners, r)
	}
	var places []place
	for i := range coldEntries {
		places = append(places, place{fmt.Sprintf("edge-%d", i+1), []string{"north-a", "south-a"}[i%2]})
	}
	t.entries, err = newEntries(t.record, t.dir, deployment{store.address(), 134, standardFeatures, standardBounds}, places)
	if err != nil {
		return false, err
	}
	if err := t.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / coldTraffic):
			}
			clients.Go(func() {
				id := fmt.Sprintf("booking-%d", n)
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				r := once(t.record, t.entries[n%coldEntries], &call{id: id, method: http.MethodPost, path: bookings + "2f", key: clientKey, body: "crew 7", deadline: 6 * time.Second})
				if r.status == http.StatusBadGateway && ranAtCold(t.runsOf(id)) {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			})
		}
	})
	time.Sleep(4 * time.Second)
	for _, r := range runners {
		t.add(r.id, "crashes")
		r.stop()
	}
	time.Sleep(coldDown)
	for i := range coldRunnerCount {
		if _, err := start(fmt.Sprintf("%s%d", coldPrefix, i+1), true); err != nil {
			return false, err
		}
		t.add(fmt.Sprintf("%s%d", coldPrefix, i+1), "is back, cold for %s", coldTime)
	}
	time.Sleep(coldKillAfter)
	if t.trouble {
		for _, e := range t.entries {
			e.signal(syscall.SIGKILL)
		}
		time.Sleep(restartDelay)
		for _, e := range t.entries {
			<-e.exited
			if err := e.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(2500 * time.Millisecond)
	close(stop)
	clients.Wait()
	held := true
	allowed := coldPerSecond*coldOvershoot + coldSlack
	mu.Lock()
	defer mu.Unlock()
	t.say("%d bookings that ran at a cold runner got 502", lost)
	for id, requests := range got {
		most := mostInASecond(requests)
		t.say("%s, cold, got %d requests in one second; allowed %.1f; crashed: %t", id, most, allowed, crashed[id])
		held = held && float64(most) <= allowed
	}
	return held, nil
}
