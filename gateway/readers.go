package gateway

import (
	"slices"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/peers"
)

// One entry in each data centre reads the configuration from the store, and one in each
// region reads the backend servers, which change more often: each call is billed, and
// each change wakes every watch. There is no leader election. The reader is the first
// by name among the entries that can reach each other; two concurrent readers only
// cause additional calls.

// firstMatching returns the first by name among this entry and the live peers that
// match.
func (g *Gateway) firstMatching(matches func(fleet.Peer) bool) fleet.Peer {
	for _, p := range g.hub.LivePeers() {
		if p.Name < g.Self.Name && matches(p) {
			return p
		}
	}
	return g.Self
}

// dataCentreReader returns the entry that reads the configuration for its data centre.
func (g *Gateway) dataCentreReader() fleet.Peer { return g.firstMatching(g.sameDataCentre) }

// regionReader returns the entry that reads the backend servers for its region.
func (g *Gateway) regionReader() fleet.Peer { return g.firstMatching(g.sameRegion) }

func (g *Gateway) sameDataCentre(p fleet.Peer) bool { return p.DataCentre == g.Self.DataCentre }

// syncSource returns the entry whose copy of the store this one asks for: the reader of
// the data centre, which itself asks the reader of the region.
func (g *Gateway) syncSource() fleet.Peer {
	if reader := g.dataCentreReader(); reader.Name != g.Self.Name {
		return reader
	}
	return g.regionReader()
}

// IsConfigReader reports whether the other entries of the data centre rely on this one
// to read the configuration.
func (g *Gateway) IsConfigReader() bool { return g.dataCentreReader().Name == g.Self.Name }

// IsServersReader reports whether the other entries of the region rely on this one to
// read the backend servers.
func (g *Gateway) IsServersReader() bool { return g.regionReader().Name == g.Self.Name }

// ConfigSuppliedByPeer reports whether the reader of the data centre keeps the
// configuration of this entry up to date, so that this entry need not call the store.
func (g *Gateway) ConfigSuppliedByPeer() bool {
	age, known := g.Fresh.Age()
	return known && age < g.refreshTimes().MaxReaderAge && g.dataCentreReader().Name != g.Self.Name
}

// ServersSuppliedByPeer reports whether a reader keeps the backend servers of this entry up
// to date: that of the data centre or, for it, that of the region. The age of the
// configuration says nothing about the servers, which are read by other calls.
func (g *Gateway) ServersSuppliedByPeer() bool {
	maxAge := g.refreshTimes().MaxReaderAge
	if g.dataCentreReader().Name != g.Self.Name {
		age, known := g.ServersFresh.Age()
		return known && age < maxAge
	}
	reader := g.regionReader()
	if reader.Name == g.Self.Name {
		return false
	}
	g.mu.Lock()
	verifiedAt, known := g.peerVerifiedAt[reader.Name]
	g.mu.Unlock()
	return known && g.ServersFresh.Now()-verifiedAt < maxAge
}

// copyAge returns the age of the older one of the copies of the configuration and of the
// backend servers. known is false if one of them was never up to date.
func (g *Gateway) copyAge() (age time.Duration, known bool) {
	config, configKnown := g.Fresh.Age()
	servers, serversKnown := g.ServersFresh.Age()
	return max(config, servers), configKnown && serversKnown
}

// BroadcastConfig sends configuration changes that this entry read from the store to
// the other entries in its data centre.
func (g *Gateway) BroadcastConfig(items []fleet.Item) { g.broadcastItems(items, g.sameDataCentre) }

// BroadcastServers sends changes of backend servers that this entry read from the store
// to the other entries in its region.
func (g *Gateway) BroadcastServers(items []fleet.Item) { g.broadcastItems(items, g.sameRegion) }

func (g *Gateway) broadcastItems(items []fleet.Item, to func(fleet.Peer) bool) {
	g.hub.Broadcast(func(p fleet.Peer, m *peers.Message) {
		if !to(p) {
			return
		}
		if m.Reply == nil {
			m.Reply = &peers.Reply{}
		}
		for _, item := range items {
			m.Reply.Items = putNewest(m.Reply.Items, item)
		}
	})
}

// putNewest adds an item to a batch, replacing an older item with the same key, so that
// a batch for a slow peer does not grow with every change.
func putNewest(items []fleet.Item, item fleet.Item) []fleet.Item {
	i := slices.IndexFunc(items, func(other fleet.Item) bool { return other.Key == item.Key })
	if i < 0 {
		return append(items, item)
	}
	if items[i].Revision < item.Revision {
		items[i] = item
	}
	return items
}
