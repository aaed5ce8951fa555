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
	store := newStore(t)
	register(store, "app", ownDC, fake.NewBackendServer(t, "i-gone", nil), fake.NewBackendServer(t, "i-stays", nil))
	store.Put("op/evacuate/"+otherRegionDC, map[string]any{})
	store.Put("op/rollout/llm", map[string]any{"service": "llm", "target": "v2", "durationS": 60})
	key, value := (&platform.Records{}).PeerItem(fleet.Peer{Name: "e9", Address: "127.0.0.1:9", DataCentre: ownDC, Region: regions[ownDC]})
	store.Put(key, value)
	// kept returns what the entry knows of the keys that will be removed.
	kept := func(e *entry) string {
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
	reader := start(t, store, "e1")
	follower := start(t, store, "e2")
	eventually(t, "the follower knows all keys", func() bool { return kept(follower) == "server evacuation order peer" })
	eventually(t, "the reader supplies the follower", func() bool {
		return follower.Gateway.ServersSuppliedByPeer() && follower.Gateway.ConfigSuppliedByPeer()
	})
	time.Sleep(2500 * time.Millisecond) // earlier watches end

	reader.Stop()
	for _, removed := range []string{"servers/i-gone", "op/evacuate/" + otherRegionDC, "op/rollout/llm", key} {
		store.Delete(removed)
	}
	removed := time.Now()
	start(t, store, "e1")
	for kept(follower) != "" {
		if time.Since(removed) > drainTime {
			t.Fatalf("the follower still knows %s after %v", kept(follower), drainTime)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if follower.State.View().Servers["i-stays"] == nil {
		t.Error("a server that stays was removed")
	}
}
