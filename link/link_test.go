package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

func token(id string, i int) string { return fmt.Sprintf("%s token %d", id, i) }

func tokens(id string, n int) []string {
	var all []string
	for i := range n {
		all = append(all, token(id, i))
	}
	return all
}

// answer returns a handler that sends n tokens, one per interval.
func answer(n int, interval time.Duration) func(context.Context, *ServerStream) {
	return func(ctx context.Context, in *ServerStream) {
		for i := range n {
			time.Sleep(interval)
			if in.Send(ctx, []byte(token(in.Request.RequestID, i))) != nil {
				return
			}
		}
		_ = in.Finish(End{Complete: true, TokensOut: int64(n)})
	}
}

// wantAnswer fails unless the stream returns exactly the n tokens of id.
func wantAnswer(t *testing.T, s *Stream, id string, n int) {
	t.Helper()
	got, err := readAll(t.Context(), s)
	if !errors.Is(err, io.EOF) {
		t.Fatalf("%s: Recv: %v after %d payloads, want io.EOF", id, err, len(got))
	}
	if !slices.Equal(got, tokens(id, n)) {
		t.Fatalf("%s: got %d payloads %q", id, len(got), got)
	}
	if end := s.End(); end == nil || !end.Complete || end.TokensOut != int64(n) {
		t.Fatalf("%s: end %+v", id, end)
	}
}

// Guards against lost or reordered payloads, and against streams that remain open at
// the agent after their End.
func TestAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, answer(256, 10*time.Millisecond))
		for i := range 3 {
			id := fmt.Sprint("r", i)
			wantAnswer(t, h.open(id), id, 256)
			h.wantOneRun(id)
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := h.server.Wait(ctx); err != nil {
			t.Errorf("Wait: %v", err)
		}
	})
}

// Guards against a refusal that is not reported as a *RefusedError.
func TestRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(_ context.Context, in *ServerStream) {
			_ = in.Refuse(Refusal{Code: "draining", Revision: 7})
		})
		_, err := readAll(t.Context(), h.open("r"))
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Refusal.Code != "draining" || refused.Refusal.Revision != 7 {
			t.Errorf("Recv: %v, want a refusal", err)
		}
	})
}

// Guards against request bodies that are truncated or mixed with those of other
// streams when they are split into parts.
func TestLargeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := func(fill byte) []byte { return bytes.Repeat([]byte{fill}, MaxBodyBytes) }
		h := newHarness(t, func(_ context.Context, in *ServerStream) {
			fill := in.Request.RequestID[0]
			_ = in.Finish(End{Complete: bytes.Equal(in.Request.Body, body(fill))})
		})
		var streams []*Stream
		for _, id := range []string{"a", "b"} {
			s, err := h.client.Open(t.Context(), &Request{RequestID: id, Body: body(id[0])})
			if err != nil {
				t.Fatal(err)
			}
			streams = append(streams, s)
		}
		for _, s := range streams {
			if _, err := readAll(t.Context(), s); err != io.EOF || !s.End().Complete {
				t.Errorf("%s: %v, end %+v", s.key, err, s.End())
			}
		}
	})
}

// Guards against lost control messages, and against a drain notice that is sent only
// with the next heartbeat.
func TestControlAndDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var entryGot, agentGot []string
		h := newHarness(t, answer(1, 0), func(c *ClientConfig, s *ServerConfig) {
			c.OnControl = func(m Control) { entryGot = append(entryGot, m.Kind+string(m.Body)) }
			s.OnControl = func(_ Hello, m Control) { agentGot = append(agentGot, m.Kind+string(m.Body)) }
			s.Heartbeat = func() Heartbeat { return Heartbeat{Clock: time.Hour, Revision: 3, Load: &LoadReport{Limit: 9}} }
		})
		synctest.Wait()
		time.Sleep(100 * time.Millisecond)
		st := h.client.Status()
		if !st.Alive || st.Draining || st.Revision != 3 || st.Load.Limit != 9 || st.PeerHello.Name != "gpu-1" {
			t.Errorf("status %+v", st)
		}
		if got := st.AgentClock(time.Now()); got != time.Hour+100*time.Millisecond {
			t.Errorf("AgentClock: %v", got)
		}
		h.server.Drain()
		h.server.Broadcast(Control{Kind: "records", Body: []byte("1")})
		if err := h.server.SendTo("e1", Control{Kind: "durable"}); err != nil {
			t.Error(err)
		}
		if err := h.client.Send(Control{Kind: "evidence", Body: []byte("2")}); err != nil {
			t.Error(err)
		}
		synctest.Wait()
		if !slices.Equal(entryGot, []string{"records1", "durable"}) || !slices.Equal(agentGot, []string{"evidence2"}) {
			t.Errorf("entry got %q, agent got %q", entryGot, agentGot)
		}
		if !h.client.Status().Draining {
			t.Error("drain notice has not arrived")
		}
		h.net.LastRelay().Close()
		time.Sleep(time.Minute)
		if st := h.client.Status(); !st.Alive || !st.Draining {
			t.Errorf("status after a new link and heartbeats %+v", st)
		}
		wantAnswer(t, h.open("late"), "late", 1)
		if err := h.server.SendTo("other", Control{}); err != ErrUnknownPeer {
			t.Errorf("SendTo of an unknown peer: %v", err)
		}
	})
}

// Guards against a handler that keeps running after its stream was canceled.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cause error
		h := newHarness(t, func(ctx context.Context, in *ServerStream) {
			<-ctx.Done()
			cause = context.Cause(ctx)
		})
		s := h.open("r")
		synctest.Wait()
		s.Cancel()
		synctest.Wait()
		if cause != ErrCanceled {
			t.Errorf("cause of the handler's end: %v", cause)
		}
		var broken *BrokenError
		if _, err := s.Recv(t.Context()); !errors.As(err, &broken) || broken.Reason != BrokenCanceled {
			t.Errorf("Recv after Cancel: %v", err)
		}
		if err := h.server.Wait(t.Context()); err != nil {
			t.Error(err)
		}
	})
}
