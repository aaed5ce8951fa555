package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/phuslu/log"

	"hyssoploom/internal/fakenet"
)

// Short names for the identifiers of fakenet.
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

// harness connects a client and a server through an in-memory network. It must be
// used inside a synctest bubble, and stops both at the end of the test.
type harness struct {
	t      *testing.T
	net    *network
	client *Client
	server *Server
	stop   context.CancelFunc // stops the server
	served chan error         // receives the result of Server.Serve

	mu       sync.Mutex
	runs     map[streamKey]int // handler runs per stream
	eventLog []string          // server callbacks, in order
}

var testKey = []byte("fleet key of the tests")

// discardLogger drops all log lines.
var discardLogger = &log.Logger{Level: log.PanicLevel}

func newHarness(t *testing.T, handler func(ctx context.Context, in *ServerStream), configure ...func(*ClientConfig, *ServerConfig)) *harness {
	return newHarnessOn(t, fakenet.New(nil), handler, configure...)
}

func newHarnessOn(t *testing.T, n *network, handler func(ctx context.Context, in *ServerStream), configure ...func(*ClientConfig, *ServerConfig)) *harness {
	h := &harness{t: t, net: n, runs: map[streamKey]int{}}
	cc := ClientConfig{Hello: Hello{Name: "entry-1", BootID: "e1"}, ExpectedPeer: "gpu-1", FleetKey: testKey, Logger: discardLogger, Dial: h.net.Dial,
		Random: rand.New(rand.NewPCG(1, 2)).Float64}
	sc := ServerConfig{Hello: Hello{Name: "gpu-1", BootID: "a1"}, FleetKey: testKey, Logger: discardLogger,
		OnPeerConnected: func(Hello) { h.recordEvent("connected") },
		OnPeerLost:      func(Hello) { h.recordEvent("lost") },
		Handler: func(ctx context.Context, in *ServerStream) {
			h.mu.Lock()
			h.runs[in.key]++
			h.mu.Unlock()
			handler(ctx, in)
		}}
	for _, f := range configure {
		f(&cc, &sc)
	}
	h.client, h.server = NewClient(cc), NewServer(sc)
	ctx, cancel := context.WithCancel(t.Context())
	clientDone := make(chan struct{})
	go func() { defer close(clientDone); _ = h.client.Serve(ctx) }()
	h.startServer()
	t.Cleanup(func() {
		cancel()
		h.net.CloseAll()
		<-clientDone
		h.stopServer()
	})
	return h
}

func (h *harness) startServer() {
	ctx, cancel := context.WithCancel(h.t.Context())
	served := make(chan error, 1)
	h.stop, h.served = cancel, served
	server, l := h.server, h.net.Listen()
	go func() { served <- server.Serve(ctx, l) }()
}

func (h *harness) stopServer() {
	h.stop()
	<-h.served
}

func (h *harness) recordEvent(event string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.eventLog = append(h.eventLog, event)
}

func (h *harness) events() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.eventLog...)
}

// wantOneRun fails unless a request was executed exactly once.
func (h *harness) wantOneRun(id string) {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := h.runs[streamKey{id, 0}]; n != 1 {
		h.t.Errorf("request %s ran %d times, want once", id, n)
	}
}

func (h *harness) open(id string) *Stream {
	h.t.Helper()
	s, err := h.client.Open(h.t.Context(), &Request{Kind: KindChat, RequestID: id, Body: []byte("prompt of " + id)})
	if err != nil {
		h.t.Fatalf("Open(%s): %v", id, err)
	}
	return s
}

// readAll returns the remaining payloads of the stream and the error that ended it.
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
