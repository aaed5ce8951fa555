package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	host         = "crews.example"
	bookPrefix   = "/book/"
	draftPrefix  = "/draft/"
	key          = "key-of-a-crew"
	bookService  = "agenda-app"
	modelService = "redactor"
	maxBodyBytes = 4194304 // as in the platform's example of a configuration
	program      = "target/hyssoploom"
)

// fleet is a small deployment with its stand-ins.
type fleet struct {
	dir     string
	journal *journal
	store   *store
	entries []*entry
	runners []*runner
}

// newFleet starts the store and writes the settings of an entry for each of the zones.
func newFleet(record string, zones ...string) (*fleet, error) {
	j, err := newJournal(record)
	if err != nil {
		return nil, err
	}
	f := &fleet{journal: j}
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if f.store, err = newStore(); err != nil {
		return nil, err
	}
	f.store.put("op/config", configuration())
	f.entries, err = newEntries(f.dir, f.store, j, zones...)
	return f, err
}

// addRunner starts a runner and registers it.
func (f *fleet) addRunner(service, zone string) (*runner, error) {
	r, err := newRunner(fmt.Sprintf("i-%s-%d", service, len(f.runners)+1), service, zone, f.journal)
	if err != nil {
		return nil, err
	}
	f.runners = append(f.runners, r)
	r.register(f.store)
	f.journal.printf("%s: registers, at %s in %s", r.id, r.address, zone)
	return r, nil
}

// startEntries starts all entries and waits until they are ready and know each other.
func (f *fleet) startEntries() error {
	for _, e := range f.entries {
		if err := e.start(program); err != nil {
			return err
		}
	}
	for _, e := range f.entries {
		if err := e.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.end()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(f.dir)
		return
	}
	logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
	fmt.Println(logs)
}

// configuration has the routes of the site aljibe-hub in small: bookings that may run once,
// and drafts whose streams may be resumed.
func configuration() map[string]any {
	route := func(name, prefix, kind, service string, timeoutMS int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeoutMs": timeoutMS,
			"targetLatencyMs": 300, "priority": 1, "maxAttempts": 1, "public": false, "sessionAffinity": false,
			"resumable": false, "allowedRegions": []string{},
		}
		for name, value := range more {
			r[name] = value
		}
		return r
	}
	return map[string]any{
		"version": 7,
		"routes": []any{
			route("r-book", bookPrefix, "non_idempotent", bookService, 1500, nil),
			route("r-draft", draftPrefix, "streaming", modelService, 12000, map[string]any{
				"targetLatencyMs": 2000, "targetGapMs": 1200, "maxAttempts": 3, "sessionAffinity": true, "resumable": true,
			}),
		},
		"services": []any{
			map[string]any{"name": bookService, "healthPath": "/health", "maxConnections": 100, "coldStartS": 0, "coldPerS": 0},
			map[string]any{
				"name": modelService, "healthPath": "/health", "maxConnections": 360, "coldStartS": coldTime.Seconds(), "coldPerS": 8.8,
				"engine": map[string]any{
					"slots": 64, "kvCapacityTokens": 400647, "stride": 6,
					"models": []any{map[string]any{"name": "small", "cost": 0.008}},
				},
			},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "crew", "apiKeys": []string{key}, "priority": 1, "allowedRegions": []string{}}},
	}
}
