package link

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// peer is the session of one entry process. It outlives its connections, so
// that streams can be resumed; after it was dropped, the entry gets a new
// session and ends the streams of the old one.
type peer struct {
	server  *Server
	ctx     context.Context
	hello   Hello
	session string

	// callbacks keeps a late OnPeerLost from following the OnPeerConnected of a new link.
	callbacks sync.Mutex

	mu      sync.Mutex
	dropped bool
	conn    *conn // nil while the link is down
	dial    uint64
	streams map[streamKey]*ServerStream
	active  int                     // streams that the entry has open
	partial map[streamKey]*assembly // of the current connection
	opens   uint64                  // streams opened on the current connection
	recent  recentKeys
	gone    *time.Timer
	expiry  *time.Timer
}

// assembly is a request whose body has not arrived as a whole.
type assembly struct {
	req    *Request
	window int
	want   int // bytes
}

// recentKeys remembers the streams that were started last, so that a late or
// duplicated open frame does not start a second run.
type recentKeys struct {
	known map[streamKey]struct{}
	order []streamKey
}

// maxRecent bounds the memory per entry to a few KiB.
const maxRecent = 256

func (r *recentKeys) has(key streamKey) bool {
	_, ok := r.known[key]
	return ok
}

func (r *recentKeys) add(key streamKey) {
	if r.known == nil {
		r.known = map[streamKey]struct{}{}
	}
	if len(r.order) == maxRecent {
		delete(r.known, r.order[0])
		r.order = r.order[1:]
	}
	r.known[key] = struct{}{}
	r.order = append(r.order, key)
}

func (p *peer) current() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

func (p *peer) isActive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active > 0 || len(p.partial) > 0
}

// attach makes c the current connection. A connection that the entry dialled
// before the current one is refused: its frames may be out of date.
func (p *peer) attach(c *conn, dial uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dropped || dial <= p.dial {
		return ErrSuperseded
	}
	if p.conn != nil {
		p.conn.close(ErrSuperseded)
	}
	p.stopTimers()
	p.conn, p.dial, p.opens, p.partial = c, dial, 0, map[streamKey]*assembly{}
	return nil
}

func (p *peer) stopTimers() {
	if p.gone != nil {
		p.gone.Stop()
		p.expiry.Stop()
	}
}

func (p *peer) detach(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != c {
		return
	}
	p.conn, p.partial = nil, nil
	for _, in := range p.streams {
		in.detach()
	}
	dial := p.dial
	p.gone = time.AfterFunc(p.server.cfg.PeerLostTimeout, func() { p.lost(dial) })
	p.expiry = time.AfterFunc(p.server.cfg.Retention, func() { p.expire(dial) })
}

// announce reports that a link to the peer came up.
func (p *peer) announce() {
	p.callbacks.Lock()
	defer p.callbacks.Unlock()
	call(p.server.cfg.OnPeerConnected, p.hello)
}

// lost reports a peer that did not come back.
func (p *peer) lost(dial uint64) {
	p.callbacks.Lock()
	defer p.callbacks.Unlock()
	if p.isBack(dial) {
		return
	}
	p.server.cfg.Logger.Warn().Str("peer", p.hello.Name).Dur("after", p.server.cfg.PeerLostTimeout).
		Msg("link: entry did not come back")
	call(p.server.cfg.OnPeerLost, p.hello)
}

func (p *peer) expire(dial uint64) {
	if !p.isBack(dial) {
		p.drop(ErrPeerLost)
	}
}

func (p *peer) isBack(dial uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil || p.dial != dial || p.dropped
}

// drop ends the session and all its streams.
func (p *peer) drop(cause error) {
	p.mu.Lock()
	p.dropped = true
	p.stopTimers()
	if p.conn != nil {
		p.conn.close(cause)
	}
	for _, in := range p.streams {
		p.cancel(in, cause)
	}
	p.mu.Unlock()
	p.server.forget(p)
}

// handle processes a frame that was read from c.
func (p *peer) handle(c *conn, f *frame) error {
	switch f.kind {
	case kindHeartbeat:
		hb := f.heartbeat
		if p.server.cfg.OnHeartbeat != nil {
			c.post(func() { p.server.cfg.OnHeartbeat(p.hello, hb) })
		}
		return nil
	case kindControl:
		m := f.control
		if p.server.cfg.OnControl != nil {
			c.post(func() { p.server.cfg.OnControl(p.hello, m) })
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
		return p.open(c, f)
	case kindPart:
		return p.addPart(c, f)
	case kindAck:
		return p.acknowledge(f)
	case kindCancel:
		key := f.key()
		delete(p.partial, key)
		if in := p.streams[key]; in != nil {
			p.cancel(in, ErrCanceled)
		}
	case kindResumed:
		return p.cancelAbsent(c, f.seq)
	}
	return nil
}

// cancelAbsent cancels the streams that the entry did not open again. It
// cancels none when open frames are missing.
func (p *peer) cancelAbsent(c *conn, count uint64) error {
	if p.opens < count {
		return &ProtocolError{Reason: "open frames of resumed streams are missing"}
	}
	for _, in := range p.streams {
		if !in.attachedTo(c) {
			p.cancel(in, ErrCanceled)
		}
	}
	return nil
}

// open starts a stream, attaches a running one to c, or reports that the
// stream is over.
func (p *peer) open(c *conn, f *frame) error {
	key := f.key()
	in := p.streams[key]
	if in != nil && in.attachedTo(c) || p.partial[key] != nil {
		return nil // a duplicate
	}
	p.opens++
	if in != nil {
		if !in.resume(c, f.seq) {
			c.sendStream(kindGone, key)
		}
		return nil
	}
	if f.request == nil || f.seq > 0 || p.recent.has(key) {
		c.sendStream(kindGone, key)
		return nil
	}
	r := f.request
	if r.RequestID != key.id || r.Attempt != key.attempt {
		return &ProtocolError{Reason: "the open frame of stream " + key.String() + " carries another request"}
	}
	a := &assembly{req: r, window: int(min(f.window, MaxFrame)), want: int(f.bodyLen)}
	r.Body = f.data
	if len(f.data) < a.want {
		r.Body = append(make([]byte, 0, a.want), f.data...)
		p.partial[key] = a
		return nil
	}
	return p.begin(c, key, a)
}

func (p *peer) addPart(c *conn, f *frame) error {
	key := f.key()
	a := p.partial[key]
	if a == nil || f.seq < uint64(len(a.req.Body)) {
		return nil // of a stream that runs or was canceled, or a duplicate
	}
	if f.seq > uint64(len(a.req.Body)) {
		return &ProtocolError{Reason: "a part of the body of stream " + key.String() + " is missing"}
	}
	a.req.Body = append(a.req.Body, f.data...)
	if len(a.req.Body) < a.want {
		return nil
	}
	delete(p.partial, key)
	return p.begin(c, key, a)
}

// begin starts the handler.
func (p *peer) begin(c *conn, key streamKey, a *assembly) error {
	if len(a.req.Body) != a.want {
		return &ProtocolError{Reason: fmt.Sprintf("the body of stream %s has %d bytes, announced were %d", key, len(a.req.Body), a.want)}
	}
	in := newIncoming(p, key, a, c)
	p.streams[key] = in
	p.active++
	p.recent.add(key)
	p.server.streamOpened()
	c.opened()
	p.server.handlers.Go(in.run)
	return nil
}

func (p *peer) acknowledge(f *frame) error {
	in := p.streams[f.key()]
	if in == nil {
		return nil
	}
	over, err := in.acknowledge(f.seq)
	if over {
		p.active--
		delete(p.streams, in.key)
	}
	return err
}

// cancel ends a stream for the entry. It stays listed until its handler has
// returned, so that opening it again does not start a second run.
func (p *peer) cancel(in *ServerStream, cause error) {
	first, returned := in.abort(cause)
	if first {
		p.active--
	}
	if returned && p.streams[in.key] == in {
		delete(p.streams, in.key)
	}
}

// returned is called when the handler of a stream has returned.
func (p *peer) returned(in *ServerStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if in.isAborted() && p.streams[in.key] == in {
		delete(p.streams, in.key)
	}
}
