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
	modelService = "model-servers"
	streamEvents = 20
	eventPause   = 100 * time.Millisecond
	// reuseRounds is the number of runners that crash for good, one after the other.
	reuseRounds = 3
	// freezeTime is how long the entry is frozen. The address of the runner that has crashed is
	// used again after addressReuse.
	freezeTime   = 4 * time.Second
	addressReuse = 2200 * time.Millisecond
	// streamsAtOnce is the number of streams that run at each moment.
	streamsAtOnce  = 8
	streamDeadline = 12 * time.Second
	engineSlots    = 64
	// retryPause is how long a client waits after a refusal.
	retryPause = 500 * time.Millisecond
)

// addressReused freezes one of two entries while the runner of some of its streams, one of
// seven, crashes for good and its address goes to another service, and looks for streams that end early and look complete.
func addressReused(r *rig) bool {
	stream := plainRoute("inspection-summary", "streaming", modelService, 3)
	stream["timeoutMs"], stream["targetLatencyMs"], stream["targetGapMs"] = 12000, 3000, 1200
	stream["priority"], stream["sessionAffinity"], stream["resumable"] = 1, true, true
	r.store.Put("op/config", configuration(1,
		[]any{stream, plainRoute("book-mats", "non_idempotent", bookingService, 1)},
		[]any{
			map[string]any{"name": modelService, "healthPath": "/health", "maxConnections": 370, "coldStartS": 0, "coldPerS": 0,
				"engine": map[string]any{"slots": 64, "kvCapacityTokens": 534852, "stride": 6,
					"models": []any{map[string]any{"name": "m0", "cost": 0.008}}}},
			map[string]any{"name": bookingService, "healthPath": "/health", "maxConnections": 110, "coldStartS": 0, "coldPerS": 0},
		}))
	engine := func(i int, zone string) *backendRunner {
		b := r.newRunner(modelService, zone, runnerOptions{work: eventPause, unframed: true, events: streamEvents})
		b.slots = engineSlots
		b.start(fmt.Sprintf("i-engine-%d", i))
		b.register(0)
		return b
	}
	for i, zone := range sixZones {
		engine(i+1, zone)
	}
	nearest := engine(0, zoneA)
	e := r.startEntries(2, sixZones, bounds, func(int) string { return r.store.Address() })[0]
	var mu sync.Mutex
	var all []*request
	var clients sync.WaitGroup
	stop := make(chan struct{})
	for client := range streamsAtOnce {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				q := &request{id: fmt.Sprintf("s%d-%03d", client, n), method: http.MethodPost, path: "/inspection-summary/x", body: "{}",
					deadline: streamDeadline, header: []string{"X-Model: m0", "X-Token-Counts: 900,120",
						fmt.Sprintf("X-Prompt-Prefix: %x:800,%x%x:100", client, client, n)}}
				q.send(e.front)
				mu.Lock()
				all = append(all, q)
				mu.Unlock()
				if q.status != http.StatusOK {
					time.Sleep(retryPause)
				}
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	for round := range reuseRounds {
		if !r.trouble {
			time.Sleep(freezeTime + 2*time.Second)
			continue
		}
		victim := nearest
		nearest = engine(7+round, zoneA)
		time.Sleep(500 * time.Millisecond)
		e.process.signal(syscall.SIGSTOP)
		r.note("%s is frozen", e.name)
		frozen := time.Now()
		time.Sleep(100 * time.Millisecond)
		victim.process.kill()
		crashed := time.Now()
		r.note("runner %s has crashed for good", victim.options.id)
		time.Sleep(time.Until(crashed.Add(addressReuse)))
		next := &backendRunner{r: r, service: bookingService, zone: victim.zone, link: victim.link,
			options: runnerOptions{listen: victim.options.listen, work: 60 * time.Millisecond}}
		next.start(fmt.Sprintf("i-booking-%d", round))
		next.register(0)
		time.Sleep(time.Until(frozen.Add(freezeTime)))
		e.process.signal(syscall.SIGCONT)
		r.note("%s goes on", e.name)
		r.store.Delete("servers/" + victim.options.id) // after three heartbeats of silence
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	broken, complete := 0, 0
	for _, q := range all {
		r.note("client %s: status %d, %d events, error %v, after %d ms", q.id, q.status, strings.Count(q.content, "\n\n"), q.err, q.ended.Sub(q.sent).Milliseconds())
		if q.status != http.StatusOK || q.err != nil {
			continue
		}
		complete++
		var whole strings.Builder
		for n := 1; n <= streamEvents; n++ {
			whole.WriteString(event(q.id, n))
		}
		if q.content != whole.String() {
			broken++
			r.verdict("ORDER: the stream %s ended as complete after %d of %d events", q.id, strings.Count(q.content, "\n\n"), streamEvents)
		}
	}
	r.verdict("%d streams, %d complete, %d of these without their last events", len(all), complete, broken)
	if complete < streamsAtOnce {
		fail("only %d of %d streams were served", complete, len(all))
	}
	return broken > 0
}
