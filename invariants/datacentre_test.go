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

// outTime is the most that may pass between the acceptance of a record that
// takes a place out of service and the last new run there.
const outTime = 3 * time.Second

// twoCentres is a fleet of two entries and four engines in two data centres.
func twoCentres(tokens int, tokenDelay time.Duration) embedded.Spec {
	spec := embedded.Spec{RequestTimeout: 15 * time.Second}
	for _, centre := range []string{"jylland", "sjaelland"} {
		spec.Entries = append(spec.Entries, embedded.EntrySpec{Name: "entry-" + centre, DataCentre: centre})
		for i := range 2 {
			b := engine(fmt.Sprintf("small-%s-%d", centre, i+1), "small", tokens, tokenDelay)
			b.DataCentre, b.ColdLimit, b.WarmLimit = centre, 2, 8
			b.Engine.ColdLimit = b.ColdLimit
			// Far above the noise of a busy machine, which would count as cold.
			b.Engine.FirstTokenDelay = func(int) time.Duration { return 30 * time.Millisecond }
			spec.Backends = append(spec.Backends, b)
		}
	}
	return spec
}

func (f *fleet) putCentre(name string, state config.DataCentreState, grace time.Duration) time.Time {
	f.t.Helper()
	region := map[string]string{"jylland": "west", "sjaelland": "east"}[name]
	f.put(config.KindDataCentre, name, &config.DataCentre{Region: region, State: state, Grace: config.Duration(grace)})
	return time.Now()
}

// flow sends streamed requests and checks every answer.
type flow struct {
	stop    chan struct{}
	senders sync.WaitGroup
	running sync.WaitGroup
	sent    atomic.Int64
	mu      sync.Mutex
	faults  []string
}

// flow sends requests at a steady rate, whether or not earlier ones have ended.
func (f *fleet) flow(tokens int, every time.Duration, entries ...string) *flow {
	fl := &flow{stop: make(chan struct{})}
	for _, entry := range entries {
		fl.senders.Go(func() {
			ticker := time.NewTicker(every)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-fl.stop:
					return
				case <-ticker.C:
				}
				id := fmt.Sprintf("%s-%d", entry, n)
				fl.sent.Add(1)
				fl.running.Go(func() { fl.check(f.send(chat(id, entry, "small", id, true)), tokens) })
			}
		})
	}
	f.t.Cleanup(fl.end)
	return fl
}

// callers sends requests of as many callers at each entry, who send the next one
// when the last one has ended. Unlike at a steady rate, the part of the slots that
// is in use does not depend on how fast the machine is.
func (f *fleet) callers(tokens, callers int, entries ...string) *flow {
	fl := &flow{stop: make(chan struct{})}
	for _, entry := range entries {
		for caller := range callers {
			fl.senders.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-fl.stop:
						return
					default:
					}
					id := fmt.Sprintf("%s-%d-%d", entry, caller, n)
					fl.sent.Add(1)
					fl.check(f.send(chat(id, entry, "small", id, true)), tokens)
				}
			})
		}
	}
	f.t.Cleanup(fl.end)
	return fl
}

// check records an answer that is not exactly the answer to its own request.
func (fl *flow) check(r response, tokens int) {
	want := strings.Join(standin.AnswerTokens("small", "1", r.id, tokens, false), "")
	if r.err == nil && r.status == 200 && r.content() == want && strings.Contains(r.body, "data: [DONE]") {
		return
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.faults = append(fl.faults, fmt.Sprintf("%s: status %d, error %v %+v, %d of %d bytes", r.id, r.status, r.err, r.error(), len(r.content()), len(want)))
}

// end stops the flow and waits for all answers.
func (fl *flow) end() {
	select {
	case <-fl.stop:
	default:
		close(fl.stop)
	}
	fl.senders.Wait()
	fl.running.Wait()
}

// verify ends the flow and reports every answer that was not whole.
func (fl *flow) verify(t *testing.T) {
	t.Helper()
	fl.end()
	t.Logf("%d requests, %d not answered in full", fl.sent.Load(), len(fl.faults))
	for _, fault := range fl.faults[:min(len(fl.faults), 5)] {
		t.Error(fault)
	}
}

// startsAfter counts the runs that started on the named engines after a time.
func (f *fleet) startsAfter(at time.Time, backends ...string) int {
	n := 0
	for _, name := range backends {
		for _, run := range f.Backends[name].Engine.Record().Runs {
			if run.Start.After(at) {
				n++
			}
		}
	}
	return n
}

// runningOn counts the runs that have not ended.
func (f *fleet) runningOn(backends ...string) int {
	n := 0
	for _, name := range backends {
		n += f.Backends[name].Engine.Status().Running
	}
	return n
}

var jyllandEngines = []string{"small-jylland-1", "small-jylland-2"}

// Guards against work that reaches a data centre after it was taken out,
// against answers that are cut or refused although the other data centre could
// go on with them, and against a return that overloads cold engines.
func TestDataCentreOutAndBack(t *testing.T) {
	const tokens = 30 // 0.15 s with the first token
	f := startFleet(t, twoCentres(tokens, 4*time.Millisecond))
	warm := f.press("small")
	eventually(t, "the agents have raised their limits", func() bool {
		for _, b := range f.Backends {
			if b.Agent.Load().Limit < 5 {
				return false
			}
		}
		return true
	})
	warm.release()
	// 12 answers run at a time, on 16 slots of one data centre.
	load := f.callers(tokens, 6, "entry-jylland", "entry-sjaelland")
	begun := time.Now()
	eventually(t, "both data centres have work", func() bool { return f.startsAfter(begun, jyllandEngines...) > 4 })

	accepted := f.putCentre("jylland", config.DataCentreOut, 4*time.Second)
	eventually(t, "the entry of the data centre is not ready", func() bool { return !f.Entries["entry-jylland"].Entry.Ready() })
	eventually(t, "the data centre is idle", func() bool {
		return time.Since(accepted) > outTime && f.runningOn(jyllandEngines...) == 0
	})
	// The callers still send through both entries.
	sent := load.sent.Load()
	eventually(t, "more requests were sent", func() bool { return load.sent.Load() > sent+20 })
	if n := f.startsAfter(accepted.Add(outTime), jyllandEngines...); n > 0 {
		t.Errorf("%d runs started in the data centre %v after it was taken out", n, outTime)
	}
	last := time.Duration(0)
	for _, name := range jyllandEngines {
		for _, run := range f.Backends[name].Engine.Record().Runs {
			last = max(last, run.Start.Sub(accepted))
		}
	}
	t.Logf("last new run in the data centre %v after the acceptance", last)

	for _, name := range jyllandEngines {
		f.Backends[name].Engine.MakeCold() // maintenance restarts them
	}
	back := f.putCentre("jylland", config.DataCentreIn, 4*time.Second)
	eventually(t, "the data centre works again", func() bool { return f.startsAfter(back, jyllandEngines...) > 10 })
	load.verify(t)
	for _, name := range jyllandEngines {
		if record := f.Backends[name].Engine.Record(); record.Collapses > 0 {
			t.Errorf("%s: %d collapses, cold peak %d", name, record.Collapses, record.ColdPeak)
		}
	}
}

// Guards against answers that are cut because they outlast the grace of a data
// centre that was taken out.
func TestAnswersMoveOutOfDataCentre(t *testing.T) {
	const tokens = 75 // 3 s, longer than the grace
	f := startFleet(t, twoCentres(tokens, 40*time.Millisecond))
	load := f.flow(tokens, 20*time.Millisecond, "entry-jylland")
	eventually(t, "answers run", func() bool { return f.runningOn(jyllandEngines...) >= 3 })
	close(load.stop)
	load.senders.Wait()
	accepted := f.putCentre("jylland", config.DataCentreOut, time.Second)
	eventually(t, "the data centre is idle", func() bool { return f.runningOn(jyllandEngines...) == 0 })
	t.Logf("idle %v after the acceptance", time.Since(accepted))
	if took := time.Since(accepted); took > outTime+time.Second {
		t.Errorf("answers ran for %v in a data centre with a grace of 1 s", took)
	}
	load.running.Wait()
	moved := 0
	for _, runs := range f.runs() {
		for _, run := range runs {
			if run.From > 0 {
				moved++
			}
		}
	}
	if moved == 0 {
		t.Error("no answer was moved")
	}
	for _, fault := range load.faults {
		t.Error(fault)
	}
}
