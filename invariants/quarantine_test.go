package invariants

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/embedded"
	"hyssoploom/link"
	"hyssoploom/standin"
)

// maxBadAnswers limits the answers that the whole fleet may serve from a bad version.
// The exposure budget of the record is 20.
const maxBadAnswers = 30

// modelUnderTest returns a model whose version 2 is under test against version 1.
func modelUnderTest() *config.Model {
	model := activeModel("1", "2")
	model.Versions[1].Baseline, model.Versions[1].ExposureBudget = "1", 20
	return model
}

// startBadVersionFleet starts a fleet with two entries and two engines that serve both
// versions. Version 2 is bad, and each rating takes a second.
func startBadVersionFleet(t *testing.T) *fleet {
	t.Helper()
	one, two := engineSpec("small-1", "small", 4, 0), engineSpec("small-2", "small", 4, 0)
	both := []embedded.BackendSpec{one, two}
	for i := range both {
		both[i].Serves = append(both[i].Serves, config.Placement{Model: "small", Version: "2"})
		both[i].Engine.Loaded = append(both[i].Engine.Loaded, smallVersion2)
	}
	spec := oneDataCentreSpec(both...)
	spec.RequestTimeout = 5 * time.Second
	f := startFleet(t, spec)
	for _, b := range both {
		f.Backends[b.Name].Engine.SetFaults(standin.EngineFaults{Bad: []string{"small@2"}})
	}
	f.Rater.SetDelay(time.Second)
	return f
}

// badRuns counts the runs of version 2.
func (f *fleet) badRuns() int {
	n := 0
	for _, runs := range f.engineRuns() {
		for _, run := range runs {
			if run.Version == "2" {
				n++
			}
		}
	}
	return n
}

// quarantinedEverywhere reports whether every process has version 2 in quarantine.
func (f *fleet) quarantinedEverywhere() bool {
	for _, e := range f.Entries {
		if !e.Entry.Quarantined("small", "2") {
			return false
		}
	}
	for _, b := range f.Backends {
		if !b.Agent.Quarantined("small", "2") {
			return false
		}
	}
	return true
}

// sendAlternating sends n requests through the entries in turn and returns the number
// served.
func (f *fleet) sendAlternating(n int) (served int) {
	for i := range n {
		if f.send(chat("", fmt.Sprintf("entry-%d", i%2+1), "small", "x", false)).status == 200 {
			served++
		}
	}
	return served
}

// Guards against a bad version that continues to serve because ratings are slow,
// because entries and agents each wait for evidence of their own, because the store is
// down, because the model record is applied again, or because the entries that know of
// the quarantine are gone. An operator can lift the quarantine.
func TestBadVersionIsStopped(t *testing.T) {
	f := startBadVersionFleet(t)
	f.putAndWait(config.KindModel, "small", modelUnderTest())
	f.Store.SetDown(true)
	load := f.startBackgroundLoad("small")
	started := time.Now()
	eventually(t, "every process has the quarantine", f.quarantinedEverywhere)
	t.Logf("%d answers of the bad version in %v", f.badRuns(), time.Since(started))
	badRunsBefore := f.badRuns()
	succeededBefore := load.succeeded.Load()
	eventually(t, "more requests were served", func() bool { return load.succeeded.Load() > succeededBefore+100 })
	load.stopAndWait()
	if n := f.badRuns(); n > maxBadAnswers {
		t.Errorf("%d answers of the bad version, want at most %d", n, maxBadAnswers)
	}
	// A request that was admitted at the moment of the quarantine may still run.
	if n := f.badRuns() - badRunsBefore; n > 2 {
		t.Errorf("%d answers of the bad version after all processes had the quarantine", n)
	}
	f.checkAgentsRefuseQuarantined()
	f.Store.SetDown(false)
	f.checkQuarantineStays()
	f.checkLift()
}

// checkAgentsRefuseQuarantined sends requests as entries do that do not know of the
// quarantine.
func (f *fleet) checkAgentsRefuseQuarantined() {
	f.t.Helper()
	for _, backend := range []string{"small-1", "small-2"} {
		_, _, err := f.newRawClient(backend).run(f.t.Context(), link.Request{
			RequestID: "raw-" + backend, Attempt: 1, Workspace: "brydemaatte", Model: "small", Version: "2", Pinned: true,
		})
		var refused *link.RefusedError
		if !errors.As(err, &refused) || refused.Refusal.Code != "version_quarantined" {
			f.t.Errorf("%s: %v, want a refusal", backend, err)
		}
	}
}

func (f *fleet) checkQuarantineStays() {
	f.t.Helper()
	key := config.QuarantineKey("small", "2")
	eventually(f.t, "the store has the quarantine", func() bool {
		_, err := f.Store.Get(f.t.Context(), key)
		return err == nil
	})
	eventually(f.t, "every process has the record", f.ConfigApplied)
	before := f.badRuns()
	f.putAndWait(config.KindModel, "small", modelUnderTest())
	if served := f.sendAlternating(40); served != 40 {
		f.t.Errorf("the good version served %d of 40 requests", served)
	}
	for name := range f.Entries {
		if err := f.KillEntry(name); err != nil {
			f.t.Fatal(err)
		}
	}
	for name := range f.Entries {
		if err := f.StartEntry(f.t.Context(), name); err != nil {
			f.t.Fatal(err)
		}
	}
	eventually(f.t, "the new entries serve", func() bool { return f.sendAlternating(2) == 2 })
	f.sendAlternating(40)
	if n := f.badRuns() - before; n > 0 {
		f.t.Errorf("%d answers of a quarantined version", n)
	}
}

// checkLift lifts the quarantine as an operator does. The evidence against the version
// remains unchanged.
func (f *fleet) checkLift() {
	f.t.Helper()
	key := config.QuarantineKey("small", "2")
	current, err := f.Store.Get(f.t.Context(), key)
	if err != nil {
		f.t.Fatal(err)
	}
	raw := `{"schema_version":1,"kind":"quarantine","name":"small/2","writer":"operator","change_id":"lift","deleted":true}`
	if _, err := f.Store.CompareAndSwap(f.t.Context(), dialect.Write{Key: key, Value: []byte(raw), ExpectedRevision: current.Revision}); err != nil {
		f.t.Fatal(err)
	}
	eventually(f.t, "the lift is in force", f.ConfigApplied)
	before := f.badRuns()
	f.Rater.SetDelay(0)
	f.sendAlternating(100)
	if n := f.badRuns() - before; n < 20 {
		f.t.Errorf("%d of 100 requests on a version whose quarantine was lifted", n)
	}
	if kv, err := f.Store.Get(f.t.Context(), key); err != nil || string(kv.Value) != raw {
		f.t.Errorf("the operator's record was replaced: %s, %v", kv.Value, err)
	}
}
