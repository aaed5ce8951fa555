package gateway_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssoploom/gateway"
	"hyssoploom/platform/fake"
	"hyssoploom/settings"
	"hyssoploom/telemetry"
)

const (
	// requestMemory is the memory that the entry of startWithBodies has for bodies. Large
	// ones may take three quarters, a single workspace half of these.
	requestMemory = 16 << 20
	maxBody       = 4 << 20
	// maxOwnBodies is the number of bodies of maxBody that fit for one workspace.
	maxOwnBodies = 2
	otherKey     = "key-2"
)

// startWithBodies starts an entry that accepts bodies of maxBody. Its only backend server
// works on a request until release is closed, unless its path ends with "/quick".
func startWithBodies(t *testing.T) (e *entry, server *fake.BackendServer, memory func() int64, release chan struct{}) {
	t.Helper()
	store := fake.NewStore(t)
	c := configuration(1)
	c["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	c["tenants"] = []any{
		map[string]any{"name": workspace, "apiKeys": []string{key}, "priority": 4},
		map[string]any{"name": "other", "apiKeys": []string{otherKey}, "priority": 4},
	}
	for _, r := range c["routes"].([]any) {
		r.(map[string]any)["timeoutMs"] = 10_000
	}
	store.Put("op/config", c)
	release = make(chan struct{})
	server = fake.NewBackendServer(t, "i-1", func(conn net.Conn, r fake.Request) bool {
		if !strings.HasSuffix(r.Target, "/quick") {
			<-release
		}
		return fake.Respond(200, "answer")(conn, r)
	})
	register(store, "app", ownDC, server)
	var metrics *telemetry.Metrics
	e = startAt(t, store, "e1", ownDC, func(_ *settings.Gateway, d *gateway.Deps) { metrics = d.Metrics })
	e.awaitServers(1)
	return e, server, func() int64 { return requestMemoryOf(t, metrics) }, release
}

// requestMemoryOf returns the bytes that the bodies of requests hold.
func requestMemoryOf(t *testing.T, m *telemetry.Metrics) int64 {
	t.Helper()
	recorder := httptest.NewRecorder()
	m.ServeHTTP(recorder, nil)
	var metrics struct {
		Hyssoploom struct {
			Bytes *int64 `json:"request_memory_bytes"`
		}
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &metrics); err != nil || metrics.Hyssoploom.Bytes == nil {
		t.Fatalf("no memory of requests in %s: %v", recorder.Body, err)
	}
	return *metrics.Hyssoploom.Bytes
}

// Guards against many large bodies that together exceed the memory of the entry, and that
// make it turn away small requests or the first large ones of another workspace.
func TestLargeBodiesHaveOneBound(t *testing.T) {
	e, _, memory, release := startWithBodies(t)
	body := strings.Repeat("x", maxBody)
	var mu sync.Mutex
	var senders sync.WaitGroup
	statuses := make(map[int]int)
	for range 40 {
		senders.Go(func() {
			r := e.send("POST", "/look/slow", body, "X-Deadline-Ms", "9000")
			mu.Lock()
			defer mu.Unlock()
			statuses[r.status]++
			if r.status == http.StatusServiceUnavailable && (r.header.Get("Retry-After") == "" || !strings.Contains(r.body, `"not_run"`) ||
				!strings.Contains(r.body, `"request_memory"`)) {
				t.Errorf("rejected with %v, %s", r.header, r.body)
			}
		})
	}
	eventually(t, "all but the requests that fit are rejected", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return statuses[http.StatusServiceUnavailable] == 40-maxOwnBodies
	})
	if n := memory(); n != maxOwnBodies*maxBody || n > requestMemory {
		t.Errorf("%d bytes are held", n)
	}
	var others sync.WaitGroup
	for _, k := range []string{key, otherKey} {
		others.Go(func() {
			for range 20 {
				if r := e.send("POST", "/look/quick", "small", "X-Key", k); r.status != http.StatusOK {
					t.Errorf("small request of %s: status %d, %s", k, r.status, r.body)
				}
			}
		})
	}
	others.Go(func() {
		if r := e.send("POST", "/look/quick", body, "X-Key", otherKey, "X-Deadline-Ms", "9000"); r.status != http.StatusOK {
			t.Errorf("first large request of another workspace: status %d, %s", r.status, r.body)
		}
	})
	others.Wait()
	close(release)
	senders.Wait()
	if statuses[http.StatusOK] != maxOwnBodies {
		t.Errorf("statuses %v", statuses)
	}
	eventually(t, "the memory is given back", func() bool { return memory() == 0 })
	if r := e.send("POST", "/look/quick", body, "X-Deadline-Ms", "9000"); r.status != http.StatusOK {
		t.Errorf("afterwards: status %d, %s", r.status, r.body)
	}
}

// Guards against a request that waits for its body before it is rejected, against a rejection
// that does not reach the client, and against memory that slow or unfinished bodies keep.
func TestBodiesOfAllForms(t *testing.T) {
	e, _, memory, release := startWithBodies(t)
	defer close(release)
	head := func(deadline int, more string) string {
		return fmt.Sprintf("POST /look/quick HTTP/1.1\r\nHost: %s\r\nX-Request-Id: r\r\nX-Key: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n\r\n", host, key, deadline, more)
	}
	sized := func(n int) string { return fmt.Sprintf("Content-Length: %d", n) }
	const chunked, expect = "Transfer-Encoding: chunked", "\r\nExpect: 100-continue"
	chunks := func(n int) string {
		return strings.Repeat("10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n", n>>16) + "0\r\n\r\n"
	}
	for _, c := range []struct {
		name  string
		full  bool // the workspace has no memory left
		send  string
		more  io.Reader // sent after send, while the response is awaited
		first string    // begin of the response
		// within is the longest time until the response.
		within time.Duration
	}{
		{"whole", false, head(9000, sized(maxBody)), strings.NewReader(strings.Repeat("x", maxBody)), "HTTP/1.1 200", 5 * time.Second},
		{"whole, chunked", false, head(9000, chunked), strings.NewReader(chunks(maxBody)), "HTTP/1.1 200", 5 * time.Second},
		{"whole, expected", false, head(9000, sized(maxBody)+expect), strings.NewReader(strings.Repeat("x", maxBody)), "HTTP/1.1 100", 5 * time.Second},
		{"too long", false, head(9000, sized(maxBody+1)), nil, "HTTP/1.1 413", time.Second},
		{"too long, chunked", false, head(9000, chunked), strings.NewReader(chunks(maxBody + 1<<16)), "HTTP/1.1 413", 5 * time.Second},
		{"too long, expected", false, head(9000, sized(maxBody+1)+expect), nil, "HTTP/1.1 413", time.Second},
		{"never finished", false, head(700, sized(maxBody)), strings.NewReader("begin"), "HTTP/1.1 408", 3 * time.Second},
		{"never finished, chunked", false, head(700, chunked), strings.NewReader("5\r\nbegin\r\n"), "HTTP/1.1 408", 3 * time.Second},
		{"slow", false, head(700, sized(100_000)), &slowReader{}, "HTTP/1.1 408", 3 * time.Second},
		{"shorter than stated, then closed", false, head(9000, sized(100)), closing{strings.NewReader("begin")}, "HTTP/1.1 400", time.Second},
		{"no memory", true, head(9000, sized(maxBody)), nil, "HTTP/1.1 503", time.Second},
		{"no memory, whole body is sent", true, head(9000, sized(maxBody)), strings.NewReader(strings.Repeat("x", maxBody)), "HTTP/1.1 503", 2 * time.Second},
		{"no memory, slow", true, head(9000, sized(100_000)), &slowReader{}, "HTTP/1.1 503", time.Second},
		{"no memory, expected", true, head(9000, sized(maxBody)+expect), nil, "HTTP/1.1 503", time.Second},
		{"no memory, chunked", true, head(9000, chunked), strings.NewReader(chunks(maxBody)), "HTTP/1.1 503", 2 * time.Second},
		{"no memory, small", true, head(9000, sized(5)), strings.NewReader("hello"), "HTTP/1.1 200", time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.full {
				for n := range maxOwnBodies {
					held := e.holdMemory(t)
					defer held.Close()
					eventually(t, "the memory is held", func() bool { return memory() == int64(n+1)*maxBody })
				}
			}
			conn, err := net.Dial("tcp", strings.TrimPrefix(e.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			begun := time.Now()
			go func() {
				_, _ = io.WriteString(conn, c.send)
				if c.more != nil {
					_, _ = io.Copy(conn, c.more) // the entry may close the connection
				}
				if _, closes := c.more.(closing); closes {
					_ = conn.(*net.TCPConn).CloseWrite()
				}
			}()
			_ = conn.SetReadDeadline(time.Now().Add(8 * time.Second))
			line, err := bufio.NewReader(conn).ReadString('\n')
			if took := time.Since(begun); err != nil || !strings.HasPrefix(line, c.first) || took > c.within {
				t.Errorf("%q, %v after %v, want %s within %v", line, err, took, c.first, c.within)
			}
			conn.Close()
		})
		eventually(t, "the memory is given back after: "+c.name, func() bool { return memory() == 0 })
	}
}

// holdMemory sends the head and the begin of a large body, whose memory is held until the
// connection is closed.
func (e *entry) holdMemory(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST /look/quick HTTP/1.1\r\nHost: %s\r\nX-Request-Id: h\r\nX-Key: %s\r\nX-Deadline-Ms: 9000\r\nContent-Length: %d\r\n\r\nbegin", host, key, maxBody)
	return conn
}

// slowReader sends a byte every 50 ms.
type slowReader struct{}

func (*slowReader) Read(p []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return copy(p, "x"), nil
}

// closing marks a body after which the client closes its side of the connection.
type closing struct{ io.Reader }

// Guards against bodies of unknown length that are changed while their buffer grows.
func TestChunkedBodyIsForwarded(t *testing.T) {
	e, server, _, release := startWithBodies(t)
	defer close(release)
	for _, size := range []int{1, 4 << 10, 4<<10 + 1, 100_000, maxBody - 1, maxBody} {
		body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		request, err := http.NewRequest("POST", e.URL+"/look/quick", io.MultiReader(bytes.NewReader(body)))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = host
		request.Header.Set("X-Request-Id", fmt.Sprintf("chunked-%d", size))
		request.Header.Set("X-Key", key)
		request.Header.Set("X-Deadline-Ms", "9000")
		if r := do(t, request); r.status != http.StatusOK {
			t.Errorf("%d bytes: status %d, %s, %v", size, r.status, r.body, r.err)
		}
		requests := server.Requests()
		if got := requests[len(requests)-1].Body; got != string(body) {
			t.Errorf("%d bytes: %d bytes reached the server, or others", size, len(got))
		}
	}
}
