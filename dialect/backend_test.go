package dialect

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

const (
	chunkA    = `data: {"choices":[{"delta":{"content":"a "}}]}` + "\n\n"
	chunkB    = `data: {"choices":[{"delta":{"content":"b "}}],"usage":{"prompt_tokens":3,"completion_tokens":2}}` + "\n\n"
	chunkStop = `data: {"choices":[{"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":2}}` + "\n\n"
	chunkDone = "data: [DONE]\n\n"
)

// TestGenerateAnswers guards against a truncated stream that is reported as
// complete, and against wrong token counts.
func TestGenerateAnswers(t *testing.T) {
	cases := []struct {
		name, body string
		err        error
		text       string
		usage      Usage
	}{
		{"complete", chunkA + chunkB + chunkStop + chunkDone, nil, "a b ", Usage{3, 2}},
		{"comments and event names", ": ping\n\nevent: x\n" + chunkA + chunkB + chunkStop + chunkDone, nil, "a b ", Usage{3, 2}},
		{"empty", "", ErrTruncated, "", Usage{}},
		{"no end mark", chunkA + chunkB + chunkStop, ErrTruncated, "a b ", Usage{3, 2}},
		{"end mark without finish reason", chunkA + chunkDone, ErrTruncated, "a ", Usage{0, 1}},
		{"usage only at the end is counted from chunks", chunkA + chunkA, ErrTruncated, "a a ", Usage{0, 2}},
		{"malformed chunk", chunkA + "data: {\n\n", ErrTruncated, "a ", Usage{0, 1}},
		{"error chunk", chunkA + `data: {"error":{"message":"out of memory"}}` + "\n\n" + chunkDone, ErrTruncated, "a ", Usage{0, 1}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			url := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, tc.body) })
			text := ""
			g, err := NewHTTPEngine(url, nil).Generate(context.Background(), GenerateRequest{Body: []byte("{}")},
				func(tok Token) error { text += tok.Text; return nil })
			if !errors.Is(err, tc.err) || text != tc.text || g.Usage != tc.usage {
				t.Errorf("got %q, %+v, %v", text, g.Usage, err)
			}
		})
	}
}

// TestEngineSendsWithoutEnd guards against an engine whose head, load report or comments
// go on until the caller's deadline.
func TestEngineSendsWithoutEnd(t *testing.T) {
	forever := func(block string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := io.WriteString(w, block); err != nil {
					return
				}
			}
		}
	}
	bigHead := func(w http.ResponseWriter, _ *http.Request) {
		for i := range 2000 {
			w.Header().Set(fmt.Sprintf("X-%d", i), strings.Repeat("a", 100))
		}
	}
	for name, h := range map[string]http.HandlerFunc{
		"comments": forever(": ping\n\n"), "empty lines": forever("\n\n\n\n"), "line": forever("aaaaaaaa"), "head": bigHead,
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		_, err := NewHTTPEngine(serve(t, h), nil).Generate(ctx, GenerateRequest{Body: []byte("{}")}, func(Token) error { return nil })
		if err == nil || ctx.Err() != nil {
			t.Errorf("%s: error %v, context %v", name, err, ctx.Err())
		}
	}
	for name, h := range map[string]http.HandlerFunc{"load report": forever(" "), "head of a load report": bigHead} {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		if _, err := NewHTTPEngine(serve(t, h), nil).Status(ctx); err == nil || ctx.Err() != nil {
			t.Errorf("%s: error %v, context %v", name, err, ctx.Err())
		}
	}
}

// TestGenerateStops guards against a client that keeps reading, or drops the
// error, after emit has failed, and against one that ignores its deadline.
func TestGenerateStops(t *testing.T) {
	left := make(chan struct{}, 2)
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, chunkB)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		left <- struct{}{}
	})
	engine, failed := NewHTTPEngine(url, nil), errors.New("caller left")
	g, err := engine.Generate(context.Background(), GenerateRequest{Body: []byte("{}")}, func(Token) error { return failed })
	if !errors.Is(err, failed) || g.Usage.TokensOut != 2 {
		t.Errorf("emit failed: got %+v, %v", g, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	g, err = engine.Generate(ctx, GenerateRequest{Body: []byte("{}")}, func(Token) error { return nil })
	if !errors.Is(err, context.DeadlineExceeded) || g.Usage.TokensOut != 2 {
		t.Errorf("deadline: got %+v, %v", g, err)
	}
	for range 2 {
		select {
		case <-left:
		case <-time.After(5 * time.Second):
			t.Fatal("the connection to the engine was not closed")
		}
	}
}

// TestEngineBody guards against a caller that sets the fields controlled by
// hyssoploom, and against dropped or changed fields of the caller.
func TestEngineBody(t *testing.T) {
	body, err := buildEngineBody(GenerateRequest{Model: "m", Version: "2", Priority: 3,
		Body: []byte(`{"model":"x","stream":false,"priority":99,"resume_from":5,"resume_text":"t","seed":12345678901234567890,"messages":[]}`)})
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]json.RawMessage
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{"model": `"m@2"`, "stream": "true", "priority": "3", "resume_from": "",
		"resume_text": "", "seed": "12345678901234567890", "messages": "[]"} {
		if string(got[name]) != want {
			t.Errorf("%s: got %s, want %s", name, got[name], want)
		}
	}
	for _, bad := range []string{"", "null", "[]", "{"} {
		if _, err := buildEngineBody(GenerateRequest{Body: []byte(bad)}); !errors.Is(err, ErrBadBody) {
			t.Errorf("body %q: got %v", bad, err)
		}
	}
}

// TestServiceCall guards against a redirect that runs a request twice, a
// truncated response that is reported as complete, and forwarded credentials.
func TestServiceCall(t *testing.T) {
	var paths []string
	var header http.Header
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		paths, header = append(paths, r.URL.RequestURI()), r.Header
		switch r.URL.Path {
		case "/redirect":
			http.Redirect(w, r, "/target", http.StatusTemporaryRedirect)
		case "/cut":
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "short")
		}
	})
	service := NewHTTPService(url+"/", nil)
	call := func(path string) (ServiceResponse, error) {
		return service.Call(context.Background(), ServiceRequest{RequestID: "r", Workspace: "w", Method: http.MethodPost, Path: path,
			Header: http.Header{"Authorization": {"Bearer k"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Keep": {"1"}}})
	}
	if r, err := call("/redirect?a=1"); err != nil || r.Status != http.StatusTemporaryRedirect {
		t.Errorf("redirect: got %+v, %v", r, err)
	}
	if r, err := call("cut"); err == nil || errors.Is(err, ErrRefusedConnection) {
		t.Errorf("truncated response: got %+v, %v", r, err)
	}
	if got := strings.Join(paths, " "); got != "/redirect?a=1 /cut" {
		t.Errorf("calls: %s", got)
	}
	if header.Get("Authorization") != "" || header.Get("X-Hop") != "" || header.Get("X-Keep") != "1" ||
		header.Get("X-Request-Id") != "r" || header.Get("X-Workspace") != "w" {
		t.Errorf("header: %v", header)
	}
}

// Guards against a response that is reported as complete although its service was killed
// in the middle of it: only the end of the connection ends it.
func TestServiceThatEndsWithItsResponse(t *testing.T) {
	for _, ends := range []bool{false, true} {
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
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					if ends {
						listener.Close()
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody")
				}
				conn.Close()
			}
		}()
		r, err := NewHTTPService("http://"+listener.Addr().String(), nil).Call(t.Context(), ServiceRequest{Method: http.MethodPost, Path: "/"})
		if (err != nil) != ends || errors.Is(err, ErrRefusedConnection) || !ends && string(r.Body) != "body" {
			t.Errorf("service ends: %v, got %q, %v", ends, r.Body, err)
		}
	}
}
