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

// once applies act to frame n of one direction of the first connection. An end
// is not dropped: a missing frame is noticed by the next one of its stream, and
// TCP does not lose a frame on a connection that goes on.
func once(act action, dir direction, n int) frameRule {
	return func(dial int, d direction, i int, body []byte) action {
		if dial != 0 || d != dir || i != n || act == drop && frameKind(body[1]) == kindEnd {
			return pass
		}
		return act
	}
}

// setupFrames is the number of frames of the handshake and the first heartbeat
// in the direction that has more of them.
const setupFrames = 4

// Guards against lost, repeated and second answers when the link breaks or
// misbehaves at any frame of a stream, in either direction.
func TestFaultAtEachFrame(t *testing.T) {
	const n = 8
	for _, act := range []action{cut, duplicate, drop, hold} {
		for _, dir := range []direction{toServer, toClient} {
			for at := range setupFrames + n + 4 {
				t.Run(fmt.Sprintf("action %d direction %d frame %d", act, dir, at), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { faultAt(t, n, once(act, dir, at)) })
				})
			}
		}
	}
}

func faultAt(t *testing.T, n int, rule frameRule) {
	r := newRigOn(t, fakenet.New(rule), answer(n, 300*time.Millisecond), func(c *ClientConfig, s *ServerConfig) {
		c.Window = 2 * frameCost // an ack after each payload
		c.OpenWait = 20 * time.Second
	})
	s := r.open("r")
	wantAnswer(t, s, "r", n)
	r.wantOneRun("r")
	if err := r.server.Wait(t.Context()); err != nil {
		t.Error(err)
	}
}

// Guards against streams that hang on a link that has gone silent, for each
// direction alone and both.
func TestSilentLinkMidStream(t *testing.T) {
	for _, dirs := range [][]direction{{toServer}, {toClient}, {toServer, toClient}} {
		t.Run(fmt.Sprint(dirs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, answer(100, 100*time.Millisecond))
				start := time.Now()
				s := r.open("r")
				time.Sleep(2550 * time.Millisecond)
				for _, d := range dirs {
					r.net.LastRelay().Discard[d].Store(true)
				}
				wantAnswer(t, s, "r", 100)
				r.wantOneRun("r")
				if took := time.Since(start); took > 10200*time.Millisecond {
					t.Errorf("answer took %v, the handler 10 s", took)
				}
				if d := r.net.Dials(); d != 2 {
					t.Errorf("%d connections, want 2", d)
				}
			})
		})
	}
}

// Guards against a payload that arrives only when the next one is sent after a
// new link was made.
func TestResumeOfIdleStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(ctx context.Context, in *Incoming) {
			time.Sleep(time.Second)
			_ = in.Send(ctx, []byte(token("r", 0)))
			time.Sleep(20 * time.Second)
			_ = in.Finish(End{Complete: true, TokensOut: 1})
		})
		s := r.open("r")
		time.Sleep(500 * time.Millisecond)
		r.net.SetDown(true)
		time.Sleep(5 * time.Second)
		r.net.SetDown(false)
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		if p, err := s.Recv(ctx); string(p) != token("r", 0) || err != nil {
			t.Errorf("Recv: %q, %v", p, err)
		}
		if _, err := s.Recv(t.Context()); err != io.EOF {
			t.Errorf("Recv: %v", err)
		}
		if got := r.events(); !slices.Equal(got, []string{"peer", "peer"}) {
			t.Errorf("callbacks %q", got)
		}
	})
}

// Guards against handlers that run on for an entry that never returns and
// against charges that wait longer than 10 s.
func TestEntryNeverReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lost, gone, canceled time.Time
		var cause error
		r := newRig(t, func(ctx context.Context, in *Incoming) {
			<-ctx.Done()
			canceled, cause = time.Now(), context.Cause(ctx)
		}, func(_ *ClientConfig, s *ServerConfig) {
			s.OnPeerGone = func(Hello) { gone = time.Now() }
		})
		s := r.open("r")
		time.Sleep(time.Second)
		r.net.SetDown(true)
		lost = time.Now()
		_, err := s.Recv(t.Context())
		synctest.Wait()
		var broken *BrokenError
		if !errors.As(err, &broken) || broken.Reason != BrokenLost || !broken.Handed {
			t.Errorf("Recv: %v", err)
		}
		if gone.Sub(lost) != 10*time.Second || canceled.Sub(lost) != 30*time.Second || cause != ErrPeerLost {
			t.Errorf("gone after %v, canceled after %v by %v", gone.Sub(lost), canceled.Sub(lost), cause)
		}
		if got := r.server.Peers(); len(got) != 0 {
			t.Errorf("peers %v", got)
		}
	})
}

// Guards against a second run when an entry comes back after the agent has
// given up its streams.
func TestEntryReturnsTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(ctx context.Context, in *Incoming) { <-ctx.Done() },
			func(c *ClientConfig, _ *ServerConfig) { c.ResumeTimeout = time.Hour })
		s := r.open("r")
		time.Sleep(time.Second)
		r.net.SetDown(true)
		time.Sleep(31 * time.Second)
		r.net.SetDown(false)
		_, err := s.Recv(t.Context())
		var broken *BrokenError
		if !errors.As(err, &broken) || broken.Reason != BrokenExpired || !broken.Handed {
			t.Errorf("Recv: %v", err)
		}
		r.wantOneRun("r")
	})
}

// Guards against streams that wait for a restarted agent.
func TestAgentRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, answer(100, 100*time.Millisecond))
		s := r.open("r")
		time.Sleep(time.Second)
		r.stopServer()
		cfg := r.server.cfg
		cfg.Hello.BootID = "a2"
		r.server = NewServer(cfg)
		r.startServer()
		got, err := readAll(t.Context(), s)
		var broken *BrokenError
		if !errors.As(err, &broken) || broken.Reason != BrokenRestarted || !broken.Handed {
			t.Errorf("Recv: %v after %d payloads", err, len(got))
		}
		if st := r.client.Status(); st.PeerHello.BootID != "a2" {
			t.Errorf("status %+v", st)
		}
		s = r.open("r2")
		wantAnswer(t, s, "r2", 100)
	})
}

// Guards against a new link that the agent closes again because a stream was
// canceled before it could be resumed.
func TestCancelBeforeResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient(ClientConfig{Logger: quiet})
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
		w, turn, f := newFrameWriter(), []source(nil), frame{}
		conn.collect(&w, &turn)
		r := newFrameReader(bytes.NewReader(w.buf))
		for f.kind != kindResumed {
			if err := r.next(&f); err != nil {
				t.Fatal(err)
			}
		}
		if f.seq != 1 {
			t.Errorf("%d streams announced, want 1", f.seq)
		}
	})
}
