package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/ledger"
	"hyssoploom/standin"
)

// Guards against a planned stop that loses, refuses or truncates requests, exits with
// an error, or leaves charges unwritten.
func TestPlannedStopsUnderLoad(t *testing.T) {
	f := startSmallFleet(t, standin.EngineConfig{Tokens: 20, TokenDelay: 2 * time.Millisecond})
	// Ledger writes take longer than answers wait for them.
	f.store.SetDelay(500 * time.Millisecond)
	stop := make(chan struct{})
	var b balancer
	for i, name := range []string{"entry-1", "entry-2"} {
		addr := f.entries[name].Addr
		b.ready[i].Store(&addr)
		go b.watch(i, addr, stop)
	}
	var served atomic.Int64
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n := caller * 100_000; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if r := f.sendBalanced(&b, n); r.status != http.StatusOK {
					t.Errorf("request load-%d: %d %s %v", n, r.status, r.body, r.err)
				}
				served.Add(1)
			}
		}()
	}
	for _, name := range []string{"small-1", "small-2"} {
		f.agents[name].Stop(t)
		f.startAgent(name, f.urls[name], engineRecord("jylland", "small", "1"))
		f.waitReady("entry-1")
		f.waitReady("entry-2")
	}
	long := make(chan response, 1)
	go func() {
		long <- f.post("entry-1", "/v1/chat/completions", "key-brydemaatte",
			`{"model":"small","stream":true,"max_tokens":1500,"messages":[{"role":"user","content":"long"}]}`, "X-Request-Id", "long")
	}()
	eventually(t, "the long answer is running", func() bool { return f.hasRun("long") })
	f.entries["entry-1"].Stop(t)
	if r := <-long; !strings.Contains(r.body, "data: [DONE]") {
		t.Errorf("long answer through the stopped entry: %d, %v, %d bytes", r.status, r.err, len(r.body))
	}
	f.startEntry("entry-1", "jylland")
	f.waitReady("entry-1")
	time.Sleep(2 * balancerPollInterval)
	f.entries["entry-2"].Stop(t)
	close(stop)
	callers.Wait()
	f.entries["entry-1"].Stop(t)
	// The entries have written their charges themselves: agents take them over only
	// after some seconds or when they stop.
	f.checkLedger("brydemaatte", int(served.Load())+1)
	for _, agent := range f.agents {
		agent.Stop(t)
	}
}

// hasRun reports whether an engine has received the request.
func (f *smallFleet) hasRun(requestID string) bool {
	for _, engine := range f.engines {
		for _, run := range engine.Record().Runs {
			if run.RequestID == requestID {
				return true
			}
		}
	}
	return false
}

// checkLedger compares the ledger with the runs of the engines.
func (f *smallFleet) checkLedger(workspace string, requests int) {
	f.t.Helper()
	rows, err := ledger.Read(context.Background(), f.store)
	if err != nil {
		f.t.Fatal(err)
	}
	ran := make(map[string]int64)
	for _, engine := range f.engines {
		for _, run := range engine.Record().Runs {
			ran[run.RequestID] = max(ran[run.RequestID], int64(run.From+run.Tokens))
		}
	}
	bill := rows.Bill(ledger.Filter{Workspace: workspace})
	if bill.Requests != requests || len(ran) != requests {
		f.t.Errorf("the bill has %d requests, the engines ran %d, callers sent %d", bill.Requests, len(ran), requests)
	}
	for _, row := range rows.Rows() {
		if row.Workspace == workspace && row.TokensOut != ran[row.RequestID] {
			f.t.Errorf("request %s: charged %d tokens, generated %d", row.RequestID, row.TokensOut, ran[row.RequestID])
		}
	}
}

// Guards against an answer that is truncated when the agent process is killed. The
// entry has to continue it on another backend server.
func TestAgentKilledMidStream(t *testing.T) {
	f := startSmallFleet(t, standin.EngineConfig{Tokens: 60, TokenDelay: 20 * time.Millisecond})
	body := `{"model":"small","stream":true,"messages":[{"role":"user","content":"A long story."}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+f.entries["entry-1"].Addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key-brydemaatte")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var got strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for events := 0; lines.Scan(); {
		got.WriteString(lines.Text() + "\n")
		if !strings.HasPrefix(lines.Text(), "data: ") {
			continue
		}
		if events++; events == 10 {
			f.agents[f.busyBackend()].Kill()
		}
	}
	want := strings.Join(standin.AnswerTokens("small", "1", "A long story.", 60, false), "")
	if text := streamedText(got.String()); text != want || !strings.Contains(got.String(), "data: [DONE]") {
		t.Errorf("got %q, want the text %q; error of the read: %v", got.String(), want, lines.Err())
	}
}

// busyBackend returns a backend server whose engine has run a request.
func (f *smallFleet) busyBackend() string {
	for name, engine := range f.engines {
		if len(engine.Record().Runs) > 0 {
			return name
		}
	}
	f.t.Fatal("no engine has run anything")
	return ""
}

// streamedText returns the text of a streamed answer.
func streamedText(body string) string {
	var text strings.Builder
	for line := range strings.SplitSeq(body, "\n") {
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &chunk) == nil && len(chunk.Choices) == 1 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String()
}

// Guards against a second run of a booking while its agent is frozen. No other process
// may decide that the call did not happen.
func TestAgentFrozenDuringBooking(t *testing.T) {
	f := startSmallFleet(t, standin.EngineConfig{Tokens: 4})
	f.runner.SetFaults(standin.BookingFaults{Delay: 500 * time.Millisecond})
	first := make(chan response, 1)
	go func() { first <- f.postBooking("entry-1", "visit-7") }()
	eventually(t, "the runner has received the call", func() bool { return len(f.runner.Calls()) == 1 })
	f.agents["booking"].Signal(t, syscall.SIGSTOP)

	duplicate := f.postBooking("entry-2", "visit-7")
	if duplicate.status != http.StatusConflict || duplicate.run() != "unknown" {
		t.Errorf("duplicate while the agent is frozen: %d %s", duplicate.status, duplicate.body)
	}
	f.agents["booking"].Signal(t, syscall.SIGCONT)
	<-first
	eventually(t, "the answer is stored", func() bool { return f.postBooking("entry-2", "visit-7").status == http.StatusCreated })
	if n := len(f.runner.Calls()); n != 1 {
		t.Errorf("the runner was called %d times, want 1", n)
	}
}

// booking is the body of a booking.
const booking = `{"crew":2}`

func (f *smallFleet) postBooking(entry, key string) response {
	return f.post(entry, "/services/booking/bookings", "key-aljibe", booking, "Idempotency-Key", key)
}

// Guards against a dispatch that was pending when its entry was frozen and is sent
// after the request's deadline.
func TestEntryFrozenBeforeDispatch(t *testing.T) {
	f := startSmallFleet(t, standin.EngineConfig{Tokens: 4})
	f.put(config.KindService, "booking", &config.Service{Price: 500, Timeout: config.Duration(time.Second)})
	eventually(t, "the record is in force", func() bool { return f.inForce() })
	f.store.SetDelay(300 * time.Millisecond)
	done := make(chan response, 1)
	go func() { done <- f.postBooking("entry-1", "visit-7") }()
	eventually(t, "the reservation is in the store", func() bool {
		kvs, _, err := f.store.List(context.Background(), "once/")
		return err == nil && len(kvs) == 1
	})
	f.entries["entry-1"].Signal(t, syscall.SIGSTOP)
	f.store.SetDelay(0)
	time.Sleep(1500 * time.Millisecond) // exceeds the service's timeout
	f.entries["entry-1"].Signal(t, syscall.SIGCONT)
	r := <-done
	calls := len(f.runner.Calls())
	if calls > 1 || calls == 1 && r.run() == "not_run" {
		t.Errorf("answer %d %s after %d calls", r.status, r.body, calls)
	}
	again := f.postBooking("entry-2", "visit-7")
	if again.run() == "not_run" && len(f.runner.Calls()) > 0 || len(f.runner.Calls()) > 1 {
		t.Errorf("second request: %d %s after %d calls", again.status, again.body, len(f.runner.Calls()))
	}
}

// inForce reports whether all entries have the newest records.
func (f *smallFleet) inForce() bool {
	kvs, _, err := f.store.List(context.Background(), "config/")
	if err != nil {
		return false
	}
	newest := uint64(0)
	for _, kv := range kvs {
		newest = max(newest, kv.Revision)
	}
	for _, entry := range f.entries {
		if vars, ok := readVars("http://" + entry.Addr); !ok || vars.Hyssoploom.Revision < newest {
			return false
		}
	}
	return true
}
