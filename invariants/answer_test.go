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

// expectedAnswer returns the complete answer to a prompt.
func expectedAnswer(prompt string, tokens int) string {
	return strings.Join(standin.AnswerTokens("small", "1", prompt, tokens, false), "")
}

// startOneEngine starts a fleet with a single engine that accepts 64 concurrent
// requests.
func startOneEngine(t *testing.T, tokens int, tokenDelay time.Duration) *fleet {
	t.Helper()
	spec := oneDataCentreSpec(engineSpec("small-1", "small", tokens, tokenDelay))
	spec.Backends[0].ColdLimit, spec.Backends[0].WarmLimit = 64, 64
	spec.RequestTimeout = 15 * time.Second
	return startFleet(t, spec)
}

// sendStreams sends n concurrent streaming requests, alternating between both entries.
// Each uses its request id as prompt.
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

// Guards against lost, repeated or interchanged tokens, and against a second run on the
// engine, when the link between entry and agent fails.
func TestAnswerSurvivesLinkFailure(t *testing.T) {
	const streams, tokens = 20, 120 // 2.4 s per answer
	tests := []struct {
		name  string
		fault func(*testing.T, *tcpProxy)
	}{
		{"connections closed repeatedly", func(_ *testing.T, r *tcpProxy) {
			for range 5 {
				r.closeAll()
				time.Sleep(300 * time.Millisecond)
			}
		}},
		{"connections black-holed", func(_ *testing.T, r *tcpProxy) { r.blackhole() }},
		{"connections delayed, then black-holed", func(_ *testing.T, r *tcpProxy) {
			r.setDelay(80 * time.Millisecond)
			time.Sleep(400 * time.Millisecond)
			r.blackhole()
		}},
		{"new connections closed as well", func(_ *testing.T, r *tcpProxy) {
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
			eventually(t, "all streams are running", func() bool { return f.runningOn("small-1") == streams })
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
				t.Error("the fault interrupted no link")
			}
		})
	}
}

// Guards against a truncated answer that is reported as complete.
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

// Guards against a truncated answer that reaches the caller although another engine
// could have resumed it.
func TestTruncatedAnswerIsResumed(t *testing.T) {
	const tokens = 12
	spec := oneDataCentreSpec(engineSpec("small-1", "small", tokens, time.Millisecond), engineSpec("small-2", "small", tokens, time.Millisecond))
	f := startFleet(t, spec)
	f.send(chat("probe", "entry-1", "small", "x", false))
	first := "small-1" // the engine that an idle entry selects
	if f.runsStartedAfter(time.Time{}, first) == 0 {
		first = "small-2"
	}
	f.Backends[first].Engine.SetFaults(standin.EngineFaults{TruncateAfter: 5})
	for i := range 8 {
		// The retry budget allows its reserve plus one retry per five requests.
		id := fmt.Sprintf("request-%d", i)
		r := f.send(chat(id, "entry-1", "small", id, i%2 == 0))
		if r.status != 200 || r.content() != expectedAnswer(id, tokens) {
			t.Errorf("%s: status %d, %q", id, r.status, r.body)
		}
	}
	if n := f.runsStartedAfter(time.Time{}, first); n < 2 {
		t.Error("no request was affected by the fault")
	}
}

// Guards against an answer that is continued by an engine that cannot resume it: it fails,
// or its beginning comes twice, although another engine could have completed it.
func TestPartialAnswerGoesToAnEngineThatResumes(t *testing.T) {
	const tokens = 12
	for _, ignores := range []bool{true, false} {
		t.Run(fmt.Sprintf("others ignore the request to resume %v", ignores), func(t *testing.T) {
			t.Parallel()
			spec := oneDataCentreSpec(engineSpec("small-1", "small", tokens, time.Millisecond), engineSpec("small-2", "small", tokens, time.Millisecond),
				engineSpec("small-3", "small", tokens, time.Millisecond), engineSpec("small-4", "small", tokens, time.Millisecond))
			for i := range 3 {
				spec.Backends[i].Engine.Resumes, spec.Backends[i].Engine.IgnoresResume = false, ignores
			}
			f := startFleet(t, spec)
			for _, name := range []string{"small-1", "small-2", "small-3"} {
				f.Backends[name].Engine.SetFaults(standin.EngineFaults{TruncateAfter: 5})
			}
			resumed := 0
			for i := range 8 {
				id := fmt.Sprintf("request-%d", i)
				r := f.send(chat(id, "entry-1", "small", id, true))
				if r.status != 200 || r.content() != expectedAnswer(id, tokens) {
					t.Errorf("%s: status %d, %q", id, r.status, r.body)
				}
				if len(f.engineRuns()[id]) > 1 {
					resumed++
				}
			}
			if resumed == 0 {
				t.Error("no answer was resumed")
			}
		})
	}
}

// Guards against a caller that does not read its stream and thereby blocks other
// streams on the same link, or lets the engine generate without bound.
func TestCallerDoesNotRead(t *testing.T) {
	const streams, tokens = 30, 100
	f := startOneEngine(t, tokens, 0)
	conn := f.openUnreadStream("entry-1", 1_000_000)
	unread := func() standin.EngineRun { return f.engineRuns()["unread"][0] }
	eventually(t, "the engine generates for the caller", func() bool { return len(f.engineRuns()["unread"]) == 1 })
	last, lastChange := 0, time.Now()
	eventually(t, "the engine is blocked", func() bool {
		if n := unread().Tokens; n != last {
			last, lastChange = n, time.Now()
		}
		return last > 0 && time.Since(lastChange) > 300*time.Millisecond
	})
	t.Logf("blocked after %d tokens and %v", last, time.Since(unread().Start))
	for answer := range f.sendStreams(streams) {
		if answer.content() != expectedAnswer(answer.id, tokens) {
			t.Errorf("%s: status %d %+v", answer.id, answer.status, answer.error())
		}
	}
	// An entry drops a caller that has not read for 10 s. On a busy machine this time
	// may already have passed.
	if run := unread(); !run.End.IsZero() && run.End.Sub(run.Start) < 10*time.Second {
		t.Errorf("the unread answer ended after %v and %d tokens", run.End.Sub(run.Start), run.Tokens)
	}
	_ = conn.Close()
	eventually(t, "the run ends after its caller has disconnected", func() bool { return !unread().End.IsZero() })
}

// openUnreadStream requests a long stream and does not read the response.
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
		"X-Request-Id: unread\r\nContent-Length: %d\r\n\r\n%s", brydemaatteKey, len(body), body)
	if err != nil {
		f.t.Fatal(err)
	}
	return conn
}
