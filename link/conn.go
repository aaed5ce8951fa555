package link

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	writeBatch    = 256 << 10 // bytes collected for one write
	maxQueued     = 8 << 20   // queued bytes above which control messages are not accepted
	callbackQueue = 256       // control messages and heartbeats that wait for their callback
)

// source is a stream with frames to send. The writer of the connection calls
// fill, which appends frames until the buffer holds writeBatch bytes and
// reports whether there are more.
type source interface {
	fill(c *conn, w *frameWriter) (more bool)
}

// conn is one authenticated connection. Either end owns its streams; the conn
// writes, reads, sends heartbeats and detects silence.
type conn struct {
	nc     net.Conn
	timing Timing
	beat   func() Heartbeat
	active func() bool // whether streams are open

	start    time.Time
	lastRecv atomic.Int64 // nanoseconds since start

	mu      sync.Mutex
	queued  *frameWriter // frames outside any stream and short stream frames
	ready   []source
	probing time.Duration // since start; 0 when no probe is under way
	err     error

	opens uint64 // open frames sent; used by the writer only

	wakeWriter chan struct{}
	wakeKeeper chan struct{}
	done       chan struct{}
	callbacks  chan func()
}

func newConn(nc net.Conn, timing Timing, beat func() Heartbeat, active func() bool) *conn {
	return &conn{
		nc: nc, timing: timing, beat: beat, active: active,
		start:      time.Now(),
		queued:     newFrameWriter(),
		wakeWriter: make(chan struct{}, 1),
		wakeKeeper: make(chan struct{}, 1),
		done:       make(chan struct{}),
		callbacks:  make(chan func(), callbackQueue),
	}
}

// run reads frames until the connection ends and returns the reason. All
// goroutines of the connection have ended when it returns.
func (c *conn) run(ctx context.Context, r *frameReader, handle func(*frame) error) error {
	stop := context.AfterFunc(ctx, func() { c.close(context.Cause(ctx)) })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(c.write)
	wg.Go(c.keep)
	wg.Go(func() {
		for f := range c.callbacks {
			f()
		}
	})
	c.close(c.read(r, handle))
	close(c.callbacks)
	wg.Wait()
	return c.err
}

func (c *conn) read(r *frameReader, handle func(*frame) error) error {
	var f frame
	for {
		if err := r.next(&f); err != nil {
			return err
		}
		c.lastRecv.Store(int64(time.Since(c.start)))
		switch f.kind {
		case kindPing:
			c.sendNumber(kindPong, f.seq)
		case kindPong:
		default:
			if err := handle(&f); err != nil {
				return err
			}
		}
	}
}

// close ends the connection; the first reason is kept.
func (c *conn) close(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	close(c.done)
	_ = c.nc.Close() // the reason is already known
}

// post runs a callback after the ones posted before it. It is called by the
// reader only and blocks it when too many callbacks wait.
func (c *conn) post(f func()) { c.callbacks <- f }

// send queues a frame that encode adds.
func (c *conn) send(encode func(w *frameWriter)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return ErrLinkDown
	}
	encode(c.queued)
	if err := c.queued.end(); err != nil {
		return err
	}
	signal(c.wakeWriter)
	return nil
}

func (c *conn) sendNumber(kind frameKind, n uint64) {
	_ = c.send(func(w *frameWriter) { w.begin(kind, 1); w.uint(n) })
}

func (c *conn) sendStream(kind frameKind, key streamKey) {
	_ = c.send(func(w *frameWriter) { w.beginStream(kind, key, 0) })
}

func (c *conn) sendDrain() {
	_ = c.send(func(w *frameWriter) { w.begin(kindDrain, 0) })
}

func (c *conn) sendControl(m *Control) error {
	if len(m.Body) > MaxPayload {
		return &TooLargeError{What: "control message", Size: len(m.Body), Limit: MaxPayload}
	}
	if c.waiting() > maxQueued {
		return ErrOverloaded
	}
	return c.send(func(w *frameWriter) { w.begin(kindControl, 1); w.value(m) })
}

// waiting returns the number of queued bytes.
func (c *conn) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queued.buf)
}

func (c *conn) sendHeartbeat() {
	hb := c.beat()
	_ = c.send(func(w *frameWriter) { w.begin(kindHeartbeat, 1); w.value(&hb) })
}

// enqueue lets the writer call s.fill. A source must not be enqueued twice.
func (c *conn) enqueue(s source) {
	c.mu.Lock()
	c.ready = append(c.ready, s)
	c.mu.Unlock()
	signal(c.wakeWriter)
}

// opened is called when a stream was opened on this connection. It starts the
// heartbeats of an active link and probes a link that has been silent.
func (c *conn) opened() {
	now := time.Since(c.start)
	c.mu.Lock()
	probe := c.probing == 0 && now-time.Duration(c.lastRecv.Load()) > c.timing.ProbeAfter
	if probe {
		c.probing = now
	}
	c.mu.Unlock()
	if probe {
		c.sendNumber(kindPing, uint64(now))
	}
	signal(c.wakeKeeper)
}

// write sends queued frames and those of ready streams, the streams in turn.
func (c *conn) write() {
	w := newFrameWriter()
	var turn []source
	for {
		select {
		case <-c.done:
			return
		case <-c.wakeWriter:
		}
		for c.collect(&w, &turn) {
			err := c.nc.SetWriteDeadline(time.Now().Add(c.timing.WriteTimeout))
			if err == nil {
				_, err = c.nc.Write(w.buf)
			}
			if err != nil {
				c.close(err)
				return
			}
			w.reset()
		}
	}
}

// collect moves what is ready into w and reports whether there is anything.
// Streams that did not get their turn come first the next time.
func (c *conn) collect(w **frameWriter, turn *[]source) bool {
	c.mu.Lock()
	*w, c.queued = c.queued, *w
	*turn, c.ready = c.ready, (*turn)[:0]
	c.mu.Unlock()
	var more []source
	served := 0
	for _, s := range *turn {
		if len((*w).buf) >= writeBatch {
			break
		}
		if s.fill(c, *w) {
			more = append(more, s)
		}
		served++
	}
	if rest := (*turn)[served:]; len(rest)+len(more) > 0 {
		c.mu.Lock()
		c.ready = slices.Concat(rest, c.ready, more)
		c.mu.Unlock()
	}
	clear(*turn)
	return len((*w).buf) > 0
}

// reset empties the buffer and gives up one that has grown far.
func (w *frameWriter) reset() {
	if cap(w.buf) > 2*writeBatch {
		w.buf = nil
		return
	}
	w.buf = w.buf[:0]
}

// keep sends heartbeats and closes the connection when the peer is silent.
func (c *conn) keep() {
	k := keeper{c: c}
	timer := time.NewTimer(c.timing.HeartbeatIdle)
	defer timer.Stop()
	for {
		wait, err := k.step(time.Since(c.start))
		if err != nil {
			c.close(err)
			return
		}
		timer.Reset(wait)
		select {
		case <-c.done:
			return
		case <-c.wakeKeeper:
		case <-timer.C:
		}
	}
}

// keeper holds the times of one connection, all since its start.
type keeper struct {
	c        *conn
	active   bool
	since    time.Duration // last change to active
	nextBeat time.Duration
}

// step does what is due and returns the time until the next step.
func (k *keeper) step(now time.Duration) (time.Duration, error) {
	c := k.c
	if active := c.active(); active != k.active {
		k.active, k.since = active, now
		k.nextBeat = min(k.nextBeat, now+c.timing.heartbeat(active))
	}
	heard := time.Duration(c.lastRecv.Load())
	silent := max(heard, k.since) + time.Duration(c.timing.SilentHeartbeats)*c.timing.heartbeat(k.active)
	if now >= silent {
		return 0, ErrSilent
	}
	next := silent
	c.mu.Lock()
	if c.probing > 0 && heard >= c.probing {
		c.probing = 0
	}
	if c.probing > 0 {
		if now >= c.probing+c.timing.ProbeTimeout {
			c.mu.Unlock()
			return 0, ErrSilent
		}
		next = min(next, c.probing+c.timing.ProbeTimeout)
	}
	c.mu.Unlock()
	if now >= k.nextBeat {
		c.sendHeartbeat()
		k.nextBeat = now + c.timing.heartbeat(k.active)
	}
	return min(next, k.nextBeat) - now, nil
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
