package standin

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"hyssoploom/dialect"
)

var testRef = dialect.ModelRef{Model: "draft", Version: "1"}

// startEngine serves an engine stand-in over loopback and returns its client.
func startEngine(t *testing.T, c EngineConfig) (*Engine, *LoopbackServer, *dialect.HTTPEngine) {
	t.Helper()
	if c.Loaded == nil {
		c.Loaded = []dialect.ModelRef{testRef}
	}
	e := NewEngine(c)
	s, err := ListenLoopback("127.0.0.1:0", e.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return e, s, dialect.NewHTTPEngine(s.URL(), nil)
}

func chat(prompt string, tokens int) dialect.GenerateRequest {
	return dialect.GenerateRequest{RequestID: "r1", Model: testRef.Model, Version: testRef.Version,
		Body: fmt.Appendf(nil, `{"model":"x","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)}
}

func generate(c *dialect.HTTPEngine, r dialect.GenerateRequest) (string, dialect.GenerateResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var text strings.Builder
	g, err := c.Generate(ctx, r, func(t dialect.Token) error { text.WriteString(t.Text); return nil })
	return text.String(), g, err
}

// TestEngineOutcomes guards against wrong results of a generation: a truncated
// answer reported as complete, or a request that ran reported as not run.
func TestEngineOutcomes(t *testing.T) {
	full := strings.Join(AnswerTokens("draft", "1", "two words", 6, false), "")
	cases := []struct {
		name      string
		config    EngineConfig
		faults    EngineFaults
		change    func(*dialect.GenerateRequest)
		err       error
		text      string
		tokensOut int64
		ran       int
	}{
		{name: "complete", text: full, tokensOut: 6, ran: 1},
		{name: "truncated", faults: EngineFaults{TruncateAfter: 4}, err: dialect.ErrTruncated,
			text: full[:4*5], tokensOut: 4, ran: 1},
		{name: "bad version", faults: EngineFaults{Bad: []string{"draft@1"}},
			text: full[:5] + "BAD " + full[10:], tokensOut: 6, ran: 1},
		{name: "version not loaded", change: func(r *dialect.GenerateRequest) { r.Version = "9" }, err: dialect.ErrNotLoaded},
		{name: "malformed body", change: func(r *dialect.GenerateRequest) { r.Body = []byte("[]") }, err: dialect.ErrBadBody},
		{name: "resumed", config: EngineConfig{Resumes: true}, text: full[10:], tokensOut: 4, ran: 1,
			change: func(r *dialect.GenerateRequest) { r.ResumeFrom, r.ResumeText = 2, full[:10] }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e, _, client := startEngine(t, tc.config)
			e.SetFaults(tc.faults)
			r := chat("two words", 6)
			if tc.change != nil {
				tc.change(&r)
			}
			text, g, err := generate(client, r)
			if !errors.Is(err, tc.err) || text != tc.text || g.Usage.TokensOut != tc.tokensOut {
				t.Errorf("got %q, %+v, %v", text, g, err)
			}
			if g.Usage.TokensOut > 0 && g.Usage.TokensIn != 2 {
				t.Errorf("prompt tokens: got %d, want 2", g.Usage.TokensIn)
			}
			runs := e.Record().Runs
			if len(runs) != tc.ran || tc.ran == 1 && runs[0].Cut != (tc.err != nil) {
				t.Errorf("runs: %+v", runs)
			}
		})
	}
}

// TestEngineRefusals guards against mistaking a refused TCP connection for a
// request that may have run, and the reverse.
func TestEngineRefusals(t *testing.T) {
	e, server, client := startEngine(t, EngineConfig{MaxConcurrent: 1})
	if _, _, err := generate(client, chat("a", 1)); err != nil {
		t.Fatal(err)
	}
	e.SetFaults(EngineFaults{Refuse: true})
	if _, _, err := generate(client, chat("a", 1)); err == nil || errors.Is(err, dialect.ErrRefusedConnection) {
		t.Errorf("connection closed after the request was sent: got %v", err)
	}
	e.SetFaults(EngineFaults{})
	if err := server.Refuse(true); err != nil {
		t.Fatal(err)
	}
	if _, _, err := generate(client, chat("a", 1)); !errors.Is(err, dialect.ErrRefusedConnection) {
		t.Errorf("closed port: got %v", err)
	}
	if err := server.Refuse(false); err != nil {
		t.Fatal(err)
	}
	if _, _, err := generate(client, chat("a", 1)); err != nil {
		t.Errorf("port open again: got %v", err)
	}
}

// TestEngineCancel guards against a generation that continues after the caller
// cancelled it, and checks the error of an engine at its concurrency limit.
func TestEngineCancel(t *testing.T) {
	e, _, client := startEngine(t, EngineConfig{MaxConcurrent: 1, TokenDelay: 5 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var overloaded error
	g, err := client.Generate(ctx, chat("a", 1000), func(dialect.Token) error {
		if overloaded == nil {
			_, _, overloaded = generate(client, chat("b", 1))
			cancel()
		}
		return nil
	})
	if !errors.Is(overloaded, dialect.ErrOverloaded) {
		t.Errorf("second request: got %v", overloaded)
	}
	if !errors.Is(err, context.Canceled) || g.Usage.TokensOut < 1 {
		t.Errorf("got %+v, %v", g, err)
	}
	for range 400 {
		if r := e.Record().Runs[0]; !r.End.IsZero() {
			if !r.Cut {
				t.Error("cancelled run is not recorded as cut")
			}
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("the engine did not detect the closed connection")
}

// TestEngineRestartAndCold guards against a stand-in that becomes warm other than
// by completed requests, or that keeps its boot id after a restart.
func TestEngineRestartAndCold(t *testing.T) {
	e, _, client := startEngine(t, EngineConfig{ColdLimit: 1, WarmAfter: 3})
	status := func() dialect.EngineStatus {
		s, err := client.Status(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	first := status().BootID
	e.MakeCold()
	if s := status(); s.BootID != first || !e.Record().Cold {
		t.Errorf("after MakeCold: %+v", s)
	}
	e.Restart()
	if s := status(); s.BootID == first || !e.Record().Cold || len(s.Loaded) != 1 {
		t.Errorf("after Restart: %+v", s)
	}
	for i := range 3 {
		if !e.Record().Cold {
			t.Errorf("warm after %d requests", i)
		}
		if _, _, err := generate(client, chat("a", 1)); err != nil {
			t.Fatal(err)
		}
	}
	if e.Record().Cold {
		t.Error("still cold after 3 requests")
	}
}

// TestEngineOrders guards against an old order that overrides a newer one on an
// engine that checks fencing, and checks that other engines accept it.
func TestEngineOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e, _, client := startEngine(t, EngineConfig{ChecksFencing: checks})
		next := dialect.ModelRef{Model: "draft", Version: "2"}
		order := func(fencing uint64, action string) error {
			return client.Order(context.Background(), dialect.Order{Fencing: fencing, Action: action, Target: next})
		}
		if err := order(7, "load"); err != nil {
			t.Fatal(err)
		}
		if err := order(6, "unload"); errors.Is(err, dialect.ErrFenced) != checks {
			t.Errorf("old order, checks %v: got %v", checks, err)
		}
		if got := len(e.Status().Loaded); got != map[bool]int{true: 2, false: 1}[checks] {
			t.Errorf("checks %v: %d versions loaded", checks, got)
		}
	}
}

// TestEngineCollapse guards against a stand-in that becomes warm while it is
// above its cold limit, and against a restart that lets running answers complete.
func TestEngineCollapse(t *testing.T) {
	e, _, client := startEngine(t, EngineConfig{Cold: true, ColdLimit: 1, WarmAfter: 2, CollapseDelay: time.Millisecond,
		TokenDelay: time.Millisecond, CollapseFactor: 3})
	results := make(chan error, 3)
	for range 3 {
		go func() {
			_, _, err := generate(client, chat("a", 20))
			results <- err
		}()
	}
	for range 3 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if r := e.Record(); !r.Cold || r.ColdPeak < 2 || r.Collapses == 0 {
		t.Errorf("after 3 concurrent requests: %+v", r)
	}
	go func() {
		_, _, err := generate(client, chat("a", 10000))
		results <- err
	}()
	for e.Status().Running == 0 {
		time.Sleep(time.Millisecond)
	}
	e.Restart()
	if err := <-results; err == nil || errors.Is(err, dialect.ErrRefusedConnection) {
		t.Errorf("restarted during an answer: got %v", err)
	}
}

// TestEngineHang guards against a client that waits for a hanging engine past its
// deadline.
func TestEngineHang(t *testing.T) {
	for name, f := range map[string]EngineFaults{"before the first token": {Hang: true}, "after two tokens": {HangAfter: 2}} {
		e, _, client := startEngine(t, EngineConfig{})
		e.SetFaults(f)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		g, err := client.Generate(ctx, chat("a", 5), func(dialect.Token) error { return nil })
		if !errors.Is(err, context.DeadlineExceeded) || g.Usage.TokensOut != int64(f.HangAfter) {
			t.Errorf("%s: got %+v, %v", name, g, err)
		}
	}
}
