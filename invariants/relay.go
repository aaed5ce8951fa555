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

// relay forwards TCP connections to an agent and can break them.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	delay time.Duration
	conns map[*relayed]struct{}
	total int // connections accepted
}

// relayed is one forwarded connection.
type relayed struct {
	ends   [2]net.Conn
	silent chan struct{} // closed when the connection has gone silent
	once   sync.Once
}

// relayTo puts a relay between all entries and the agent of a backend server.
func (f *fleet) relayTo(backend string) *relay {
	f.t.Helper()
	record := f.Backends[backend].Record(config.BackendServerIn)
	r := newRelay(f.t, record.AgentAddr)
	record.AgentAddr = r.listener.Addr().String()
	f.putInForce(config.KindBackendServer, backend, record)
	eventually(f.t, "all links pass the relay", func() bool {
		for _, e := range f.Entries {
			if !e.Entry.Linked(len(f.Backends)) {
				return false
			}
		}
		return r.open() == len(f.Entries)
	})
	return r
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, conns: make(map[*relayed]struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.accept()
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
		r.cut()
	})
	return r
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &relayed{ends: [2]net.Conn{in, out}, silent: make(chan struct{})}
		r.mu.Lock()
		r.conns[c] = struct{}{}
		r.total++
		r.mu.Unlock()
		go r.forward(c, in, out)
		go r.forward(c, out, in)
	}
}

// forward copies one direction until the connection ends. A silent connection
// is still read, so that neither side notices by a full buffer.
func (r *relay) forward(c *relayed, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			r.end(c)
			return
		}
		r.mu.Lock()
		delay := r.delay
		r.mu.Unlock()
		time.Sleep(delay)
		select {
		case <-c.silent:
			continue
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			r.end(c)
			return
		}
	}
}

func (r *relay) end(c *relayed) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	_ = c.ends[0].Close()
	_ = c.ends[1].Close()
}

func (r *relay) current() []*relayed {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*relayed, 0, len(r.conns))
	for c := range r.conns {
		out = append(out, c)
	}
	return out
}

// cut closes all connections; new ones work.
func (r *relay) cut() {
	for _, c := range r.current() {
		r.end(c)
	}
}

// silence makes all open connections silent for good; new ones work.
func (r *relay) silence() {
	for _, c := range r.current() {
		c.once.Do(func() { close(c.silent) })
	}
}

func (r *relay) setDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// open returns the number of open connections.
func (r *relay) open() int { return len(r.current()) }

func (r *relay) accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// storeSwitch cuts single processes off from the store.
type storeSwitch struct {
	mu  sync.Mutex
	off map[string]bool
}

func newStoreSwitch() *storeSwitch { return &storeSwitch{off: make(map[string]bool)} }

func (s *storeSwitch) set(process string, off bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.off[process] = off
}

func (s *storeSwitch) check(process string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.off[process] {
		return dialect.ErrUnavailable
	}
	return nil
}

// wrap is the Store hook of an embedded fleet.
func (s *storeSwitch) wrap(process string, store dialect.Store) dialect.Store {
	return &switchedStore{Store: store, process: process, by: s}
}

// switchedStore fails the calls that this test file's faults concern.
type switchedStore struct {
	dialect.Store
	process string
	by      *storeSwitch
}

func (s *switchedStore) Get(ctx context.Context, key string) (dialect.KV, error) {
	if err := s.by.check(s.process); err != nil {
		return dialect.KV{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *switchedStore) List(ctx context.Context, prefix string) ([]dialect.KV, uint64, error) {
	if err := s.by.check(s.process); err != nil {
		return nil, 0, err
	}
	kvs, revision, err := s.Store.List(ctx, prefix)
	if cutErr := s.by.check(s.process); cutErr != nil {
		return nil, 0, cutErr
	}
	return kvs, revision, err
}

func (s *switchedStore) CompareAndSwap(ctx context.Context, w dialect.Write) (uint64, error) {
	if err := s.by.check(s.process); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, w)
}

// Watch drops what arrives after the process was cut off.
func (s *switchedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]dialect.Event, uint64, error) {
	if err := s.by.check(s.process); err != nil {
		return nil, 0, err
	}
	events, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if cutErr := s.by.check(s.process); cutErr != nil {
		return nil, 0, cutErr
	}
	return events, revision, err
}
