package invariants

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssoploom/embedded"
)

const coldLimit = 4 // concurrent requests

// coldEngineSpec describes an engine that starts cold and then handles at most
// coldLimit concurrent requests. It is warm after 20 answers, the number after which an
// agent first raises its limit.
func coldEngineSpec() embedded.BackendSpec {
	b := engineSpec("small-1", "small", 4, time.Millisecond)
	b.ColdLimit, b.WarmLimit = coldLimit, 16
	b.Engine.Cold, b.Engine.ColdLimit, b.Engine.WarmAfter = true, coldLimit, 20
	b.Engine.FirstTokenDelay = func(int) time.Duration { return 3 * time.Millisecond }
	return b
}

// startColdFleet starts a fleet with four entries and one cold engine.
func startColdFleet(t *testing.T) *fleet {
	spec := embedded.Spec{Backends: []embedded.BackendSpec{coldEngineSpec()}, RequestTimeout: 5 * time.Second}
	for i := range 4 {
		spec.Entries = append(spec.Entries, embedded.EntrySpec{Name: fmt.Sprintf("entry-%d", i+1), DataCentre: "jylland"})
	}
	return startFleet(t, spec)
}

// backgroundLoad keeps 12 requests open at each entry until it is stopped.
type backgroundLoad struct {
	stopped   atomic.Bool
	workers   sync.WaitGroup
	succeeded atomic.Int64
}

func (f *fleet) startBackgroundLoad(model string) *backgroundLoad {
	load := &backgroundLoad{}
	for name := range f.Entries {
		for i := range 12 {
			load.workers.Go(func() {
				for n := 0; !load.stopped.Load(); n++ {
					r := f.send(chat(fmt.Sprintf("%s-%d-%d-%d", name, i, n, time.Now().UnixNano()), name, model, "x", false))
					if r.status == 200 {
						load.succeeded.Add(1)
					} else {
						time.Sleep(5 * time.Millisecond) // backoff after a refusal
					}
				}
			})
		}
	}
	f.t.Cleanup(load.stopAndWait)
	return load
}

func (l *backgroundLoad) stopAndWait() {
	l.stopped.Store(true)
	l.workers.Wait()
}

// checkColdLimit verifies by the engine's own counters that its cold limit was never
// exceeded.
func (f *fleet) checkColdLimit(when string) {
	f.t.Helper()
	record := f.Backends["small-1"].Engine.Record()
	f.t.Logf("%s: runs %d, cold peak %d, peak %d, collapses %d", when, len(record.Runs), record.ColdPeak, record.Peak, record.Collapses)
	if record.ColdPeak > coldLimit || record.Collapses > 0 {
		f.t.Errorf("%s: cold peak %d, limit %d, collapses %d", when, record.ColdPeak, coldLimit, record.Collapses)
	}
}

func (f *fleet) waitUntilWarm() {
	f.t.Helper()
	b := f.Backends["small-1"]
	eventually(f.t, "the engine is warm", func() bool { return !b.Engine.Record().Cold })
	eventually(f.t, "the agent has raised its limit", func() bool { return b.Agent.Load().Limit >= 2*coldLimit })
}

// Guards against several entries that together overload an engine that has just
// started, although each of them stays within the limit.
func TestColdEngineBearsFourEntries(t *testing.T) {
	f := startColdFleet(t)
	load := f.startBackgroundLoad("small")
	f.waitUntilWarm()
	load.stopAndWait()
	f.checkColdLimit("after the start")
	if peak := f.Backends["small-1"].Engine.Record().Peak; peak <= coldLimit {
		t.Errorf("peak %d: the entries did not send enough load", peak)
	}
}

// Guards against a restarted agent that starts with the limit of a warm engine, or that
// admits work in addition to the runs its predecessor left on the engine.
func TestColdEngineBearsRestartedAgent(t *testing.T) {
	f := startColdFleet(t)
	load := f.startBackgroundLoad("small")
	b := f.Backends["small-1"]
	for range 2 {
		f.waitUntilWarm()
		if err := f.KillAgent("small-1"); err != nil {
			t.Fatal(err)
		}
		b.Engine.MakeCold()
		if err := f.StartAgent(t.Context(), "small-1"); err != nil {
			t.Fatal(err)
		}
	}
	f.waitUntilWarm()
	load.stopAndWait()
	f.checkColdLimit("after two restarts of the agent")
}

// stalledAnswers counts the answers that have run for much longer than a normal answer
// takes.
func (f *fleet) stalledAnswers() int {
	n := 0
	for _, run := range f.Backends["small-1"].Engine.Record().Runs {
		if run.End.IsZero() && time.Since(run.Start) > 100*time.Millisecond {
			n++
		}
	}
	return n
}

// Guards against an agent that fills the slots of a restarted engine up to the old
// limit because it learns of the restart only from the next load report.
func TestColdEngineBearsItsRestart(t *testing.T) {
	f := startColdFleet(t)
	background := f.startBackgroundLoad("small")
	b := f.Backends["small-1"]
	for range 2 {
		f.waitUntilWarm()
		// All slots hold an answer that hangs after its first token, so that no slot is
		// freed between the restart and the failure of the answers.
		faults := b.Engine.Faults()
		faults.HangAfter = 1
		b.Engine.SetFaults(faults)
		eventually(t, "hanging answers occupy all slots", func() bool {
			load := b.Agent.Load()
			return load.Queued > 0 && f.stalledAnswers() == load.Limit
		})
		before := len(b.Engine.Record().Runs)
		faults.HangAfter = 0
		b.Engine.SetFaults(faults)
		b.Engine.Restart()
		eventually(t, "the restarted engine receives work", func() bool { return len(b.Engine.Record().Runs) > before })
	}
	f.waitUntilWarm()
	background.stopAndWait()
	f.checkColdLimit("after two restarts of the engine")
}

// Guards against an agent that keeps the old limit when an engine becomes cold without
// a restart notice. Only the work admitted before the first slow answers may exceed the
// cold limit.
func TestColdEngineWithoutNotice(t *testing.T) {
	f := startColdFleet(t)
	load := f.startBackgroundLoad("small")
	f.waitUntilWarm()
	b := f.Backends["small-1"]
	eventually(t, "the agent is at its warm limit", func() bool { return b.Agent.Load().Limit == 16 })
	resets := b.Agent.Load().Resets
	b.Engine.MakeCold()
	eventually(t, "the agent resets to the cold limit", func() bool { return b.Agent.Load().Resets > resets })
	eventually(t, "the old work has ended", func() bool { return b.Agent.Load().Running <= coldLimit })
	collapses := b.Engine.Record().Collapses
	if collapses > 2*16 {
		t.Errorf("%d requests were admitted before the reset, want at most two per slot", collapses)
	}
	f.waitUntilWarm()
	load.stopAndWait()
	record := b.Engine.Record()
	t.Logf("collapses until the reset %d, in total %d", collapses, record.Collapses)
	if record.Collapses > collapses {
		t.Errorf("%d requests above the cold limit after the reset", record.Collapses-collapses)
	}
}
