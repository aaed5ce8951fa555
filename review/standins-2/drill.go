package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// revokeTime is revokeMs of the site.
	revokeTime = 5 * time.Second
	// copyAge is the age of the copy from which the store comes back, awayTime the time for which
	// it is away before, and rewriteTime the time after which the operator has written again what
	// it wrote since the copy.
	copyAge     = 8 * time.Second
	awayTime    = time.Second
	rewriteTime = 2 * time.Second

	removedKey = "key-2"
)

// drill plays a store that comes back from a copy, while an entry is killed and started again. A
// key was taken away after the copy. With "drill" no entry is killed, with "kill" the store stays.
func drill(recordPath, trouble string) int {
	w := newWorld(aljibeHub, recordPath)
	w.store.put("op/config", plainConfiguration(7, firstKey, removedKey))
	for i, z := range w.site.zones {
		w.startRunner(plainService, z[0], 6, time.Second, runnerConfig{ID: fmt.Sprintf("i-%d", i)})
	}
	w.startEntries()
	requests := 0
	send := func(e *entryProcess, key string) answer {
		requests++
		id := fmt.Sprintf("request-%d", requests)
		sent := time.Since(w.start)
		a := ask(e, key, time.Second, http.MethodGet, "/look/a", id)
		w.note("client sent %s with %s to %s at %.3f s and gets status %d", id, key, e.name, sent.Seconds(), a.status)
		return a
	}
	for _, e := range w.entries {
		send(e, removedKey)
	}
	from, copied := w.store.copy(), time.Now()
	w.note("the copy of the store is made")
	time.Sleep(time.Second)
	w.store.put("op/config", plainConfiguration(8, firstKey))
	confirmed := time.Now()
	w.note("the configuration that takes %s away is confirmed", removedKey)
	time.Sleep(time.Until(confirmed.Add(revokeTime + 500*time.Millisecond)))
	broken := 0
	late := func() {
		for _, e := range w.entries {
			if a := send(e, removedKey); a.status == http.StatusOK {
				broken++
			}
		}
	}
	late()
	time.Sleep(time.Until(copied.Add(copyAge)))
	e := w.entries[0]
	if trouble != "0" {
		drills, kills := trouble != "kill", trouble != "drill"
		if drills {
			w.store.leave()
			w.note("the store is away")
		}
		if kills {
			w.kill(e)
		}
		time.Sleep(awayTime)
		back := time.Now()
		if drills {
			w.store.comeBack(from)
			w.note("the store is back from the copy")
		}
		if kills {
			w.run(e)
		}
		for time.Since(back) < rewriteTime {
			late()
			time.Sleep(100 * time.Millisecond)
		}
		w.store.put("op/config", plainConfiguration(8, firstKey))
		w.note("the operator has written the configuration again")
	}
	time.Sleep(time.Second)
	late()
	w.note("%d requests with the key ran that were sent later than %s after the confirmation", broken, revokeTime)
	return w.end(broken > 0)
}
