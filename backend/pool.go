// Package backend is an HTTP/1.1 client for backend servers with connection pooling.
// It distinguishes requests that were certainly not sent from those that may have run,
// and never returns a response that belongs to another request.
package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"hyssoploom/internal/liveness"
	"hyssoploom/internal/sockets"
)

const (
	// dialTimeout limits the time to establish a connection. The longest round trip
	// takes 60 ms, and a lost SYN is retransmitted only after a second.
	dialTimeout = 350 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may remain unacknowledged before the
	// connection is closed: within it, TCP sends a lost segment four times. It also
	// makes a second keep-alive probe without a reply the last one, so that a server
	// which falls silent is left after 2 s; callers leave a stream after a longer gap.
	tcpUserTimeout = 1500 * time.Millisecond
	// TCP keep-alive probes detect connections that became silent while a response is
	// pending.
	keepAliveIdle     = time.Second
	keepAliveInterval = 700 * time.Millisecond
	keepAliveCount    = 2
	// defaultIdleTimeout is how long an idle connection is kept when the backend server
	// announces no timeout.
	defaultIdleTimeout = 20 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that a backend server announces,
	// so that no request is sent while the server closes the connection.
	idleTimeoutMargin = 600 * time.Millisecond
)

// ErrNotSent means that no byte of the request was sent.
var ErrNotSent = errors.New("request was not sent")

// ErrConnectionLimit means that the largest number of connections to the backend
// server is open and in use.
var ErrConnectionLimit = errors.New("all connections to the backend server are in use")

// Config bounds what is read from a backend server. Zero fields take the defaults.
type Config struct {
	// MaxHeadBytes limits the size of the head of a response in bytes. The default is
	// DefaultMaxHeadBytes.
	MaxHeadBytes int
	// MaxPartialTime limits the time in which the head of a response and the responses
	// skipped before it arrive. The waits before their first bytes do not count. The
	// default is 3 s, in which TCP retransmits a lost segment several times.
	MaxPartialTime time.Duration
	// MaxBodyPause limits the time for which a server may read nothing of a body that is
	// written concurrently, until its response begins. The default is the time after which
	// a silent server is left, 1.5 s; a server is left as late then if it falls silent.
	MaxBodyPause time.Duration
}

// SlowBodyPause is a MaxBodyPause for servers that read bodies slowly. It is as long as
// servers leave their own responses unread.
const SlowBodyPause = 5 * time.Second

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	config Config
	dialer net.Dialer

	mu    sync.Mutex
	hosts map[string]*hostConns
	dials int64 // connections dialled so far, including failed attempts
}

// hostConns holds the connections to one address.
type hostConns struct {
	idle []*conn // the most recently used last
	open int     // including connections in use or being dialled
}

// NewPool returns an empty pool.
func NewPool(c Config) *Pool {
	if c.MaxHeadBytes == 0 {
		c.MaxHeadBytes = DefaultMaxHeadBytes
	}
	if c.MaxPartialTime == 0 {
		c.MaxPartialTime = defaultMaxPartialTime
	}
	return &Pool{
		config: c,
		hosts:  make(map[string]*hostConns),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
			Control: sockets.UserTimeout(tcpUserTimeout),
		},
	}
}

// Dials returns the number of connections dialled so far, including failed attempts.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// get returns an idle connection to address, or a new one while fewer than limit are
// open.
func (p *Pool) get(ctx context.Context, address string, limit int) (*conn, error) {
	for {
		c, atLimit := p.takeIdleOrReserve(address, limit)
		switch {
		case c != nil && c.usable():
			return c, nil
		case c != nil:
			c.close()
			continue
		case atLimit:
			return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrConnectionLimit)
		}
		break
	}
	netConn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.releaseSlot(address)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return newConn(p, address, netConn), nil
}

// crashCheckTimeout limits the check of Refuses. A process takes 50 ms to end, and the
// longest round trip 60 ms.
const crashCheckTimeout = 200 * time.Millisecond

// Refuses reports whether nothing listens any more at the address of a connection that has
// just ended. A connection that is established by the check is kept for later requests,
// unless limit connections are open; 0 means no limit.
func (p *Pool) Refuses(ctx context.Context, address string, limit int) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	return liveness.Refused(liveness.Connect(ctx, p.connect(address, limit)))
}

// Accepts reports whether a process still listens at the address of a connection that has
// just ended. A connection that is established by the check is kept as by Refuses.
func (p *Pool) Accepts(ctx context.Context, address string, limit int) bool {
	return liveness.Listens(ctx, p.connect(address, limit))
}

// closeTime is the time in which the end of a connection arrives that its server closes at
// once: the longest round trip and the time of the server.
const closeTime = 100 * time.Millisecond

// ClosesAtOnce reports whether a new connection is refused, or closed before anything is sent on
// it, as by an address behind which no server is any more. A connection that stays open is kept
// as by Refuses.
func (p *Pool) ClosesAtOnce(ctx context.Context, address string, limit int) bool {
	c, err := p.dialExtra(ctx, address)
	if err != nil {
		return liveness.Refused(err)
	}
	select {
	case <-time.After(closeTime):
	case <-ctx.Done():
	}
	if !c.usable() {
		c.close()
		return ctx.Err() == nil
	}
	p.keep(c, limit)
	return false
}

// connect returns a function that establishes a connection and keeps it.
func (p *Pool) connect(address string, limit int) func(context.Context) error {
	return func(ctx context.Context) error {
		c, err := p.dialExtra(ctx, address)
		if err == nil {
			p.keep(c, limit)
		}
		return err
	}
}

// dialExtra establishes a connection whatever the number of those that are open.
func (p *Pool) dialExtra(ctx context.Context, address string) (*conn, error) {
	netConn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{}
		p.hosts[address] = h
	}
	h.open++
	p.dials++
	return newConn(p, address, netConn), nil
}

// keep makes a connection available to later requests, or closes it if more than limit are
// open; 0 means no limit.
func (p *Pool) keep(c *conn, limit int) {
	p.mu.Lock()
	over := limit > 0 && p.hosts[c.address].open > limit
	p.mu.Unlock()
	if over {
		c.close()
		return
	}
	c.expires = time.Now().Add(defaultIdleTimeout)
	p.putIdle(c)
}

// takeIdleOrReserve removes the most recently used idle connection from the pool and
// returns it. If there is none, it reserves a slot for the connection that the caller
// dials, unless limit connections are open already.
func (p *Pool) takeIdleOrReserve(address string, limit int) (c *conn, atLimit bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{}
		p.hosts[address] = h
	}
	if n := len(h.idle); n > 0 {
		c = h.idle[n-1]
		h.idle = h.idle[:n-1]
		return c, false
	}
	if limit > 0 && h.open >= limit {
		return nil, true
	}
	h.open++
	p.dials++
	return nil, false
}

// putIdle adds a connection to the idle ones of its address.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	h.idle = append(h.idle, c)
}

// releaseSlot releases the slot of a connection that was closed or could not be dialled.
func (p *Pool) releaseSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

// Retain closes the idle connections that are no longer usable and those to addresses
// for which keep returns false.
func (p *Pool) Retain(keep func(address string) bool) {
	var stale []*conn
	p.mu.Lock()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if keep(address) && c.usable() {
				kept = append(kept, c)
			} else {
				stale = append(stale, c)
			}
		}
		h.idle = kept
	}
	p.mu.Unlock()
	for _, c := range stale {
		c.close()
	}
}
