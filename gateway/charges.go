package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/ledger"
	"hyssoploom/peers"
	"hyssoploom/supervise"
)

const (
	// minChargeBatchWindow is the shortest time for which charges are collected before a
	// write: each write is paid for and wakes the readers of the store.
	minChargeBatchWindow = 10 * time.Second
	// maxChargeWriteRate bounds the writes of all entries in a second.
	maxChargeWriteRate = 0.6
	// chargeFlushTimeout bounds the write of the last charges at a stop.
	chargeFlushTimeout = 350 * time.Millisecond
	// maxUnreplicated bounds the charges that wait for a peer to hold them; further ones
	// are only in this entry's own queue.
	maxUnreplicated = 5000
	// inputPriceRatio is the price of a token read, relative to a generated one.
	inputPriceRatio = 0.25
	// microUnitsPerToken turns a price of 1,000 tokens into micro-units of one token.
	microUnitsPerToken = 1e6 / 1000
)

// The outcomes of charges.
const (
	chargeComplete = "complete"
	chargeCut      = "cut"
)

// newLedger returns the writer of this entry's charges and the holder of its
// peers' charges.
func (g *Gateway) newLedger(store ledger.BatchStore, bootID string) {
	g.bootID = bootID
	g.ledger = ledger.NewWriter(store, bootID, func() time.Duration {
		return supervise.Shared(minChargeBatchWindow, g.EntryCount(), maxChargeWriteRate)
	})
	g.ledger.OnDurable = g.sendDurable
	g.peerCharges = ledger.NewHolder(g.ledger)
	g.peerChargeOwners = make(map[string]string)
}

// charge records what the request cost: one row for each model that ran it, so
// that a request is charged once however often it was sent.
func (c *clientRequest) charge(complete bool) {
	if c.workspace == nil || !c.progress.MayHaveRun() {
		return
	}
	sum := sha256.Sum256(c.body)
	row := ledger.Row{
		Workspace: c.workspace.Name, RequestID: c.meta.ID, BodyHash: hex.EncodeToString(sum[:8]),
		Attempt: c.g.bootID, Service: c.service.Name, Outcome: chargeCut, At: time.Now(),
	}
	if complete {
		row.Outcome = chargeComplete
	}
	if c.service.Engine == nil {
		c.g.addCharge(row)
		return
	}
	for stage, model := range c.usageByModel() {
		row.Stage, row.Model = stage, model.name
		row.TokensIn, row.TokensOut = int64(c.meta.PromptTokens), int64(model.events*c.service.Engine.EventTokens)
		price := c.service.Engine.Price(model.name)
		row.Amount = int64(price * microUnitsPerToken * (float64(row.TokensOut) + inputPriceRatio*float64(row.TokensIn)))
		c.g.addCharge(row)
	}
}

// modelUsage is the part of one model in a request.
type modelUsage struct {
	name   string
	events int // that were passed on to the caller
}

// usageByModel lists the models whose attempts may have run, in order.
func (c *clientRequest) usageByModel() []modelUsage {
	var runs []modelUsage
	for i := range c.attempts {
		a := &c.attempts[i]
		if !a.result.MayHaveRun() {
			continue
		}
		name := c.modelName(a.Model)
		if n := len(runs); n > 0 && runs[n-1].name == name {
			runs[n-1].events += a.Events // the same stream, continued elsewhere
			continue
		}
		runs = append(runs, modelUsage{name, a.Events})
	}
	return runs
}

// addCharge queues a row and gives a copy to a peer in another data centre, which
// writes it should this entry be gone.
func (g *Gateway) addCharge(row ledger.Row) {
	if g.ledger == nil {
		return
	}
	g.ledger.Add(row)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.unreplicated) < maxUnreplicated {
		g.unreplicated = append(g.unreplicated, row)
	}
	g.replicateCharges()
}

// replicateCharges gives the charges that no peer holds yet to one. Without a peer they
// wait for the next time. The caller holds g.mu.
func (g *Gateway) replicateCharges() {
	peer, ok := g.chargeReplica()
	if !ok || len(g.unreplicated) == 0 {
		return
	}
	rows := g.unreplicated
	if g.hub.Send(peer.Address, func(_ fleet.Peer, m *peers.Message) {
		m.Charges = append(m.Charges, rows...)
		m.Boot = g.bootID
	}) {
		g.unreplicated = nil
	}
}

// chargeReplica is the peer that holds this entry's charges: the first by name in
// another data centre.
func (g *Gateway) chargeReplica() (fleet.Peer, bool) {
	for _, p := range g.hub.Live() {
		if p.DataCentre != g.Self.DataCentre {
			return p, true
		}
	}
	return fleet.Peer{}, false
}

// sendDurable lets the peers forget charges that are in the store.
func (g *Gateway) sendDurable(keys []ledger.RowKey) {
	refs := make([]ledger.RowRef, len(keys))
	for i, key := range keys {
		refs[i] = ledger.RowRef{Key: key, Attempt: g.bootID}
	}
	if peer, ok := g.chargeReplica(); ok {
		g.hub.Send(peer.Address, func(_ fleet.Peer, m *peers.Message) {
			m.Durable = append(m.Durable, refs...)
			m.Boot = g.bootID
		})
	}
}

// holdCharges keeps the charges of a peer.
func (g *Gateway) holdCharges(m *peers.Message) {
	if m.Boot == "" || g.peerCharges == nil {
		return
	}
	g.mu.Lock()
	g.peerChargeOwners[m.Boot] = m.From.Name
	g.mu.Unlock()
	for _, row := range m.Charges {
		g.peerCharges.Hold(m.Boot, row)
	}
	g.peerCharges.Release(m.Boot, m.Durable)
}

// adoptOrphanedCharges writes the charges of entries that are gone, and hands over those
// that no peer holds yet.
func (g *Gateway) adoptOrphanedCharges() {
	if g.peerCharges == nil {
		return
	}
	g.mu.Lock()
	g.replicateCharges()
	g.mu.Unlock()
	for _, boot := range g.peerCharges.Entries() {
		g.mu.Lock()
		name := g.peerChargeOwners[boot]
		g.mu.Unlock()
		if g.hub.Heard(name) {
			continue
		}
		n := g.peerCharges.Orphans(boot)
		g.mu.Lock()
		delete(g.peerChargeOwners, boot)
		g.mu.Unlock()
		g.Log.Info("Took over the charges of an entry that is gone.", "peer", name, "rows", n)
	}
}

// ServeLedger writes charges until ctx ends.
func (g *Gateway) ServeLedger(ctx context.Context) error { return g.ledger.Serve(ctx) }

// flushCharges writes what is left at a stop. What cannot be written stays with
// the peer that holds it.
func (g *Gateway) flushCharges(ctx context.Context) {
	if g.ledger == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, chargeFlushTimeout)
	defer cancel()
	if err := g.ledger.Flush(ctx); err != nil {
		g.Log.Warn("Charges were not written before the stop; a peer holds them.", "error", err.Error())
	}
}

// HeldChargeCount returns the number of peers' charges that this entry holds.
func (g *Gateway) HeldChargeCount() int { return g.peerCharges.Len() }
