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
	writeBatchBytes  = 256 << 10 // bytes collected for one write
	maxQueuedBytes   = 8 << 20   // queued bytes above which control messages are not accepted
	callbackQueueLen = 256       // control messages and heartbeats that wait for their callback
)

// source is a stream with frames to send. The writer of the connection calls
// fill, which appends frames until the buffer holds writeBatch bytes and
// reports whether there are more.
type frameSource interface {
	appendFrames(c *conn, w *frameWriter) (more bool)
}

// conn is one authenticated connection. Either end owns its streams; the conn
// writes, reads, sends heartbeats and detects silence.
type conn struct {
	nc         net.Conn
	timing     Timing
	heartbeat  func() Heartbeat
	hasStreams func() bool // whether streams are open

	start    time.Time
	lastRecv atomic.Int64 // nanoseconds since start

	mu         sync.Mutex
	queued     *frameWriter // frames outside any stream and short stream frames
	ready      []frameSource
	probeStart time.Duration // since start; 0 when no probe is under way
	err        error

	openFrames uint64 // open frames sent; used by the writer only

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

// run reads frames until the connection ends and returns the reason. All
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
func (c *conn) postCallback(f func()) { c.callbacks <- f }

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
	if len(m.Body) > MaxPayloadBytes {
		return &TooLargeError{What: "control message", Size: len(m.Body), Limit: MaxPayloadBytes}
	}
	if c.queuedBytes() > maxQueuedBytes {
		return ErrOverloaded
	}
	return c.send(func(w *frameWriter) { w.begin(kindControl, 1); w.value(m) })
}

// waiting returns the number of queued bytes.
func (c *conn) queuedBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queued.buf)
}

func (c *conn) sendHeartbeat() {
	hb := c.heartbeat()
	_ = c.send(func(w *frameWriter) { w.begin(kindHeartbeat, 1); w.value(&hb) })
}

// enqueue lets the writer call s.fill. A source must not be enqueued twice.
func (c *conn) enqueue(s frameSource) {
	c.mu.Lock()
	c.ready = append(c.ready, s)
	c.mu.Unlock()
	signal(c.wakeWriter)
}

// opened is called when a stream was opened on this connection. It starts the
// heartbeats of an active link and probes a link that has been silent.
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

// write sends queued frames and those of ready streams, the streams in turn.
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

// collect moves what is ready into w and reports whether there is anything.
// Streams that did not get their turn come first the next time.
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

// reset empties the buffer and gives up one that has grown far.
func (w *frameWriter) reset() {
	if cap(w.buf) > 2*writeBatchBytes {
		w.buf = nil
		return
	}
	w.buf = w.buf[:0]
}

// keep sends heartbeats and closes the connection when the peer is silent.
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

// keeper holds the times of one connection, all since its start.
type livenessMonitor struct {
	c             *conn
	hasStreams    bool
	modeChanged   time.Duration // last change to active
	nextHeartbeat time.Duration
}

// step does what is due and returns the time until the next step.
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

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
