package link

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
)

// Guards against links to a process with a different fleet key, protocol version
// or backend server name, and against handshake failures that are not logged on both
// sides or not reported as a *HandshakeError.
func TestHandshakeFaults(t *testing.T) {
	tests := map[string]struct {
		configure func(*ClientConfig, *ServerConfig)
		code      HandshakeCode
	}{
		"key of the entry":      {func(c *ClientConfig, _ *ServerConfig) { c.FleetKey = []byte("other") }, HandshakeKeyMismatch},
		"key of the agent":      {func(_ *ClientConfig, s *ServerConfig) { s.FleetKey = nil }, HandshakeKeyMismatch},
		"protocol of the entry": {func(c *ClientConfig, _ *ServerConfig) { c.Hello.Protocol = 99 }, HandshakeVersionMismatch},
		"protocol of the agent": {func(_ *ClientConfig, s *ServerConfig) { s.Hello.Protocol = 99 }, HandshakeVersionMismatch},
		"name":                  {func(c *ClientConfig, _ *ServerConfig) { c.ExpectedPeer = "gpu-2" }, HandshakeNameMismatch},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var entryLog, agentLog bytes.Buffer
				h := newHarness(t, answer(1, 0), test.configure, func(c *ClientConfig, s *ServerConfig) {
					c.Logger = &log.Logger{Writer: &log.IOWriter{Writer: &entryLog}}
					s.Logger = &log.Logger{Writer: &log.IOWriter{Writer: &agentLog}}
				})
				synctest.Wait()
				var handshakeErr *HandshakeError
				if st := h.client.Status(); st.Alive || !errors.As(st.Err, &handshakeErr) || handshakeErr.Code != test.code {
					t.Errorf("status %+v", st)
				}
				if len(h.server.Peers()) != 0 {
					t.Error("the agent accepted the entry")
				}
				for side, text := range map[string]string{"entry": entryLog.String(), "agent": agentLog.String()} {
					if !strings.Contains(text, string(test.code)) || !strings.Contains(text, `"message":"link: `) {
						t.Errorf("log of the %s: %q", side, text)
					}
				}
			})
		})
	}
}

// Guards against a proof that is accepted in the other role or replayed on another
// connection.
func TestProofDependsOnRoleAndHellos(t *testing.T) {
	h := &handshake{key: testKey}
	seen := map[string]bool{}
	for _, label := range []string{labelClient, labelServer} {
		for _, hellos := range [][2]string{{"c1", "s1"}, {"c2", "s1"}, {"c1", "s2"}, {"s1", "c1"}} {
			seen[string(h.proof(label, []byte(hellos[0]), []byte(hellos[1])))] = true
		}
	}
	if len(seen) != 8 {
		t.Errorf("%d different proofs of 8", len(seen))
	}
}

// Guards against an unauthenticated peer that sends nothing, invalid data or an
// oversized frame: it must not keep its connection open or affect other links.
func TestUnauthenticatedConnection(t *testing.T) {
	for name, bytesSent := range map[string]string{
		"silence":   "",
		"garbage":   "GET / HTTP/1.1\r\n\r\n",
		"too large": "\x00\x00\x20\x00",
		"no hello":  "\x00\x00\x00\x02\x91\x12",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, answer(1, 0))
				local, remote := net.Pipe()
				h.net.Accepted <- remote
				if _, err := local.Write([]byte(bytesSent)); err != nil {
					t.Error(err)
				}
				start := time.Now()
				if _, err := local.Read(make([]byte, 1)); err == nil || time.Since(start) > 5*time.Second {
					t.Errorf("connection ended after %v with %v", time.Since(start), err)
				}
				wantAnswer(t, h.open("r"), "r", 1)
			})
		})
	}
}

// Guards against processing frames of an abandoned connection after the entry has
// replaced it with a newer one.
func TestOlderConnectionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peer{server: NewServer(ServerConfig{Logger: discardLogger}), ctx: t.Context(), streams: map[streamKey]*ServerStream{}}
		newer := newConn(new(net.TCPConn), Timing{}, nil, nil)
		if err := p.attach(newer, 2); err != nil {
			t.Fatal(err)
		}
		older := newConn(new(net.TCPConn), Timing{}, nil, nil)
		if err := p.attach(older, 1); err != ErrSuperseded {
			t.Errorf("attach of the older connection: %v", err)
		}
		if err := p.handleFrame(older, &frame{kind: kindCancel}); err != ErrSuperseded {
			t.Errorf("frame of the older connection: %v", err)
		}
	})
}

// Guards against payloads and control messages that exceed the frame limit, which
// would close the connection of all streams.
func TestSizeLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tooLarge *TooLargeError
		h := newHarness(t, func(ctx context.Context, in *ServerStream) {
			if err := in.Send(ctx, make([]byte, MaxPayloadBytes+1)); !errors.As(err, &tooLarge) {
				t.Errorf("Send: %v", err)
			}
			if err := in.Finish(End{Charge: make([]byte, MaxFrameBytes)}); !errors.As(err, &tooLarge) {
				t.Errorf("Finish: %v", err)
			}
			_ = in.Send(ctx, make([]byte, MaxPayloadBytes))
			if err := in.Refuse(Refusal{}); err != ErrRefusedAfterSend {
				t.Errorf("Refuse after Send: %v", err)
			}
			_ = in.Finish(End{Complete: true})
			if err := in.Send(ctx, nil); err != ErrFinished {
				t.Errorf("Send after Finish: %v", err)
			}
		})
		got, err := readAll(t.Context(), h.open(strings.Repeat("r", MaxRequestIDBytes)))
		if len(got) != 1 || len(got[0]) != MaxPayloadBytes {
			t.Errorf("%d payloads, %v", len(got), err)
		}
		if err := h.client.Send(Control{Body: make([]byte, MaxPayloadBytes+1)}); !errors.As(err, &tooLarge) {
			t.Errorf("Send of a control message: %v", err)
		}
		if err := h.client.Send(Control{Kind: "records", Body: make([]byte, MaxPayloadBytes)}); err != nil {
			t.Errorf("Send of the largest control message: %v", err)
		}
		if d := h.net.Dials(); d != 1 {
			t.Errorf("%d connections, want 1", d)
		}
	})
}
