// Package backend exchanges requests and answers with backend servers over
// HTTP/1.1. It tells a request that was certainly not sent from one that may
// have run, and never hands out an answer to another request.
package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"hyssoploom/internal/sockets"
)

const (
	// dialTimeout bounds a new connection; the longest round trip is 60 ms, and a
	// lost SYN is sent again after a second.
	dialTimeout = 350 * time.Millisecond
	// silentTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as dead.
	silentTimeout = 2500 * time.Millisecond
	// The keep-alive probes find connections that went silent while an answer is
	// awaited.
	probeIdle     = time.Second
	probeInterval = 700 * time.Millisecond
	probeCount    = 2
	// defaultIdle is how long an idle connection is kept when the backend server
	// does not name its own limit.
	defaultIdle = 20 * time.Second
	// idleMargin is subtracted from the limit that a backend server names, so that
	// a request does not cross its close.
	idleMargin = 600 * time.Millisecond
)

// ErrNotSent marks failures of requests of which no byte was sent.
var ErrNotSent = errors.New("request was not sent")

// ErrNoConnection means that the limit of connections to the server is reached.
var ErrNoConnection = errors.New("all connections to the backend server are in use")

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu    sync.Mutex
	hosts map[string]*host
	// Dials counts new connections.
	dials int64
}

// host is the set of connections to one address.
type host struct {
	idle []*conn // the most recently used last
	open int
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		hosts: make(map[string]*host),
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
			},
			Control: sockets.UserTimeout(silentTimeout),
		},
	}
}

// Dials returns the number of connections made so far.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// get returns an idle connection to address, or a new one while fewer than
// limit are open.
func (p *Pool) get(ctx context.Context, address string, limit int) (*conn, error) {
	for {
		c, full := p.takeIdle(address, limit)
		switch {
		case c != nil && c.usable():
			return c, nil
		case c != nil:
			c.close()
			continue
		case full:
			return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrNoConnection)
		}
		break
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.forget(address)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return newConn(p, address, raw), nil
}

// takeIdle takes the connection that was used last. Without one it counts the
// new connection that the caller will open, unless limit are open already.
func (p *Pool) takeIdle(address string, limit int) (c *conn, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{}
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

func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	h.idle = append(h.idle, c)
}

// forget counts a connection as closed.
func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

// Retain closes the idle connections to all addresses but those that keep
// accepts, and those that have expired.
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
