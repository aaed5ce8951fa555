package invariants

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hyssoploom/standin"
)

// answerOf is the whole answer to a prompt.
func expectedAnswer(prompt string, tokens int) string {
	return strings.Join(standin.AnswerTokens("small", "1", prompt, tokens, false), "")
}

// oneEngine is a fleet with room for 64 answers on one engine.
func startOneEngine(t *testing.T, tokens int, tokenDelay time.Duration) *fleet {
	t.Helper()
	spec := oneDataCentreSpec(engineSpec("small-1", "small", tokens, tokenDelay))
	spec.Backends[0].ColdLimit, spec.Backends[0].WarmLimit = 64, 64
	spec.RequestTimeout = 15 * time.Second
	return startFleet(t, spec)
}

// sendStreams sends n streams at once through both entries, each with its id as
// prompt.
func (f *fleet) sendStreams(n int) <-chan response {
	out := make(chan response, n)
	var running sync.WaitGroup
	for i := range n {
		entry := fmt.Sprintf("entry-%d", i%2+1)
		running.Go(func() {
			id := fmt.Sprintf("request-%d", i)
			out <- f.send(chat(id, entry, "small", id, true))
		})
	}
	go func() {
		running.Wait()
		close(out)
	}()
	return out
}

// Guards against answers that lose, repeat or exchange tokens when the link
// between entry and agent breaks, and against a second run at the engine.
func TestAnswerSurvivesLinkFailure(t *testing.T) {
	const streams, tokens = 20, 120 // 2.4 s
	tests := []struct {
		name  string
		fault func(*testing.T, *tcpProxy)
	}{
		{"connections cut repeatedly", func(_ *testing.T, r *tcpProxy) {
			for range 5 {
				r.closeAll()
				time.Sleep(300 * time.Millisecond)
			}
		}},
		{"connections silent for good", func(_ *testing.T, r *tcpProxy) { r.blackhole() }},
		{"connections slow, then silent", func(_ *testing.T, r *tcpProxy) {
			r.setDelay(80 * time.Millisecond)
			time.Sleep(400 * time.Millisecond)
			r.blackhole()
		}},
		{"new connections cut as well", func(_ *testing.T, r *tcpProxy) {
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				r.closeAll()
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startOneEngine(t, tokens, 20*time.Millisecond)
			r := f.proxyAgent("small-1")
			acceptedBefore := r.acceptedCount()
			answers := f.sendStreams(streams)
			eventually(t, "all streams run", func() bool { return f.runningOn("small-1") == streams })
			test.fault(t, r)
			for answer := range answers {
				if answer.err != nil || answer.content() != expectedAnswer(answer.id, tokens) || !strings.Contains(answer.body, "data: [DONE]") {
					t.Errorf("%s: status %d, %v %+v, got %q", answer.id, answer.status, answer.err, answer.error(), answer.content())
				}
			}
			for id, runs := range f.engineRuns() {
				if len(runs) != 1 {
					t.Errorf("%s ran %d times", id, len(runs))
				}
			}
			if r.acceptedCount() == acceptedBefore {
				t.Error("the fault broke no link")
			}
		})
	}
}

// Guards against a cut answer that looks whole to its caller.
func TestTruncatedAnswerIsNotReportedComplete(t *testing.T) {
	const tokens = 12
	spec := oneDataCentreSpec(engineSpec("small-1", "small", tokens, 0))
	spec.Backends[0].Engine.Resumes = false
	f := startFleet(t, spec)
	b := f.Backends["small-1"]
	for _, fault := range []standin.EngineFaults{{TruncateAfter: 5}, {TruncateAfter: tokens - 1}} {
		b.Engine.SetFaults(fault)
		id := fmt.Sprintf("cut-%d", fault.TruncateAfter)
		stream := f.send(chat(id, "entry-1", "small", "x", true))
		if strings.Contains(stream.body, "[DONE]") || stream.error().Code == "" || stream.error().Run != "unknown" {
			t.Errorf("%s: stream ended with %+v: %s", id, stream.error(), stream.body)
		}
		plain := f.send(chat(id+"-plain", "entry-1", "small", "x", false))
		if plain.status < 500 || plain.error().Run != "unknown" {
			t.Errorf("%s: plain answer has status %d: %s", id, plain.status, plain.body)
		}
	}
}

// Guards against a caller who gets a cut answer although another engine could
// have gone on with it.
func TestTruncatedAnswerIsResumed(t *testing.T) {
	const tokens = 12
	spec := oneDataCentreSpec(engineSpec("small-1", "small", tokens, time.Millisecond), engineSpec("small-2", "small", tokens, time.Millisecond))
	f := startFleet(t, spec)
	f.send(chat("probe", "entry-1", "small", "x", false))
	first := "small-1" // the engine that an idle entry prefers
	if f.runsStartedAfter(time.Time{}, first) == 0 {
		first = "small-2"
	}
	f.Backends[first].Engine.SetFaults(standin.EngineFaults{TruncateAfter: 5})
	for i := range 8 {
		// The retry budget allows one retry in five requests beyond its reserve.
		id := fmt.Sprintf("request-%d", i)
		r := f.send(chat(id, "entry-1", "small", id, i%2 == 0))
		if r.status != 200 || r.content() != expectedAnswer(id, tokens) {
			t.Errorf("%s: status %d, %q", id, r.status, r.body)
		}
	}
	if n := f.runsStartedAfter(time.Time{}, first); n < 2 {
		t.Error("no request met the fault")
	}
}

// Guards against a caller who does not read and thereby holds up the other
// streams of the same link, or makes the engine run on for nobody.
func TestCallerDoesNotRead(t *testing.T) {
	const streams, tokens = 30, 100
	f := startOneEngine(t, tokens, 0)
	conn := f.openUnreadStream("entry-1", 1_000_000)
	unread := func() standin.EngineRun { return f.engineRuns()["deaf"][0] }
	eventually(t, "the engine generates for the caller", func() bool { return len(f.engineRuns()["deaf"]) == 1 })
	last, lastChange := 0, time.Now()
	eventually(t, "the engine is held up", func() bool {
		if n := unread().Tokens; n != last {
			last, lastChange = n, time.Now()
		}
		return last > 0 && time.Since(lastChange) > 300*time.Millisecond
	})
	t.Logf("held up after %d tokens and %v", last, time.Since(unread().Start))
	for answer := range f.sendStreams(streams) {
		if answer.content() != expectedAnswer(answer.id, tokens) {
			t.Errorf("%s: status %d %+v", answer.id, answer.status, answer.error())
		}
	}
	// An entry gives up a caller that has not read for 10 s, which may have passed
	// on a busy machine.
	if run := unread(); !run.End.IsZero() && run.End.Sub(run.Start) < 10*time.Second {
		t.Errorf("the answer that nobody reads has ended after %v and %d tokens", run.End.Sub(run.Start), run.Tokens)
	}
	_ = conn.Close()
	eventually(t, "the run ends when its caller has left", func() bool { return !unread().End.IsZero() })
}

// callerWhoDoesNotRead asks for a long stream and reads nothing.
func (f *fleet) openUnreadStream(entry string, tokens int) net.Conn {
	f.t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		return errors.Join(c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		}), err)
	}}
	conn, err := dialer.Dial("tcp", strings.TrimPrefix(f.Entries[entry].URL, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	body := fmt.Sprintf(`{"model":"small","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\n"+
		"X-Request-Id: deaf\r\nContent-Length: %d\r\n\r\n%s", brydemaatteKey, len(body), body)
	if err != nil {
		f.t.Fatal(err)
	}
	return conn
}
