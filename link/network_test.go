package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/phuslu/log"

	"hyssoploom/internal/fakenet"
)

// Short names for the faults of the tests.
const (
	toServer  = fakenet.ToServer
	toClient  = fakenet.ToClient
	pass      = fakenet.Pass
	drop      = fakenet.Drop
	cut       = fakenet.Cut
	duplicate = fakenet.Duplicate
	hold      = fakenet.Reorder
)

type (
	network   = fakenet.Network
	frameRule = fakenet.Rule
	direction = fakenet.Direction
	action    = fakenet.Action
)

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
	return newRigOn(t, fakenet.New(nil), handler, configure...)
}

func newRigOn(t *testing.T, n *network, handler func(ctx context.Context, in *Incoming), configure ...func(*ClientConfig, *ServerConfig)) *rig {
	r := &rig{t: t, net: n, runs: map[streamKey]int{}}
	cc := ClientConfig{Hello: Hello{Name: "entry-1", BootID: "e1"}, Expect: "gpu-1", FleetKey: testKey, Logger: quiet, Dial: r.net.Dial,
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
		r.net.CloseAll()
		<-clientDone
		r.stopServer()
	})
	return r
}

func (r *rig) startServer() {
	ctx, cancel := context.WithCancel(r.t.Context())
	served := make(chan error, 1)
	r.stop, r.served = cancel, served
	server, l := r.server, r.net.Listen()
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
