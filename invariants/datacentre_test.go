package invariants

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/embedded"
	"hyssoploom/standin"
)

// maxLeaveTime limits the time from the acceptance of a record that takes a data centre
// or backend server out of service to the last new run there.
const maxLeaveTime = 3 * time.Second

// twoDataCentresSpec describes a fleet of two entries and four engines in two data
// centres.
func twoDataCentresSpec(tokens int, tokenDelay time.Duration) embedded.Spec {
	spec := embedded.Spec{RequestTimeout: 15 * time.Second}
	for _, dataCentre := range []string{"jylland", "sjaelland"} {
		spec.Entries = append(spec.Entries, embedded.EntrySpec{Name: "entry-" + dataCentre, DataCentre: dataCentre})
		for i := range 2 {
			b := engineSpec(fmt.Sprintf("small-%s-%d", dataCentre, i+1), "small", tokens, tokenDelay)
			b.DataCentre, b.ColdLimit, b.WarmLimit = dataCentre, 2, 8
			b.Engine.ColdLimit = b.ColdLimit
			// Well above the scheduling delays of a busy machine, which would otherwise
			// count as a cold engine.
			b.Engine.FirstTokenDelay = func(int) time.Duration { return 30 * time.Millisecond }
			spec.Backends = append(spec.Backends, b)
		}
	}
	return spec
}

func (f *fleet) putDataCentre(name string, state config.DataCentreState, grace time.Duration) time.Time {
	f.t.Helper()
	region := map[string]string{"jylland": "west", "sjaelland": "east"}[name]
	f.put(config.KindDataCentre, name, &config.DataCentre{Region: region, State: state, Grace: config.Duration(grace)})
	return time.Now()
}

// streamLoad sends streaming requests and checks every answer.
type streamLoad struct {
	stop     chan struct{}
	senders  sync.WaitGroup
	running  sync.WaitGroup
	sent     atomic.Int64
	mu       sync.Mutex
	failures []string
}

// startOpenLoop sends requests at a constant rate, independent of the completion of
// earlier ones.
func (f *fleet) startOpenLoop(tokens int, every time.Duration, entries ...string) *streamLoad {
	load := &streamLoad{stop: make(chan struct{})}
	for _, entry := range entries {
		load.senders.Go(func() {
			ticker := time.NewTicker(every)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-load.stop:
					return
				case <-ticker.C:
				}
				id := fmt.Sprintf("%s-%d", entry, n)
				load.sent.Add(1)
				load.running.Go(func() { load.check(f.send(chat(id, entry, "small", id, true)), tokens) })
			}
		})
	}
	f.t.Cleanup(load.stopAndWait)
	return load
}

// startClosedLoop runs a number of callers per entry, each of which sends its next
// request when the previous one has ended. Unlike at a constant rate, the number of
// occupied slots does not depend on the speed of the machine.
func (f *fleet) startClosedLoop(tokens, callers int, entries ...string) *streamLoad {
	load := &streamLoad{stop: make(chan struct{})}
	for _, entry := range entries {
		for caller := range callers {
			load.senders.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-load.stop:
						return
					default:
					}
					id := fmt.Sprintf("%s-%d-%d", entry, caller, n)
					load.sent.Add(1)
					load.check(f.send(chat(id, entry, "small", id, true)), tokens)
				}
			})
		}
	}
	f.t.Cleanup(load.stopAndWait)
	return load
}

// check records an answer that differs from the expected answer to its own request.
func (l *streamLoad) check(r response, tokens int) {
	want := strings.Join(standin.AnswerTokens("small", "1", r.id, tokens, false), "")
	if r.err == nil && r.status == 200 && r.content() == want && strings.Contains(r.body, "data: [DONE]") {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf("%s: status %d, error %v %+v, %d of %d bytes", r.id, r.status, r.err, r.error(), len(r.content()), len(want)))
}

// stopAndWait stops the load and waits for all answers.
func (l *streamLoad) stopAndWait() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.senders.Wait()
	l.running.Wait()
}

// verify stops the load and reports every answer that was incomplete or wrong.
func (l *streamLoad) verify(t *testing.T) {
	t.Helper()
	l.stopAndWait()
	t.Logf("%d requests, %d without a complete answer", l.sent.Load(), len(l.failures))
	for _, failure := range l.failures[:min(len(l.failures), 5)] {
		t.Error(failure)
	}
}

// runsStartedAfter counts the runs that started on the named engines after a time.
func (f *fleet) runsStartedAfter(since time.Time, backends ...string) int {
	n := 0
	for _, name := range backends {
		for _, run := range f.Backends[name].Engine.Record().Runs {
			if run.Start.After(since) {
				n++
			}
		}
	}
	return n
}

// runningOn counts the unfinished runs on the named engines.
func (f *fleet) runningOn(backends ...string) int {
	n := 0
	for _, name := range backends {
		n += f.Backends[name].Engine.Status().Running
	}
	return n
}

var jyllandEngines = []string{"small-jylland-1", "small-jylland-2"}

// Guards against work that reaches a data centre after it was taken out of service,
// against answers that are cut or refused although the other data centre could serve
// them, and against a return that overloads cold engines.
func TestDataCentreOutAndBack(t *testing.T) {
	const tokens = 30 // 0.15 s including the first token
	f := startFleet(t, twoDataCentresSpec(tokens, 4*time.Millisecond))
	warm := f.startBackgroundLoad("small")
	eventually(t, "the agents have raised their limits", func() bool {
		for _, b := range f.Backends {
			if b.Agent.Load().Limit < 5 {
				return false
			}
		}
		return true
	})
	warm.stopAndWait()
	// 12 answers run concurrently on the 16 slots of one data centre.
	load := f.startClosedLoop(tokens, 6, "entry-jylland", "entry-sjaelland")
	loadStart := time.Now()
	eventually(t, "both data centres have work", func() bool { return f.runsStartedAfter(loadStart, jyllandEngines...) > 4 })

	accepted := f.putDataCentre("jylland", config.DataCentreOut, 4*time.Second)
	eventually(t, "the entry of the data centre is not ready", func() bool { return !f.Entries["entry-jylland"].Entry.Ready() })
	eventually(t, "the data centre is idle", func() bool {
		return time.Since(accepted) > maxLeaveTime && f.runningOn(jyllandEngines...) == 0
	})
	// The callers still use both entries.
	sent := load.sent.Load()
	eventually(t, "more requests were sent", func() bool { return load.sent.Load() > sent+20 })
	if n := f.runsStartedAfter(accepted.Add(maxLeaveTime), jyllandEngines...); n > 0 {
		t.Errorf("%d runs started in the data centre %v after it was taken out", n, maxLeaveTime)
	}
	last := time.Duration(0)
	for _, name := range jyllandEngines {
		for _, run := range f.Backends[name].Engine.Record().Runs {
			last = max(last, run.Start.Sub(accepted))
		}
	}
	t.Logf("last new run in the data centre %v after the acceptance", last)

	for _, name := range jyllandEngines {
		f.Backends[name].Engine.MakeCold() // simulates restarts during maintenance
	}
	back := f.putDataCentre("jylland", config.DataCentreIn, 4*time.Second)
	eventually(t, "the data centre receives work again", func() bool { return f.runsStartedAfter(back, jyllandEngines...) > 10 })
	load.verify(t)
	for _, name := range jyllandEngines {
		if record := f.Backends[name].Engine.Record(); record.Collapses > 0 {
			t.Errorf("%s: %d collapses, cold peak %d", name, record.Collapses, record.ColdPeak)
		}
	}
}

// Guards against answers that are cut because they outlast the grace period of a data
// centre that was taken out of service.
func TestAnswersMoveOutOfDataCentre(t *testing.T) {
	const tokens = 75 // 3 s, which exceeds the grace period
	f := startFleet(t, twoDataCentresSpec(tokens, 40*time.Millisecond))
	load := f.startOpenLoop(tokens, 20*time.Millisecond, "entry-jylland")
	eventually(t, "answers are running", func() bool { return f.runningOn(jyllandEngines...) >= 3 })
	close(load.stop)
	load.senders.Wait()
	accepted := f.putDataCentre("jylland", config.DataCentreOut, time.Second)
	eventually(t, "the data centre is idle", func() bool { return f.runningOn(jyllandEngines...) == 0 })
	t.Logf("idle %v after the acceptance", time.Since(accepted))
	if took := time.Since(accepted); took > maxLeaveTime+time.Second {
		t.Errorf("answers ran for %v in a data centre with a grace of 1 s", took)
	}
	load.running.Wait()
	moved := 0
	for _, runs := range f.engineRuns() {
		for _, run := range runs {
			if run.From > 0 {
				moved++
			}
		}
	}
	if moved == 0 {
		t.Error("no answer was moved")
	}
	for _, failure := range load.failures {
		t.Error(failure)
	}
}
