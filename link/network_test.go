package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
)

// direction of a frame through the network.
type direction int

const (
	toServer direction = iota
	toClient
)

// action is what the network does with one frame.
type action int

const (
	pass action = iota
	drop
	cut       // closes the connection instead of passing the frame
	duplicate // passes the frame twice
	hold      // passes the frame after the next one
)

// frameRule decides on frame n of one direction of a connection.
type frameRule func(dial int, dir direction, n int, body []byte) action

// network connects a client with a server through relays that treat each frame
// as rule says.
type network struct {
	relays   sync.WaitGroup
	accepted chan net.Conn

	rule frameRule

	mu    sync.Mutex
	down  bool
	pairs []*pair
}

// pair is the relay of one dialled connection.
type pair struct {
	ends   [4]net.Conn
	silent [2]atomic.Bool // frames of this direction vanish
	delay  [2]atomic.Int64
}

func newNetwork(rule frameRule) *network {
	return &network{accepted: make(chan net.Conn), rule: rule}
}

// listener accepts the connections of a network for one server.
type listener struct {
	*network
	stopped chan struct{}
	once    sync.Once
}

func (n *network) listen() net.Listener { return &listener{network: n, stopped: make(chan struct{})} }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.stopped:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.stopped) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) dial(ctx context.Context, _ string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return nil, errors.New("network is down")
	}
	p := &pair{}
	p.ends[0], p.ends[1] = net.Pipe()
	p.ends[2], p.ends[3] = net.Pipe()
	select {
	case n.accepted <- p.ends[3]:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	number := len(n.pairs)
	n.pairs = append(n.pairs, p)
	n.relays.Go(func() { n.relay(p, number, toServer, p.ends[1], p.ends[2]) })
	n.relays.Go(func() { n.relay(p, number, toClient, p.ends[2], p.ends[1]) })
	return p.ends[0], nil
}

func (n *network) last() *pair {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pairs[len(n.pairs)-1]
}

func (n *network) dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.pairs)
}

// setDown cuts the last connection and refuses new ones, or accepts them again.
func (n *network) setDown(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
	if down && len(n.pairs) > 0 {
		n.pairs[len(n.pairs)-1].close()
	}
}

func (n *network) closeAll() {
	n.mu.Lock()
	for _, p := range n.pairs {
		p.close()
	}
	n.mu.Unlock()
	n.relays.Wait()
}

func (p *pair) close() {
	for _, c := range p.ends {
		_ = c.Close()
	}
}

func (n *network) relay(p *pair, number int, dir direction, from, to net.Conn) {
	r := bufio.NewReader(from)
	var held []byte
	for i := 0; ; i++ {
		raw, err := readRaw(r)
		if err != nil {
			if !p.silent[dir].Load() {
				_ = to.Close()
			}
			return
		}
		if d := p.delay[dir].Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		act := pass
		if n.rule != nil {
			act = n.rule(number, dir, i, raw[frameHeader:])
		}
		var out []byte
		switch {
		case p.silent[dir].Load() || act == drop:
		case act == cut:
			p.close()
			return
		case act == hold:
			held = raw
		case act == duplicate:
			out = append(append(out, raw...), raw...)
		default:
			out = append(append(out, raw...), held...)
			held = nil
		}
		if _, err := to.Write(out); err != nil {
			return
		}
	}
}

func readRaw(r *bufio.Reader) ([]byte, error) {
	head, err := r.Peek(frameHeader)
	if err != nil {
		return nil, err
	}
	raw := make([]byte, frameHeader+int(binary.BigEndian.Uint32(head)))
	_, err = io.ReadFull(r, raw)
	return raw, err
}

// rig is a client and a server on a network. It is used inside a synctest
// bubble and stops everything at the end of the test.
type rig struct {
	t      *testing.T
	net    *network
	client *Client
	server *Server
	stop   context.CancelFunc
	served chan error

	mu      sync.Mutex
	runs    map[streamKey]int // handler runs
	entries []string          // names of the callbacks of the server
}

var testKey = []byte("fleet key of the tests")

// quiet drops the log lines of the tests.
var quiet = &log.Logger{Level: log.PanicLevel}

func newRig(t *testing.T, handler func(ctx context.Context, in *Incoming), configure ...func(*ClientConfig, *ServerConfig)) *rig {
	return newRigOn(t, newNetwork(nil), handler, configure...)
}

func newRigOn(t *testing.T, n *network, handler func(ctx context.Context, in *Incoming), configure ...func(*ClientConfig, *ServerConfig)) *rig {
	r := &rig{t: t, net: n, runs: map[streamKey]int{}}
	cc := ClientConfig{Hello: Hello{Name: "entry-1", BootID: "e1"}, Expect: "gpu-1", FleetKey: testKey, Logger: quiet, Dial: r.net.dial,
		Random: rand.New(rand.NewPCG(1, 2)).Float64}
	sc := ServerConfig{Hello: Hello{Name: "gpu-1", BootID: "a1"}, FleetKey: testKey, Logger: quiet,
		OnPeer:     func(Hello) { r.note("peer") },
		OnPeerGone: func(Hello) { r.note("gone") },
		Handler: func(ctx context.Context, in *Incoming) {
			r.mu.Lock()
			r.runs[in.key]++
			r.mu.Unlock()
			handler(ctx, in)
		}}
	for _, f := range configure {
		f(&cc, &sc)
	}
	r.client, r.server = NewClient(cc), NewServer(sc)
	ctx, cancel := context.WithCancel(t.Context())
	clientDone := make(chan struct{})
	go func() { defer close(clientDone); _ = r.client.Serve(ctx) }()
	r.startServer()
	t.Cleanup(func() {
		cancel()
		r.net.closeAll()
		<-clientDone
		r.stopServer()
	})
	return r
}

func (r *rig) startServer() {
	ctx, cancel := context.WithCancel(r.t.Context())
	served := make(chan error, 1)
	r.stop, r.served = cancel, served
	server, l := r.server, r.net.listen()
	go func() { served <- server.Serve(ctx, l) }()
}

func (r *rig) stopServer() {
	r.stop()
	<-r.served
}

func (r *rig) note(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, event)
}

func (r *rig) events() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.entries...)
}

// wantOneRun fails when a request ran more or less than once.
func (r *rig) wantOneRun(id string) {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.runs[streamKey{id, 0}]; n != 1 {
		r.t.Errorf("request %s ran %d times, want once", id, n)
	}
}

func (r *rig) open(id string) *Stream {
	r.t.Helper()
	s, err := r.client.Open(r.t.Context(), &Request{Kind: KindChat, RequestID: id, Body: []byte("prompt of " + id)})
	if err != nil {
		r.t.Fatalf("Open(%s): %v", id, err)
	}
	return s
}

// readAll returns the payloads up to the end of the stream.
func readAll(ctx context.Context, s *Stream) ([]string, error) {
	var got []string
	for {
		p, err := s.Recv(ctx)
		if err != nil {
			return got, err
		}
		got = append(got, string(p))
	}
}
