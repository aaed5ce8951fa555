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

	"hyssoploom/internal/fakenet"
)

// faultAtFrame returns a rule that applies act to frame n of one direction of the
// first connection. It does not drop an End: a missing frame is detected by the next
// frame of its stream, and TCP does not lose the last data of a live connection.
func faultAtFrame(act action, dir direction, n int) frameRule {
	return func(dial int, d direction, i int, body []byte) action {
		if dial != 0 || d != dir || i != n || act == drop && frameKind(body[1]) == kindEnd {
			return pass
		}
		return act
	}
}

// maxSetupFrames is the number of handshake and first heartbeat frames, in the
// direction that has more of them.
const maxSetupFrames = 4

// Guards against lost or duplicate payloads and repeated execution when a fault
// occurs at any frame of a stream, in either direction.
func TestFaultAtEachFrame(t *testing.T) {
	const n = 8
	for _, act := range []action{cut, duplicate, drop, hold} {
		for _, dir := range []direction{toServer, toClient} {
			for at := range maxSetupFrames + n + 4 {
				t.Run(fmt.Sprintf("action %d direction %d frame %d", act, dir, at), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testFaultAt(t, n, faultAtFrame(act, dir, at)) })
				})
			}
		}
	}
}

func testFaultAt(t *testing.T, n int, rule frameRule) {
	h := newHarnessOn(t, fakenet.New(rule), answer(n, 300*time.Millisecond), func(c *ClientConfig, s *ServerConfig) {
		c.Window = 2 * frameOverheadBytes // an ack after each payload
		c.OpenTimeout = 20 * time.Second
	})
	s := h.open("r")
	wantAnswer(t, s, "r", n)
	h.wantOneRun("r")
	if err := h.server.Wait(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against streams that stall on a connection that loses all frames of one or
// both directions without being closed.
func TestSilentLinkMidStream(t *testing.T) {
	for _, dirs := range [][]direction{{toServer}, {toClient}, {toServer, toClient}} {
		t.Run(fmt.Sprint(dirs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, answer(100, 100*time.Millisecond))
				start := time.Now()
				s := h.open("r")
				time.Sleep(2550 * time.Millisecond)
				for _, d := range dirs {
					h.net.LastRelay().Discard[d].Store(true)
				}
				wantAnswer(t, s, "r", 100)
				h.wantOneRun("r")
				if took := time.Since(start); took > 10200*time.Millisecond {
					t.Errorf("answer took %v, the handler 10 s", took)
				}
				if d := h.net.Dials(); d != 2 {
					t.Errorf("%d connections, want 2", d)
				}
			})
		})
	}
}

// Guards against a payload that was sent while the link was down and is delivered
// only with the next one, instead of right after the reconnect.
func TestResumeOfIdleStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(ctx context.Context, in *ServerStream) {
			time.Sleep(time.Second)
			_ = in.Send(ctx, []byte(token("r", 0)))
			time.Sleep(20 * time.Second)
			_ = in.Finish(End{Complete: true, TokensOut: 1})
		})
		s := h.open("r")
		time.Sleep(500 * time.Millisecond)
		h.net.SetDown(true)
		time.Sleep(5 * time.Second)
		h.net.SetDown(false)
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		if p, err := s.Recv(ctx); string(p) != token("r", 0) || err != nil {
			t.Errorf("Recv: %q, %v", p, err)
		}
		if _, err := s.Recv(t.Context()); err != io.EOF {
			t.Errorf("Recv: %v", err)
		}
		if got := h.events(); !slices.Equal(got, []string{"connected", "connected"}) {
			t.Errorf("callbacks %q", got)
		}
	})
}

// Guards against handlers that keep running for an entry that never reconnects, and
// against OnPeerLost, which starts the writing of its charges, after more than 10 s.
func TestEntryNeverReconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var linkLost, reported, canceled time.Time
		var cause error
		h := newHarness(t, func(ctx context.Context, in *ServerStream) {
			<-ctx.Done()
			canceled, cause = time.Now(), context.Cause(ctx)
		}, func(_ *ClientConfig, s *ServerConfig) {
			s.OnPeerLost = func(Hello) { reported = time.Now() }
		})
		s := h.open("r")
		time.Sleep(time.Second)
		h.net.SetDown(true)
		linkLost = time.Now()
		_, err := s.Recv(t.Context())
		synctest.Wait()
		var broken *BrokenError
		if !errors.As(err, &broken) || broken.Reason != BrokenLinkLost || !broken.RequestSent {
			t.Errorf("Recv: %v", err)
		}
		if reported.Sub(linkLost) != 10*time.Second || canceled.Sub(linkLost) != 30*time.Second || cause != ErrSessionExpired {
			t.Errorf("reported lost after %v, canceled after %v by %v", reported.Sub(linkLost), canceled.Sub(linkLost), cause)
		}
		if got := h.server.Peers(); len(got) != 0 {
			t.Errorf("peers %v", got)
		}
	})
}

// Guards against executing a request twice when the entry reconnects after the agent
// has dropped its session.
func TestEntryReconnectsTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(ctx context.Context, in *ServerStream) { <-ctx.Done() },
			func(c *ClientConfig, _ *ServerConfig) { c.ResumeTimeout = time.Hour })
		s := h.open("r")
		time.Sleep(time.Second)
		h.net.SetDown(true)
		time.Sleep(31 * time.Second)
		h.net.SetDown(false)
		_, err := s.Recv(t.Context())
		var broken *BrokenError
		if !errors.As(err, &broken) || broken.Reason != BrokenSessionExpired || !broken.RequestSent {
			t.Errorf("Recv: %v", err)
		}
		h.wantOneRun("r")
	})
}

// Guards against streams that wait for a resumption by a restarted agent.
func TestAgentRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, answer(100, 100*time.Millisecond))
		s := h.open("r")
		time.Sleep(time.Second)
		h.stopServer()
		cfg := h.server.cfg
		cfg.Hello.BootID = "a2"
		h.server = NewServer(cfg)
		h.startServer()
		got, err := readAll(t.Context(), s)
		var broken *BrokenError
		if !errors.As(err, &broken) || broken.Reason != BrokenAgentRestarted || !broken.RequestSent {
			t.Errorf("Recv: %v after %d payloads", err, len(got))
		}
		if st := h.client.Status(); st.PeerHello.BootID != "a2" {
			t.Errorf("status %+v", st)
		}
		s = h.open("r2")
		wantAnswer(t, s, "r2", 100)
	})
}

// Guards against a reconnect that the agent rejects with missing open frames: a
// stream that is canceled before it is reopened must not be counted.
func TestCancelBeforeResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient(ClientConfig{Logger: discardLogger})
		for _, id := range []string{"a", "b"} {
			s, err := newStream(c, &Request{RequestID: id})
			if err != nil {
				t.Fatal(err)
			}
			c.streams[s.key] = s
		}
		conn := newConn(nil, Timing{}, nil, nil)
		c.attach(conn, Hello{}, &frame{})
		c.streams[streamKey{"a", 0}].Cancel()
		w, batch, f := newFrameWriter(), []frameSource(nil), frame{}
		conn.collect(&w, &batch)
		r := newFrameReader(bytes.NewReader(w.buf))
		for f.kind != kindResumeDone {
			if err := r.next(&f); err != nil {
				t.Fatal(err)
			}
		}
		if f.seq != 1 {
			t.Errorf("%d streams announced, want 1", f.seq)
		}
	})
}
