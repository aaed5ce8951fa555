package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// contactTime is contactMs of the site.
	contactTime = 4 * time.Second
	// crashesUntilRule is the crash after which the rule BUDGET holds, and mostLater the requests
	// that it allows from contactTime after it.
	crashesUntilRule = 5
	mostLater        = 3

	badPartID   = "bad0bad0"
	badPartTime = 24 * time.Second // for which requests with the part come
)

// streamRoute is the streaming route of the cases.
var streamRoute = map[string]any{
	"name": "r-draft", "host": "crew.example", "prefix": "/draft/", "kind": "streaming", "timeoutMs": 12000,
	"targetLatencyMs": 3000, "targetGapMs": 1200, "priority": 1, "service": "redactor", "maxAttempts": 3, "public": false,
	"sessionAffinity": true, "resumable": true, "allowedRegions": []string{},
}

// engineService is the service of the streaming route.
var engineService = map[string]any{
	"name": "redactor", "healthPath": "/health", "maxConnections": 360, "protocol": "h1", "tls": false, "coldStartS": 0, "coldPerS": 0,
	"engine": map[string]any{"slots": 64, "kvCapacityTokens": 400647, "stride": 6, "models": []map[string]any{{"name": "m0", "cost": 0.1}}},
}

// firstKey is the key that all configurations hold.
const firstKey = "key-1"

// configuration returns a version of the operator's configuration with the given routes and
// services, and a tenant with the given keys.
func configuration(version int, routes, services []map[string]any, keys ...string) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "crew", "apiKeys": keys, "priority": 1, "allowedRegions": []string{}}},
	}
}

// badPart plays prompts that crash runners. One part, never the last, crashes each runner that
// begins to write an answer on it. Sound requests share their caller and their other parts.
func badPart(recordPath, trouble string) int {
	w := newWorld(aljibeHub, recordPath)
	w.store.put("op/config", configuration(7, []map[string]any{streamRoute}, []map[string]any{engineService}, firstKey))
	config := runnerConfig{Events: 10, EventMS: 30}
	if trouble != "0" {
		config.BadPart = badPartID
	}
	for i := range 12 {
		config.ID = fmt.Sprintf("i-%02d", i)
		w.startRunner("redactor", w.site.zones[i%len(w.site.zones)][0], 64, 3*time.Second, config)
	}
	w.startEntries()
	time.Sleep(2 * time.Second) // the entries know each other
	var clients sync.WaitGroup
	sends := func(kind string, pause time.Duration, part string) {
		defer clients.Done()
		end := time.Now().Add(badPartTime)
		for n := 0; time.Now().Before(end); n++ {
			clients.Add(1)
			go func() {
				defer clients.Done()
				e := w.entries[n%len(w.entries)]
				id := fmt.Sprintf("%s-%d", kind, n)
				w.note("client sends %s to %s", id, e.name)
				a := ask(e, firstKey, 12*time.Second, http.MethodPost, "/draft/a", id, "X-Model: m0", "X-Token-Counts: 900,60",
					fmt.Sprintf("X-Prompt-Prefix: 5c1e07a2:400,%s:400,%s-%x:100", part, kind, n))
				w.note("client gets for %s: status %d, complete %t, %d bytes", id, a.status, a.complete, len(a.body))
			}()
			time.Sleep(pause)
		}
	}
	clients.Add(2)
	go sends("sound", 100*time.Millisecond, "91bd3f06")
	go sends("bad", 2*time.Second, badPartID)
	clients.Wait()
	crashes := w.reportsOf(func(r report) bool { return r.What == "crashes" })
	w.note("%d crashes", len(crashes))
	if len(crashes) < crashesUntilRule {
		return w.end(false)
	}
	fifth := crashes[crashesUntilRule-1].AtMS
	w.note("the fifth crash was at %.3f s", w.since(fifth).Seconds())
	later := w.reportsOf(func(r report) bool {
		return r.What == "arrives" && hasPart(r.Parts, badPartID) && r.AtMS > fifth+contactTime.Milliseconds()
	})
	w.note("%d requests with the part reached runners later than %s after it; the rule allows %d", len(later), contactTime, mostLater)
	return w.end(len(later) > mostLater)
}
