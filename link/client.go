package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Client is the entry's side of the link to one agent. It reconnects automatically
// and resumes the open streams.
type Client struct {
	cfg ClientConfig

	mu          sync.Mutex
	conn        *conn         // nil while the link is down
	up          chan struct{} // closed when the link is established
	stopped     bool
	streams     map[streamKey]*Stream
	session     string
	lastLogged  string // last reason logged since the link was last up
	status      Status
	expiryTimer *time.Timer // fails the streams of a lost link
}

// NewClient returns a client that connects when Serve is called.
func NewClient(cfg ClientConfig) *Client {
	cfg.setDefaults()
	return &Client{cfg: cfg, up: make(chan struct{}), streams: map[streamKey]*Stream{}}
}

// Serve maintains the link until ctx is canceled.
func (c *Client) Serve(ctx context.Context) error {
	c.mu.Lock()
	c.stopped = false
	c.mu.Unlock()
	defer c.stop()
	b := &backoff.ExponentialBackOff{InitialInterval: c.cfg.MinBackoff, MaxInterval: c.cfg.MaxBackoff,
		Multiplier: 2}
	for {
		start := time.Now()
		err := c.connectAndRun(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.logDisconnect(err)
		if c.wasStable(start) {
			b.Reset()
			continue
		}
		select {
		case <-time.After(c.withJitter(b.NextBackOff())):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// withJitter returns a random duration between 0.5 and 1.5 times d, so that the
// reconnect attempts of many entries are spread out.
func (c *Client) withJitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + c.cfg.Random()) * float64(d))
}

// minStableTime is how long a link must have been up for a reconnect without
// backoff.
const minStableTime = time.Second

func (c *Client) wasStable(start time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status.Since.After(start) && time.Since(c.status.Since) >= minStableTime
}

// logDisconnect logs why a connection or dial failed. It logs a reason once until
// the link is up again.
func (c *Client) logDisconnect(err error) {
	c.mu.Lock()
	repeated := c.lastLogged == err.Error()
	c.lastLogged, c.status.Err = err.Error(), err
	expect := c.cfg.ExpectedPeer
	c.mu.Unlock()
	if repeated {
		return
	}
	event, message := c.cfg.Logger.Warn(), "link: connection to agent ended"
	var handshakeErr *HandshakeError
	if errors.As(err, &handshakeErr) {
		event, message = c.cfg.Logger.Error(), "link: agent not accepted"
	}
	event.Str("addr", c.cfg.Addr).Str("peer", expect).Err(err).Msg(message)
}

func (c *Client) connectAndRun(ctx context.Context) error {
	dialCtx, cancel := context.WithTimeout(ctx, c.cfg.Timing.HandshakeTimeout)
	nc, err := c.cfg.Dial(dialCtx, c.cfg.Addr)
	cancel()
	if errors.Is(err, syscall.ECONNREFUSED) {
		// Nothing listens at the address: the process that ran the streams has exited.
		c.mu.Lock()
		c.failStreams(BrokenLinkLost)
		c.mu.Unlock()
	}
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	peer, accept, r, err := c.handshake(nc)
	stop()
	if err != nil {
		_ = nc.Close()
		return err
	}
	conn := newConn(nc, c.cfg.Timing, c.cfg.Heartbeat, c.hasStreams)
	c.attach(conn, peer, accept)
	hb := accept.heartbeat
	conn.postCallback(func() {
		callIfSet(c.cfg.OnHello, peer)
		callIfSet(c.cfg.OnHeartbeat, hb)
	})
	err = conn.run(ctx, r, func(f *frame) error { return c.handleFrame(conn, f) })
	c.detach()
	if c.cfg.OnDisconnected != nil {
		c.cfg.OnDisconnected()
	}
	return err
}

// dialCounter numbers the connections of this process. All clients share it: an
// agent refuses a connection that was dialed before the current one of the same
// process, and the current one may belong to another client.
var dialCounter atomic.Uint64

// SetExpectedPeer changes the name that the agent must report on later connections.
func (c *Client) SetExpectedPeer(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.ExpectedPeer = name
}

func (c *Client) expectedPeer() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.ExpectedPeer
}

func (c *Client) handshake(nc net.Conn) (Hello, *frame, *frameReader, error) {
	dial := dialCounter.Add(1)
	h, err := newHandshake(nc, c.cfg.FleetKey, c.cfg.Timing.HandshakeTimeout)
	if err != nil {
		return Hello{}, nil, nil, err
	}
	peer, accept, err := h.connect(c.cfg.Hello, dial, c.expectedPeer())
	if err != nil {
		return peer, nil, nil, err
	}
	r, err := h.finish()
	return peer, accept, r, err
}

// attach makes conn the current connection and reopens the streams on it.
func (c *Client) attach(conn *conn, peer Hello, accept *frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expiryTimer != nil {
		c.expiryTimer.Stop()
	}
	if accept.code != c.session {
		reason := BrokenSessionExpired
		if peer.BootID != c.status.PeerHello.BootID {
			reason = BrokenAgentRestarted
		}
		c.failStreams(reason)
		c.session = accept.code
	}
	c.conn, c.lastLogged = conn, ""
	c.cfg.Logger.Info().Str("addr", c.cfg.Addr).Str("peer", peer.Name).Str("boot", peer.BootID).Msg("link: connected to agent")
	c.status.recordConnect(peer, accept.heartbeat)
	for _, s := range c.streams {
		s.attach(conn)
	}
	conn.enqueue(resumeDone{})
	close(c.up)
}

// resumeDone sends the frame that follows the open frames of the resumed streams. The
// frame carries their number; the agent cancels all other streams.
type resumeDone struct{}

func (resumeDone) appendFrames(c *conn, w *frameWriter) bool {
	w.begin(kindResumeDone, 1)
	w.uint(c.openFrames)
	w.mustEnd()
	return false
}

// detach marks the link as down and starts the timer that fails its streams.
func (c *Client) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
	c.up = make(chan struct{})
	c.status.Alive = false
	c.expiryTimer = time.AfterFunc(c.cfg.ResumeTimeout, c.expire)
}

// expire fails the streams if the link is still down.
func (c *Client) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		c.failStreams(BrokenLinkLost)
	}
}

func (c *Client) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.expiryTimer != nil {
		c.expiryTimer.Stop()
	}
	c.failStreams(BrokenClientStopped)
}

// failStreams ends all streams. The caller must hold c.mu.
func (c *Client) failStreams(reason BrokenReason) {
	for _, s := range c.streams {
		s.breakStream(reason)
	}
	clear(c.streams)
}

func (c *Client) hasStreams() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams) > 0
}

func (c *Client) stream(f *frame) *Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[streamKey{string(f.id), f.attempt}] // does not allocate, unlike f.key()
}

func (c *Client) remove(s *Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[s.key] == s {
		delete(c.streams, s.key)
	}
}

func (c *Client) handleFrame(conn *conn, f *frame) error {
	switch f.kind {
	case kindPayload, kindEnd, kindRefusal:
		if s := c.stream(f); s != nil {
			return s.receive(f)
		}
	case kindUnknownStream:
		if s := c.stream(f); s != nil {
			s.withLock(func() { s.fail(s.broken(BrokenUnknownStream)) })
		}
	case kindHeartbeat:
		hb := f.heartbeat
		c.updateStatus(func(st *Status) { st.recordHeartbeat(hb) })
		conn.postCallback(func() { callIfSet(c.cfg.OnHeartbeat, hb) })
	case kindControl:
		m := f.control
		conn.postCallback(func() { callIfSet(c.cfg.OnControl, m) })
	case kindDrain:
		c.updateStatus(func(st *Status) { st.Draining = true })
		if c.cfg.OnDrain != nil {
			conn.postCallback(c.cfg.OnDrain)
		}
	}
	return nil
}

func callIfSet[T any](f func(T), v T) {
	if f != nil {
		f(v)
	}
}

// Open opens a stream for r, which must not be modified until the stream has ended.
// ctx limits only the wait for a link; use Cancel to end the stream. A
// *NotSentError means that the agent cannot have received the request.
func (c *Client) Open(ctx context.Context, r *Request) (*Stream, error) {
	s, err := newStream(c, r)
	if err != nil {
		return nil, &NotSentError{Reason: err}
	}
	wait := time.NewTimer(c.cfg.OpenTimeout)
	defer wait.Stop()
	for {
		conn, up, err := c.tryOpen(s)
		if err != nil {
			return nil, &NotSentError{Reason: err}
		}
		if conn != nil {
			conn.onStreamOpened()
			return s, nil
		}
		select {
		case <-up:
		case <-wait.C:
			return nil, &NotSentError{Reason: ErrLinkDown}
		case <-ctx.Done():
			return nil, &NotSentError{Reason: ctx.Err()}
		}
	}
}

// tryOpen opens s on the current connection. Without a connection, it returns a
// channel that is closed when one is established.
func (c *Client) tryOpen(s *Stream) (*conn, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.stopped:
		return nil, nil, errors.New("client is stopped")
	case c.streams[s.key] != nil:
		return nil, nil, errors.New("stream " + s.key.String() + " is already open")
	case c.conn == nil:
		return nil, c.up, nil
	}
	c.streams[s.key] = s
	s.attach(c.conn)
	return c.conn, nil, nil
}

// Send sends a control message, or returns ErrLinkDown if the link is down.
func (c *Client) Send(m Control) error {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return ErrLinkDown
	}
	return conn.sendControl(&m)
}
