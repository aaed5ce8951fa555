package link

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// peer is the session of one entry process. It outlives its connections, so that
// streams can be resumed. After it has been dropped, the entry gets a new session
// and ends the streams of the old one.
type peer struct {
	server  *Server
	ctx     context.Context
	hello   Hello
	session string

	// callbackMu orders OnPeerConnected and OnPeerLost, so that no OnPeerLost of the
	// previous connection follows the OnPeerConnected of a new one.
	callbackMu sync.Mutex

	mu              sync.Mutex
	dropped         bool
	conn            *conn  // nil while the link is down
	dialNumber      uint64 // of the current or last connection
	streams         map[streamKey]*ServerStream
	activeStreams   int                              // number of streams that the entry has open
	incomplete      map[streamKey]*incompleteRequest // opened on the current connection
	openFrames      uint64                           // number of open frames received on the current connection
	recentlyStarted recentStreams
	lostTimer       *time.Timer // reports the loss of the entry
	expiryTimer     *time.Timer // drops the session
}

// incompleteRequest is a request whose body has not been fully received.
type incompleteRequest struct {
	req       *Request
	window    int // bytes
	bodyBytes int // announced length of the body
}

// recentStreams holds the keys of the most recently started streams, so that a late
// or duplicate open frame does not execute a request twice.
type recentStreams struct {
	keys  map[streamKey]struct{}
	order []streamKey
}

// maxRecentStreams limits the memory per entry to a few KiB.
const maxRecentStreams = 256

func (r *recentStreams) has(key streamKey) bool {
	_, ok := r.keys[key]
	return ok
}

func (r *recentStreams) add(key streamKey) {
	if r.keys == nil {
		r.keys = map[streamKey]struct{}{}
	}
	if len(r.order) == maxRecentStreams {
		delete(r.keys, r.order[0])
		r.order = r.order[1:]
	}
	r.keys[key] = struct{}{}
	r.order = append(r.order, key)
}

func (p *peer) currentConn() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

func (p *peer) hasStreams() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.activeStreams > 0 || len(p.incomplete) > 0
}

// attach makes c the current connection. It refuses a connection that the entry
// dialed before the current one, because its frames may be out of date.
func (p *peer) attach(c *conn, dialNumber uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dropped || dialNumber <= p.dialNumber {
		return ErrSuperseded
	}
	if p.conn != nil {
		p.conn.close(ErrSuperseded)
	}
	p.stopTimers()
	p.conn, p.dialNumber, p.openFrames, p.incomplete = c, dialNumber, 0, map[streamKey]*incompleteRequest{}
	return nil
}

func (p *peer) stopTimers() {
	if p.lostTimer != nil {
		p.lostTimer.Stop()
		p.expiryTimer.Stop()
	}
}

// detach detaches the streams from c, if it is still the current connection, and starts
// the timers that report the entry as lost and drop the session.
func (p *peer) detach(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != c {
		return
	}
	p.conn, p.incomplete = nil, nil
	for _, s := range p.streams {
		s.detach()
	}
	dialNumber := p.dialNumber
	p.lostTimer = time.AfterFunc(p.server.cfg.PeerLostTimeout, func() { p.notifyLost(dialNumber) })
	p.expiryTimer = time.AfterFunc(p.server.cfg.Retention, func() { p.expireSession(dialNumber) })
}

// notifyConnected calls OnPeerConnected.
func (p *peer) notifyConnected() {
	p.callbackMu.Lock()
	defer p.callbackMu.Unlock()
	callIfSet(p.server.cfg.OnPeerConnected, p.hello)
}

// notifyLost logs the loss of the entry and calls OnPeerLost, unless the entry has
// reconnected.
func (p *peer) notifyLost(dialNumber uint64) {
	p.callbackMu.Lock()
	defer p.callbackMu.Unlock()
	if p.hasReconnected(dialNumber) {
		return
	}
	p.server.cfg.Logger.Warn().Str("peer", p.hello.Name).Dur("after", p.server.cfg.PeerLostTimeout).
		Msg("link: entry did not reconnect")
	callIfSet(p.server.cfg.OnPeerLost, p.hello)
}

func (p *peer) expireSession(dialNumber uint64) {
	if !p.hasReconnected(dialNumber) {
		p.dropSession(ErrSessionExpired)
	}
}

func (p *peer) hasReconnected(dialNumber uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil || p.dialNumber != dialNumber || p.dropped
}

// dropSession ends the session and all its streams.
func (p *peer) dropSession(cause error) {
	p.mu.Lock()
	p.dropped = true
	p.stopTimers()
	if p.conn != nil {
		p.conn.close(cause)
	}
	for _, s := range p.streams {
		p.cancelStream(s, cause)
	}
	p.mu.Unlock()
	p.server.removePeer(p)
}

// handleFrame processes a frame received on c.
func (p *peer) handleFrame(c *conn, f *frame) error {
	switch f.kind {
	case kindHeartbeat:
		hb := f.heartbeat
		if p.server.cfg.OnHeartbeat != nil {
			c.postCallback(func() { p.server.cfg.OnHeartbeat(p.hello, hb) })
		}
		return nil
	case kindControl:
		m := f.control
		if p.server.cfg.OnControl != nil {
			c.postCallback(func() { p.server.cfg.OnControl(p.hello, m) })
		}
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != c {
		return ErrSuperseded
	}
	switch f.kind {
	case kindOpen:
		return p.openStream(c, f)
	case kindBodyPart:
		return p.addBodyPart(c, f)
	case kindAck:
		return p.acknowledge(f)
	case kindCancel:
		key := f.key()
		delete(p.incomplete, key)
		if s := p.streams[key]; s != nil {
			p.cancelStream(s, ErrCanceled)
		}
	case kindResumeDone:
		return p.cancelAbsent(c, f.seq)
	}
	return nil
}

// cancelAbsent cancels the streams that the entry did not reopen on c. It fails
// without canceling any if fewer than count open frames have been received.
func (p *peer) cancelAbsent(c *conn, count uint64) error {
	if p.openFrames < count {
		return &ProtocolError{Reason: "open frames of resumed streams are missing"}
	}
	for _, s := range p.streams {
		if !s.attachedTo(c) {
			p.cancelStream(s, ErrCanceled)
		}
	}
	return nil
}

// openStream starts a stream or attaches a running one to c. If the stream is over
// or unknown, it tells the entry.
func (p *peer) openStream(c *conn, f *frame) error {
	key := f.key()
	s := p.streams[key]
	if s != nil && s.attachedTo(c) || p.incomplete[key] != nil {
		return nil // duplicate
	}
	p.openFrames++
	if s != nil {
		if !s.resume(c, f.seq) {
			c.sendStream(kindUnknownStream, key)
		}
		return nil
	}
	if f.request == nil || f.seq > 0 || p.recentlyStarted.has(key) {
		c.sendStream(kindUnknownStream, key)
		return nil
	}
	r := f.request
	if r.RequestID != key.id || r.Attempt != key.attempt {
		return &ProtocolError{Reason: "the open frame of stream " + key.String() + " carries another request"}
	}
	pending := &incompleteRequest{req: r, window: int(min(f.window, MaxFrameBytes)), bodyBytes: int(f.bodyLen)}
	r.Body = f.data
	if len(f.data) < pending.bodyBytes {
		r.Body = append(make([]byte, 0, pending.bodyBytes), f.data...)
		p.incomplete[key] = pending
		return nil
	}
	return p.startHandler(c, key, pending)
}

func (p *peer) addBodyPart(c *conn, f *frame) error {
	key := f.key()
	pending := p.incomplete[key]
	if pending == nil || f.seq < uint64(len(pending.req.Body)) {
		return nil // duplicate, or the stream is already running or canceled
	}
	if f.seq > uint64(len(pending.req.Body)) {
		return &ProtocolError{Reason: "a part of the body of stream " + key.String() + " is missing"}
	}
	pending.req.Body = append(pending.req.Body, f.data...)
	if len(pending.req.Body) < pending.bodyBytes {
		return nil
	}
	delete(p.incomplete, key)
	return p.startHandler(c, key, pending)
}

// startHandler registers a stream whose request is complete and runs the handler.
func (p *peer) startHandler(c *conn, key streamKey, pending *incompleteRequest) error {
	if len(pending.req.Body) != pending.bodyBytes {
		return &ProtocolError{Reason: fmt.Sprintf("the body of stream %s has %d bytes, announced were %d", key, len(pending.req.Body), pending.bodyBytes)}
	}
	s := newServerStream(p, key, pending, c)
	p.streams[key] = s
	p.activeStreams++
	p.recentlyStarted.add(key)
	p.server.streamOpened()
	c.onStreamOpened()
	p.server.handlers.Go(s.run)
	return nil
}

func (p *peer) acknowledge(f *frame) error {
	s := p.streams[f.key()]
	if s == nil {
		return nil
	}
	over, err := s.acknowledge(f.seq)
	if over {
		p.activeStreams--
		delete(p.streams, s.key)
	}
	return err
}

// cancelStream aborts a stream. The stream remains in p.streams until its handler
// has returned, so that reopening it does not execute the request twice.
func (p *peer) cancelStream(s *ServerStream, cause error) {
	first, returned := s.abort(cause)
	if first {
		p.activeStreams--
	}
	if returned && p.streams[s.key] == s {
		delete(p.streams, s.key)
	}
}

// handlerReturned removes an aborted stream whose handler has returned.
func (p *peer) handlerReturned(s *ServerStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.isAborted() && p.streams[s.key] == s {
		delete(p.streams, s.key)
	}
}
