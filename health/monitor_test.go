package health

import (
	"fmt"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/control"
	"hyssoploom/link"
	"hyssoploom/rollout"
	"hyssoploom/telemetry"
)

var (
	candidate = rollout.VersionKey{Model: "small", Version: "2"}
	baseline  = rollout.VersionKey{Model: "small", Version: "1"}
)

// snapshotWithTest holds a model whose version 2 is tested against version 1.
func snapshotWithTest(t *testing.T) *config.Snapshot {
	t.Helper()
	raw, err := config.Encode(config.Envelope{
		SchemaVersion: config.LatestSchema(config.KindModel), Kind: config.KindModel, Name: "small", ChangeID: "1",
		Spec: &config.Model{Versions: []config.ModelVersion{
			{Version: "1", State: config.VersionActive, Weight: 1},
			{Version: "2", State: config.VersionActive, Weight: 1, Baseline: "1"},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := config.NewSnapshot()
	s.Adopt([]config.Record{{Key: config.Key(config.KindModel, "small"), Revision: 5, Raw: raw}})
	return s
}

// process is a monitor with the messages that it has broadcast.
type process struct {
	*Monitor
	sent []link.Control
}

func newProcess(origin string, s *config.Snapshot, processes int) *process {
	p := &process{}
	p.Monitor = New(Config{
		Origin: origin, Snapshot: s, Log: telemetry.Discard(),
		Broadcast: func(c link.Control) { p.sent = append(p.sent, c) },
		Processes: func() int { return processes },
		Clock:     func() time.Duration { return 0 },
	})
	return p
}

// deliver hands all messages of one process to another.
func (p *process) deliver(t *testing.T, to *process) {
	t.Helper()
	for _, c := range p.sent {
		if handled, err := to.Handle(c); !handled || err != nil {
			t.Fatalf("message %q: handled %t, %v", c.Kind, handled, err)
		}
	}
	p.sent = nil
}

func (p *process) rate(key rollout.VersionKey, n int, passed bool) {
	for range n {
		p.Record(key, rollout.Observation{Started: true})
		p.Record(key, rollout.Observation{Rated: true, Passed: passed})
	}
}

// Guards against evidence that only counts where it was collected: neither
// process alone has enough to judge.
func TestEvidenceOfTwoProcessesRaisesQuarantine(t *testing.T) {
	s := snapshotWithTest(t)
	one, two := newProcess("one", s, 2), newProcess("two", s, 2)
	one.rate(baseline, 100, true)
	two.rate(candidate, 12, false)
	if one.Quarantined("small", "2") || two.Quarantined("small", "2") {
		t.Fatal("a process judged without the evidence of the other")
	}
	one.Tick()
	one.deliver(t, two)
	if !two.Quarantined("small", "2") {
		t.Fatal("the bad version is not in quarantine")
	}
	two.deliver(t, one)
	if !one.Quarantined("small", "2") || two.EffectiveBudget(candidate, 20) != 0 {
		t.Error("the quarantine did not spread")
	}
	if pending := one.Pending(); len(pending) != 1 || pending[0].BaseRevision != 0 {
		t.Errorf("pending for the store: %+v", pending)
	}
}

// Guards against a system that overrules the operator who lifted a quarantine.
func TestLiftedQuarantineStaysLifted(t *testing.T) {
	s := snapshotWithTest(t)
	p := newProcess("one", s, 1)
	p.rate(baseline, 100, true)
	p.rate(candidate, 12, false)
	if !p.Quarantined("small", "2") {
		t.Fatal("the bad version is not in quarantine")
	}
	raw, err := config.Encode(config.Envelope{
		SchemaVersion: config.LatestSchema(config.KindQuarantine), Kind: config.KindQuarantine, Name: "small/2", ChangeID: "2", Deleted: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Adopt([]config.Record{{Key: config.QuarantineKey("small", "2"), Revision: 9, Raw: raw}})
	p.rate(candidate, 12, false)
	p.Tick()
	if p.Quarantined("small", "2") || p.UnderTest(candidate) || len(p.Pending()) != 0 {
		t.Error("the lifted quarantine is in force again")
	}
}

// Guards against control traffic that grows with the square of the fleet: only
// some processes record the answers of a baseline, all those of a candidate.
func TestComparisonOriginsAreBounded(t *testing.T) {
	s := snapshotWithTest(t)
	const fleet = 420
	recording := 0
	for i := range fleet {
		p := newProcess(fmt.Sprintf("entry-%d", i), s, fleet)
		p.mu.Lock()
		if p.records(baseline) {
			recording++
		}
		if !p.records(candidate) {
			t.Errorf("process %d does not record the candidate", i)
		}
		p.mu.Unlock()
	}
	if recording < 2 || recording > 3*comparisonOrigins {
		t.Errorf("%d of %d processes record the baseline, want about %d", recording, fleet, comparisonOrigins)
	}
}

// Guards against evidence about a candidate that waits for the slow exchange.
func TestCandidateEvidenceIsSentAtEachTick(t *testing.T) {
	s := snapshotWithTest(t)
	p := newProcess("entry-1", s, 420)
	p.rate(candidate, 1, true)
	p.Tick()
	if len(p.sent) != 1 || p.sent[0].Kind != control.KindEvidence {
		t.Fatalf("sent %d messages, want one of evidence", len(p.sent))
	}
	p.sent = nil
	p.Tick()
	if len(p.sent) != 0 {
		t.Error("unchanged evidence was sent again")
	}
}
