package invariants

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssoploom/dialect"
	"hyssoploom/ledger"
	"hyssoploom/once"
	"hyssoploom/standin"
)

// chargeTimeout limits the wait for charges. An agent writes them on behalf of a failed
// entry after 10 s.
const chargeTimeout = 40 * time.Second

var prices = map[string]int64{"small": 1, "medium": 4, "large": 10}

// servedStage describes what the engines generated for one stage of a request.
type servedStage struct {
	complete bool
	tokens   int64 // maximum over all runs
}

func (f *fleet) servedStages() map[[2]string]servedStage {
	out := make(map[[2]string]servedStage)
	for id, runs := range f.engineRuns() {
		for _, run := range runs {
			key := [2]string{id, run.Model}
			s := out[key]
			s.complete = s.complete || !run.Cut && !run.End.IsZero()
			s.tokens = max(s.tokens, int64(run.From+run.Tokens))
			out[key] = s
		}
	}
	return out
}

// ledgerMismatches compares the ledger with what the stand-ins served. A request whose
// caller was told "unknown" may be charged without a run, or for fewer tokens than an
// engine has sent, because a broken connection may lose the last token.
func (f *fleet) ledgerMismatches(unknown map[string]bool) []string {
	var mismatches []string
	add := func(format string, args ...any) { mismatches = append(mismatches, fmt.Sprintf(format, args...)) }
	want := f.servedStages()
	booked := make(map[string]bool)
	for _, b := range f.bookings() {
		booked[b.RequestID] = true
	}
	seen := make(map[[2]string]int)
	for _, row := range f.readLedger().Rows() {
		key := [2]string{row.RequestID, row.Model}
		seen[key]++
		s, ran := want[key]
		switch {
		case row.Service != "" && row.Amount != 500:
			add("%s: booking charged %d", row.RequestID, row.Amount)
		case !ran && !booked[row.RequestID] && !unknown[row.RequestID]:
			add("%s: %s%s charged but not run", row.RequestID, row.Model, row.Service)
		case row.Service != "" || !ran:
		case row.Amount != (row.TokensIn+row.TokensOut)*prices[row.Model]:
			add("%s: %s: amount %d for %d + %d tokens", row.RequestID, row.Model, row.Amount, row.TokensIn, row.TokensOut)
		case row.TokensOut > s.tokens || s.complete && !unknown[row.RequestID] && (row.TokensOut < s.tokens || row.TokensIn == 0):
			add("%s: %s: %d + %d tokens charged, %d served (complete: %t)", row.RequestID, row.Model, row.TokensIn, row.TokensOut, s.tokens, s.complete)
		}
	}
	for key := range want {
		if seen[key] != 1 {
			add("%s: %d charges for %s", key[0], seen[key], key[1])
		}
	}
	for id := range booked {
		if seen[[2]string{id, ""}] != 1 {
			add("%s: %d charges for the booking", id, seen[[2]string{id, ""}])
		}
	}
	slices.Sort(mismatches)
	return mismatches
}

// checkLedger waits until the ledger matches what was served.
func (f *fleet) checkLedger(responses ...response) {
	f.t.Helper()
	unknown := make(map[string]bool)
	for _, r := range responses {
		unknown[r.id] = unknown[r.id] || r.err != nil || r.error().Run == "unknown"
	}
	var mismatches []string
	for deadline := time.Now().Add(chargeTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if mismatches = f.ledgerMismatches(unknown); len(mismatches) == 0 {
			return
		}
	}
	f.t.Errorf("the ledger does not match what was served:\n%s", strings.Join(mismatches, "\n"))
}

func (f *fleet) wantStatus(status int, responses ...response) {
	f.t.Helper()
	for _, r := range responses {
		if r.status != status {
			f.t.Errorf("%s got %d %s %v, want %d", r.id, r.status, r.body, r.err, status)
		}
	}
}

// sendConcurrently sends the requests at the same time.
func (f *fleet) sendConcurrently(requests ...request) []response {
	out := make([]response, len(requests))
	var senders sync.WaitGroup
	for i, r := range requests {
		senders.Go(func() { out[i] = f.send(r) })
	}
	senders.Wait()
	return out
}

// Guards against charges that are held by the entry only and are lost when it crashes
// before it has written them.
func TestEntryCrashBeforeCommit(t *testing.T) {
	t.Parallel()
	f, s := startIntercepted(t, oneDataCentreSpec(engineSpec("small-1", "small", 4, 0)))
	commit := s.forProcess("entry-1").inject(writesPrefix(ledger.Prefix), pauseBefore)
	responses := []response{f.send(chat("plain", "entry-1", "small", "x", false))}
	<-commit.triggered
	responses = append(responses, f.send(booking("booking", "entry-1", "k")))
	f.Store.SetDown(true)
	responses = append(responses, f.send(chat("stream", "entry-1", "small", "x", true)))
	f.crashEntry(s, "entry-1")
	f.Store.SetDown(false)
	f.wantStatus(http.StatusOK, responses[0], responses[2])
	f.wantStatus(http.StatusCreated, responses[1])
	f.checkLedger(responses...)
}

// Guards against charges that are held by the agent only and are lost when it crashes
// after the answer.
func TestAgentCrashAfterAnswer(t *testing.T) {
	t.Parallel()
	f, s := startIntercepted(t, oneDataCentreSpec(engineSpec("small-1", "small", 4, 0)))
	f.Store.SetDown(true)
	responses := f.sendConcurrently(chat("plain", "entry-1", "small", "x", false), chat("stream", "entry-2", "small", "x", true))
	f.crashAgent(s, "small-1")
	f.Store.SetDown(false)
	f.wantStatus(http.StatusOK, responses...)
	f.checkLedger(responses...)
}

// Guards against a booking that is not charged because its agent crashes between the
// call and the end of the answer.
func TestAgentCrashBeforeEndOfBooking(t *testing.T) {
	for _, at := range []struct {
		name  string
		pause func(*writeFault) swapFunc
	}{{"before Finish", pauseBefore}, {"after Finish", pauseAfter}} {
		t.Run(at.name, func(t *testing.T) {
			t.Parallel()
			f, s := startBookingFleet(t)
			waitTriggered := f.injectIntoBookingAgents(s, once.StateFinished, at.pause)
			first := f.sendAsync(booking("first", "entry-1", "k"))
			name, fault := waitTriggered()
			<-fault.triggered
			f.crashAgent(s, name)
			f.checkLedger(<-first)
		})
	}
}

// Guards against lost or duplicate charges when both entry and agent hold them during a
// store outage that outlasts the agent's wait.
func TestChargesSurviveOutage(t *testing.T) {
	t.Parallel()
	spec := oneDataCentreSpec(engineSpec("small-1", "small", 4, 0))
	logs := &syncBuffer{}
	spec.Logs = logs
	f, _ := startIntercepted(t, spec)
	f.Store.SetDown(true)
	var requests []request
	for i := range 20 {
		requests = append(requests, chat(fmt.Sprintf("r-%d", i), fmt.Sprintf("entry-%d", 1+i%2), "small", "x", i%3 == 0))
	}
	responses := f.sendConcurrently(requests...)
	eventually(t, "the agent takes over the charges", func() bool {
		return strings.Contains(logs.String(), "Writing charges that no entry reported durable.")
	})
	f.Store.SetDown(false)
	f.wantStatus(http.StatusOK, responses...)
	f.checkLedger(responses...)
}

// Guards against lost or duplicate charges when ledger writes or their responses are
// lost while compactors merge the batches.
func TestLostLedgerWritesAndCompaction(t *testing.T) {
	t.Parallel()
	f, s := startIntercepted(t, oneDataCentreSpec(engineSpec("small-1", "small", 4, 0), engineSpec("small-2", "small", 4, 0)))
	for _, entry := range []string{"entry-1", "entry-2"} {
		for range 5 {
			s.forProcess(entry).inject(writesPrefix(ledger.Prefix), loseResponse)
			s.forProcess(entry).inject(writesPrefix(ledger.Prefix), dropRequest)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	var compactors sync.WaitGroup
	for range 2 {
		compactors.Go(func() {
			for ctx.Err() == nil {
				_ = ledger.Compact(ctx, dialect.Store(f.Store))
			}
		})
	}
	var responses []response
	for round := range 12 {
		var requests []request
		for i := range 6 {
			requests = append(requests, chat(fmt.Sprintf("r-%d-%d", round, i), fmt.Sprintf("entry-%d", 1+i%2), "small", "x", i%3 == 0))
		}
		responses = append(responses, f.sendConcurrently(requests...)...)
	}
	f.checkLedger(responses...)
	stop()
	compactors.Wait()
	f.wantStatus(http.StatusOK, responses...)
	f.checkLedger(responses...)
}

// Guards against a second charge when a caller repeats a request, concurrently or
// later, through the same or another entry.
func TestRepeatedRequestIsChargedOnce(t *testing.T) {
	t.Parallel()
	f, _ := startIntercepted(t, oneDataCentreSpec(engineSpec("small-1", "small", 4, 0)))
	responses := f.sendConcurrently(chat("r", "entry-1", "small", "x", false), chat("r", "entry-2", "small", "x", false))
	for _, entry := range []string{"entry-1", "entry-2", "entry-1"} {
		responses = append(responses, f.send(chat("r", entry, "small", "x", false)))
	}
	f.wantStatus(http.StatusOK, responses...)
	f.checkLedger(responses...)
	if rows := f.readLedger().Rows(); len(rows) != 1 {
		t.Errorf("%d charges for one request: %+v", len(rows), rows)
	}
	if other := f.send(chat("r", "entry-1", "small", "y", false)); other.status != http.StatusOK {
		t.Errorf("other body: %d %s", other.status, other.body)
	}
	eventually(t, "another request with the same id is charged too", func() bool { return f.readLedger().Len() == 2 })
}

// Guards against an agent that drops the charge of a complete answer when another entry
// reports a smaller charge for the same request as durable.
func TestSmallerChargeDoesNotReplaceLarger(t *testing.T) {
	t.Parallel()
	f, s := startIntercepted(t, oneDataCentreSpec(engineSpec("small-1", "small", 6, 0)))
	commit := s.forProcess("entry-1").inject(writesPrefix(ledger.Prefix), pauseBefore)
	first := f.send(chat("r", "entry-1", "small", "x", false))
	<-commit.triggered
	f.Backends["small-1"].Engine.SetFaults(standin.EngineFaults{TruncateAfter: 2})
	second := f.send(chat("r", "entry-2", "small", "x", false))
	eventually(t, "the smaller charge is in the store", func() bool { return f.readLedger().Len() == 1 })
	// Links deliver messages in order. An answer that was requested after the report of
	// the smaller charge therefore ends after the agent has processed that report.
	f.send(chat("later", "entry-2", "small", "x", false))
	f.crashEntry(s, "entry-1")
	f.wantStatus(http.StatusOK, first)
	f.checkLedger(first, second)
}

// acceptLargeOnly is a rater function that passes only answers of the large model.
func acceptLargeOnly(r dialect.RateRequest, _ float64) bool { return r.Model == "large" }

// Guards against cascade stages that are charged twice or not at all, also when the
// entry crashes during the third stage and the caller repeats the request.
func TestCascadeIsChargedPerStage(t *testing.T) {
	t.Parallel()
	spec := oneDataCentreSpec(engineSpec("small-1", "small", 4, 0), engineSpec("medium-1", "medium", 4, 0), engineSpec("large-1", "large", 4, 0))
	spec.Judge = acceptLargeOnly
	f, s := startIntercepted(t, spec)
	whole := f.send(chat("whole", "entry-1", "auto", "x", false))
	f.wantStatus(http.StatusOK, whole)

	large := f.Backends["large-1"].Engine
	large.SetFaults(standin.EngineFaults{Hang: true})
	cut := f.sendAsync(chat("cut", "entry-1", "auto", "x", false))
	eventually(t, "the third stage is running", func() bool { return hasRun(large, "cut") })
	f.crashEntry(s, "entry-1")
	large.SetFaults(standin.EngineFaults{})
	again := f.send(chat("cut", "entry-2", "auto", "x", false))
	f.wantStatus(http.StatusOK, again)
	f.checkLedger(whole, <-cut, again)
	for _, id := range []string{"whole", "cut"} {
		want, stages := int64(0), 0
		for key, s := range f.servedStages() {
			if key[0] == id {
				want += prices[key[1]] * (1 + s.tokens) // the prompt is one token
				stages++
			}
		}
		if cost := f.readLedger().Total("brydemaatte", id); cost != want || stages < 2 {
			t.Errorf("%s ran %d stages and cost %d, want %d: %+v", id, stages, cost, want, f.readLedger().Rows())
		}
	}
}

func hasRun(e *standin.Engine, id string) bool {
	return slices.ContainsFunc(e.Record().Runs, func(r standin.EngineRun) bool { return r.RequestID == id })
}

// Guards against an answer that is not charged, or charged for more than was generated,
// when its caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	f, _ := startIntercepted(t, oneDataCentreSpec(engineSpec("small-1", "small", 500, 2*time.Millisecond)))
	r := chat("r", "entry-1", "small", "x", true)
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.Entries[r.entry].URL+r.path, strings.NewReader(r.body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+r.key)
	req.Header.Set("X-Request-Id", r.id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	events := bufio.NewScanner(resp.Body)
	for seen := 0; seen < 20 && events.Scan(); {
		if strings.HasPrefix(events.Text(), "data: ") {
			seen++
		}
	}
	disconnect()
	eventually(t, "the engine stops", func() bool { return !f.engineRuns()["r"][0].End.IsZero() })
	f.checkLedger()
	if rows := f.readLedger().Rows(); len(rows) != 1 || rows[0].TokensOut < 20 || !f.engineRuns()["r"][0].Cut {
		t.Errorf("charges after 20 tokens: %+v; runs %+v", rows, f.engineRuns()["r"])
	}
}

// Guards against two charges for an answer that was started on one engine and resumed
// on another.
func TestResumedStreamIsChargedOnce(t *testing.T) {
	t.Parallel()
	f, _ := startIntercepted(t, oneDataCentreSpec(engineSpec("small-1", "small", 12, 0), engineSpec("small-2", "small", 12, 0)))
	f.Backends["small-1"].Engine.SetFaults(standin.EngineFaults{TruncateAfter: 5})
	var responses []response
	resumed := 0
	for i := 0; resumed == 0; i++ {
		id := fmt.Sprintf("r-%d", i)
		responses = append(responses, f.send(chat(id, "entry-1", "small", "x", true)))
		resumed = len(f.engineRuns()[id]) - 1
	}
	f.wantStatus(http.StatusOK, responses...)
	f.checkLedger(responses...)
}
