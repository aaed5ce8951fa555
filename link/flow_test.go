package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a slow reader blocking the other streams of the link, and against
// unbounded buffering of its answer.
func TestSlowReaderBesideFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int64
		payload := make([]byte, 1000)
		h := newHarness(t, func(ctx context.Context, in *ServerStream) {
			if in.Request.RequestID != "slow" {
				answer(50, time.Millisecond)(ctx, in)
				return
			}
			for range 1000 {
				if in.Send(ctx, payload) != nil {
					return
				}
				sent.Add(1)
			}
			_ = in.Finish(End{Complete: true})
		})
		slow := h.open("slow")
		for i := range 20 {
			id := fmt.Sprint("fast", i)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			got, err := readAll(ctx, h.open(id))
			cancel()
			if err != io.EOF || !slices.Equal(got, tokens(id, 50)) {
				t.Fatalf("%s: %d payloads, %v", id, len(got), err)
			}
		}
		if n, want := sent.Load(), int64(64<<10/(1000+frameOverheadBytes)+1); n != want {
			t.Errorf("%d payloads sent before the slow reader read any, want %d", n, want)
		}
		got, err := readAll(t.Context(), slow)
		if len(got) != 1000 || err != io.EOF {
			t.Errorf("slow reader got %d payloads, %v", len(got), err)
		}
	})
}

// Guards against buffering more than MaxUnacked bytes per stream when the entry
// announces a larger window, and against a Send that ignores the end of its ctx.
func TestSendBlocksWithoutAcks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, last := 0, error(nil)
		h := newHarness(t, func(ctx context.Context, in *ServerStream) {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			for last == nil {
				if last = in.Send(ctx, make([]byte, 1<<10-frameOverheadBytes)); last == nil {
					sent++
				}
			}
		}, func(c *ClientConfig, _ *ServerConfig) { c.Window = 1 << 20 })
		s := h.open("r")
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		if sent != 256 || last != context.DeadlineExceeded {
			t.Errorf("%d KiB sent, then %v", sent, last)
		}
		if _, err := readAll(t.Context(), s); err != io.EOF || s.End().Code != codeNoAnswer || s.End().Complete {
			t.Errorf("end %+v, %v", s.End(), err)
		}
	})
}

// Guards against a stream that blocks forever when payloads exceed the window.
func TestPayloadsLargerThanWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(ctx context.Context, in *ServerStream) {
			for range 10 {
				_ = in.Send(ctx, make([]byte, 100))
				_ = in.Send(ctx, make([]byte, MaxPayloadBytes))
			}
			_ = in.Finish(End{Complete: true})
		}, func(c *ClientConfig, _ *ServerConfig) { c.Window = 1000 })
		got, err := readAll(t.Context(), h.open("r"))
		if len(got) != 20 || err != io.EOF {
			t.Errorf("%d payloads, %v", len(got), err)
		}
	})
}

// Guards against a request on an unresponsive idle link waiting for three idle
// heartbeat intervals: opening the stream must probe the link.
func TestProbeOnOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, answer(3, 0))
		time.Sleep(7 * time.Second)
		h.net.LastRelay().Discard[toServer].Store(true)
		h.net.LastRelay().Discard[toClient].Store(true)
		start := time.Now()
		wantAnswer(t, h.open("r"), "r", 3)
		if took := time.Since(start); took < time.Second || took > 1100*time.Millisecond {
			t.Errorf("answer after %v, want 1 s for the probe", took)
		}
		h.wantOneRun("r")
	})
}

// Guards against a probe that closes a slow but working link.
func TestProbeAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, answer(1, 2*time.Second))
		time.Sleep(9 * time.Second) // the last frame was received 4 s ago, longer than three active intervals
		h.net.LastRelay().Delay[toServer].Store(int64(200 * time.Millisecond))
		h.net.LastRelay().Delay[toClient].Store(int64(200 * time.Millisecond))
		wantAnswer(t, h.open("r"), "r", 1)
		if d := h.net.Dials(); d != 1 {
			t.Errorf("%d connections, want 1", d)
		}
	})
}

// Guards against idle links on which a side sends more than one heartbeat per 5 s,
// active links with fewer than one per second, and links that are closed although
// frames arrive.
func TestHeartbeatIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var entry, agent atomic.Int64
		h := newHarness(t, answer(1, 100*time.Second), func(c *ClientConfig, s *ServerConfig) {
			c.OnHeartbeat = func(Heartbeat) { agent.Add(1) }
			s.OnHeartbeat = func(Hello, Heartbeat) { entry.Add(1) }
		})
		time.Sleep(100*time.Second + time.Millisecond)
		if e, a := entry.Load(), agent.Load(); e != 21 || a != 22 { // one more in the accept frame
			t.Errorf("idle: %d heartbeats from the entry, %d from the agent", e, a)
		}
		entry.Store(0)
		agent.Store(0)
		wantAnswer(t, h.open("r"), "r", 1)
		if e, a := entry.Load(), agent.Load(); e < 99 || a < 99 || e > 101 || a > 101 {
			t.Errorf("active: %d heartbeats from the entry, %d from the agent", e, a)
		}
		if d := h.net.Dials(); d != 1 {
			t.Errorf("%d connections, want 1", d)
		}
	})
}

// Guards against a request that blocks or is reported as sent when it is invalid or
// there is no link, and against one that fails although the link reconnects within
// OpenTimeout.
func TestOpenWithoutLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, answer(1, 0))
		synctest.Wait()
		wantNotSent := func(req *Request, within time.Duration) {
			t.Helper()
			start := time.Now()
			_, err := h.client.Open(t.Context(), req)
			var notSent *NotSentError
			if !errors.As(err, &notSent) || time.Since(start) > within {
				t.Errorf("Open: %v after %v", err, time.Since(start))
			}
		}
		wantNotSent(&Request{}, 0)
		wantNotSent(&Request{RequestID: "r", Body: make([]byte, MaxBodyBytes+1)}, 0)
		wantNotSent(&Request{RequestID: "r", ResumeText: string(make([]byte, MaxFrameBytes))}, 0)
		open := h.open("r")
		wantNotSent(&Request{RequestID: "r"}, 0)
		wantAnswer(t, open, "r", 1)
		h.net.LastRelay().Close()
		synctest.Wait()
		wantAnswer(t, h.open("again"), "again", 1)
		h.net.SetDown(true)
		synctest.Wait()
		wantNotSent(&Request{RequestID: "r2"}, 250*time.Millisecond)
		if err := h.client.Send(Control{}); err != ErrLinkDown {
			t.Errorf("Send: %v", err)
		}
	})
}

// Guards against streams that remain open after the client or the server has stopped.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(ctx context.Context, in *ServerStream) {
			if in.Request.RequestID == "blocked" {
				for in.Send(context.Background(), make([]byte, 1000)) == nil {
				}
			}
			<-ctx.Done()
		})
		s := h.open("r")
		h.open("blocked")
		synctest.Wait()
		h.stopServer()
		h.startServer()
		h.client.stop()
		var broken *BrokenError
		if _, err := s.Recv(t.Context()); !errors.As(err, &broken) || broken.Reason != BrokenClientStopped || !broken.RequestSent {
			t.Errorf("Recv: %v", err)
		}
		if _, err := h.client.Open(t.Context(), &Request{RequestID: "late"}); err == nil {
			t.Error("Open succeeded on a stopped client")
		}
	})
}
