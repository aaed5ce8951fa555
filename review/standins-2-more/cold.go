package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	coldStart = 3 * time.Second
	// coldPerSecond is what a cold runner tolerates; coldBound is the bound of FAILBACK with
	// the bounds coldOvershoot 1.5 and coldSlack 5.
	coldPerSecond = 8.8
	coldBound     = coldPerSecond*1.5 + 5
	// coldCrash is well above both.
	coldCrash = 28
	// coldTraffic is the traffic at each entry.
	coldTraffic = 40
)

// arrivals are the requests that began to run at a runner, with their times.
type arrivals struct {
	mu  sync.Mutex
	ids []string
	at  []time.Time
}

func (a *arrivals) line(at time.Time, line string) {
	var id string
	if n, _ := fmt.Sscanf(line, "run %s", &id); n != 1 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids, a.at = append(a.ids, id), append(a.at, at)
}

// most returns the most requests that were sent and arrived in one second within a span.
func (a *arrivals) most(sent map[string]time.Time, from, to time.Time) (most int, start time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, first := range a.at {
		if first.Before(from) {
			continue
		}
		begin := first.Add(-5 * time.Millisecond) // the request that arrives first was sent before
		count := 0
		for i, at := range a.at {
			if !at.Before(begin) && at.Before(begin.Add(time.Second)) && at.Before(to) && !sent[a.ids[i]].Before(begin) {
				count++
			}
		}
		if count > most {
			most, start = count, begin
		}
	}
	return most, start
}

// coldService returns the configuration of a service whose runners start cold.
func coldService() map[string]any {
	return map[string]any{"name": bookingService, "healthPath": "/health", "maxConnections": 110,
		"coldStartS": coldStart.Seconds(), "coldPerS": coldPerSecond}
}

// coldAgain lets a runner that is still cold become cold again, and counts what it gets.
func coldAgain(r *rig) bool {
	r.store.Put("op/config", configuration(1,
		[]any{plainRoute("book-mats", "non_idempotent", bookingService, 1), plainRoute("stock-lookup", "idempotent", bookingService, 2)},
		[]any{coldService()}))
	options := runnerOptions{work: 60 * time.Millisecond, coldFor: coldStart, crashAt: coldCrash}
	warm := r.newRunner(bookingService, zoneB, options)
	warm.start("i-0-1")
	warm.register(0)
	e := r.startEntries(1, []string{zoneA, zoneB}, bounds, func(int) string { return r.store.Address() })[0]
	time.Sleep(coldStart)
	t := startTraffic(coldTraffic, e)
	time.Sleep(2 * time.Second)
	joining := r.newRunner(bookingService, zoneA, options)
	var seen arrivals
	joining.onLine = seen.line
	joining.start("i-1-1")
	joining.register(coldStart)
	started := time.Now()
	coldUntil := started.Add(coldStart)
	time.Sleep(1200 * time.Millisecond) // a heartbeat
	joining.register(time.Until(coldUntil))
	time.Sleep(800 * time.Millisecond)
	if r.trouble {
		joining.process.signal(syscall.SIGUSR1)
		coldUntil = time.Now().Add(coldStart)
		joining.register(coldStart)
	}
	time.Sleep(time.Until(coldUntil))
	time.Sleep(2 * time.Second)
	return r.judgeCold(t.end(), &seen, started, coldUntil)
}

const (
	// outage is how long the store is down. A runner crashes soon after its beginning and is
	// back, cold, after crashTime.
	outage    = 4500 * time.Millisecond
	crashTime = time.Second
)

// coldUnseen lets a runner crash and come back cold while the store is down, and counts what
// it gets from two entries.
func coldUnseen(r *rig) bool {
	r.store.Put("op/config", configuration(1,
		[]any{plainRoute("book-mats", "non_idempotent", bookingService, 1), plainRoute("stock-lookup", "idempotent", bookingService, 2)},
		[]any{coldService()}))
	options := runnerOptions{work: 60 * time.Millisecond, coldFor: coldStart, crashAt: coldCrash}
	var runners []*backendRunner
	for i, zone := range sixZones {
		b := r.newRunner(bookingService, zone, options)
		b.start(fmt.Sprintf("i-%d", i))
		b.register(0)
		runners = append(runners, b)
	}
	storeLink := newLink(r.store.Address())
	entries := r.startEntries(2, sixZones, bounds, func(int) string { return storeLink.address() })
	time.Sleep(coldStart)
	t := startTraffic(coldTraffic*float64(len(entries)), entries...)
	time.Sleep(2 * time.Second)
	if r.trouble {
		storeLink.setRefuses(true)
		r.note("the store is down")
	}
	down := time.Now()
	time.Sleep(200 * time.Millisecond)
	victim := runners[0]
	victim.process.kill()
	r.note("runner %s has crashed", victim.options.id)
	time.Sleep(crashTime)
	var seen arrivals
	victim.onLine = seen.line
	victim.start("i-0")
	started := time.Now()
	if !r.trouble {
		victim.register(coldStart)
	}
	time.Sleep(time.Until(down.Add(outage)))
	storeLink.setRefuses(false)
	if r.trouble {
		r.note("the store is back")
		victim.register(time.Until(started.Add(coldStart)))
	}
	time.Sleep(2 * time.Second)
	return r.judgeCold(t.end(), &seen, started, started.Add(coldStart))
}

// judgeCold checks FAILBACK for the time in which a runner was cold.
func (r *rig) judgeCold(all []*request, seen *arrivals, from, to time.Time) bool {
	sent := make(map[string]time.Time)
	served, lost := 0, 0
	for _, q := range all {
		sent[q.id] = q.sent
		r.note("client %s %s: sent at %.3f, status %d, error %v, after %d ms", q.id, q.path, q.sent.Sub(r.start).Seconds(), q.status, q.err,
			q.ended.Sub(q.sent).Milliseconds())
		switch {
		case q.status == http.StatusOK && q.err == nil:
			served++
		case q.status != http.StatusServiceUnavailable && strings.HasPrefix(q.path, "/book-mats"):
			lost++
		}
	}
	most, start := seen.most(sent, from, to)
	r.verdict("%d requests, %d served, %d bookings without an answer of a runner; the cold runner got at most %d requests in a second (from %.3f), allowed are %.1f",
		len(all), served, lost, most, start.Sub(r.start).Seconds(), coldBound)
	if served < len(all)/2 {
		fail("only %d of %d requests were served", served, len(all))
	}
	if float64(most) > coldBound {
		r.verdict("FAILBACK: %d requests in one second, more than %.1f", most, coldBound)
		return true
	}
	return false
}
