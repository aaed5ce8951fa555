package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/ledger"
	"hyssoploom/peers"
	"hyssoploom/supervise"
)

const (
	// minChargeBatchWindow is the minimum time for which charges are collected before a
	// write: each write is billed and wakes the readers of the store.
	minChargeBatchWindow = 10 * time.Second
	// maxChargeWriteRate limits the writes per second of all entries together.
	maxChargeWriteRate = 0.6
	// chargeFlushTimeout limits the write of the last charges at shutdown.
	chargeFlushTimeout = 350 * time.Millisecond
	// chargeRetention is how long written charges are kept in case the store goes back to
	// an earlier copy, which is some seconds old.
	chargeRetention = time.Minute
	// eraCheckInterval is the interval of the checks whether the store has gone back.
	eraCheckInterval = 500 * time.Millisecond
	// maxUnreplicated limits the charges that wait to be copied to a peer; charges
	// beyond it are only in this entry's own queue.
	maxUnreplicated = 5000
	// inputPriceRatio is the price of an input token relative to an output token.
	inputPriceRatio = 0.25
	// microUnitsPerToken converts a price per 1,000 tokens to micro-units per token.
	microUnitsPerToken = 1e6 / 1000
)

// Outcomes of charges.
const (
	chargeComplete = "complete"
	chargeCut      = "cut"
)

// newLedger creates the writer of this entry's charges and the buffer for the charges
// of its peers.
func (g *Gateway) newLedger(store ledger.BatchStore, bootID string) {
	g.bootID = bootID
	g.ledger = ledger.NewWriter(store, bootID, func() time.Duration {
		return supervise.SharedInterval(minChargeBatchWindow, g.EntryCount(), maxChargeWriteRate)
	}, ledger.WithRetention(chargeRetention))
	g.ledger.OnDurable = g.sendDurable
	g.peerCharges = ledger.NewRowBuffer(g.ledger)
	g.peerChargeOwners = make(map[string]string)
}

// charge records the cost of the request, with one row per model that executed it, so
// that a request is charged once no matter how often it was sent.
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

// modelUsage is the usage of one model by a request.
type modelUsage struct {
	name   string
	events int // forwarded to the client
}

// usageByModel returns the usage of the models whose attempts may have executed, in
// order.
func (c *clientRequest) usageByModel() []modelUsage {
	var runs []modelUsage
	for i := range c.attempts {
		a := &c.attempts[i]
		if !a.result.MayHaveRun() {
			continue
		}
		name := c.modelName(a.Model)
		if n := len(runs); n > 0 && runs[n-1].name == name {
			runs[n-1].events += a.Events // the same stream, resumed on another server
			continue
		}
		runs = append(runs, modelUsage{name, a.Events})
	}
	return runs
}

// addCharge queues a row and sends a copy to a peer in another data centre, which
// writes it if this entry is lost.
func (g *Gateway) addCharge(row ledger.Row) {
	if g.ledger == nil {
		return
	}
	g.mu.Lock() // until the copy is on its way, as the peer is told to drop it afterwards
	defer g.mu.Unlock()
	g.ledger.Add(row)
	if len(g.unreplicated) < maxUnreplicated {
		g.unreplicated = append(g.unreplicated, row)
	}
	g.replicateCharges()
}

// replicateCharges sends the charges that have not been copied yet to a peer. If there
// is no peer, they are kept for the next call. The caller must hold g.mu.
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

// chargeReplica returns the peer that holds copies of this entry's charges: the first
// by name in another data centre.
func (g *Gateway) chargeReplica() (fleet.Peer, bool) {
	for _, p := range g.hub.LivePeers() {
		if p.DataCentre != g.Self.DataCentre {
			return p, true
		}
	}
	return fleet.Peer{}, false
}

// sendDurable tells the peer that holds copies of this entry's charges which of them
// are in the store, so that it drops them. No copies are sent of those any more.
func (g *Gateway) sendDurable(keys []ledger.RowKey) {
	refs := make([]ledger.RowRef, len(keys))
	durable := make(map[ledger.RowKey]bool, len(keys))
	for i, key := range keys {
		refs[i] = ledger.RowRef{Key: key, Attempt: g.bootID}
		durable[key] = true
	}
	g.mu.Lock()
	g.unreplicated = slices.DeleteFunc(g.unreplicated, func(r ledger.Row) bool { return durable[r.Key()] })
	g.mu.Unlock()
	if peer, ok := g.chargeReplica(); ok {
		g.hub.Send(peer.Address, func(_ fleet.Peer, m *peers.Message) {
			m.Durable = append(m.Durable, refs...)
			m.Boot = g.bootID
		})
	}
}

// holdCharges stores copies of a peer's charges and drops those that are in the store.
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

// adoptOrphanedCharges queues the charges of lost entries for writing, and sends this
// entry's charges to a peer if they have not been copied yet.
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
		if g.hub.IsLive(name) {
			continue
		}
		n := g.peerCharges.HandOver(boot)
		g.mu.Lock()
		delete(g.peerChargeOwners, boot)
		g.mu.Unlock()
		g.Log.Info("Took over the charges of a lost entry.", "peer", name, "rows", n)
	}
}

// ServeLedger writes charges until ctx is done.
func (g *Gateway) ServeLedger(ctx context.Context) error {
	var watcher sync.WaitGroup
	watcher.Go(func() { g.requeueLostCharges(ctx) })
	defer watcher.Wait()
	return g.ledger.Serve(ctx)
}

// requeueLostCharges writes the last charges again each time the store has gone back to an
// earlier copy.
func (g *Gateway) requeueLostCharges(ctx context.Context) {
	for era := g.Store.Era(); ctx.Err() == nil; sleep(ctx, eraCheckInterval) {
		if now := g.Store.Era(); now != era {
			era = now
			g.Log.Info("The store has gone back to an earlier copy; charges are written again.", "era", era, "charges", g.ledger.Requeue())
		}
	}
}

// flushCharges writes the remaining charges at shutdown. A peer keeps its copies of
// those that cannot be written.
func (g *Gateway) flushCharges(ctx context.Context) {
	if g.ledger == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, chargeFlushTimeout)
	defer cancel()
	if err := g.ledger.Flush(ctx); err != nil {
		g.Log.Warn("Charges were not written before shutdown; a peer holds copies of them.", "error", err.Error())
	}
}

// HeldChargeCount returns the number of charges that this entry holds for its peers.
func (g *Gateway) HeldChargeCount() int { return g.peerCharges.Len() }
