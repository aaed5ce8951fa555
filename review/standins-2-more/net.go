package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func readResponse(conn net.Conn, method string) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
}

// link is a proxy on the way to a target. While it is cut, no byte, no end of a channel and no
// new channel passes; all of them are held up, and pass when it is whole again.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	whole chan struct{} // closed when the link is whole
	open  map[net.Conn]struct{}
	// refuses means that the target is down: channels are reset.
	refuses bool
}

func newLink(target string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	l := &link{listener: listener, target: target, whole: make(chan struct{}), open: make(map[net.Conn]struct{})}
	close(l.whole)
	go l.accept()
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.cut {
		return
	}
	l.cut = cut
	if cut {
		l.whole = make(chan struct{})
	} else {
		close(l.whole)
	}
}

// setRefuses makes the link reset all channels, also new ones, or pass them again.
func (l *link) setRefuses(refuses bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuses = refuses
	if refuses {
		for conn := range l.open {
			reset(conn)
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	conn.Close()
}

func (l *link) awaitWhole() {
	l.mu.Lock()
	whole := l.whole
	l.mu.Unlock()
	<-whole
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(conn)
	}
}

func (l *link) relay(down net.Conn) {
	l.mu.Lock()
	refuses := l.refuses
	l.open[down] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.open, down)
		l.mu.Unlock()
		down.Close()
	}()
	if refuses {
		reset(down)
		return
	}
	l.awaitWhole()
	up, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		reset(down)
		return
	}
	defer up.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copy(up, down)
	}()
	l.copy(down, up)
	<-done
}

// copy passes on bytes and the end of a channel, or its reset.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.awaitWhole()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		switch {
		case err == nil:
		case err == io.EOF:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // fails only if the connection has ended
			}
			return
		default:
			reset(to)
			return
		}
	}
}
