package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	coldTime  = 3 * time.Second
)

// runner is a sound stand-in of a model runner or a booking runner. It drops a request
// when its channel closes.
type runner struct {
	id, service, zone, address string
	born                       int64

	journal *journal
	server  *http.Server
	leaving atomic.Bool
}

// newRunner starts a runner on a free port. It isn't registered yet.
func newRunner(id, service, zone string, j *journal) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), journal: j}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), IdleTimeout: 20 * time.Second}
	go r.server.Serve(listener) //nolint:errcheck // ends with stop
	return r, nil
}

// register writes the runner's entry to the store, and again with each heartbeat while it is
// cold.
func (r *runner) register(s *store) {
	r.write(s, "ready", coldTime)
	for after := heartbeat; after < coldTime+heartbeat; after += heartbeat {
		time.AfterFunc(after, func() {
			if !r.leaving.Load() {
				r.write(s, "ready", max(coldTime-after, 0))
			}
		})
	}
}

func (r *runner) write(s *store, state string, cold time.Duration) {
	s.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 64,
		"state": state, "coldRemainingMs": cold.Milliseconds(), "sequence": 1, "born": r.born,
	})
}

// drain reports that the runner leaves. It says so in all its answers too.
func (r *runner) drain(s *store) {
	r.leaving.Store(true)
	r.write(s, "draining", 0)
	r.journal.printf("%s: leaves, it reports draining", r.id)
}

// leave removes the runner's entry from the store. It says in all its answers that it leaves,
// and serves on until it is stopped.
func (r *runner) leave(s *store) {
	r.leaving.Store(true)
	s.remove("servers/" + r.id)
	r.journal.printf("%s: leaves, its entry is removed", r.id)
}

// stop ends the runner: its listener and all its channels close.
func (r *runner) stop() { r.server.Close() }

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	if target := q.Header.Get("X-Target-Instance"); target != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	id := q.Header.Get("X-Request-Id")
	r.journal.ran(id, r.id)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Seal", "seal")
	if r.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	work, _ := strconv.Atoi(q.URL.Query().Get("work"))
	events, _ := strconv.Atoi(q.URL.Query().Get("events"))
	if events == 0 {
		if !pause(q, time.Duration(work)*time.Millisecond) {
			r.journal.printf("%s: run of %s dropped, its channel closed", r.id, id)
			return
		}
		fmt.Fprintf(w, `{"request":%q,"runner":%q}`, id, r.id)
		return
	}
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Confidence", "90")
	for n := first + 1; n <= events; n++ {
		if !pause(q, time.Duration(work/events)*time.Millisecond) {
			r.journal.printf("%s: run of %s dropped at event %d, its channel closed", r.id, id, n)
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush()
	}
}

// pause waits for d and reports whether the channel of the request is still open.
func pause(q *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-q.Context().Done():
		return false
	}
}
