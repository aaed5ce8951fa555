package invariants

import (
	"errors"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/link"
)

// vmLag is the lag of the VM list in these tests.
const vmLag = time.Second

// Guards against new work on a backend server that is about to stop, and against
// answers that are cut by its stop.
func TestLeavingBackendServerGetsNoWork(t *testing.T) {
	tests := []struct {
		name  string
		leave func(*fleet)
		// maxDelay limits the time until the last new run.
		maxDelay    time.Duration
		tokens      int  // 30 ms each
		wantResumed bool // the answers outlast the part of the drain grace before they are moved
	}{
		{"by its record", func(f *fleet) {
			f.put(config.KindBackendServer, "small-1", f.Backends["small-1"].Record(config.BackendServerLeaving))
		}, maxLeaveTime, 30, false},
		{"by the VM list", func(f *fleet) { f.SetLeaving("small-1", true) }, maxLeaveTime + vmLag, 30, false},
		{"by a drain of its agent", func(f *fleet) {
			done := make(chan error, 1)
			go func() { done <- f.StopAgent(f.t.Context(), "small-1") }()
			f.t.Cleanup(func() {
				if err := <-done; err != nil {
					f.t.Errorf("drain: %v", err)
				}
			})
		}, time.Second, 100, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			spec := oneDataCentreSpec(engineSpec("small-1", "small", test.tokens, 30*time.Millisecond), engineSpec("small-2", "small", test.tokens, 30*time.Millisecond))
			for i := range 2 {
				spec.Backends[i].ColdLimit, spec.Backends[i].WarmLimit = 64, 64
			}
			spec.RequestTimeout = 15 * time.Second
			f := startFleet(t, spec)
			f.VMs.SetLag(vmLag)
			load := f.startOpenLoop(test.tokens, 100*time.Millisecond, "entry-1", "entry-2")
			eventually(t, "both engines are busy", func() bool { return f.runningOn("small-1") > 2 && f.runningOn("small-2") > 2 })
			leftAt := time.Now()
			test.leave(f)
			eventually(t, "the leaving engine is idle", func() bool {
				return time.Since(leftAt) > test.maxDelay && f.runningOn("small-1") == 0
			})
			sent := load.sent.Load()
			eventually(t, "more requests were sent", func() bool { return load.sent.Load() > sent+10 })
			load.verify(t)
			if n := f.runsStartedAfter(leftAt.Add(test.maxDelay), "small-1"); n > 0 {
				t.Errorf("%d runs started on the leaving backend server after %v", n, test.maxDelay)
			}
			if resumed := f.resumedRuns(); resumed == 0 && test.wantResumed {
				t.Error("no answer was moved")
			}
		})
	}
}

// resumedRuns counts the runs that resumed an answer from another engine.
func (f *fleet) resumedRuns() int {
	n := 0
	for _, runs := range f.engineRuns() {
		for _, run := range runs {
			if run.From > 0 {
				n++
			}
		}
	}
	return n
}

// Guards against an agent that relies on its entries to send it no work: the client
// ignores that the backend server is leaving.
func TestLeavingAgentRefuses(t *testing.T) {
	f := startFleet(t, oneDataCentreSpec(engineSpec("small-1", "small", 4, 0)))
	client := f.newRawClient("small-1")
	attempt := uint32(0)
	refusalCode := func() string {
		attempt++
		_, _, err := client.run(t.Context(), link.Request{RequestID: "raw", Attempt: attempt, Workspace: "brydemaatte", Model: "small", Version: "1"})
		var refused *link.RefusedError
		if errors.As(err, &refused) {
			return refused.Refusal.Code
		}
		return ""
	}
	putState := func(state config.BackendServerState) {
		f.putAndWait(config.KindBackendServer, "small-1", f.Backends["small-1"].Record(state))
	}
	putState(config.BackendServerLeaving)
	if code := refusalCode(); code != link.CodeLeaving {
		t.Errorf("leaving by its record: %q", code)
	}
	putState(config.BackendServerIn)
	eventually(t, "the backend server is back", func() bool { return refusalCode() == "" })
	f.SetLeaving("small-1", true)
	eventually(t, "the agent learns that its VM is leaving", func() bool { return refusalCode() == link.CodeLeaving })
}
