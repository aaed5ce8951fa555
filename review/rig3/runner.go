package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which runners write their entries, which end after three of
// them without a write.
const heartbeat = 1200 * time.Millisecond

// runnerRequest is a request that a runner has read whole.
type runnerRequest struct {
	*http.Request
	id   string
	body []byte
	at   time.Time
	// gone is closed when the channel of the request has ended.
	gone <-chan struct{}
}

// runner is a stand-in of a runner. It runs at most slots requests at a time and says 503 with
// X-Not-Executed to others.
type runner struct {
	id, service, zone, version string
	slots                      int
	log                        *record
	store                      *kvStore
	born                       int64
	listener                   net.Listener

	mu       sync.Mutex
	state    string
	running  int
	cold     time.Time // it is cold until then
	open     map[net.Conn]struct{}
	lease    int64
	sequence int64
	silent   bool // it writes nothing to the store
	got      []string
	ended    bool
	// handle, if it is set, answers a request in place of run. It returns false to close the
	// channel.
	handle func(c *runnerConn, r *runnerRequest) bool
}

// runnerConn is a channel to a runner.
type runnerConn struct {
	net.Conn
	runner *runner
	// answered is the last answer that was sent on the channel.
	answered string
	// rejectedHealth tells that it was the rejection of a health request.
	rejectedHealth bool
}

func newRunner(log *record, store *kvStore, id, service, zone, version string, slots int) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, service: service, zone: zone, version: version, slots: slots, log: log, store: store,
		born: time.Now().UnixMilli(), listener: listener, state: "ready", open: make(map[net.Conn]struct{}),
	}
	go r.accept()
	r.beat()
	go func() {
		for ; !r.hasEnded(); time.Sleep(heartbeat) {
			r.beat()
		}
	}()
	return r, nil
}

func (r *runner) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// stop ends the process of the runner at once. Its entry stays until it lapses.
func (r *runner) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.listener.Close()
	for c := range r.open {
		c.Close()
	}
}

// beat writes the entry of the runner, unless it is silent or the store is down.
func (r *runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent || r.ended {
		return
	}
	if r.lease == 0 || !r.store.renew(r.lease) {
		r.store.mu.Lock()
		down := r.store.down
		r.store.mu.Unlock()
		if down {
			return
		}
		r.lease = r.store.newLease(3 * heartbeat)
		r.write()
		return
	}
	r.write()
}

// write writes the entry. The caller must hold r.mu.
func (r *runner) write() {
	r.sequence++
	r.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": r.version,
		"slots": r.slots, "state": r.state, "coldRemainingMs": max(time.Until(r.cold).Milliseconds(), 0),
		"sequence": r.sequence, "born": r.born,
	}, r.lease)
}

func (r *runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return // the runner has ended
		}
		r.mu.Lock()
		r.open[c] = struct{}{}
		r.mu.Unlock()
		go r.serve(&runnerConn{Conn: c, runner: r})
	}
}

func (r *runner) serve(c *runnerConn) {
	defer func() {
		c.Close()
		r.mu.Lock()
		delete(r.open, c.Conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(c, 64<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return // the caller has closed the channel
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		gone := make(chan struct{})
		watched := make(chan struct{})
		go func() { // the caller sends nothing more until it has the answer
			defer close(watched)
			if _, err := reader.Peek(1); err != nil {
				close(gone)
			}
		}()
		req := &runnerRequest{Request: request, id: request.Header.Get("X-Request-Id"), body: body, at: time.Now(), gone: gone}
		r.mu.Lock()
		handle := r.handle
		r.mu.Unlock()
		if handle == nil {
			handle = func(c *runnerConn, req *runnerRequest) bool { return r.run(c, req, 20*time.Millisecond) }
		}
		if !handle(c, req) {
			return
		}
		<-watched
	}
}

// run runs a request for a time and answers it with 200.
func (r *runner) run(c *runnerConn, req *runnerRequest, work time.Duration) bool {
	return r.runTo(c, req, work, http.StatusOK)
}

// runTo runs a request for a time and answers it with a status. It answers health requests, and
// rejects what it doesn't run.
func (r *runner) runTo(c *runnerConn, req *runnerRequest, work time.Duration, status int) bool {
	if req.URL.Path == "/report" {
		body, _ := json.Marshal(map[string]any{"stage": "both", "models": []any{}, "born": r.born})
		return c.send(200, "Content-Type: application/json\r\n", string(body))
	}
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		return c.send(421, "X-Instance-Id: "+r.id+"\r\n", "")
	}
	r.mu.Lock()
	if r.running >= r.slots {
		r.mu.Unlock()
		r.log.add(r.id, "is full and rejects %s %s", req.URL.Path, req.id)
		return c.send(503, "X-Not-Executed: 1\r\n", "")
	}
	r.running++
	cold := max(time.Until(r.cold).Milliseconds(), 0)
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
	}()
	if req.URL.Path == "/health" {
		r.log.add(r.id, "answers a health request")
		return c.send(200, fmt.Sprintf("X-Instance-Id: %s\r\nX-Cold-Ms: %d\r\n", r.id, cold), "")
	}
	if req.id == "" {
		return c.send(400, "X-Not-Executed: 1\r\n", "")
	}
	r.began(req)
	select {
	case <-time.After(work):
	case <-req.gone:
		r.log.add(r.id, "the channel of %s has ended", req.id)
		return false
	}
	return c.send(status, "X-Request-Id: "+req.id+"\r\nX-Response-Seal: seal-"+r.id+"\r\n", "done by "+r.id)
}

// began records that the runner runs a request.
func (r *runner) began(req *runnerRequest) {
	r.mu.Lock()
	r.got = append(r.got, req.id)
	r.mu.Unlock()
	r.log.ran(r.id, req.id)
}

func (c *runnerConn) send(status int, head, body string) bool {
	c.answered = "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + head +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	_, err := io.Copy(c, strings.NewReader(c.answered))
	return err == nil
}
