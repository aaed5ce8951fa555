package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/internal/fakenet"
)

func payloadFrame(seq uint64, p string) *frame {
	return &frame{kind: kindPayload, seq: seq, data: []byte(p)}
}

func endFrame(seq uint64, frames uint32, text string) *frame {
	return &frame{kind: kindEnd, seq: seq, end: End{Complete: true, Frames: frames, Checksum: xxhash.Sum64String(text)}}
}

// Guards against a short, altered or crossed answer that is passed off as
// whole, and against duplicated or late frames that break a whole one.
func TestVerification(t *testing.T) {
	tests := map[string]struct {
		frames []*frame
		want   error
	}{
		"whole":           {[]*frame{payloadFrame(0, "ab"), payloadFrame(1, "c"), endFrame(2, 2, "abc")}, io.EOF},
		"empty":           {[]*frame{endFrame(0, 0, "")}, io.EOF},
		"duplicates":      {[]*frame{payloadFrame(0, "ab"), payloadFrame(0, "x"), payloadFrame(1, "c"), payloadFrame(0, "ab"), endFrame(2, 2, "abc"), endFrame(2, 0, "")}, io.EOF},
		"late payload":    {[]*frame{endFrame(0, 1, "ab"), payloadFrame(1, "ab")}, &BrokenError{BrokenCorrupt, true}},
		"short":           {[]*frame{payloadFrame(0, "ab"), endFrame(1, 2, "abc")}, &BrokenError{BrokenCorrupt, true}},
		"short, same sum": {[]*frame{payloadFrame(0, "abc"), endFrame(1, 2, "abc")}, &BrokenError{BrokenCorrupt, true}},
		"other payload":   {[]*frame{payloadFrame(0, "ab"), payloadFrame(1, "x"), endFrame(2, 2, "abc")}, &BrokenError{BrokenCorrupt, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := newStream(NewClient(ClientConfig{Logger: quiet}), &Request{RequestID: "r"})
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range test.frames {
				if err := s.receive(f); err != nil {
					t.Fatal(err)
				}
			}
			_, err = readAll(t.Context(), s)
			if fmt.Sprint(err) != fmt.Sprint(test.want) || (s.End() != nil) != (err == io.EOF) {
				t.Errorf("got %v and end %v, want %v", err, s.End(), test.want)
			}
		})
	}
}

// Guards against a frame that reaches the stream of another request and makes
// its answer appear whole.
func TestCrossedFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rewrite := func(_ int, dir direction, _ int, body []byte) action {
			r, f := newFrameReader(nil), frame{}
			if dir == toClient && r.decode(body, &f) == nil && f.kind == kindPayload && string(f.id) == "a" && f.seq == 2 {
				copy(f.id, "b")
			}
			return pass
		}
		r := newRigOn(t, fakenet.New(rewrite), func(ctx context.Context, in *Incoming) {
			if in.Request.RequestID == "b" {
				time.Sleep(time.Millisecond) // the crossed frame comes before the stream's own
			}
			answer(5, 10*time.Millisecond)(ctx, in)
		}, func(c *ClientConfig, _ *ServerConfig) { c.OpenWait = time.Second })
		a, b := r.open("a"), r.open("b")
		got, err := readAll(t.Context(), b)
		var broken *BrokenError
		if !errors.As(err, &broken) || broken.Reason != BrokenCorrupt || b.End() != nil {
			t.Errorf("answer with a crossed frame: %q, %v", got, err)
		}
		// The frame is rewritten at every attempt, so the gap never closes.
		if _, err := readAll(t.Context(), a); !errors.As(err, &broken) || broken.Reason != BrokenSequence {
			t.Errorf("answer without the crossed frame: %v", err)
		}
	})
}

// Guards against a second run of a request whose open frame comes late again.
func TestLateOpenDoesNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, answer(1, 0))
		wantAnswer(t, r.open("r"), "r", 1)
		synctest.Wait()
		var broken *BrokenError
		if _, err := r.open("r").Recv(t.Context()); !errors.As(err, &broken) || broken.Reason != BrokenGone || !broken.Handed {
			t.Errorf("Recv of a request that has run: %v", err)
		}
		r.wantOneRun("r")
		for i := range maxRecent {
			id := fmt.Sprint("other", i)
			wantAnswer(t, r.open(id), id, 1)
		}
		if n := len(r.server.list()[0].recent.known); n != maxRecent {
			t.Errorf("%d keys remembered, want %d", n, maxRecent)
		}
	})
}

// Guards against bodies that are assembled wrongly, or from parts of two
// connections, and against streams that lose their turn to a large one.
func TestFaultWithinBodies(t *testing.T) {
	for _, act := range []action{cut, duplicate, hold} {
		for at := range 12 {
			t.Run(fmt.Sprintf("action %d part %d", act, at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { faultWithinBodies(t, once(act, toServer, 3+at)) })
			})
		}
	}
}

func faultWithinBodies(t *testing.T, rule frameRule) {
	body := func(id string) []byte {
		b := make([]byte, 3*bodyPart+17)
		for i := range b {
			b[i] = byte(i>>10) ^ id[0]
		}
		return b
	}
	r := newRigOn(t, fakenet.New(rule), func(_ context.Context, in *Incoming) {
		_ = in.Finish(End{Complete: bytes.Equal(in.Request.Body, body(in.Request.RequestID))})
	}, func(c *ClientConfig, _ *ServerConfig) { c.OpenWait = time.Second })
	var streams []*Stream
	for _, id := range []string{"a", "b", "c"} {
		s, err := r.client.Open(t.Context(), &Request{RequestID: id, Body: body(id)})
		if err != nil {
			t.Fatal(err)
		}
		streams = append(streams, s)
	}
	for _, s := range streams {
		if _, err := readAll(t.Context(), s); err != io.EOF || !s.End().Complete {
			t.Errorf("%v, end %+v", err, s.End())
		}
		r.wantOneRun(s.key.id)
	}
}

// Guards against a request that is reported as handed over before all of it
// was, which would keep it from being retried, and the reverse.
func TestHanded(t *testing.T) {
	c := newConn(nil, Timing{}, nil, nil)
	for fills, handed := range []bool{false, false, true} {
		s, err := newStream(NewClient(ClientConfig{Logger: quiet}), &Request{RequestID: "r", Body: make([]byte, bodyPart+writeBatch/2)})
		if err != nil {
			t.Fatal(err)
		}
		s.attach(c)
		for range fills {
			s.fill(c, newFrameWriter())
		}
		s.breakOff(BrokenRestarted)
		var broken *BrokenError
		if _, err := s.Recv(t.Context()); !errors.As(err, &broken) || broken.Handed != handed {
			t.Errorf("after %d writes of 2: %v", fills, err)
		}
	}
}

// Guards against combinations of faults that the other tests do not meet: cut,
// duplicated, swapped and lost frames and silence, at random on every
// connection.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomFaults(t, seed) })
		})
	}
}

func randomFaults(t *testing.T, seed uint64) {
	pauses := rand.New(rand.NewPCG(seed, 0))
	var n *network
	n = fakenet.New(func(dial int, dir direction, i int, body []byte) action {
		// The handshake passes, so that faults hit streams.
		if i < setupFrames || frameKind(body[1]) == kindEnd || frameKind(body[1]) == kindGone {
			return pass
		}
		x := rand.New(rand.NewPCG(seed, uint64(dial<<40|int(dir)<<32|i))).IntN(400)
		if x == 0 {
			n.LastRelay().Discard[dir].Store(true)
		}
		return []action{drop, cut, cut, duplicate, duplicate, hold, pass}[min(x, 6)]
	})
	r := newRigOn(t, n, answer(60, 50*time.Millisecond), func(c *ClientConfig, _ *ServerConfig) {
		c.Window = 1000
		c.OpenWait = time.Minute
	})
	streams := map[string]*Stream{}
	for i := range 20 {
		id := fmt.Sprintf("r%d", i)
		streams[id] = r.open(id)
		time.Sleep(time.Duration(pauses.IntN(200)) * time.Millisecond)
	}
	for id, s := range streams {
		wantAnswer(t, s, id, 60)
		r.wantOneRun(id)
	}
	if err := r.server.Wait(t.Context()); err != nil {
		t.Error(err)
	}
	if gone := slices.Contains(r.events(), "gone"); gone || n.Dials() < 2 {
		t.Errorf("peer gone: %t; %d connections", gone, n.Dials())
	}
}
