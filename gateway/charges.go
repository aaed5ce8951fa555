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
	// chargeWindow is the shortest time for which charges are collected before a
	// write: each write is paid for and wakes the readers of the store.
	chargeWindow = 10 * time.Second
	// chargeWrites bounds the writes of all entries in a second.
	chargeWrites = 0.6
	// chargeFlush bounds the write of the last charges at a stop.
	chargeFlush = 350 * time.Millisecond
	// maxUnheld bounds the charges that wait for a peer to hold them; further ones
	// are only in this entry's own queue.
	maxUnheld = 5000
	// readShare is the price of a token read, relative to a generated one.
	readShare = 0.25
	// microPerToken turns a price of 1,000 tokens into micro-units of one token.
	microPerToken = 1e6 / 1000
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
		return supervise.Shared(chargeWindow, g.EntryCount(), chargeWrites)
	})
	g.ledger.OnDurable = g.tellDurable
	g.held = ledger.NewRowBuffer(g.ledger)
	g.holds = make(map[string]string)
}

// charge records what the request cost: one row for each model that ran it, so
// that a request is charged once however often it was sent.
func (c *call) charge(complete bool) {
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
	for stage, model := range c.modelsRun() {
		row.Stage, row.Model = stage, model.name
		row.TokensIn, row.TokensOut = int64(c.meta.PromptTokens), int64(model.events*c.service.Engine.EventTokens)
		price := c.service.Engine.Price(model.name)
		row.Amount = int64(price * microPerToken * (float64(row.TokensOut) + readShare*float64(row.TokensIn)))
		c.g.addCharge(row)
	}
}

// modelRun is the part of one model in a request.
type modelRun struct {
	name   string
	events int // that were passed on to the caller
}

// modelsRun lists the models whose attempts may have run, in order.
func (c *call) modelsRun() []modelRun {
	var runs []modelRun
	for i := range c.log {
		a := &c.log[i]
		if !a.result.MayHaveRun() {
			continue
		}
		name := c.modelName(a.Model)
		if n := len(runs); n > 0 && runs[n-1].name == name {
			runs[n-1].events += a.Events // the same stream, continued elsewhere
			continue
		}
		runs = append(runs, modelRun{name, a.Events})
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
	if len(g.unheld) < maxUnheld {
		g.unheld = append(g.unheld, row)
	}
	g.handOver()
}

// handOver gives the charges that no peer holds yet to one. Without a peer they
// wait for the next time. The caller holds g.mu.
func (g *Gateway) handOver() {
	peer, ok := g.chargeHolder()
	if !ok || len(g.unheld) == 0 {
		return
	}
	rows := g.unheld
	if g.hub.Send(peer.Address, func(_ fleet.Peer, m *peers.Message) {
		m.Charges = append(m.Charges, rows...)
		m.Boot = g.bootID
	}) {
		g.unheld = nil
	}
}

// chargeHolder is the peer that holds this entry's charges: the first by name in
// another data centre.
func (g *Gateway) chargeHolder() (fleet.Peer, bool) {
	for _, p := range g.hub.LivePeers() {
		if p.DataCentre != g.Self.DataCentre {
			return p, true
		}
	}
	return fleet.Peer{}, false
}

// tellDurable lets the peers forget charges that are in the store.
func (g *Gateway) tellDurable(keys []ledger.RowKey) {
	refs := make([]ledger.RowRef, len(keys))
	for i, key := range keys {
		refs[i] = ledger.RowRef{Key: key, Attempt: g.bootID}
	}
	if peer, ok := g.chargeHolder(); ok {
		g.hub.Send(peer.Address, func(_ fleet.Peer, m *peers.Message) {
			m.Durable = append(m.Durable, refs...)
			m.Boot = g.bootID
		})
	}
}

// holdCharges keeps the charges of a peer.
func (g *Gateway) holdCharges(m *peers.Message) {
	if m.Boot == "" || g.held == nil {
		return
	}
	g.mu.Lock()
	g.holds[m.Boot] = m.From.Name
	g.mu.Unlock()
	for _, row := range m.Charges {
		g.held.Hold(m.Boot, row)
	}
	g.held.Release(m.Boot, m.Durable)
}

// adoptOrphans writes the charges of entries that are gone, and hands over those
// that no peer holds yet.
func (g *Gateway) adoptOrphans() {
	if g.held == nil {
		return
	}
	g.mu.Lock()
	g.handOver()
	g.mu.Unlock()
	for _, boot := range g.held.Entries() {
		g.mu.Lock()
		name := g.holds[boot]
		g.mu.Unlock()
		if g.hub.IsLive(name) {
			continue
		}
		n := g.held.HandOver(boot)
		g.mu.Lock()
		delete(g.holds, boot)
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
	ctx, cancel := context.WithTimeout(ctx, chargeFlush)
	defer cancel()
	if err := g.ledger.Flush(ctx); err != nil {
		g.Log.Warn("Charges were not written before the stop; a peer holds them.", "error", err.Error())
	}
}

// HeldChargeCount returns the number of peers' charges that this entry holds.
func (g *Gateway) HeldChargeCount() int { return g.held.Len() }
