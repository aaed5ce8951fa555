package backend

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// part is the beginning of an answer that has neither a length nor chunks.
const part = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart"

// Guards against a part of an answer that passes for the whole, because the server resets the
// connection while the body of the request is being written.
func TestAnswerResetDuringUpload(t *testing.T) {
	for _, bytes := range []int{40 << 10, 400 << 10, 3 << 20} {
		for _, pause := range []time.Duration{0, 2 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d bytes, %v", bytes, pause), func(t *testing.T) {
				t.Parallel()
				address := serve(t, func(conn net.Conn, _ int) {
					readHead(conn)
					io.WriteString(conn, part)
					time.Sleep(pause)
					conn.(*net.TCPConn).SetLinger(0)
				})
				p, complete := NewPool(Config{}), 0
				const exchanges = 100
				for range exchanges {
					if _, err := exchange(t, p, address, postRequest("1", bytes)); err == nil {
						complete++
					}
				}
				if complete > 0 {
					t.Errorf("%d of %d parts passed for whole answers", complete, exchanges)
				}
			})
		}
	}
}

// Guards against the loss of a whole answer that comes before the request has been read, or
// its delay until then.
func TestWholeAnswerDuringUpload(t *testing.T) {
	for _, c := range []struct {
		name string
		// end is what the server does after its answer; delivered is closed when the client has
		// it.
		end func(conn *net.TCPConn, delivered <-chan struct{})
	}{
		{"reads on", func(conn *net.TCPConn, _ <-chan struct{}) { io.Copy(io.Discard, conn) }},
		{"reads on late", func(conn *net.TCPConn, delivered <-chan struct{}) { <-delivered; io.Copy(io.Discard, conn) }},
		{"resets", func(conn *net.TCPConn, _ <-chan struct{}) { conn.SetLinger(0) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			delivered := make(chan struct{})
			address := serve(t, func(conn net.Conn, _ int) {
				readHead(conn)
				io.WriteString(conn, part)
				conn.(*net.TCPConn).CloseWrite()
				c.end(conn.(*net.TCPConn), delivered)
			})
			late := time.AfterFunc(10*time.Second, func() { t.Error("the answer waits for the upload") })
			if body, err := exchange(t, NewPool(Config{}), address, postRequest("1", largeBody)); body != "part" || err != nil {
				t.Errorf("%q, %v", body, err)
			}
			late.Stop()
			close(delivered)
		})
	}
}

// brokenStatuses are status codes that are no answer and none to wait behind.
var brokenStatuses = []string{"000", "099", "+20", "-00", "101"}

// Guards against bytes behind a status that is no answer which are read as the answer.
func TestBrokenStatus(t *testing.T) {
	for _, status := range brokenStatuses {
		for name, rest := range map[string]string{
			"length": "Content-Length: 2\r\n\r\nno", "no body": "Content-Length: 0\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", "neither": "\r\n",
		} {
			address := serve(t, func(conn net.Conn, _ int) {
				readHead(conn)
				io.WriteString(conn, "HTTP/1.1 "+status+" \r\nX-Id: 1\r\n"+rest+okResponse("1", "behind"))
			})
			body, err := exchange(t, NewPool(Config{}), address, getRequest("1"))
			if !errors.Is(err, ErrMalformedResponse) || errors.Is(err, ErrNotSent) {
				t.Errorf("%s, %s: %q, %v", status, name, body, err)
			}
		}
	}
}

// Guards against an answer whose lines are not understood as the fields that they name, and
// against the loss of one behind an interim answer whose fields do not count.
func TestBrokenNames(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	for _, c := range []struct {
		name, bytes string
		broken      bool
	}{
		{"blank", head + "X Odd: 1\r\nContent-Length: 2\r\n\r\nhi", true},
		{"blank before a colon", head + "X-Odd : 1\r\nContent-Length: 2\r\n\r\nhi", true},
		{"length", head + "Content-Length : 2\r\n\r\nhi", true},
		{"chunks", head + "Transfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", true},
		{"length of an answer to another request", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length : 2\r\nContent-Length: 0\r\n\r\n" + okResponse("1", "hi"), true},
		{"interim answer", "HTTP/1.1 103 Early Hints\r\nX Odd : 1\r\n\r\n" + okResponse("1", "hi"), false},
	} {
		address := serve(t, func(conn net.Conn, _ int) {
			readHead(conn)
			io.WriteString(conn, c.bytes)
		})
		body, err := exchange(t, NewPool(Config{}), address, getRequest("1"))
		if errors.Is(err, ErrMalformedResponse) != c.broken || errors.Is(err, ErrNotSent) || !c.broken && body != "hi" {
			t.Errorf("%s: %q, %v", c.name, body, err)
		}
	}
}
