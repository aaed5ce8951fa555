package dialect

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"hyssoploom/internal/fakenet"
	"hyssoploom/internal/intact"
)

// serveRaw starts a server that runs answer for each connection, after the head of its first
// request. It returns its URL.
func serveRaw(t *testing.T, answer func(*net.TCPConn)) string {
	return fakenet.ServeRaw(t, func(conn *net.TCPConn, _ *http.Request) { answer(conn) })
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

// brokenHeads are beginnings of answers that are none. A JSON object follows them.
var brokenHeads = map[string]string{
	"status 000": "HTTP/1.1 000 \r\n\r\n",
	"status 099": "HTTP/1.1 099 Odd\r\n\r\n",
	"status 101": "HTTP/1.1 101 Switching Protocols\r\n\r\n",

	"blank in a name":                "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n",
	"blank before a colon":           "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n",
	"blank in the name of a failure": "HTTP/1.1 503 Service Unavailable\r\nX Odd: 1\r\n\r\n",

	"blank at the start of a name": "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n Content-Length: 2\r\n\r\n",
	"LF at the start of a name":    "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n\nContent-Length: 2\r\n\r\n",
	"LF behind an interim answer":  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Odd: 1\r\n\nContent-Length: 2\r\n\r\n",
}

// Guards against answers with broken heads that are taken for answers of any kind, or for a
// sign that the request did not run.
func TestBrokenHeads(t *testing.T) {
	const body = `{"code":"unavailable","pass":true,"score":1}`
	for name, head := range brokenHeads {
		t.Run(name, func(t *testing.T) {
			url := serveRaw(t, func(conn *net.TCPConn) { io.WriteString(conn, head+body) })
			r, err := NewHTTPService(url, nil).Call(t.Context(), ServiceRequest{Method: http.MethodPost, Path: "/"})
			if !errors.Is(err, intact.ErrBrokenHead) || errors.Is(err, ErrRefusedConnection) {
				t.Errorf("service: %+v, %v", r, err)
			}
			engine := NewHTTPEngine(url, nil)
			_, err = engine.Generate(t.Context(), GenerateRequest{Body: []byte("{}")}, func(Token) error { return nil })
			_, statusErr := engine.Status(t.Context())
			for call, err := range map[string]error{"generate": err, "status": statusErr, "order": engine.Order(t.Context(), Order{})} {
				if !errors.Is(err, intact.ErrBrokenHead) || errors.Is(err, ErrRefusedConnection) || errors.Is(err, ErrOverloaded) {
					t.Errorf("engine, %s: %v", call, err)
				}
			}
			store := NewHTTPStore(url)
			if _, err := store.Get(t.Context(), "k"); !errors.Is(err, ErrUnavailable) || !errors.Is(err, intact.ErrBrokenHead) {
				t.Errorf("read of the store: %v", err)
			}
			if _, err := store.CompareAndSwap(t.Context(), Write{Key: "k"}); !errors.Is(err, ErrUnknownOutcome) || !errors.Is(err, intact.ErrBrokenHead) {
				t.Errorf("write to the store: %v", err)
			}
			rater, err := NewHTTPRater(url, 0)
			if err != nil {
				t.Fatal(err)
			}
			if rating, err := rater.Rate(t.Context(), RateRequest{}); !errors.Is(err, ErrRaterUnavailable) || !errors.Is(err, intact.ErrBrokenHead) {
				t.Errorf("rater: %+v, %v", rating, err)
			}
		})
	}
}
