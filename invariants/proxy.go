package invariants

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/dialect"
)

// tcpProxy forwards TCP connections to an agent and can interrupt them.
type tcpProxy struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	delay    time.Duration
	conns    map[*proxiedConn]struct{}
	accepted int // number of accepted connections
}

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	ends       [2]net.Conn
	blackholed chan struct{} // closed when the connection is black-holed
	once       sync.Once
}

// proxyAgent inserts a proxy between all entries and the agent of a backend server.
func (f *fleet) proxyAgent(backend string) *tcpProxy {
	f.t.Helper()
	record := f.Backends[backend].Record(config.BackendServerIn)
	p := newTCPProxy(f.t, record.AgentAddr)
	record.AgentAddr = p.listener.Addr().String()
	f.putAndWait(config.KindBackendServer, backend, record)
	eventually(f.t, "all links pass through the proxy", func() bool {
		for _, e := range f.Entries {
			if !e.Entry.HasLinks(len(f.Backends)) {
				return false
			}
		}
		return p.openCount() == len(f.Entries)
	})
	return p
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: listener, target: target, conns: make(map[*proxiedConn]struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.acceptLoop()
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
		p.closeAll()
	})
	return p
}

func (p *tcpProxy) acceptLoop() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &proxiedConn{ends: [2]net.Conn{in, out}, blackholed: make(chan struct{})}
		p.mu.Lock()
		p.conns[c] = struct{}{}
		p.accepted++
		p.mu.Unlock()
		go p.forward(c, in, out)
		go p.forward(c, out, in)
	}
}

// forward copies one direction until the connection ends. Data of a black-holed
// connection is still read and then dropped, so that neither side detects the fault by
// a full buffer.
func (p *tcpProxy) forward(c *proxiedConn, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			p.closeConn(c)
			return
		}
		p.mu.Lock()
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		select {
		case <-c.blackholed:
			continue
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			p.closeConn(c)
			return
		}
	}
}

func (p *tcpProxy) closeConn(c *proxiedConn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.ends[0].Close()
	_ = c.ends[1].Close()
}

func (p *tcpProxy) openConns() []*proxiedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*proxiedConn, 0, len(p.conns))
	for c := range p.conns {
		out = append(out, c)
	}
	return out
}

// closeAll closes all open connections. New connections work.
func (p *tcpProxy) closeAll() {
	for _, c := range p.openConns() {
		p.closeConn(c)
	}
}

// blackhole permanently drops all data on the open connections. New connections work.
func (p *tcpProxy) blackhole() {
	for _, c := range p.openConns() {
		c.once.Do(func() { close(c.blackholed) })
	}
}

func (p *tcpProxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// openCount returns the number of open connections.
func (p *tcpProxy) openCount() int { return len(p.openConns()) }

func (p *tcpProxy) acceptedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// storePartitions simulates network partitions between individual processes and the
// store.
type storePartitions struct {
	mu       sync.Mutex
	isolated map[string]bool
}

func newStorePartitions() *storePartitions { return &storePartitions{isolated: make(map[string]bool)} }

func (s *storePartitions) setIsolated(process string, isolated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolated[process] = isolated
}

func (s *storePartitions) checkReachable(process string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isolated[process] {
		return dialect.ErrUnavailable
	}
	return nil
}

// wrap is the Store hook of an embedded fleet.
func (s *storePartitions) wrap(process string, store dialect.Store) dialect.Store {
	return &partitionedStore{Store: store, process: process, partitions: s}
}

// partitionedStore fails Get, List, CompareAndSwap and Watch of a process that is isolated from
// the store.
type partitionedStore struct {
	dialect.Store
	process    string
	partitions *storePartitions
}

func (s *partitionedStore) Get(ctx context.Context, key string) (dialect.KV, error) {
	if err := s.partitions.checkReachable(s.process); err != nil {
		return dialect.KV{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *partitionedStore) List(ctx context.Context, prefix string) ([]dialect.KV, uint64, error) {
	if err := s.partitions.checkReachable(s.process); err != nil {
		return nil, 0, err
	}
	kvs, revision, err := s.Store.List(ctx, prefix)
	if partitionErr := s.partitions.checkReachable(s.process); partitionErr != nil {
		return nil, 0, partitionErr
	}
	return kvs, revision, err
}

func (s *partitionedStore) CompareAndSwap(ctx context.Context, w dialect.Write) (uint64, error) {
	if err := s.partitions.checkReachable(s.process); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, w)
}

// Watch drops events that arrive after the process was isolated.
func (s *partitionedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]dialect.Event, uint64, error) {
	if err := s.partitions.checkReachable(s.process); err != nil {
		return nil, 0, err
	}
	events, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if partitionErr := s.partitions.checkReachable(s.process); partitionErr != nil {
		return nil, 0, partitionErr
	}
	return events, revision, err
}
