package gateway_test

import (
	"strings"
	"testing"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/platform"
	"hyssoploom/platform/fake"
)

// Guards against an entry that goes on sending requests to a backend server whose record
// was removed while the entry that reads the store for it restarted (DRAIN, review/1), and
// that keeps evacuations, orders and peers likewise.
func TestKeysRemovedWhileReaderRestarts(t *testing.T) {
	for _, followerDC := range []string{ownDC, sameRegionDC} {
		t.Run(followerDC, func(t *testing.T) { removeWhileReaderRestarts(t, followerDC) })
	}
}

// removeWhileReaderRestarts removes keys that an entry in ownDC reads for one in followerDC.
// In another data centre the follower reads the configuration itself.
func removeWhileReaderRestarts(t *testing.T, followerDC string) {
	const rounds = 4
	store := newStore(t)
	register(store, "app", ownDC, fake.NewBackendServer(t, "i-stays", nil))
	gone := fake.NewBackendServer(t, "i-gone", nil)
	peerKey, peer := (&platform.Records{}).PeerItem(fleet.Peer{Name: "e9", Address: "127.0.0.1:9", DataCentre: ownDC, Region: regions[ownDC]})
	reader := start(t, store, "e1")
	follower := startAt(t, store, "e2", followerDC)
	for round := range rounds {
		register(store, "app", ownDC, gone)
		store.Put("op/evacuate/"+otherRegionDC, map[string]any{})
		store.Put("op/rollout/llm", map[string]any{"service": "llm", "target": "v2", "durationS": 60})
		store.Put(peerKey, peer)
		eventually(t, "the follower knows all keys", func() bool { return knownKeys(follower) == "server evacuation order peer" })
		eventually(t, "the reader supplies the follower", func() bool {
			return follower.Gateway.ServersSuppliedByPeer() && follower.Gateway.ConfigSuppliedByPeer() == (followerDC == ownDC)
		})
		time.Sleep(1500 * time.Millisecond) // earlier watches end

		reader.Stop()
		for _, removed := range []string{"servers/i-gone", "op/evacuate/" + otherRegionDC, "op/rollout/llm", peerKey} {
			store.Delete(removed)
		}
		removed := time.Now()
		reader = start(t, store, "e1")
		for knownKeys(follower) != "" {
			if time.Since(removed) > drainTime {
				t.Fatalf("round %d: the follower still knows %s after %v", round, knownKeys(follower), drainTime)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	if follower.State.View().Servers["i-stays"] == nil {
		t.Error("a server that stays was removed")
	}
}

// knownKeys names what an entry knows of the keys that removeWhileReaderRestarts removes.
func knownKeys(e *entry) string {
	v := e.State.View()
	var known []string
	if v.Servers["i-gone"] != nil {
		known = append(known, "server")
	}
	if v.OutOfService[otherRegionDC] {
		known = append(known, "evacuation")
	}
	if _, ordered := v.Orders["llm"]; ordered {
		known = append(known, "order")
	}
	if _, registered := v.Peers["e9"]; registered {
		known = append(known, "peer")
	}
	return strings.Join(known, " ")
}
