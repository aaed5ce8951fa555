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
func (f *simulation) waitForSchedule() callOutcome {
	release := make(chan callOutcome)
	f.mu.Lock()
	f.pending = append(f.pending, release)
	f.mu.Unlock()
	c := <-release
	if c.stopBefore {
		runtime.Goexit()
	}
	return c
}

func (f *simulation) startProcess(body func()) {
	f.mu.Lock()
	f.running++
	f.mu.Unlock()
	go func() {
		defer func() {
			f.mu.Lock()
			f.running--
			f.mu.Unlock()
		}()
		body()
	}()
}

func (f *simulation) appendTo(list *[]string, text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*list = append(*list, text)
}

func (f *simulation) count(event string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events[event]++
}

func (f *simulation) newRecordStore() *RecordStore {
	return New(f.store, WithIDs(func() string {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ids++
		return fmt.Sprintf("id-%d", f.ids)
	}))
}

// runEntry sends the request until its outcome is final, at most three times.
// Each dispatch reaches two agents, as a retransmitted dispatch could.
func (f *simulation) runEntry(name string) {
	ctx, records := context.Background(), f.newRecordStore()
	r := testReservation
	r.Owner = name
	for range 3 {
		res, err := records.Reserve(ctx, r)
		f.count("reserve " + string(res.Outcome))
		switch {
		case err != nil, res.Outcome == InProgress:
			time.Sleep(testReservation.Timeout)
			continue
		case res.Outcome == Finished:
			f.checkAnswer(res.Answer)
			return
		case res.Outcome != Reserved:
			return
		}
		done := make(chan struct{}, 2)
		for i := range 2 {
			f.startProcess(func() { f.runAgent(fmt.Sprintf("%s-agent-%d", name, i), res.Nonce, done) })
		}
		select {
		case <-done:
		case <-time.After(testReservation.Timeout):
		}
		c, err := records.Cancel(ctx, workspace, key, res.Nonce)
		f.count("cancel " + string(c.Outcome))
		if err == nil && c.Outcome == Cancelled {
			f.appendTo(&f.notRun, res.Nonce)
		}
		if c.Outcome == AlreadyFinished {
			f.checkAnswer(c.Answer)
			return
		}
	}
}

// runAgent makes the call if Start allows it. Some calls fail before they reach
// the backend server and are abandoned.
func (f *simulation) runAgent(bootID, nonce string, done chan<- struct{}) {
	ctx, records := context.Background(), f.newRecordStore()
	got, err := records.Start(ctx, workspace, key, nonce, bootID)
	f.count("start " + string(got))
	if err == nil && got == Started {
		if f.waitForSchedule().fault == faketest.Refuse {
			f.count("abandon")
			_ = records.Abandon(ctx, workspace, key, nonce, bootID)
		} else {
			f.appendTo(&f.runs, nonce)
			_ = f.waitForSchedule() // delays the response
			for range 3 {
				if err := records.Finish(ctx, workspace, key, nonce, Answer{Status: 201, Body: []byte(nonce)}); err == nil {
					break
				}
			}
		}
	}
	done <- struct{}{}
}

func (f *simulation) checkAnswer(a *Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.runs) != 1 || string(a.Body) != f.runs[0] {
		f.violations = append(f.violations, fmt.Sprintf("answer %q after runs %v", a.Body, f.runs))
	}
}

// runSchedule releases the blocked calls in the order of the schedule. After its
// end it releases them without faults until every process has ended.
func (f *simulation) runSchedule(schedule []uint16) {
	for i := 0; ; i++ {
		synctest.Wait()
		f.mu.Lock()
		running, pending := f.running, len(f.pending)
		f.mu.Unlock()
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
			f.store.Deliver()
			continue
		}
		f.mu.Lock()
		pick %= pending
		call := f.pending[pick]
		f.pending = append(f.pending[:pick:pick], f.pending[pick+1:]...)
		f.mu.Unlock()
		call <- callOutcomeOf(kind)
	}
}

func callOutcomeOf(kind int) callOutcome {
	switch kind {
	case 20, 21:
		return callOutcome{fault: faketest.Lose}
	case 22, 23:
		return callOutcome{fault: faketest.Fail}
	case 24, 25:
		return callOutcome{fault: faketest.Refuse}
	case 26, 27:
		return callOutcome{fault: faketest.Late}
	case 28:
		return callOutcome{stopBefore: true}
	case 29:
		return callOutcome{stopAfter: true}
	}
	return callOutcome{}
}

// ruleViolations returns the violated rules.
func (f *simulation) ruleViolations() []string {
	if len(f.runs) > 1 {
		f.violations = append(f.violations, fmt.Sprintf("%d runs", len(f.runs)))
	}
	for _, n := range f.notRun {
		for _, r := range f.runs {
			if n == r {
				f.violations = append(f.violations, "false \"not run\" for "+n)
			}
		}
	}
	return f.violations
}

func simulate(t *testing.T, schedule []uint16, events map[string]int) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		f := &simulation{store: new(faketest.Store), events: events}
		stopAfterWrite := make(map[any]bool) // writes after which the process stops
		f.store.OnCall(func(c faketest.Call) faketest.Fault {
			outcome := f.waitForSchedule()
			if outcome.stopAfter && c.Write != nil {
				f.mu.Lock()
				stopAfterWrite[c.Write] = true
				f.mu.Unlock()
			}
			return outcome.fault
		})
		f.store.OnApplied(func(c faketest.Call) {
			f.mu.Lock()
			stop := c.Write != nil && stopAfterWrite[c.Write]
			f.mu.Unlock()
			if stop {
				runtime.Goexit()
			}
		})
		for i := range 3 {
			f.startProcess(func() { f.runEntry(fmt.Sprintf("entry-%d", i)) })
		}
		f.runSchedule(schedule)
		f.count(fmt.Sprintf("runs %d", len(f.runs)))
		violations = f.ruleViolations()
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
