package once

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hyssoploom/internal/faketest"
)

// simulation runs entries and agents on one key. Every call to the store and to
// the backend server blocks until the schedule releases it, with or without a
// fault, or stops its process.
type simulation struct {
	store *faketest.Store

	mu         sync.Mutex
	pending    []chan callOutcome
	running    int
	ids        int
	runs       []string
	notRun     []string
	violations []string // violated rules
	events     map[string]int
}

// callOutcome is what the schedule does to a blocked call.
type callOutcome struct {
	fault      faketest.Fault
	stopBefore bool // the process stops before the call
	stopAfter  bool // the process stops after the write is applied
}

// waitForSchedule blocks until the schedule releases the call. It does not return
// if the process stops before the call.
func (sim *simulation) waitForSchedule() callOutcome {
	release := make(chan callOutcome)
	sim.mu.Lock()
	sim.pending = append(sim.pending, release)
	sim.mu.Unlock()
	c := <-release
	if c.stopBefore {
		runtime.Goexit()
	}
	return c
}

func (sim *simulation) startProcess(body func()) {
	sim.mu.Lock()
	sim.running++
	sim.mu.Unlock()
	go func() {
		defer func() {
			sim.mu.Lock()
			sim.running--
			sim.mu.Unlock()
		}()
		body()
	}()
}

func (sim *simulation) appendTo(list *[]string, text string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	*list = append(*list, text)
}

func (sim *simulation) count(event string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.events[event]++
}

func (sim *simulation) newRecordStore() *RecordStore {
	return New(sim.store, WithIDs(func() string {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.ids++
		return fmt.Sprintf("id-%d", sim.ids)
	}))
}

// runEntry sends the request until its outcome is final, at most three times.
// Each dispatch reaches two agents, as a retransmitted dispatch could.
func (sim *simulation) runEntry(name string) {
	ctx, records := context.Background(), sim.newRecordStore()
	r := testReservation
	r.Owner = name
	for range 3 {
		res, err := records.Reserve(ctx, r)
		sim.count("reserve " + string(res.Outcome))
		switch {
		case err != nil, res.Outcome == InProgress:
			time.Sleep(testReservation.Timeout)
			continue
		case res.Outcome == Finished:
			sim.checkAnswer(res.Answer)
			return
		case res.Outcome != Reserved:
			return
		}
		done := make(chan struct{}, 2)
		for i := range 2 {
			sim.startProcess(func() { sim.runAgent(fmt.Sprintf("%s-agent-%d", name, i), res.Nonce, done) })
		}
		select {
		case <-done:
		case <-time.After(testReservation.Timeout):
		}
		c, err := records.Cancel(ctx, workspace, key, res.Nonce)
		sim.count("cancel " + string(c.Outcome))
		if err == nil && c.Outcome == Cancelled {
			sim.appendTo(&sim.notRun, res.Nonce)
		}
		if c.Outcome == AlreadyFinished {
			sim.checkAnswer(c.Answer)
			return
		}
	}
}

// runAgent makes the call if Start allows it. Some calls fail before they reach
// the backend server and are abandoned.
func (sim *simulation) runAgent(bootID, nonce string, done chan<- struct{}) {
	ctx, records := context.Background(), sim.newRecordStore()
	got, err := records.Start(ctx, workspace, key, nonce, bootID)
	sim.count("start " + string(got))
	if err == nil && got == Started {
		if sim.waitForSchedule().fault == faketest.Refuse {
			sim.count("abandon")
			_ = records.Abandon(ctx, workspace, key, nonce, bootID)
		} else {
			sim.appendTo(&sim.runs, nonce)
			_ = sim.waitForSchedule() // delays the response
			for range 3 {
				if err := records.Finish(ctx, workspace, key, nonce, Answer{Status: 201, Body: []byte(nonce)}); err == nil {
					break
				}
			}
		}
	}
	done <- struct{}{}
}

func (sim *simulation) checkAnswer(a *Answer) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if len(sim.runs) != 1 || string(a.Body) != sim.runs[0] {
		sim.violations = append(sim.violations, fmt.Sprintf("answer %q after runs %v", a.Body, sim.runs))
	}
}

// runSchedule releases the blocked calls in the order of the schedule. After its
// end it releases them without faults until every process has ended.
func (sim *simulation) runSchedule(schedule []uint16) {
	for i := 0; ; i++ {
		synctest.Wait()
		sim.mu.Lock()
		running, pending := sim.running, len(sim.pending)
		sim.mu.Unlock()
		if running == 0 {
			return
		}
		var s uint16 = 0 // after the end of the schedule: first call, no fault
		if i < len(schedule) {
			s = schedule[i]
		}
		pick, kind := int(s>>5), int(s&31)
		switch {
		case pending == 0 || kind == 31:
			time.Sleep(testReservation.Timeout / 2)
			continue
		case kind == 30:
			sim.store.ApplyDelayed()
			continue
		}
		sim.mu.Lock()
		pick %= pending
		call := sim.pending[pick]
		sim.pending = append(sim.pending[:pick:pick], sim.pending[pick+1:]...)
		sim.mu.Unlock()
		call <- callOutcomeOf(kind)
	}
}

func callOutcomeOf(kind int) callOutcome {
	switch kind {
	case 20, 21:
		return callOutcome{fault: faketest.LoseResponse}
	case 22, 23:
		return callOutcome{fault: faketest.LoseRequest}
	case 24, 25:
		return callOutcome{fault: faketest.Refuse}
	case 26, 27:
		return callOutcome{fault: faketest.DelayWrite}
	case 28:
		return callOutcome{stopBefore: true}
	case 29:
		return callOutcome{stopAfter: true}
	}
	return callOutcome{}
}

// ruleViolations returns the violated rules.
func (sim *simulation) ruleViolations() []string {
	if len(sim.runs) > 1 {
		sim.violations = append(sim.violations, fmt.Sprintf("%d runs", len(sim.runs)))
	}
	for _, n := range sim.notRun {
		for _, r := range sim.runs {
			if n == r {
				sim.violations = append(sim.violations, "false \"not run\" for "+n)
			}
		}
	}
	return sim.violations
}

func simulate(t *testing.T, schedule []uint16, events map[string]int) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		sim := &simulation{store: new(faketest.Store), events: events}
		stopAfterWrite := make(map[any]bool) // writes after which the process stops
		sim.store.OnCall(func(c faketest.Call) faketest.Fault {
			outcome := sim.waitForSchedule()
			if outcome.stopAfter && c.Write != nil {
				sim.mu.Lock()
				stopAfterWrite[c.Write] = true
				sim.mu.Unlock()
			}
			return outcome.fault
		})
		sim.store.OnApplied(func(c faketest.Call) {
			sim.mu.Lock()
			stop := c.Write != nil && stopAfterWrite[c.Write]
			sim.mu.Unlock()
			if stop {
				runtime.Goexit()
			}
		})
		for i := range 3 {
			sim.startProcess(func() { sim.runEntry(fmt.Sprintf("entry-%d", i)) })
		}
		sim.runSchedule(schedule)
		sim.count(fmt.Sprintf("runs %d", len(sim.runs)))
		violations = sim.ruleViolations()
	})
	return violations
}

// Guards against a second run, a false "not run" report and a wrong stored
// answer under random interleavings of three entries and their agents, with
// lost, late and refused calls, stopped processes and expiring timeouts.
func TestAnyInterleaving(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20261204)
	params.MinSuccessfulTests = 1000
	params.MaxShrinkCount = 100 // 1,000 can take minutes with the race detector
	properties := gopter.NewProperties(params)
	events := make(map[string]int)
	properties.Property("at most one run, no false \"not run\"", prop.ForAll(func(schedule []uint16) string {
		if violations := simulate(t, schedule, events); len(violations) > 0 {
			return fmt.Sprint(violations)
		}
		return ""
	}, gen.SliceOfN(120, gen.UInt16())))
	properties.TestingRun(t)
	// The schedules must reach each of these events, or the property is not
	// tested. A superseded cancel is left out: it occurs 0 to 3 times in 1,000
	// schedules, depending on the goroutine order, and TestPausedHolder covers it.
	for _, event := range []string{
		"reserve reserved", "reserve in_progress", "reserve unknown", "reserve finished",
		"cancel cancelled", "cancel already_started", "cancel finished",
		"start started", "start superseded", "start not_reserved", "start started_elsewhere", "start finished",
		"abandon", "runs 0", "runs 1",
	} {
		if events[event] == 0 {
			t.Errorf("no schedule reached %q", event)
		}
	}
	t.Log(events)
}
