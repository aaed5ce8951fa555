package gateway

import (
	"strconv"
	"testing"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/peers"
	"hyssoploom/release"
	"hyssoploom/settings"
	"hyssoploom/telemetry"
)

// Guards against replies between entries that repeat items the peer already holds, or
// omit items that it lacks.
func TestMissingItems(t *testing.T) {
	items := []fleet.Item{{Key: "same", Revision: 7}, {Key: "newer", Revision: 9}, {Key: "unknown", Revision: 8}, {Key: "older", Revision: 3}}
	got := missingItems(items, map[string]int64{"same": 7, "newer": 5, "older": 6})
	if len(got) != 2 || got[0].Key != "newer" || got[1].Key != "unknown" {
		t.Errorf("%v", got)
	}
}

// Guards against an entry with an outdated copy that makes all peers in all regions
// send it the configuration, and against one that queries no peer that may have it.
func TestPeersToSyncFrom(t *testing.T) {
	now := time.Hour
	fresh := fleet.NewFreshness(func() time.Duration { return now })
	g := &Gateway{Deps: Deps{Fresh: fresh, ServersFresh: fresh, Self: fleet.Peer{Name: "self", Region: "fyn"}}}
	g.bounds.Store(&settings.Bounds{RevokeMS: 5000, StrictRevocation: true})
	peersOf := func(region string, n int) (list []fleet.Peer) {
		for i := range n {
			list = append(list, fleet.Peer{Name: region + strconv.Itoa(i), Region: region})
		}
		return list
	}
	count := func(sameRegion, otherRegions int) (fromSameRegion, fromOtherRegions int) {
		for _, p := range g.peersToSyncFrom(append(peersOf("fyn", sameRegion), peersOf("jylland", otherRegions)...)) {
			if p.Region == "fyn" {
				fromSameRegion++
			} else {
				fromOtherRegions++
			}
		}
		return fromSameRegion, fromOtherRegions
	}
	for _, c := range []struct {
		name                             string
		age                              time.Duration // 0 means that there is no copy
		sameRegion, otherRegions         int
		wantSameRegion, wantOtherRegions int
	}{
		{"old", 2400 * time.Millisecond, 9, 20, maxSameRegionSyncPeers, 0},
		{"older", 2900 * time.Millisecond, 9, 20, maxSameRegionSyncPeers, maxCrossRegionSyncPeers},
		{"old, alone in its region", 2400 * time.Millisecond, 0, 2, 0, 2},
		{"no copy", 0, 9, 20, maxSameRegionSyncPeers, maxCrossRegionSyncPeers},
		{"alone", 2900 * time.Millisecond, 0, 0, 0, 0},
	} {
		if c.age > 0 {
			now += time.Hour
			fresh.MarkFresh(now - c.age)
		} else {
			g.Fresh = fleet.NewFreshness(func() time.Duration { return now })
		}
		if n, f := count(c.sameRegion, c.otherRegions); n != c.wantSameRegion || f != c.wantOtherRegions {
			t.Errorf("%s: syncs from %d peers in its region and %d in others, want %d and %d", c.name, n, f, c.wantSameRegion, c.wantOtherRegions)
		}
		g.Fresh = fresh
	}
}

// Guards against a batch for a slow peer that contains every version of a
// configuration, and against an older version that replaces a newer one.
func TestPutNewest(t *testing.T) {
	var items []fleet.Item
	for _, item := range []fleet.Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}, {Key: "a", Revision: 9}, {Key: "a", Revision: 5}} {
		items = putNewest(items, item)
	}
	if len(items) != 2 || items[0].Revision != 9 || items[1].Revision != 4 {
		t.Errorf("%v", items)
	}
}

// Guards against failures of a new version that are dropped when the entry that
// observed them restarts, and against counts that are added twice.
func TestEvidenceSurvivesPeerRestart(t *testing.T) {
	g, r := rolloutEntry("e1", release.Evidence{}, 24*time.Second, time.Second)
	process := uint64(1)
	receive := func(version string, sent, good, bad int) {
		g.mergeEvidence("e2", peers.Evidence{Service: "s", Order: r.Revision, Version: version, Sent: sent, Good: good, Bad: bad, Process: process})
	}
	receive("", 50, 50, 0)
	receive("v2", 4, 2, 2)
	receive("", 60, 60, 0)
	receive("v2", 5, 2, 3)
	receive("", 55, 55, 0) // an older message that arrived over another path
	receive("v2", 4, 2, 2)
	if e := r.evidence(); e.Old.Good != 60 || e.Target.Bad != 3 || e.Target.Sent != 5 {
		t.Fatalf("before the restart: %+v", e)
	}
	process = 2 // the entry has restarted
	receive("", 0, 0, 0)
	receive("v2", 0, 0, 0)
	receive("", 10, 10, 0)
	receive("v2", 2, 1, 1)
	receive("v2", 2, 1, 1)
	if e := r.evidence(); e.Old.Good != 70 || e.Target.Bad != 4 || e.Target.Good != 3 {
		t.Errorf("after the restart: %+v", e)
	}
	process = 3 // and has handled more requests than before by the time of its first message
	receive("", 80, 80, 0)
	if e := r.evidence(); e.Old.Good != 150 {
		t.Errorf("after the second restart: %+v", e)
	}
}

// Guards against answers that are counted twice because messages of a peer's ended process
// are handled after those of its successor, as after a pause of this entry.
func TestLateEvidenceOfEndedProcess(t *testing.T) {
	g, r := rolloutEntry("e1", release.Evidence{}, 24*time.Second, time.Second)
	receive := func(process uint64, sent, good, bad int) {
		g.mergeEvidence("e2", peers.Evidence{Service: "s", Order: r.Revision, Version: "v2", Sent: sent, Good: good, Bad: bad, Process: process,
			Routes: []peers.RouteCounts{{Route: "r", Counts: [][4]int{{good + bad, bad, 0, 0}}}}})
	}
	receive(1, 5, 4, 1)
	receive(2, 2, 2, 0)
	receive(1, 7, 5, 2)
	receive(2, 3, 2, 1)
	receive(1, 8, 6, 2)
	if e := r.evidence().Target; e.Sent != 11 || e.Good != 8 || e.Bad != 3 {
		t.Errorf("%+v, want 11 sent, 8 good, 3 bad", e)
	}
	answers := r.routeEvidence().Route("r").Target[0]
	if answers.Answers != 11 || answers.Failed != 3 {
		t.Errorf("by route: %+v, want 11 answers, 3 failed", answers)
	}
}

// Guards against requests of a peer's ended process that count as running at a server for as
// long as the peer's new process does not use it.
func TestLoadOfEndedProcessIsForgotten(t *testing.T) {
	g, _ := rolloutEntry("e1", release.Evidence{}, time.Minute, 0)
	used, unused := &load{}, &load{}
	g.loads = map[string]*load{"i-used": used, "i-unused": unused}
	for _, l := range []*load{used, unused} {
		l.setRemote("e2", peers.Load{PendingMS: 40, Running: 3})
		l.setRemote("e3", peers.Load{PendingMS: 5, Running: 1})
	}
	g.Receive(&peers.Message{From: &fleet.Peer{Name: "e2"}})
	if unused.remoteRunning != 4 {
		t.Errorf("%d running after a message without loads, want 4", unused.remoteRunning)
	}
	g.Receive(&peers.Message{From: &fleet.Peer{Name: "e2"}, Initial: true})
	for _, l := range g.loads {
		if l.remoteRunning != 1 || l.remotePending != 5*time.Millisecond || len(l.remote) != 1 {
			t.Errorf("%d running, %v pending, reported by %d peers; want those of e3", l.remoteRunning, l.remotePending, len(l.remote))
		}
	}
}

// Guards against an entry that starts or was paused during a rollout and completes it
// too late, because it measures the duration from when it learned of the order.
func TestRolloutElapsedTimeIsShared(t *testing.T) {
	now := time.Now()
	order := fleet.Order{Service: "s", Target: "v2", Duration: 24 * time.Second, Revision: 9}
	early := &rolloutState{Rollout: fleet.Rollout{Order: order}, orderedAt: now.Add(-5 * time.Second), peers: make(map[peerProcess]peerEvidence)}
	late := &rolloutState{Rollout: fleet.Rollout{Order: order}, orderedAt: now, peers: make(map[peerProcess]peerEvidence)}
	for _, r := range []*rolloutState{early, late} {
		g := &Gateway{Deps: Deps{Log: telemetry.Discard()}, rollouts: map[string]*rolloutState{"s": r}}
		for _, sender := range []*rolloutState{early, late} {
			for _, e := range g.evidenceMessages(sender) {
				g.mergeEvidence("peer", e)
			}
		}
		if got := now.Sub(r.orderedAt); got < 4900*time.Millisecond || got > 5*time.Second {
			t.Errorf("elapsed time of the rollout: %v, want 5 s", got)
		}
	}
}
