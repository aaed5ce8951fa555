package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"hyssoploom/crashcause"
	"hyssoploom/fleet"
)

// The blocks are published in the store, under a lease that ends them, because all entries
// may be restarted at the same moment.

const (
	// blocksInterval is the interval at which evidence and blocks are checked.
	blocksInterval = 200 * time.Millisecond
	// blockWriteInterval is the least time between two writes of an entry. Blocks reach
	// the other entries over the peer links; the store only has to outlast the processes.
	blockWriteInterval = 2 * time.Second
	// maxBlockPublishers is the number of entries, in the order of their names, that
	// publish blocks. The others rely on them.
	maxBlockPublishers = 4
)

// blockPublisher tracks what has to be published about the blocks.
type blockPublisher struct {
	// changedAt is when the blocks last changed; zero when they are published.
	changedAt time.Time
	// notBefore is the earliest time of the next write.
	notBefore time.Time
	// mergedRevision is the revision of the published record that was last merged.
	mergedRevision int64
}

// changed records that the blocks have changed.
func (p *blockPublisher) changed(now time.Time) {
	if p.changedAt.IsZero() {
		p.changedAt = now
	}
}

// mergePublishedBlocks applies the published blocks if they are new. The caller must hold
// g.mu.
func (g *Gateway) mergePublishedBlocks(now time.Time, view *fleet.View) {
	published := &view.PromptBlocks
	if published.Revision <= g.blocks.mergedRevision {
		return
	}
	g.blocks.mergedRevision = published.Revision
	if g.crashes.Merge(now, decodeBlocks(published.ReceivedAt, published.Blocks)) {
		g.cancelBlocked(now)
	}
	if !sameBlocks(g.crashes.Blocks(now), decodeBlocks(now, published.Blocks)) {
		g.blocks.changed(now)
	}
}

// ServeBlocks evaluates crashes and publishes the blocks until ctx is done. The entries
// take turns in the order of their names; each write is conditional on the record that it
// replaces.
func (g *Gateway) ServeBlocks(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, blocksInterval)
		if blocks, due := g.dueBlocks(); due {
			g.publishBlocks(ctx, blocks)
		}
	}
	return ctx.Err()
}

// dueBlocks returns the blocks that this entry has to publish now.
func (g *Gateway) dueBlocks() ([]fleet.PromptBlock, bool) {
	view := g.State.View()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mergePublishedBlocks(now, view)
	g.findOutlasting(now)
	g.evaluateCrashes(now)
	if g.blocks.changedAt.IsZero() || now.Before(g.blocks.notBefore) {
		return nil, false
	}
	blocks := g.crashes.Blocks(now)
	if sameBlocks(blocks, decodeBlocks(now, view.PromptBlocks.Blocks)) {
		g.blocks.changedAt = time.Time{}
		return nil, false
	}
	rank := g.rank(view)
	if rank >= maxBlockPublishers || now.Sub(g.blocks.changedAt) < time.Duration(rank)*publishStagger {
		return nil, false
	}
	g.blocks.notBefore = now.Add(blockWriteInterval)
	return blockMessages(now, blocks), true
}

// publishBlocks replaces the published blocks. A failed write is made again later.
func (g *Gateway) publishBlocks(ctx context.Context, blocks []fleet.PromptBlock) {
	key, value := g.Records.PromptBlocksItem(blocks)
	condition := fleet.Condition{Key: key}
	if item, ok := g.State.Item(key); ok {
		condition.Revision = item.Revision
	}
	lease, err := g.Store.Grant(ctx, crashcause.Retention)
	if err == nil {
		_, err = g.Store.Commit(ctx, []fleet.Condition{condition}, []fleet.Put{{Key: key, Value: value, Lease: lease}})
		if err != nil {
			// Without its key the lease is of no use; it would end by itself.
			_ = g.Store.Revoke(ctx, lease)
		}
	}
	switch {
	case err == nil:
		g.Log.Info("Published the blocked parts of prompts.", "blocks", len(blocks))
	case errors.Is(err, fleet.ErrConflict):
		g.Log.Info("Another entry has published the blocked parts of prompts.")
	default:
		g.Log.Warn("Failed to publish the blocked parts of prompts.", "error", err.Error())
	}
}

// sameBlocks reports whether two lists reject the same requests.
func sameBlocks(a, b []crashcause.Block) bool { return impliesAll(a, b) && impliesAll(b, a) }

// impliesAll reports whether each block of others is implied by one of blocks.
func impliesAll(blocks, others []crashcause.Block) bool {
	for i := range others {
		if !slices.ContainsFunc(blocks, func(b crashcause.Block) bool { return b.Implies(&others[i]) }) {
			return false
		}
	}
	return true
}
