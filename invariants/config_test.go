package invariants

import (
	"strings"
	"testing"

	"hyssoploom/config"
)

// modelOf is a record of versions that all take new sessions.
func modelOf(versions ...string) *config.Model {
	model := &config.Model{}
	for _, v := range versions {
		model.Versions = append(model.Versions, config.ModelVersion{
			Version: v, State: config.VersionActive, Weight: 1, PriceIn: 1, PriceOut: 1,
		})
	}
	return model
}

// Guards against an entry that dials its agents a second time when it learns
// the names of their backend servers: the two connections replaced each other
// several times, which broke the streams on them.
func TestEntryDialsEachAgentOnce(t *testing.T) {
	logs := &syncBuffer{}
	spec := oneCentre(engine("small-1", "small", 4, 0), engine("small-2", "small", 4, 0))
	spec.Logs = logs
	f := startFleet(t, spec)
	if err := f.KillEntry("entry-2"); err != nil {
		t.Fatal(err)
	}
	f.Store.SetDown(true) // the entry finds the agents through the VM list
	before := len(logs.String())
	if err := f.StartEntry(t.Context(), "entry-2"); err != nil {
		t.Fatal(err)
	}
	e := f.Entries["entry-2"].Entry
	eventually(t, "the entry serves with the records of its peers", func() bool {
		return e.Ready() && e.Linked(len(f.Backends)) && e.Serving("small", "1")
	})
	f.Store.SetDown(false)
	f.putInForce(config.KindModel, "medium", modelOf("1"))
	if r := f.send(chat("r", "entry-2", "small", "x", false)); r.status != 200 {
		t.Errorf("status %d: %s", r.status, r.body)
	}
	text := logs.String()[before:]
	if n := strings.Count(text, "replaced by a newer connection"); n > 0 {
		t.Errorf("%d connections were replaced", n)
	}
	if n := strings.Count(text, "Entry connected."); n != len(f.Backends) {
		t.Errorf("%d connections to %d agents", n, len(f.Backends))
	}
}
