package invariants

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/embedded"
	"hyssoploom/standin"
)

// testedModel returns model small with version 2 under test against version 1.
func testedModel(budget int) *config.Model {
	return &config.Model{Versions: []config.ModelVersion{
		{Version: "1", State: config.VersionActive, Weight: 1, PriceIn: 1, PriceOut: 1},
		{Version: "2", State: config.VersionActive, Weight: 1, PriceIn: 1, PriceOut: 1, Baseline: "1", ExposureBudget: budget},
	}}
}

// startVersionTestFleet starts a fleet that serves both versions of model small.
func startVersionTestFleet(t *testing.T) *fleet {
	t.Helper()
	second := embedded.EngineSpec("small-2", "jylland", "small", "2")
	spec := oneDataCentreSpec(engineSpec("small-1", "small", 4, 0), second)
	spec.RequestTimeout = 3 * time.Second
	return startFleet(t, spec)
}

// Guards against a session that changes its version because the exposure budget of that
// version is used up. It has to wait for ratings instead.
func TestSessionKeepsVersionWhenBudgetIsUsedUp(t *testing.T) {
	f := startVersionTestFleet(t)
	f.putAndWait(config.KindModel, "small", testedModel(5)) // two fifths are available at first
	token := ""
	for i := 0; token == ""; i++ {
		r := f.send(chat(fmt.Sprintf("start-%d", i), "entry-1", "small", "x", false))
		if r.header.Get("X-Model-Version") == "small@2" {
			token = r.header.Get("X-Session-Token")
		}
	}
	eventually(t, "the first answer is rated", func() bool {
		return slices.ContainsFunc(f.Rater.Ratings(), func(r standin.RatingRecord) bool { return r.Request.Version == "2" })
	})
	f.Rater.SetHang(true)
	// With one answer rated, two fifths of the budget and one more answer are
	// available. New sessions use them up and then get version 1.
	engine := f.Backends["small-2"].Engine
	attempts := 0
	eventually(t, "the budget is used up", func() bool {
		attempts++
		if r := f.send(chat(fmt.Sprintf("fill-%d", attempts), "entry-1", "small", "x", false)); r.status != http.StatusOK {
			t.Errorf("new session %d: %d %s", attempts, r.status, r.body)
		}
		return len(engine.Record().Runs) == 1+3
	})
	again := chat("again", "entry-2", "small", "x", false)
	again.header = map[string]string{"X-Session-Token": token}
	if r := f.send(again); r.status == http.StatusOK && r.header.Get("X-Model-Version") != "small@2" {
		t.Errorf("the session got version %s", r.header.Get("X-Model-Version"))
	}
	f.Rater.SetHang(false)
	eventually(t, "the session is served by its version again", func() bool {
		r := f.send(again)
		return r.status == http.StatusOK && r.header.Get("X-Model-Version") == "small@2"
	})
}

// Guards against a bad version that is detected in cascades only. When callers name the
// model itself, the entry has to submit its baseline for rating as well.
func TestBadVersionOfPlainModelIsStopped(t *testing.T) {
	f := startVersionTestFleet(t)
	faults := f.Backends["small-2"].Engine.Faults()
	faults.Bad = []string{"small@2"}
	f.Backends["small-2"].Engine.SetFaults(faults)
	f.putAndWait(config.KindModel, "small", testedModel(20))
	for i := 0; ; i++ {
		if i == 2000 {
			t.Fatal("the bad version is not in quarantine after 2,000 requests")
		}
		if r := f.send(chat(fmt.Sprintf("r-%d", i), fmt.Sprintf("entry-%d", i%2+1), "small", "x", false)); r.status != http.StatusOK {
			t.Fatalf("request %d: %d %s", i, r.status, r.body)
		}
		kvs, _, err := f.Store.List(t.Context(), "state/quarantine/")
		if err == nil && len(kvs) == 1 {
			break
		}
	}
	if served := len(f.Backends["small-2"].Engine.Record().Runs); served > 30 {
		t.Errorf("the bad version served %d answers, want at most 30", served)
	}
}
