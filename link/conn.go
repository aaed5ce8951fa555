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
	writeBatchBytes  = 256 << 10 // threshold at which collected frames are written
	maxQueuedBytes   = 8 << 20   // queue size above which control messages are rejected
	callbackQueueLen = 256       // pending callbacks of control messages and heartbeats
)

// frameSource is a stream with frames to send. The write loop of the connection
// calls appendFrames, which appends frames until the buffer holds writeBatchBytes
// and reports whether more frames remain.
type frameSource interface {
	appendFrames(c *conn, w *frameWriter) (more bool)
}

// conn is one authenticated connection. It reads and writes frames, sends
// heartbeats and detects an unresponsive peer. The streams belong to the Client or
// the peer that uses the connection.
type conn struct {
	nc         net.Conn
	timing     Timing
	heartbeat  func() Heartbeat
	hasStreams func() bool // reports whether streams are open

	start    time.Time
	lastRecv atomic.Int64 // nanoseconds since start

	mu         sync.Mutex
	queued     *frameWriter // connection-level frames and short stream frames
	ready      []frameSource
	probeStart time.Duration // since start; 0 when no probe is pending
	err        error

	openFrames uint64 // number of open frames sent; accessed only by writeLoop

	wakeWriter  chan struct{}
	wakeMonitor chan struct{}
	done        chan struct{}
	callbacks   chan func()
}

func newConn(nc net.Conn, timing Timing, heartbeat func() Heartbeat, hasStreams func() bool) *conn {
	return &conn{
		nc: nc, timing: timing, heartbeat: heartbeat, hasStreams: hasStreams,
		start:       time.Now(),
		queued:      newFrameWriter(),
		wakeWriter:  make(chan struct{}, 1),
		wakeMonitor: make(chan struct{}, 1),
		done:        make(chan struct{}),
		callbacks:   make(chan func(), callbackQueueLen),
	}
}

// run processes frames until the connection ends and returns the reason. All
// goroutines of the connection have ended when it returns.
func (c *conn) run(ctx context.Context, r *frameReader, handle func(*frame) error) error {
	stop := context.AfterFunc(ctx, func() { c.close(context.Cause(ctx)) })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(c.writeLoop)
	wg.Go(c.monitor)
	wg.Go(func() {
		for f := range c.callbacks {
			f()
		}
	})
	c.close(c.readLoop(r, handle))
	close(c.callbacks)
	wg.Wait()
	return c.err
}

func (c *conn) readLoop(r *frameReader, handle func(*frame) error) error {
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

// close ends the connection. Only the first reason is kept.
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

// postCallback queues a callback; callbacks run in order. It is called only by the
// reading goroutine, which it blocks while the queue is full.
func (c *conn) postCallback(f func()) { c.callbacks <- f }

// send queues the frame written by encode.
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
	if len(m.Body) > MaxPayloadBytes {
		return &TooLargeError{What: "control message", Size: len(m.Body), Limit: MaxPayloadBytes}
	}
	if c.queuedBytes() > maxQueuedBytes {
		return ErrOverloaded
	}
	return c.send(func(w *frameWriter) { w.begin(kindControl, 1); w.value(m) })
}

// queuedBytes returns the size of the queued connection-level frames.
func (c *conn) queuedBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queued.buf)
}

func (c *conn) sendHeartbeat() {
	hb := c.heartbeat()
	_ = c.send(func(w *frameWriter) { w.begin(kindHeartbeat, 1); w.value(&hb) })
}

// enqueue schedules a call of s.appendFrames. s must not already be enqueued.
func (c *conn) enqueue(s frameSource) {
	c.mu.Lock()
	c.ready = append(c.ready, s)
	c.mu.Unlock()
	signal(c.wakeWriter)
}

// onStreamOpened switches to the heartbeat interval of an active connection, and
// sends a ping if nothing has been received for a while.
func (c *conn) onStreamOpened() {
	now := time.Since(c.start)
	c.mu.Lock()
	probe := c.probeStart == 0 && now-time.Duration(c.lastRecv.Load()) > c.timing.ProbeAfter
	if probe {
		c.probeStart = now
	}
	c.mu.Unlock()
	if probe {
		c.sendNumber(kindPing, uint64(now))
	}
	signal(c.wakeMonitor)
}

// writeLoop writes the queued frames and, in round-robin order, those of the ready
// streams.
func (c *conn) writeLoop() {
	w := newFrameWriter()
	var batch []frameSource
	for {
		select {
		case <-c.done:
			return
		case <-c.wakeWriter:
		}
		for c.collect(&w, &batch) {
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

// collect moves the frames that are ready into w and reports whether there are any.
// Streams that were not served are first in the next call.
func (c *conn) collect(w **frameWriter, batch *[]frameSource) bool {
	c.mu.Lock()
	*w, c.queued = c.queued, *w
	*batch, c.ready = c.ready, (*batch)[:0]
	c.mu.Unlock()
	var more []frameSource
	served := 0
	for _, s := range *batch {
		if len((*w).buf) >= writeBatchBytes {
			break
		}
		if s.appendFrames(c, *w) {
			more = append(more, s)
		}
		served++
	}
	if rest := (*batch)[served:]; len(rest)+len(more) > 0 {
		c.mu.Lock()
		c.ready = slices.Concat(rest, c.ready, more)
		c.mu.Unlock()
	}
	clear(*batch)
	return len((*w).buf) > 0
}

// reset empties the buffer and releases one that has grown large.
func (w *frameWriter) reset() {
	if cap(w.buf) > 2*writeBatchBytes {
		w.buf = nil
		return
	}
	w.buf = w.buf[:0]
}

// monitor sends heartbeats and closes the connection when nothing is received from
// the peer in time.
func (c *conn) monitor() {
	m := livenessMonitor{c: c}
	timer := time.NewTimer(c.timing.HeartbeatIdle)
	defer timer.Stop()
	for {
		wait, err := m.step(time.Since(c.start))
		if err != nil {
			c.close(err)
			return
		}
		timer.Reset(wait)
		select {
		case <-c.done:
			return
		case <-c.wakeMonitor:
		case <-timer.C:
		}
	}
}

// livenessMonitor holds the heartbeat and timeout state of one connection. Its
// times are relative to the start of the connection.
type livenessMonitor struct {
	c             *conn
	hasStreams    bool
	modeChanged   time.Duration // last change of hasStreams
	nextHeartbeat time.Duration
}

// step performs the actions that are due and returns the time until the next step.
func (m *livenessMonitor) step(now time.Duration) (time.Duration, error) {
	c := m.c
	if hasStreams := c.hasStreams(); hasStreams != m.hasStreams {
		m.hasStreams, m.modeChanged = hasStreams, now
		m.nextHeartbeat = min(m.nextHeartbeat, now+c.timing.heartbeatInterval(hasStreams))
	}
	lastReceived := time.Duration(c.lastRecv.Load())
	receiveDeadline := max(lastReceived, m.modeChanged) + time.Duration(c.timing.MaxMissedHeartbeats)*c.timing.heartbeatInterval(m.hasStreams)
	if now >= receiveDeadline {
		return 0, ErrReceiveTimeout
	}
	next := receiveDeadline
	c.mu.Lock()
	if c.probeStart > 0 && lastReceived >= c.probeStart {
		c.probeStart = 0
	}
	if c.probeStart > 0 {
		if now >= c.probeStart+c.timing.ProbeTimeout {
			c.mu.Unlock()
			return 0, ErrReceiveTimeout
		}
		next = min(next, c.probeStart+c.timing.ProbeTimeout)
	}
	c.mu.Unlock()
	if now >= m.nextHeartbeat {
		c.sendHeartbeat()
		m.nextHeartbeat = now + c.timing.heartbeatInterval(m.hasStreams)
	}
	return min(next, m.nextHeartbeat) - now, nil
}

// signal wakes the receiver of ch, which has a buffer of one. It does not block.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
