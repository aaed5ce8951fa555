package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// LoopbackServer serves a stand-in over HTTP on a loopback address. It can refuse
// TCP connections.
type LoopbackServer struct {
	handler http.Handler
	addr    string

	mu     sync.Mutex
	server *http.Server // nil while connections are refused
}

// ListenLoopback serves h on addr; port 0 selects a free port.
func ListenLoopback(addr string, h http.Handler) (*LoopbackServer, error) {
	s := &LoopbackServer{handler: h, addr: addr}
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

// Addr returns the host and port, which stay the same when connections are
// refused and accepted again.
func (s *LoopbackServer) Addr() string { return s.addr }

// URL returns the base URL.
func (s *LoopbackServer) URL() string { return "http://" + s.addr }

// Refuse closes the listener and all connections, or opens the listener again.
func (s *LoopbackServer) Refuse(refuse bool) error {
	if refuse {
		return s.Close()
	}
	return s.listen()
}

// Close closes the listener and all connections.
func (s *LoopbackServer) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return nil
	}
	err := s.server.Close()
	s.server = nil
	return err
}

func (s *LoopbackServer) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("listen for stand-in: %w", err)
	}
	s.addr = l.Addr().String()
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	go func(srv *http.Server) { _ = srv.Serve(l) }(s.server)
	return nil
}
