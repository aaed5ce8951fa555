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

// newTestSnapshot returns a snapshot with one model, whose version 2 is tested against
// version 1.
func newTestSnapshot(t *testing.T) *config.Snapshot {
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
	s.Apply([]config.Record{{Key: config.Key(config.KindModel, "small"), Revision: 5, Raw: raw}})
	return s
}

// recordingMonitor is a Monitor that keeps the messages that it broadcasts.
type recordingMonitor struct {
	*Monitor
	sent []link.Control
}

func newRecordingMonitor(origin string, s *config.Snapshot, processes int) *recordingMonitor {
	p := &recordingMonitor{}
	p.Monitor = New(Config{
		Origin: origin, Snapshot: s, Log: telemetry.Discard(),
		Broadcast: func(c link.Control) { p.sent = append(p.sent, c) },
		Processes: func() int { return processes },
		Clock:     func() time.Duration { return 0 },
	})
	return p
}

// deliverSent passes all broadcast messages to another process.
func (p *recordingMonitor) deliverSent(t *testing.T, to *recordingMonitor) {
	t.Helper()
	for _, c := range p.sent {
		if handled, err := to.Handle(c); !handled || err != nil {
			t.Fatalf("message %q: handled %t, %v", c.Kind, handled, err)
		}
	}
	p.sent = nil
}

func (p *recordingMonitor) recordRatings(key rollout.VersionKey, n int, passed bool) {
	for range n {
		p.Record(key, rollout.Observation{Started: true})
		p.Record(key, rollout.Observation{Rated: true, Passed: passed})
	}
}

// Guards against a test that uses only local evidence: neither process alone has
// enough evidence for a verdict.
func TestEvidenceOfTwoProcessesRaisesQuarantine(t *testing.T) {
	s := newTestSnapshot(t)
	one, two := newRecordingMonitor("one", s, 2), newRecordingMonitor("two", s, 2)
	one.recordRatings(baseline, 100, true)
	two.recordRatings(candidate, 12, false)
	if one.Quarantined("small", "2") || two.Quarantined("small", "2") {
		t.Fatal("a process raised a quarantine without the evidence of the other")
	}
	one.Tick()
	one.deliverSent(t, two)
	if !two.Quarantined("small", "2") {
		t.Fatal("the bad version is not in quarantine")
	}
	two.deliverSent(t, one)
	if !one.Quarantined("small", "2") || two.EffectiveBudget(candidate, 20) != 0 {
		t.Error("the quarantine did not reach the other process")
	}
	if pending := one.Pending(); len(pending) != 1 || pending[0].BaseRevision != 0 {
		t.Errorf("Pending() = %+v; want one quarantine with BaseRevision 0", pending)
	}
}

// Guards against raising a quarantine again after an operator lifted it.
func TestLiftedQuarantineStaysLifted(t *testing.T) {
	s := newTestSnapshot(t)
	p := newRecordingMonitor("one", s, 1)
	p.recordRatings(baseline, 100, true)
	p.recordRatings(candidate, 12, false)
	if !p.Quarantined("small", "2") {
		t.Fatal("the bad version is not in quarantine")
	}
	raw, err := config.Encode(config.Envelope{
		SchemaVersion: config.LatestSchema(config.KindQuarantine), Kind: config.KindQuarantine, Name: "small/2", ChangeID: "2", Deleted: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Apply([]config.Record{{Key: config.QuarantineKey("small", "2"), Revision: 9, Raw: raw}})
	p.recordRatings(candidate, 12, false)
	p.Tick()
	if p.Quarantined("small", "2") || p.UnderTest(candidate) || len(p.Pending()) != 0 {
		t.Error("the lifted quarantine is active, its version is under test, or a quarantine is pending")
	}
}

// Guards against control traffic that grows with the square of the number of
// processes. Only some processes record answers of a baseline, but all of them record
// answers of a candidate.
func TestBaselineRecordersAreBounded(t *testing.T) {
	s := newTestSnapshot(t)
	const fleet = 420
	recording := 0
	for i := range fleet {
		p := newRecordingMonitor(fmt.Sprintf("entry-%d", i), s, fleet)
		p.mu.Lock()
		if p.shouldRecord(baseline) {
			recording++
		}
		if !p.shouldRecord(candidate) {
			t.Errorf("process %d does not record the candidate", i)
		}
		p.mu.Unlock()
	}
	if recording < 2 || recording > 3*baselineRecorders {
		t.Errorf("%d of %d processes record the baseline, want about %d", recording, fleet, baselineRecorders)
	}
}

// Guards against sending evidence about a candidate only at the longer interval for
// baselines.
func TestCandidateEvidenceIsSentAtEachTick(t *testing.T) {
	s := newTestSnapshot(t)
	p := newRecordingMonitor("entry-1", s, 420)
	p.recordRatings(candidate, 1, true)
	p.Tick()
	if len(p.sent) != 1 || p.sent[0].Kind != control.KindEvidence {
		t.Fatalf("sent %d messages, want one evidence message", len(p.sent))
	}
	p.sent = nil
	p.Tick()
	if len(p.sent) != 0 {
		t.Error("unchanged evidence was sent again")
	}
}
