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

// Guards against a truncated or altered answer that is reported as complete, and
// against duplicate or late frames that corrupt a complete one.
func TestVerification(t *testing.T) {
	tests := map[string]struct {
		frames []*frame
		want   error
	}{
		"whole":           {[]*frame{payloadFrame(0, "ab"), payloadFrame(1, "c"), endFrame(2, 2, "abc")}, io.EOF},
		"empty":           {[]*frame{endFrame(0, 0, "")}, io.EOF},
		"duplicates":      {[]*frame{payloadFrame(0, "ab"), payloadFrame(0, "x"), payloadFrame(1, "c"), payloadFrame(0, "ab"), endFrame(2, 2, "abc"), endFrame(2, 0, "")}, io.EOF},
		"late payload":    {[]*frame{endFrame(0, 1, "ab"), payloadFrame(1, "ab")}, &BrokenError{BrokenChecksumMismatch, true}},
		"short":           {[]*frame{payloadFrame(0, "ab"), endFrame(1, 2, "abc")}, &BrokenError{BrokenChecksumMismatch, true}},
		"short, same sum": {[]*frame{payloadFrame(0, "abc"), endFrame(1, 2, "abc")}, &BrokenError{BrokenChecksumMismatch, true}},
		"other payload":   {[]*frame{payloadFrame(0, "ab"), payloadFrame(1, "x"), endFrame(2, 2, "abc")}, &BrokenError{BrokenChecksumMismatch, true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, err := newStream(NewClient(ClientConfig{Logger: discardLogger}), &Request{RequestID: "r"})
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

// Guards against an answer that is reported as complete although it contains a frame
// of another stream.
func TestMisroutedFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rewrite := func(_ int, dir direction, _ int, body []byte) action {
			r, f := newFrameReader(nil), frame{}
			if dir == toClient && r.decode(body, &f) == nil && f.kind == kindPayload && string(f.id) == "a" && f.seq == 2 {
				copy(f.id, "b")
			}
			return pass
		}
		r := newHarnessOn(t, fakenet.New(rewrite), func(ctx context.Context, in *ServerStream) {
			if in.Request.RequestID == "b" {
				time.Sleep(time.Millisecond) // the misrouted frame arrives before the stream's own
			}
			answer(5, 10*time.Millisecond)(ctx, in)
		}, func(c *ClientConfig, _ *ServerConfig) { c.OpenTimeout = time.Second })
		a, b := r.open("a"), r.open("b")
		got, err := readAll(t.Context(), b)
		var broken *BrokenError
		if !errors.As(err, &broken) || broken.Reason != BrokenChecksumMismatch || b.End() != nil {
			t.Errorf("answer with a misrouted frame: %q, %v", got, err)
		}
		// The frame is rewritten on every connection, so the gap remains.
		if _, err := readAll(t.Context(), a); !errors.As(err, &broken) || broken.Reason != BrokenFramesMissing {
			t.Errorf("answer without the misrouted frame: %v", err)
		}
	})
}

// Guards against executing a request again when its open frame is received again
// after its end.
func TestLateOpenDoesNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, answer(1, 0))
		wantAnswer(t, h.open("r"), "r", 1)
		synctest.Wait()
		var broken *BrokenError
		if _, err := h.open("r").Recv(t.Context()); !errors.As(err, &broken) || broken.Reason != BrokenUnknownStream || !broken.RequestSent {
			t.Errorf("Recv of a request that has run: %v", err)
		}
		h.wantOneRun("r")
		for i := range maxRecentStreams {
			id := fmt.Sprint("other", i)
			wantAnswer(t, h.open(id), id, 1)
		}
		if n := len(h.server.peerList()[0].recentlyStarted.keys); n != maxRecentStreams {
			t.Errorf("%d keys stored, want %d", n, maxRecentStreams)
		}
	})
}

// Guards against request bodies that are reassembled incorrectly or from parts of
// two connections, and against large bodies that starve other streams.
func TestFaultWithinBodies(t *testing.T) {
	for _, act := range []action{cut, duplicate, hold} {
		for at := range 12 {
			t.Run(fmt.Sprintf("action %d part %d", act, at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testFaultWithinBodies(t, faultAtFrame(act, toServer, 3+at)) })
			})
		}
	}
}

func testFaultWithinBodies(t *testing.T, rule frameRule) {
	body := func(id string) []byte {
		b := make([]byte, 3*maxBodyPartBytes+17)
		for i := range b {
			b[i] = byte(i>>10) ^ id[0]
		}
		return b
	}
	h := newHarnessOn(t, fakenet.New(rule), func(_ context.Context, in *ServerStream) {
		_ = in.Finish(End{Complete: bytes.Equal(in.Request.Body, body(in.Request.RequestID))})
	}, func(c *ClientConfig, _ *ServerConfig) { c.OpenTimeout = time.Second })
	var streams []*Stream
	for _, id := range []string{"a", "b", "c"} {
		s, err := h.client.Open(t.Context(), &Request{RequestID: id, Body: body(id)})
		if err != nil {
			t.Fatal(err)
		}
		streams = append(streams, s)
	}
	for _, s := range streams {
		if _, err := readAll(t.Context(), s); err != io.EOF || !s.End().Complete {
			t.Errorf("%v, end %+v", err, s.End())
		}
		h.wantOneRun(s.key.id)
	}
}

// Guards against a wrong BrokenError.RequestSent: if it is set too early, the request
// is not retried, and if it is not set, the request may be executed twice.
func TestRequestSent(t *testing.T) {
	c := newConn(nil, Timing{}, nil, nil)
	for writes, requestSent := range []bool{false, false, true} {
		s, err := newStream(NewClient(ClientConfig{Logger: discardLogger}), &Request{RequestID: "r", Body: make([]byte, maxBodyPartBytes+writeBatchBytes/2)})
		if err != nil {
			t.Fatal(err)
		}
		s.attach(c)
		for range writes {
			s.appendFrames(c, newFrameWriter())
		}
		s.breakStream(BrokenAgentRestarted)
		var broken *BrokenError
		if _, err := s.Recv(t.Context()); !errors.As(err, &broken) || broken.RequestSent != requestSent {
			t.Errorf("after %d writes of 2: %v", writes, err)
		}
	}
}

// Guards against combinations of faults that the other tests do not cover: random
// cuts, duplicate, reordered and lost frames, and unresponsive peers on every
// connection.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRandomFaults(t, seed) })
		})
	}
}

func testRandomFaults(t *testing.T, seed uint64) {
	pauses := rand.New(rand.NewPCG(seed, 0))
	var n *network
	n = fakenet.New(func(dial int, dir direction, i int, body []byte) action {
		// Handshake frames pass unchanged, so that the faults affect streams.
		if i < maxSetupFrames || frameKind(body[1]) == kindEnd || frameKind(body[1]) == kindUnknownStream {
			return pass
		}
		x := rand.New(rand.NewPCG(seed, uint64(dial<<40|int(dir)<<32|i))).IntN(400)
		if x == 0 {
			n.LastRelay().Discard[dir].Store(true)
		}
		return []action{drop, cut, cut, duplicate, duplicate, hold, pass}[min(x, 6)]
	})
	h := newHarnessOn(t, n, answer(60, 50*time.Millisecond), func(c *ClientConfig, _ *ServerConfig) {
		c.Window = 1000
		c.OpenTimeout = time.Minute
	})
	streams := map[string]*Stream{}
	for i := range 20 {
		id := fmt.Sprintf("r%d", i)
		streams[id] = h.open(id)
		time.Sleep(time.Duration(pauses.IntN(200)) * time.Millisecond)
	}
	for id, s := range streams {
		wantAnswer(t, s, id, 60)
		h.wantOneRun(id)
	}
	if err := h.server.Wait(t.Context()); err != nil {
		t.Error(err)
	}
	if lost := slices.Contains(h.events(), "lost"); lost || n.Dials() < 2 {
		t.Errorf("peer lost: %t; %d connections", lost, n.Dials())
	}
}
