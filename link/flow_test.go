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

// Guards against one caller that does not read holding up the other streams of
// the link, and against unbounded memory for its answer.
func TestSlowReaderBesideFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent atomic.Int64
		payload := make([]byte, 1000)
		r := newRig(t, func(ctx context.Context, in *Incoming) {
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
		slow := r.open("slow")
		for i := range 20 {
			id := fmt.Sprint("fast", i)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			got, err := readAll(ctx, r.open(id))
			cancel()
			if err != io.EOF || !slices.Equal(got, tokens(id, 50)) {
				t.Fatalf("%s: %d payloads, %v", id, len(got), err)
			}
		}
		if n, most := sent.Load(), int64(64<<10/(1000+frameCost)+1); n != most {
			t.Errorf("%d payloads sent ahead of the slow reader, want %d", n, most)
		}
		got, err := readAll(t.Context(), slow)
		if len(got) != 1000 || err != io.EOF {
			t.Errorf("slow reader got %d payloads, %v", len(got), err)
		}
	})
}

// Guards against more than MaxUnacked bytes kept per stream, whatever window
// the entry asks for, and against a Send that outlives its ctx.
func TestSendBlocksWithoutAcks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent, last := 0, error(nil)
		r := newRig(t, func(ctx context.Context, in *Incoming) {
			ctx, cancel := context.WithTimeout(ctx, time.Minute)
			defer cancel()
			for last == nil {
				if last = in.Send(ctx, make([]byte, 1<<10-frameCost)); last == nil {
					sent++
				}
			}
		}, func(c *ClientConfig, _ *ServerConfig) { c.Window = 1 << 20 })
		s := r.open("r")
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

// Guards against a stream that hangs when payloads are larger than the window.
func TestPayloadsLargerThanWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(ctx context.Context, in *Incoming) {
			for range 10 {
				_ = in.Send(ctx, make([]byte, 100))
				_ = in.Send(ctx, make([]byte, MaxPayload))
			}
			_ = in.Finish(End{Complete: true})
		}, func(c *ClientConfig, _ *ServerConfig) { c.Window = 1000 })
		got, err := readAll(t.Context(), r.open("r"))
		if len(got) != 20 || err != io.EOF {
			t.Errorf("%d payloads, %v", len(got), err)
		}
	})
}

// Guards against requests that wait for three idle heartbeats on a link that
// has gone silent.
func TestProbeOnOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, answer(3, 0))
		time.Sleep(7 * time.Second)
		r.net.LastRelay().Discard[toServer].Store(true)
		r.net.LastRelay().Discard[toClient].Store(true)
		start := time.Now()
		wantAnswer(t, r.open("r"), "r", 3)
		if took := time.Since(start); took < time.Second || took > 1100*time.Millisecond {
			t.Errorf("answer after %v, want 1 s for the probe", took)
		}
		r.wantOneRun("r")
	})
}

// Guards against a probe that closes a link that works.
func TestProbeAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, answer(1, 2*time.Second))
		time.Sleep(9 * time.Second) // last heard 4 s ago, longer than three active heartbeats
		r.net.LastRelay().Delay[toServer].Store(int64(200 * time.Millisecond))
		r.net.LastRelay().Delay[toClient].Store(int64(200 * time.Millisecond))
		wantAnswer(t, r.open("r"), "r", 1)
		if d := r.net.Dials(); d != 1 {
			t.Errorf("%d connections, want 1", d)
		}
	})
}

// Guards against idle links that cost more than a heartbeat per 5 s and side,
// against active ones that send fewer than one per second, and against links
// that are closed though the peer is heard.
func TestHeartbeatIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var entry, agent atomic.Int64
		r := newRig(t, answer(1, 100*time.Second), func(c *ClientConfig, s *ServerConfig) {
			c.OnHeartbeat = func(Heartbeat) { agent.Add(1) }
			s.OnHeartbeat = func(Hello, Heartbeat) { entry.Add(1) }
		})
		time.Sleep(100*time.Second + time.Millisecond)
		if e, a := entry.Load(), agent.Load(); e != 21 || a != 22 { // one more in the accept frame
			t.Errorf("idle: %d heartbeats from the entry, %d from the agent", e, a)
		}
		entry.Store(0)
		agent.Store(0)
		wantAnswer(t, r.open("r"), "r", 1)
		if e, a := entry.Load(), agent.Load(); e < 99 || a < 99 || e > 101 || a > 101 {
			t.Errorf("active: %d heartbeats from the entry, %d from the agent", e, a)
		}
		if d := r.net.Dials(); d != 1 {
			t.Errorf("%d connections, want 1", d)
		}
	})
}

// Guards against a request that is reported as sent, or hangs, when there is
// no link, and against one that fails while the link is about to be back.
func TestOpenWithoutLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, answer(1, 0))
		synctest.Wait()
		wantNotSent := func(req *Request, within time.Duration) {
			t.Helper()
			start := time.Now()
			_, err := r.client.Open(t.Context(), req)
			var notSent *NotSentError
			if !errors.As(err, &notSent) || time.Since(start) > within {
				t.Errorf("Open: %v after %v", err, time.Since(start))
			}
		}
		wantNotSent(&Request{}, 0)
		wantNotSent(&Request{RequestID: "r", Body: make([]byte, MaxBody+1)}, 0)
		wantNotSent(&Request{RequestID: "r", ResumeText: string(make([]byte, MaxFrame))}, 0)
		open := r.open("r")
		wantNotSent(&Request{RequestID: "r"}, 0)
		wantAnswer(t, open, "r", 1)
		r.net.LastRelay().Close()
		synctest.Wait()
		wantAnswer(t, r.open("again"), "again", 1)
		r.net.SetDown(true)
		synctest.Wait()
		wantNotSent(&Request{RequestID: "r2"}, 250*time.Millisecond)
		if err := r.client.Send(Control{}); err != ErrLinkDown {
			t.Errorf("Send: %v", err)
		}
	})
}

// Guards against streams that outlive the client or the server.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(ctx context.Context, in *Incoming) {
			if in.Request.RequestID == "blocked" {
				for in.Send(context.Background(), make([]byte, 1000)) == nil {
				}
			}
			<-ctx.Done()
		})
		s := r.open("r")
		r.open("blocked")
		synctest.Wait()
		r.stopServer()
		r.startServer()
		r.client.stop()
		var broken *BrokenError
		if _, err := s.Recv(t.Context()); !errors.As(err, &broken) || broken.Reason != BrokenStopped || !broken.Handed {
			t.Errorf("Recv: %v", err)
		}
		if _, err := r.client.Open(t.Context(), &Request{RequestID: "late"}); err == nil {
			t.Error("Open succeeded on a stopped client")
		}
	})
}
