package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["prompt-parts"] = promptParts }

const (
	// partsMemoryMB, partsRunners and partsTokens are the least memory of an edge machine, the
	// runners and their memory for tokens on the sheet of aljibe-hub-grown.
	partsMemoryMB = 112
	partsRunners  = 56
	partsTokens   = 426304
	// partsPerS is the number of requests a second. The sheet of registro-andino-grown has 343
	// streams a second.
	partsPerS = 343
	partsTime = 104 * time.Second
	// partsCount is the number of short parts of a prompt, partTokens the length of each.
	partsCount, partTokens = 60, 16
	// partsEnds is how often the processes of a machine may end by themselves in a day.
	partsEnds = 3
)

// residentMB returns the memory of a process as the platform sees it, and its peak, in MiB.
func residentMB(pid int) (now, peak int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, err := strconv.Atoi(fields[1])
		switch {
		case err != nil:
		case fields[0] == "VmRSS:":
			now = kb >> 10
		case fields[0] == "VmHWM:":
			peak = kb >> 10
		}
	}
	return now, peak
}

// stream answers a draft with three events.
func (r *runner) stream(c *runnerConn, req *runnerRequest) bool {
	if req.id == "" || req.Header.Get("X-Target-Instance") != r.id {
		return r.run(c, req, 0)
	}
	body := ""
	for i := range 3 {
		body += fmt.Sprintf("id: %d\ndata: token\n\n", i+1)
	}
	return c.send(200, "X-Request-Id: "+req.id+"\r\nX-Response-Seal: seal-"+r.id+"\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n", body)
}

// platformKills kills an entry whose process exceeds the memory of its machine, and starts it
// again after a short delay, until stop is closed. It returns how often it did.
func (t *trial) platformKills(e *entry, stop <-chan struct{}) (ends int, err error) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return ends, nil
		case <-time.After(250 * time.Millisecond):
		}
		now, peak := residentMB(e.cmd.Process.Pid)
		if n%8 == 0 {
			t.add(e.name, "holds %d MB, %d MB at most", now, peak)
		}
		if peak <= partsMemoryMB {
			continue
		}
		ends++
		t.add("platform", "kills %s, which holds %d MB, %d MB at most; its machine has %d MB", e.name, now, peak, partsMemoryMB)
		e.kill()
		time.Sleep(restartDelay)
		if err := e.start(); err != nil {
			return ends, err
		}
	}
}

// promptParts sends requests whose prompts consist of many short parts, and ends the processes
// that exceed the memory of their machines, as the platform does. Without the trouble the
// prompts have as many tokens in two parts.
func promptParts(t *trial) (bool, error) {
	store, err := newStore(t.record)
	if err != nil {
		return false, err
	}
	store.put("op/config", configuration(7, func(routes, services map[string]object) {
		routes[prompts]["sessionAffinity"] = true
		services[promptIn]["engine"] = object{"slots": 64, "kvCapacityTokens": partsTokens, "kvTokenBytes": 163840, "linkMbps": 1100000.0,
			"stride": 7, "most": 12, "models": []object{{"name": "daka510000", "cost": 0.008}}}
	}), 0)
	for i := range partsRunners {
		r, err := newRunner(t.record, store, fmt.Sprintf("i-%d", i+1), promptIn, "north-a", "v1", 64)
		if err != nil {
			return false, err
		}
		r.mu.Lock()
		r.handle = r.stream
		r.mu.Unlock()
	}
	t.entries, err = newEntries(t.record, t.dir, deployment{store.address(), partsMemoryMB, standardFeatures, standardBounds},
		[]place{{"edge-1", "north-a"}, {"edge-2", "north-a"}})
	if err != nil {
		return false, err
	}
	if err := t.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var platform, clients sync.WaitGroup
	ends, errs := make([]int, len(t.entries)), make([]error, len(t.entries))
	for i, e := range t.entries {
		platform.Go(func() { ends[i], errs[i] = t.platformKills(e, stop) })
	}
	var mu sync.Mutex
	statuses := make(map[int]int)
	begun := time.Now()
	for n := 0; time.Since(begun) < partsTime; n++ {
		time.Sleep(time.Until(begun.Add(time.Duration(n) * time.Second / partsPerS)))
		parts := []string{"5c1e07a2:350"}
		if t.trouble {
			for range partsCount {
				parts = append(parts, fmt.Sprintf("%08x:%d", rand.Uint32(), partTokens))
			}
		} else {
			parts = append(parts, fmt.Sprintf("%08x:%d", rand.Uint32(), partsCount*partTokens))
		}
		request := &call{id: fmt.Sprintf("draft-%d", n), method: http.MethodPost, path: prompts + "2f", key: clientKey, body: "words", deadline: 6 * time.Second,
			header: fmt.Sprintf("X-Model: daka510000\r\nX-Token-Counts: %d,20\r\nX-Prompt-Prefix: %s\r\n", 350+partsCount*partTokens, strings.Join(parts, ","))}
		clients.Go(func() {
			status := 0
			if ch, err := dial(t.entries[n%2].front); err == nil {
				status = ch.do(request).status
				ch.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	clients.Wait()
	close(stop)
	platform.Wait()
	if err := errors.Join(errs...); err != nil {
		return false, err
	}
	t.say("answers by status %v (0: no channel or no answer); each request had %d parts", statuses, map[bool]int{true: partsCount + 1, false: 2}[t.trouble])
	often := 0
	for i, e := range t.entries {
		t.say("%s ended %d times over its memory", e.name, ends[i])
		if ends[i] >= partsEnds {
			often++
		}
	}
	return often < 2, nil
}
