package invariants

import (
	"errors"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/link"
)

// Guards against an agent that relies on its entries for authorization. Each request is
// one that a correct entry with current records would not send.
func TestAgentRefusesWhatRecordsForbid(t *testing.T) {
	spec := oneDataCentreSpec(engineSpec("small-1", "small", 4, 0), engineSpec("large-1", "large", 4, 0))
	f := startFleet(t, spec)
	small := f.newRawClient("small-1")
	large := f.newRawClient("large-1")
	booking := f.newRawClient("booking")
	ok := link.Request{RequestID: "ok", Attempt: 1, Workspace: "brydemaatte", Model: "small", Version: "1"}
	if _, end, err := small.run(t.Context(), ok); err != nil || !end.Complete {
		t.Fatalf("allowed request: %+v, %v", end, err)
	}
	tests := []struct {
		name   string
		client *rawClient
		change func(*link.Request)
		code   string
	}{
		{"unknown workspace", small, func(r *link.Request) { r.Workspace = "nobody" }, "workspace_unknown"},
		{"model of another workspace", large, func(r *link.Request) { r.Workspace, r.Model = "aljibe", "large" }, "model_forbidden"},
		{"unknown version", small, func(r *link.Request) { r.Version = "9" }, "version_withdrawn"},
		{"model not served here", small, func(r *link.Request) { r.Model = "medium" }, "not_served"},
		{"unknown service", booking, func(r *link.Request) { r.Service = "laundry" }, "service_forbidden"},
		{"deadline passed", small, func(r *link.Request) { r.Deadline = 1 }, "deadline_passed"},
		{"newer revision than the agent has", small, func(r *link.Request) { r.Revision = 1 << 40 }, "config_behind"},
	}
	before := len(f.engineRuns())
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := ok
			r.RequestID = test.name
			test.change(&r)
			_, _, err := test.client.run(t.Context(), r)
			var refused *link.RefusedError
			if !errors.As(err, &refused) || refused.Refusal.Code != test.code {
				t.Errorf("got %v, want refusal %s", err, test.code)
			}
		})
	}
	if after := len(f.engineRuns()); after != before {
		t.Errorf("the engines ran %d of the refused requests", after-before)
	}
}

// Guards against work on a withdrawn version that is sent by a faulty entry, comes from
// a pinned session, or was already in the agent's queue at the withdrawal.
func TestWithdrawnVersionTakesNoWork(t *testing.T) {
	spec := oneDataCentreSpec(engineSpec("small-1", "small", 4, 0))
	spec.RequestTimeout = 2 * time.Second
	spec.Backends[0].ColdLimit, spec.Backends[0].WarmLimit = 1, 1
	f := startFleet(t, spec)
	b := f.Backends["small-1"]
	client := f.newRawClient("small-1")

	faults := b.Engine.Faults()
	faults.Hang = true
	b.Engine.SetFaults(faults)
	done := make(chan response, 2)
	go func() { done <- f.send(chat("running", "entry-1", "small", "x", false)) }()
	eventually(t, "a request runs", func() bool { return len(f.engineRuns()["running"]) == 1 })
	go func() { done <- f.send(chat("queued", "entry-1", "small", "x", false)) }()
	eventually(t, "a request is queued", func() bool { return b.Agent.Load().Queued == 1 })

	f.putAndWait(config.KindModel, "small", &config.Model{Versions: []config.ModelVersion{
		{Version: "1", State: config.VersionWithdrawn, OnWithdraw: config.WithdrawRefuse},
	}})
	faults.Hang = false
	b.Engine.SetFaults(faults)
	_, _, err := client.run(t.Context(), link.Request{RequestID: "raw", Attempt: 1, Workspace: "brydemaatte", Model: "small", Version: "1", Pinned: true})
	var refused *link.RefusedError
	if !errors.As(err, &refused) || refused.Refusal.Code != "version_withdrawn" {
		t.Errorf("raw client: %v", err)
	}
	for range 2 {
		if r := <-done; r.id == "queued" && (r.status == 200 || r.error().Run != "not_run") {
			t.Errorf("queued request: %d %s", r.status, r.body)
		}
	}
	if runs := f.engineRuns(); len(runs["queued"])+len(runs["raw"]) > 0 {
		t.Errorf("the withdrawn version received new work: %v", runs)
	}
}
