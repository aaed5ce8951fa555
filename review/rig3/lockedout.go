package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["locked-out"] = lockedOut }

const (
	lockedRunners = 10
	// lockedReading is how long a runner reads a prompt before its answer begins.
	lockedReading = 1200 * time.Millisecond
	// lockedGap is the time between two requests of a tenant.
	lockedGap = 4 * time.Second
	// lockedTrouble is the number of the request during which runners crash: first
	// lockedFirst after it was sent, then lockedBetween later. Each time a fifth of them is
	// down for lockedDown.
	lockedTrouble = 4
	lockedFirst   = 600 * time.Millisecond
	lockedBetween = time.Second
	lockedDown    = 4500 * time.Millisecond
	// lockedRequests is the number of requests of each tenant.
	lockedRequests = 26
)

// herd holds the runners of a service that run.
type herd struct {
	*trial
	store *kvStore

	mu      sync.Mutex
	running map[*runner]string // the request that each reads; empty if none
}

func (h *herd) start(id string) error {
	r, err := newRunner(h.record, h.store, id, promptIn, "north-a", "v1", 64)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.running[r] = ""
	h.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handle = func(c *runnerConn, req *runnerRequest) bool {
		if req.id == "" || req.Header.Get("X-Target-Instance") != r.id {
			return r.run(c, req, 0)
		}
		r.began(req)
		h.reads(r, req.id)
		select {
		case <-time.After(lockedReading):
		case <-req.gone:
			return false
		}
		h.reads(r, "")
		return r.stream(c, req)
	}
	return nil
}

func (h *herd) reads(r *runner, request string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.running[r]; ok {
		h.running[r] = request
	}
}

// crash lets a fifth of the runners crash: that which reads the prompt of a request, and idle
// ones. They come back after a time.
func (h *herd) crash(request string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	left := lockedRunners / 5
	for _, want := range []string{request, ""} {
		for r, reads := range h.running {
			if left == 0 || reads != want {
				continue
			}
			left--
			h.add(r.id, "crashes; it reads the prompt of %q", reads)
			r.stop()
			delete(h.running, r)
			id := r.id + "-again"
			time.AfterFunc(lockedDown, func() {
				if err := h.start(id); err != nil {
					h.add(id, "%v", err)
				}
			})
		}
	}
}

// lockedOut lets runners crash twice, a second apart. The same request is at one of them each
// time, as it was sent again after the first crash.
func lockedOut(t *trial) (bool, error) {
	store, err := newStore(t.record)
	if err != nil {
		return false, err
	}
	c := configuration(7, func(routes, services map[string]object) {
		routes[prompts]["sessionAffinity"] = true
		services[promptIn]["engine"] = object{"slots": 64, "kvCapacityTokens": 400647, "kvTokenBytes": 163840, "linkMbps": 1100000.0,
			"stride": 6, "most": 12, "models": []object{{"name": "daka510000", "cost": 0.008}}}
	})
	c["tenants"] = append(c["tenants"].([]object), object{"name": "farm", "apiKeys": []string{"key-of-farm"}, "priority": 1, "allowedRegions": []string{}})
	store.put("op/config", c, 0)
	h := &herd{trial: t, store: store, running: make(map[*runner]string)}
	for i := range lockedRunners {
		if err := h.start(fmt.Sprintf("i-%d", i+1)); err != nil {
			return false, err
		}
	}
	t.entries, err = newEntries(t.record, t.dir, deployment{store.address(), 134, standardFeatures, standardBounds}, []place{{"edge-1", "north-a"}})
	if err != nil {
		return false, err
	}
	if err := t.startAll(); err != nil {
		return false, err
	}
	served := make(map[string]int)
	var mu sync.Mutex
	var tenants sync.WaitGroup
	begun := time.Now()
	for i, tenant := range []struct{ name, key, shared string }{{"crew", clientKey, "5c1e07a2"}, {"farm", "key-of-farm", "91bd3f06"}} {
		tenants.Go(func() {
			for n := range lockedRequests {
				time.Sleep(time.Until(begun.Add(time.Duration(n)*lockedGap + time.Duration(i)*lockedGap/2)))
				id := fmt.Sprintf("%s-%d", tenant.name, n)
				if t.trouble && tenant.name == "crew" && n == lockedTrouble {
					time.AfterFunc(lockedFirst, func() { h.crash(id) })
					time.AfterFunc(lockedFirst+lockedBetween, func() { h.crash(id) })
				}
				r := once(t.record, t.entries[0], &call{id: id, method: http.MethodPost, path: prompts + "2f", key: tenant.key, body: "words", deadline: 6 * time.Second,
					header: fmt.Sprintf("X-Model: daka510000\r\nX-Token-Counts: 1460,20\r\nX-Prompt-Prefix: %s:800,%08x:660\r\n", tenant.shared, n+1000*i)})
				if n > lockedTrouble && r.status == http.StatusOK {
					mu.Lock()
					served[tenant.name]++
					mu.Unlock()
				}
			}
		})
	}
	tenants.Wait()
	sent := lockedRequests - lockedTrouble - 1
	crew, farm := float64(served["crew"])/float64(sent), float64(served["farm"])/float64(sent)
	t.say("after the crashes crew is served %d of %d times, farm %d of %d times", served["crew"], sent, served["farm"], sent)
	return crew >= (crew+farm)/2/4, nil
}
