package gateway_test

import (
	"testing"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/gateway"
	"hyssoploom/platform"
	"hyssoploom/platform/fake"
	"hyssoploom/settings"
)

// Guards against data centres in one region that each pay for watching the backend
// servers, and against a data centre that no longer learns of changes when the entry
// that reads them for the region loses its connection to the store.
func TestOneServerReaderPerRegion(t *testing.T) {
	// Each entry has its own store, so that one of them can be cut off.
	first, second := newStore(t), newStore(t)
	put := func(key string, value any) {
		first.Put(key, value)
		second.Put(key, value)
	}
	reader := startAt(t, first, "e1", ownDC)
	supplied := startAt(t, second, "e2", sameRegionDC)
	put("state/hyssoploom/entries/e1", reader.Peer)
	put("state/hyssoploom/entries/e2", supplied.Peer)
	eventually(t, "the reader of the region supplies the other data centre", supplied.Gateway.ServersSuppliedByPeer)
	if supplied.Gateway.ConfigSuppliedByPeer() {
		t.Error("the other data centre does not read the configuration")
	}
	if reader.Gateway.ServersSuppliedByPeer() {
		t.Error("the reader of the region does not read the backend servers")
	}

	watches := "/kv-watch " + platform.ServersPrefix
	time.Sleep(2500 * time.Millisecond) // an earlier watch ends
	before := second.Calls(watches)
	for range 5 {
		put("servers/i-1", fake.NewBackendServer(t, "i-1", nil).Record("app", ownDC))
		time.Sleep(200 * time.Millisecond)
	}
	supplied.awaitServers(1)
	if n := second.Calls(watches) - before; n > 0 {
		t.Errorf("the supplied data centre made %d calls to the store", n)
	}

	first.SetFaults(fake.StoreFaults{Hang: true})
	for range 5 {
		put("servers/unrelated", 1)
	}
	cut := time.Now()
	second.Put("servers/i-2", fake.NewBackendServer(t, "i-2", nil).Record("app", ownDC))
	supplied.awaitServers(2)
	if took := time.Since(cut); took > 3500*time.Millisecond {
		t.Errorf("the change arrived after %v", took)
	}
}

// drainTime is the time after which a backend server that leaves may get no more requests.
const drainTime = 3 * time.Second

// Guards against backend servers whose leaving stays unknown while the store turns the
// reader away: reads of a configuration that changes often say nothing about the servers.
func TestServersStayFreshWhileConfigurationChanges(t *testing.T) {
	first, second := newStore(t), newStore(t) // each entry has its own, so that one can be turned away
	put := func(key string, value any) {
		first.Put(key, value)
		second.Put(key, value)
	}
	var fresh *fleet.Freshness
	reader := startAt(t, first, "e1", ownDC)
	supplied := startAt(t, second, "e2", ownDC, func(_ *settings.Gateway, d *gateway.Deps) { fresh = d.Fresh })
	put("state/hyssoploom/entries/e1", reader.Peer)
	put("state/hyssoploom/entries/e2", supplied.Peer)
	eventually(t, "the reader supplies the other entry", supplied.Gateway.ServersSuppliedByPeer)
	time.Sleep(2500 * time.Millisecond) // an earlier watch ends
	first.SetFaults(fake.StoreFaults{Status: 503})
	second.Put("servers/i-1", fake.NewBackendServer(t, "i-1", nil).Record("app", ownDC))
	changed := time.Now()
	for supplied.State.View().Servers["i-1"] == nil {
		fresh.MarkFresh(fresh.Now()) // as a watch of the configuration does that returns changes
		time.Sleep(20 * time.Millisecond)
		if took := time.Since(changed); took > drainTime {
			t.Fatalf("the change is not known after %v", took)
		}
	}
}
