package dialect

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveRaw runs answer for each connection to a loopback listener, after the head of its first
// request. It returns the URL of the listener.
func serveRaw(t *testing.T, answer func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the listener was closed
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards against a part of an answer that passes for the whole, because the service resets
// the connection while the body of the request is being written.
func TestServiceResetDuringUpload(t *testing.T) {
	url := serveRaw(t, func(conn *net.TCPConn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		conn.SetLinger(0)
	})
	service, complete := NewHTTPService(url, nil), 0
	const calls = 200
	for range calls {
		_, err := service.Call(t.Context(), ServiceRequest{Method: http.MethodPost, Path: "/", Body: make([]byte, 3<<20)})
		if err == nil {
			complete++
		} else if errors.Is(err, ErrRefusedConnection) {
			t.Fatalf("a call that may have run counts as refused: %v", err)
		}
	}
	if complete > 0 {
		t.Errorf("%d of %d parts passed for whole answers", complete, calls)
	}
}

// Guards against the loss of a whole answer that comes before the request has been read.
func TestServiceAnswersDuringUpload(t *testing.T) {
	url := serveRaw(t, func(conn *net.TCPConn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
		conn.CloseWrite()
		time.Sleep(100 * time.Millisecond)
		io.Copy(io.Discard, conn)
	})
	r, err := NewHTTPService(url, nil).Call(t.Context(), ServiceRequest{Method: http.MethodPost, Path: "/", Body: make([]byte, 12<<20)})
	if err != nil || string(r.Body) != "whole" {
		t.Errorf("%q, %v", r.Body, err)
	}
}
