package gateway_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"hyssoploom/platform/fake"
)

// serviceOf returns the service of a route of configuration.
func serviceOf(path string) string {
	if strings.HasPrefix(path, "/look/") || strings.HasPrefix(path, "/book/") {
		return "app"
	}
	return "llm"
}

// routesWithWholeAnswer are a route of each kind with the whole answer of their servers.
var routesWithWholeAnswer = []struct{ path, whole string }{
	{"/look/a", "the whole body"}, {"/book/a", "the whole body"}, {"/draft/a", events(1, 6)}, {"/once/a", events(1, 6)},
}

// startForUploads starts an entry that accepts bodies of maxBody, with the given servers of
// the service of a route.
func startForUploads(t *testing.T, path string, servers ...*fake.BackendServer) *entry {
	t.Helper()
	store := fake.NewStore(t)
	c := configuration(1)
	c["limits"].(map[string]any)["maxBodyBytes"] = maxBody
	store.Put("op/config", c)
	register(store, serviceOf(path), ownDC, servers...)
	e := start(t, store, "e1")
	e.awaitServers(len(servers))
	return e
}

// Guards against a part of an answer that reaches the client as a whole one, because its
// server resets the connection while it is sent the request.
func TestAnswersResetDuringUpload(t *testing.T) {
	for _, c := range routesWithWholeAnswer {
		t.Run(c.path, func(t *testing.T) {
			broken := fake.NewEarlyBackendServer(t, "i-1", func(conn net.Conn, r fake.Request) bool {
				if r.Target == "/report" {
					return fake.Respond(200, "{}")(conn, r)
				}
				fake.WriteHeader(conn, r, streamHeader)
				io.WriteString(conn, c.whole[:len(c.whole)/2]) // whole events of a stream
				conn.(*net.TCPConn).SetLinger(0)
				return false
			})
			e := startForUploads(t, c.path, broken)
			upload := strings.Repeat("x", 3<<20)
			for range 30 {
				a := e.send("POST", c.path, upload, "X-Model", "small")
				if a.status == 200 && a.err == nil {
					t.Fatalf("%q is delivered as a whole answer", a.body)
				}
			}
			if len(broken.Requests()) < 30 {
				t.Errorf("the server got %d requests", len(broken.Requests()))
			}
		})
	}
}

// Guards against the loss of a whole answer that comes while its server is still sent the
// request.
func TestWholeAnswersDuringUpload(t *testing.T) {
	for _, c := range routesWithWholeAnswer {
		t.Run(c.path, func(t *testing.T) {
			e := startForUploads(t, c.path, fake.NewEarlyBackendServer(t, "i-1", func(conn net.Conn, r fake.Request) bool {
				if r.Target == "/report" {
					return fake.Respond(200, "{}")(conn, r)
				}
				fake.WriteHeader(conn, r, streamHeader)
				io.WriteString(conn, c.whole)
				conn.(*net.TCPConn).CloseWrite()
				time.Sleep(50 * time.Millisecond)
				io.Copy(io.Discard, conn)
				return false
			}))
			for range 5 {
				a := e.send("POST", c.path, strings.Repeat("x", maxBody), "X-Model", "small")
				if a.status != 200 || a.err != nil || a.body != c.whole {
					t.Fatalf("status %d, %q, %v", a.status, a.body, a.err)
				}
			}
		})
	}
}
