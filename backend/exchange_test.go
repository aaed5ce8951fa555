package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serve runs handle for each connection of a listener on loopback.
func serve(t *testing.T, handle func(conn net.Conn, n int)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn, n)
			}()
		}
	}()
	return listener.Addr().String()
}

// readHead reads up to the end of a request's head.
func readHead(conn net.Conn) bool {
	var head []byte
	one := make([]byte, 1)
	for !strings.HasSuffix(string(head), "\r\n\r\n") {
		if _, err := conn.Read(one); err != nil {
			return false
		}
		head = append(head, one[0])
	}
	return true
}

func get(id string) *Request {
	return &Request{
		Method: "GET", Target: "/x", Host: "h", Header: http.Header{"X-Id": {id}},
		MatchesResponse: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

func okAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func exchange(t *testing.T, p *Pool, address string, r *Request) (string, error) {
	t.Helper()
	answer, err := p.Exchange(t.Context(), address, 0, r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

// Guards against connections that are not kept, at the cost of one per request.
func TestConnectionIsReused(t *testing.T) {
	address := serve(t, func(conn net.Conn, _ int) {
		for readHead(conn) {
			io.WriteString(conn, okAnswer("1", "hi"))
		}
	})
	p := NewPool()
	for range 5 {
		if body, err := exchange(t, p, address, get("1")); body != "hi" || err != nil {
			t.Fatalf("%q, %v", body, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if p.Dials() != 1 {
		t.Errorf("%d connections for 5 requests", p.Dials())
	}
	p.Retain(func(string) bool { return false })
	if _, err := exchange(t, p, address, get("1")); err != nil || p.Dials() != 2 {
		t.Errorf("after the server left the list: %d connections, %v", p.Dials(), err)
	}
}

// Guards against a request on a connection that the server has closed or on
// which bytes of another answer wait.
func TestIdleConnectionThatChanged(t *testing.T) {
	for name, after := range map[string]string{"closed": "", "extra answer": okAnswer("0", "late")} {
		address := serve(t, func(conn net.Conn, n int) {
			for readHead(conn) {
				io.WriteString(conn, okAnswer("1", "hi"))
				if n == 1 {
					time.Sleep(30 * time.Millisecond)
					io.WriteString(conn, after)
					if after == "" {
						return
					}
				}
			}
		})
		p := NewPool()
		for range 2 {
			if body, err := exchange(t, p, address, get("1")); body != "hi" || err != nil {
				t.Errorf("%s: %q, %v", name, body, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if p.Dials() != 2 {
			t.Errorf("%s: %d connections", name, p.Dials())
		}
	}
}

// Guards against a lost answer that counts as not sent, and a refused connection
// that counts as sent.
func TestWhatWasSent(t *testing.T) {
	address := serve(t, func(conn net.Conn, _ int) { readHead(conn) })
	p := NewPool()
	if _, err := exchange(t, p, address, get("1")); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("a lost answer: %v", err)
	}
	if _, err := exchange(t, p, "127.0.0.1:1", get("1")); !errors.Is(err, ErrNotSent) {
		t.Errorf("a refused connection: %v", err)
	}
}

// Guards against more connections than a server takes.
func TestConnectionLimit(t *testing.T) {
	address := serve(t, func(conn net.Conn, _ int) {
		readHead(conn)
		time.Sleep(time.Second)
	})
	p := NewPool()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 2 {
		go p.Exchange(ctx, address, 2, get("1"))
	}
	for end := time.Now().Add(5 * time.Second); p.Dials() < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if _, err := p.Exchange(t.Context(), address, 2, get("1")); !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrNoConnection) {
		t.Errorf("a third connection: %v", err)
	}
}

// Guards against answers that end early and count as whole.
func TestIncompleteAnswers(t *testing.T) {
	reset := func(conn net.Conn) { conn.(*net.TCPConn).SetLinger(0) }
	for _, c := range []struct {
		name, answer string
		end          func(net.Conn)
		body         string
		whole        bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nabc", nil, "abc", false},
		{"chunked", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", nil, "abc", false},
		{"to the end, closed", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc", nil, "abc", true},
		{"to the end, reset", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc", reset, "", false},
		{"no answer", "nonsense\r\n\r\n", nil, "", false},
	} {
		address := serve(t, func(conn net.Conn, _ int) {
			readHead(conn)
			io.WriteString(conn, c.answer)
			if c.end != nil {
				time.Sleep(50 * time.Millisecond)
				c.end(conn)
			}
		})
		body, err := exchange(t, NewPool(), address, get("1"))
		if (err == nil) != c.whole || c.body != "" && body != c.body {
			t.Errorf("%s: %q, %v", c.name, body, err)
		}
	}
}

// Guards against bytes in the place where the rest of a long body is due, after
// a server that answers early.
func TestEarlyAnswer(t *testing.T) {
	const size = 8 << 20
	got := make(chan string, 2)
	address := serve(t, func(conn net.Conn, n int) {
		readHead(conn)
		io.WriteString(conn, okAnswer("1", "early"))
		time.Sleep(100 * time.Millisecond)
		rest, _ := io.ReadAll(conn)
		got <- string(rest)
	})
	p := NewPool()
	long := get("1")
	long.Method, long.Body = "POST", []byte(strings.Repeat("a", size))
	if body, err := exchange(t, p, address, long); body != "early" || err != nil {
		t.Fatalf("%q, %v", body, err)
	}
	if _, err := exchange(t, p, address, get("1")); err != nil {
		t.Error(err)
	}
	if rest := <-got; strings.Trim(rest, "a") != "" {
		t.Errorf("other bytes follow the body")
	}
	if p.Dials() != 2 {
		t.Errorf("%d connections", p.Dials())
	}
}

// Guards against a server that works on after its caller has left.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address := serve(t, func(conn net.Conn, _ int) {
		readHead(conn)
		io.ReadAll(conn)
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := NewPool().Exchange(ctx, address, 0, get("1")); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection stays open")
	}
}

// Guards against requests that cross the close of a connection whose server
// names its limit.
func TestIdleLimit(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": defaultIdle, "timeout=5": 5*time.Second - idleMargin, "max=9, timeout=2": 2*time.Second - idleMargin,
		"timeout=x": defaultIdle,
	} {
		if got := idleLimit(header); got != want {
			t.Errorf("%q: %v, want %v", header, got, want)
		}
	}
}
