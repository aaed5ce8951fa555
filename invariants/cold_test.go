package invariants

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssoploom/embedded"
)

const coldLimit = 4

// coldEngine starts cold and bears coldLimit requests then. It is warm after 20
// answers, the number after which an agent first raises its limit.
func coldEngine() embedded.BackendSpec {
	b := engine("small-1", "small", 4, time.Millisecond)
	b.ColdLimit, b.WarmLimit = coldLimit, 16
	b.Engine.Cold, b.Engine.ColdLimit, b.Engine.WarmAfter = true, coldLimit, 20
	b.Engine.FirstTokenDelay = func(int) time.Duration { return 3 * time.Millisecond }
	return b
}

// coldFleet has four entries in front of one cold engine.
func coldFleet(t *testing.T) *fleet {
	spec := embedded.Spec{Backends: []embedded.BackendSpec{coldEngine()}, RequestTimeout: 5 * time.Second}
	for i := range 4 {
		spec.Entries = append(spec.Entries, embedded.EntrySpec{Name: fmt.Sprintf("entry-%d", i+1), DataCentre: "jylland"})
	}
	return startFleet(t, spec)
}

// pressure keeps 12 requests open at each entry until it is released.
type pressure struct {
	stop    atomic.Bool
	workers sync.WaitGroup
	ok      atomic.Int64
}

func (f *fleet) press(model string) *pressure {
	p := &pressure{}
	for name := range f.Entries {
		for i := range 12 {
			p.workers.Go(func() {
				for n := 0; !p.stop.Load(); n++ {
					r := f.send(chat(fmt.Sprintf("%s-%d-%d-%d", name, i, n, time.Now().UnixNano()), name, model, "x", false))
					if r.status == 200 {
						p.ok.Add(1)
					} else {
						time.Sleep(5 * time.Millisecond) // a refused caller does not spin
					}
				}
			})
		}
	}
	f.t.Cleanup(p.release)
	return p
}

func (p *pressure) release() {
	p.stop.Store(true)
	p.workers.Wait()
}

// checkCold verifies by the engine's own counters that it was never pushed
// above its cold limit.
func (f *fleet) checkCold(when string) {
	f.t.Helper()
	record := f.Backends["small-1"].Engine.Record()
	f.t.Logf("%s: runs %d, cold peak %d, peak %d, collapses %d", when, len(record.Runs), record.ColdPeak, record.Peak, record.Collapses)
	if record.ColdPeak > coldLimit || record.Collapses > 0 {
		f.t.Errorf("%s: cold peak %d, limit %d, collapses %d", when, record.ColdPeak, coldLimit, record.Collapses)
	}
}

func (f *fleet) untilWarm() {
	f.t.Helper()
	b := f.Backends["small-1"]
	eventually(f.t, "the engine is warm", func() bool { return !b.Engine.Record().Cold })
	eventually(f.t, "the agent has raised its limit", func() bool { return b.Agent.Load().Limit >= 2*coldLimit })
}

// Guards against several entries that together overload an engine that has
// just started, which each of them alone would not.
func TestColdEngineBearsFourEntries(t *testing.T) {
	f := coldFleet(t)
	p := f.press("small")
	f.untilWarm()
	p.release()
	f.checkCold("after the start")
	if peak := f.Backends["small-1"].Engine.Record().Peak; peak <= coldLimit {
		t.Errorf("peak %d: the entries did not push", peak)
	}
}

// Guards against an agent that starts with the limit of a warm engine, or that
// adds its work to the runs that its predecessor left at the engine.
func TestColdEngineBearsRestartedAgent(t *testing.T) {
	f := coldFleet(t)
	p := f.press("small")
	b := f.Backends["small-1"]
	for range 2 {
		f.untilWarm()
		if err := f.KillAgent("small-1"); err != nil {
			t.Fatal(err)
		}
		b.Engine.MakeCold()
		if err := f.StartAgent(t.Context(), "small-1"); err != nil {
			t.Fatal(err)
		}
	}
	f.untilWarm()
	p.release()
	f.checkCold("after two restarts of the agent")
}

// waitingAnswers counts the answers that have run for much longer than one that
// does not hang.
func (f *fleet) waitingAnswers() int {
	n := 0
	for _, run := range f.Backends["small-1"].Engine.Record().Runs {
		if run.End.IsZero() && time.Since(run.Start) > 100*time.Millisecond {
			n++
		}
	}
	return n
}

// Guards against an agent that refills the slots of a restarted engine at the
// old limit, because it learns of the restart only by the next load report.
func TestColdEngineBearsItsRestart(t *testing.T) {
	f := coldFleet(t)
	p := f.press("small")
	b := f.Backends["small-1"]
	for range 2 {
		f.untilWarm()
		// All slots hold an answer that waits after its first token, so that no
		// slot is freed between the restart and the break of the answers.
		faults := b.Engine.Faults()
		faults.HangAfter = 1
		b.Engine.SetFaults(faults)
		eventually(t, "waiting answers hold all slots", func() bool {
			load := b.Agent.Load()
			return load.Queued > 0 && f.waitingAnswers() == load.Limit
		})
		before := len(b.Engine.Record().Runs)
		faults.HangAfter = 0
		b.Engine.SetFaults(faults)
		b.Engine.Restart()
		eventually(t, "the restarted engine gets work", func() bool { return len(b.Engine.Record().Runs) > before })
	}
	f.untilWarm()
	p.release()
	f.checkCold("after two restarts of the engine")
}

// Guards against an agent that goes on at the old limit when an engine has
// become cold without a notice. The work that was admitted before the first
// slow answers is the bound.
func TestColdEngineWithoutNotice(t *testing.T) {
	f := coldFleet(t)
	p := f.press("small")
	f.untilWarm()
	b := f.Backends["small-1"]
	eventually(t, "the agent is at its warm limit", func() bool { return b.Agent.Load().Limit == 16 })
	resets := b.Agent.Load().Resets
	b.Engine.MakeCold()
	eventually(t, "the agent falls to the cold limit", func() bool { return b.Agent.Load().Resets > resets })
	eventually(t, "the old work has ended", func() bool { return b.Agent.Load().Running <= coldLimit })
	collapses := b.Engine.Record().Collapses
	if collapses > 2*16 {
		t.Errorf("%d requests were admitted before the fall, want at most two per slot", collapses)
	}
	f.untilWarm()
	p.release()
	record := b.Engine.Record()
	t.Logf("collapses until the fall %d, in total %d", collapses, record.Collapses)
	if record.Collapses > collapses {
		t.Errorf("%d requests above the cold limit after the fall", record.Collapses-collapses)
	}
}
