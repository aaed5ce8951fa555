package link

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Hello    Hello
	FleetKey []byte
	Timing   Timing

	Retention       time.Duration // how long the streams of a lost link are kept; 30 s
	PeerLostTimeout time.Duration // time without a link after which OnPeerLost is called; 10 s
	MaxUnacked      int           // unacknowledged payload bytes per stream at which Send blocks; 256 KiB
	Logger          *log.Logger

	// Heartbeat returns the contents of the next heartbeat. It must not block.
	Heartbeat func() Heartbeat
	// Handler processes a request. Its ctx is canceled when the entry cancels the
	// request or does not reconnect in time, and when the server stops.
	Handler func(ctx context.Context, in *ServerStream)
	// The callbacks are optional. Those of one peer are called one at a time and
	// must not block for long.
	OnPeerConnected func(Hello) // a link to the peer was established
	OnHeartbeat     func(peer Hello, hb Heartbeat)
	OnControl       func(peer Hello, m Control)
	OnPeerLost      func(peer Hello) // the peer did not reconnect within PeerLostTimeout
}

func (cfg *ServerConfig) setDefaults() {
	cfg.Timing = cfg.Timing.withDefaults()
	setDefault(&cfg.Retention, defaultStreamRetention)
	setDefault(&cfg.PeerLostTimeout, 10*time.Second)
	setDefault(&cfg.MaxUnacked, 256<<10)
	setDefault(&cfg.Hello.Protocol, ProtocolVersion)
	setDefault(&cfg.Logger, &log.DefaultLogger)
	if cfg.Heartbeat == nil {
		cfg.Heartbeat = monotonicHeartbeat()
	}
}

// Server is the agent's side of the links to all entries.
type Server struct {
	cfg ServerConfig

	mu          sync.Mutex
	peers       map[string]*peer // by boot ID
	draining    bool
	openStreams int           // number of streams with a running handler or unacknowledged frames
	idle        chan struct{} // closed while openStreams is 0
	handlers    sync.WaitGroup
}

// NewServer returns a server that accepts links when Serve is called.
func NewServer(cfg ServerConfig) *Server {
	cfg.setDefaults()
	s := &Server{cfg: cfg, peers: map[string]*peer{}, idle: make(chan struct{})}
	close(s.idle)
	return s
}

// Serve accepts links on l until ctx is canceled. It closes l.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	var conns sync.WaitGroup
	defer func() {
		cancel()
		conns.Wait()
		s.dropAll()
		s.handlers.Wait()
	}()
	for {
		nc, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if nc != nil {
				_ = nc.Close()
			}
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			s.cfg.Logger.Warn().Err(err).Msg("link: accept failed")
			if !sleep(ctx, acceptRetryDelay) {
				return ctx.Err()
			}
		default:
			conns.Go(func() { s.serveConn(ctx, nc) })
		}
	}
}

// acceptRetryDelay prevents a busy loop when Accept fails, for example for lack of
// file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) serveConn(ctx context.Context, nc net.Conn) {
	defer func() { _ = nc.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	h, err := newHandshake(nc, s.cfg.FleetKey, s.cfg.Timing.HandshakeTimeout)
	if err != nil {
		return
	}
	hello, dial, err := h.accept(s.cfg.Hello)
	if err == nil {
		err = s.servePeer(ctx, h, hello, dial)
	}
	if ctx.Err() != nil {
		return
	}
	event := s.cfg.Logger.Warn()
	var handshakeErr *HandshakeError
	if errors.As(err, &handshakeErr) {
		event = s.cfg.Logger.Error()
	}
	event.Str("peer", hello.Name).Str("remote", nc.RemoteAddr().String()).Err(err).Msg("link: connection from entry ended")
}

// authenticatedConn is a connection of a listener that bounds what strangers can make the
// process hold, such as one of ingress.Guard.
type authenticatedConn interface{ Authenticated() }

// servePeer serves an authenticated connection until it ends.
func (s *Server) servePeer(ctx context.Context, h *handshake, hello Hello, dial uint64) error {
	p := s.peer(ctx, hello)
	c := newConn(h.nc, s.cfg.Timing, s.heartbeat, p.hasStreams)
	if err := p.attach(c, dial); err != nil {
		return err
	}
	defer p.detach(c)
	err := h.sendAccept(p.session, s.heartbeat())
	if err != nil {
		return err
	}
	r, err := h.finish()
	if err != nil {
		return err
	}
	if nc, ok := h.nc.(authenticatedConn); ok {
		nc.Authenticated()
	}
	s.cfg.Logger.Info().Str("peer", hello.Name).Str("boot", hello.BootID).Msg("link: entry connected")
	c.postCallback(p.notifyConnected)
	return c.run(ctx, r, func(f *frame) error { return p.handleFrame(c, f) })
}

// peer returns the session of an entry process, and creates it on the first link.
func (s *Server) peer(ctx context.Context, hello Hello) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[hello.BootID]
	if p == nil {
		p = &peer{server: s, ctx: ctx, hello: hello, session: rand.Text(), streams: map[streamKey]*ServerStream{}}
		s.peers[hello.BootID] = p
	}
	return p
}

func (s *Server) heartbeat() Heartbeat {
	hb := s.cfg.Heartbeat()
	s.mu.Lock()
	defer s.mu.Unlock()
	hb.Draining = hb.Draining || s.draining
	return hb
}

func (s *Server) peerList() []*peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*peer, 0, len(s.peers))
	for _, p := range s.peers {
		all = append(all, p)
	}
	return all
}

func (s *Server) conns() []*conn {
	var all []*conn
	for _, p := range s.peerList() {
		if c := p.currentConn(); c != nil {
			all = append(all, c)
		}
	}
	return all
}

// Broadcast sends a control message to all connected entries.
func (s *Server) Broadcast(m Control) {
	for _, c := range s.conns() {
		if err := c.sendControl(&m); err != nil {
			s.cfg.Logger.Warn().Str("kind", m.Kind).Err(err).Msg("link: control message not sent")
		}
	}
}

// SendTo sends a control message to one entry.
func (s *Server) SendTo(bootID string, m Control) error {
	s.mu.Lock()
	p := s.peers[bootID]
	s.mu.Unlock()
	if p == nil {
		return ErrUnknownPeer
	}
	c := p.currentConn()
	if c == nil {
		return ErrLinkDown
	}
	return c.sendControl(&m)
}

// Drain notifies all entries, at once and in every later heartbeat, that the agent
// accepts no new work. New streams still reach the handler, which must refuse them.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.conns() {
		c.sendDrain()
	}
}

// Peers returns the connected entries.
func (s *Server) Peers() []Hello {
	var all []Hello
	for _, p := range s.peerList() {
		if p.currentConn() != nil {
			all = append(all, p.hello)
		}
	}
	return all
}

// Wait blocks until no handler is running and all frames are acknowledged.
func (s *Server) Wait(ctx context.Context) error {
	for {
		s.mu.Lock()
		idle, openStreams := s.idle, s.openStreams
		s.mu.Unlock()
		if openStreams == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Server) streamOpened() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openStreams == 0 {
		s.idle = make(chan struct{})
	}
	s.openStreams++
}

func (s *Server) streamClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openStreams--; s.openStreams == 0 {
		close(s.idle)
	}
}

func (s *Server) dropAll() {
	for _, p := range s.peerList() {
		p.dropSession(context.Canceled)
	}
}

func (s *Server) removePeer(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peers[p.hello.BootID] == p {
		delete(s.peers, p.hello.BootID)
	}
}
