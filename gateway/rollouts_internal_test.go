package gateway

import (
	"testing"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/peers"
	"hyssoploom/release"
	"hyssoploom/settings"
	"hyssoploom/telemetry"
)

// stubRecords encodes states of rollouts as their name.
type stubRecords struct{ Records }

func (stubRecords) StatusItem(s fleet.Status) (key string, value []byte) {
	return s.Service, []byte(s.Outcome)
}

// rolloutEntry returns an entry that has counted own in a rollout ordered elapsed ago.
func rolloutEntry(name string, own release.Evidence, duration, elapsed time.Duration) (*Gateway, *rolloutState) {
	order := fleet.Order{Service: "s", Target: "v2", Duration: duration, Revision: 9}
	r := &rolloutState{
		Rollout: fleet.Rollout{Order: order, Outcome: fleet.InProgress}, orderedAt: time.Now().Add(-elapsed),
		own: own, peers: make(map[peerProcess]peerEvidence),
	}
	log := telemetry.Discard()
	g := &Gateway{
		Deps:     Deps{State: fleet.NewState(nil, time.Now), Log: log, Metrics: telemetry.NewMetrics(), Records: stubRecords{}, BootID: name},
		rollouts: map[string]*rolloutState{"s": r},
		hub:      peers.New(fleet.Peer{Name: name}, nil, nil, func() map[string]fleet.Peer { return nil }, log),
	}
	g.bounds.Store(&settings.Bounds{ExposureShare: 0.15, ExposureSlack: 30})
	return g, r
}

// Guards against an entry that completes a version which another entry has just found bad.
func TestVersionFoundBadByOneEntryIsNotCompletedByAnother(t *testing.T) {
	const duration, elapsed = 20 * time.Second, 18600 * time.Millisecond
	// Each has the counts of the other as they were when it decided.
	bad := release.Evidence{Old: release.AnswerCounts{Good: 339, Bad: 55}, Target: release.AnswerCounts{Good: 17, Bad: 16}}
	good := release.Evidence{Old: release.AnswerCounts{Good: 339, Bad: 55}, Target: release.AnswerCounts{Good: 40, Bad: 6}}
	first, firstRollout := rolloutEntry("e1", good, duration, elapsed)
	second, secondRollout := rolloutEntry("e2", bad, duration, elapsed)
	view := &fleet.View{ByService: map[string][]*fleet.BackendServer{"s": {{ID: "i", Version: "v2"}}}}
	due := func(g *Gateway, r *rolloutState, now time.Time) string {
		progress := g.progress(view, r, now)
		write, _ := g.dueStatus(view, r, &progress, 0, now)
		return string(write.value)
	}
	now := time.Now()
	if got := due(first, firstRollout, now); got != "" {
		t.Fatalf("the first entry publishes %q before the others can object", got)
	}
	due(second, secondRollout, now)
	if !secondRollout.rejected {
		t.Fatal("the second entry did not find the version bad")
	}
	for _, e := range second.evidenceMessages(secondRollout) {
		first.mergeEvidence("e2", e)
	}
	if got := due(first, firstRollout, now.Add(release.AgreementTime)); got != string(fleet.RolledBack) {
		t.Errorf("the first entry publishes %q, want %q", got, fleet.RolledBack)
	}
	third, thirdRollout := rolloutEntry("e3", good, duration, elapsed)
	for _, e := range first.evidenceMessages(firstRollout) {
		third.mergeEvidence("e1", e) // e.g. after e2 has ended
	}
	if !thirdRollout.rejected {
		t.Error("the rejection does not reach a third entry")
	}
}
