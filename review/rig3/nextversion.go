package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["next-version"] = nextVersion }

const (
	exposureShare, exposureSlack = 0.15, 30
	rolloutTime                  = 12 * time.Second
	// drainDelay is how long after rolled_back the new runners report draining: "some seconds".
	drainDelay = 6 * time.Second
	// orderDelay is how long after rolled_back the operator orders the next version.
	orderDelay = 500 * time.Millisecond
)

// arrivals holds when requests reached the runners of a service, by version.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivals) add(version string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[version] = append(a.at[version], time.Now())
}

// between returns the number of arrivals at a version, and at all, in a span.
func (a *arrivals) between(version string, from, to time.Time) (of, all int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for v, times := range a.at {
		for _, t := range times {
			if t.Before(from) || t.After(to) {
				continue
			}
			all++
			if v == version {
				of++
			}
		}
	}
	return of, all
}

// startVersion starts three runners of a version. Each second answer is a failure if it is bad.
func (t *trial) startVersion(store *kvStore, a *arrivals, version string, bad bool) ([]*runner, error) {
	var runners []*runner
	for i := range 3 {
		r, err := newRunner(t.record, store, fmt.Sprintf("i-%s-%d", version, i+1), bookingIn, "north-a", version, 6)
		if err != nil {
			return nil, err
		}
		var mu sync.Mutex
		n := 0
		handle := func(c *runnerConn, req *runnerRequest) bool {
			status := http.StatusOK
			if req.id != "" {
				a.add(version)
				mu.Lock()
				if n++; bad && n%2 == 0 {
					status = http.StatusInternalServerError
				}
				mu.Unlock()
			}
			return r.runTo(c, req, 20*time.Millisecond, status)
		}
		r.mu.Lock()
		r.handle = handle
		r.mu.Unlock()
		runners = append(runners, r)
	}
	return runners, nil
}

// order orders a roll-out of the booking service.
func (t *trial) order(store *kvStore, version string) {
	t.add("operator", "orders a roll-out of %s to %s in %s", bookingIn, version, rolloutTime)
	store.put("op/rollout/"+bookingIn, object{"service": bookingIn, "target": version, "durationS": rolloutTime.Seconds()}, 0)
}

// awaitStatus waits until the state of the roll-out to a version is published.
func awaitStatus(store *kvStore, version, state string, atMost time.Duration) bool {
	for end := time.Now().Add(atMost); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var s struct{ Target, State string }
		if value := store.value("status/rollout/" + bookingIn); value != nil && json.Unmarshal(value, &s) == nil && s.Target == version && s.State == state {
			return true
		}
	}
	return false
}

// nextVersion orders a version that fails, and after it was rolled back, while its runners have
// not yet begun to drain, the next one.
func nextVersion(t *trial) (bool, error) {
	store, err := newStore(t.record)
	if err != nil {
		return false, err
	}
	store.put("op/config", configuration(7, nil), 0)
	a := &arrivals{at: make(map[string][]time.Time)}
	if _, err := t.startVersion(store, a, "v1", false); err != nil {
		return false, err
	}
	t.entries, err = newEntries(t.record, t.dir, deployment{store.address(), 134, standardFeatures, standardBounds},
		[]place{{"edge-1", "north-a"}, {"edge-2", "south-a"}})
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
			case <-time.After(10 * time.Millisecond):
			}
			clients.Go(func() {
				once(t.record, t.entries[n%2], &call{id: fmt.Sprintf("booking-%d", n), method: http.MethodPost, path: bookings + "2f", key: clientKey, body: "crew 7", deadline: 6 * time.Second})
			})
		}
	})
	time.Sleep(4 * time.Second)
	bad, err := t.startVersion(store, a, "v2", true)
	if err != nil {
		return false, err
	}
	t.order(store, "v2")
	ordered := time.Now()
	if !awaitStatus(store, "v2", "rolled_back", rolloutTime) {
		return false, fmt.Errorf("v2 was not rolled back")
	}
	time.AfterFunc(drainDelay, func() {
		for _, r := range bad {
			t.add(r.id, "reports draining")
			r.mu.Lock()
			r.state = "draining"
			r.write()
			r.mu.Unlock()
		}
	})
	rolledBack := time.Now()
	if t.trouble {
		time.Sleep(orderDelay)
		if _, err := t.startVersion(store, a, "v3", false); err != nil {
			return false, err
		}
		t.order(store, "v3")
	}
	time.Sleep(time.Until(ordered.Add(rolloutTime)))
	close(stop)
	clients.Wait()
	got, all := a.between("v2", ordered, ordered.Add(rolloutTime))
	after, _ := a.between("v2", rolledBack.Add(500*time.Millisecond), ordered.Add(rolloutTime))
	allowed := exposureShare*float64(all) + exposureSlack
	t.say("v2 got %d of %d requests between its order and its deadline; allowed %.0f; %d of them later than 0.5 s after rolled_back", got, all, allowed, after)
	return float64(got) <= allowed, nil
}
