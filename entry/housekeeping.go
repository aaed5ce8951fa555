package entry

import (
	"context"
	"errors"
	"time"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/ledger"
)

const (
	// housekeepingLeaseTTL is the TTL of the lease of the entry that runs the
	// housekeeping. Correctness does not depend on the lease: every housekeeping
	// write is a compare-and-swap.
	housekeepingLeaseTTL = 30 * time.Second
	housekeepingKey      = "duty/housekeeping"
	// sweepLimit is the maximum number of idempotency records removed in one run.
	sweepLimit = 500
	// housekeepingTimeout limits one run.
	housekeepingTimeout = 20 * time.Second
)

// runHousekeeping compacts the ledger and removes old idempotency records. It does
// nothing if another entry holds the housekeeping lease.
func (e *Entry) runHousekeeping(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, housekeepingTimeout)
	defer cancel()
	lease, err := e.deps.Store.Grant(ctx, housekeepingLeaseTTL)
	if err != nil {
		return
	}
	defer func() {
		_ = e.deps.Store.Revoke(context.WithoutCancel(ctx), lease)
	}()
	if _, err := e.deps.Store.CompareAndSwap(ctx, dialect.Write{Key: housekeepingKey, Value: []byte(e.settings.Name), Lease: lease}); err != nil {
		return
	}
	if err := ledger.Compact(ctx, e.deps.Store); err != nil {
		e.log.Warn("Ledger was not compacted.", "error", err.Error())
	}
	if _, err := e.once.Sweep(ctx, "", sweepLimit); err != nil {
		e.log.Warn("Old idempotency records were not removed.", "error", err.Error())
	}
}

// storeQuarantines writes the quarantines that are not in the store yet. All
// entries try; the compare-and-swap lets only one succeed.
func (e *Entry) storeQuarantines(ctx context.Context) {
	for _, q := range e.health.Pending() {
		raw, err := config.Encode(config.Envelope{
			SchemaVersion: config.LatestSchema(config.KindQuarantine),
			Kind:          config.KindQuarantine,
			Name:          q.Model + "/" + q.Version,
			Writer:        e.settings.Name,
			ChangeID:      q.ID,
			Spec:          &config.Quarantine{Reason: q.Reason, Since: time.Now().UTC()},
		})
		if err != nil {
			e.log.Error("Quarantine cannot be encoded.", "error", err.Error())
			continue
		}
		key := config.QuarantineKey(q.Model, q.Version)
		revision, err := e.deps.Store.CompareAndSwap(ctx, dialect.Write{Key: key, Value: raw, ExpectedRevision: q.BaseRevision})
		var conflict *dialect.ConflictError
		switch {
		case err == nil:
			e.snapshot.Apply([]config.Record{{Key: key, Revision: revision, Raw: raw}})
		case errors.As(err, &conflict):
			e.adoptQuarantine(ctx, key, raw, conflict.Current)
		}
	}
}

// adoptQuarantine handles a write conflict by adopting the store's current record.
// If the key is gone without a tombstone, it was not an operator's lift that removed
// it, and the quarantine is written again.
func (e *Entry) adoptQuarantine(ctx context.Context, key string, raw []byte, current dialect.KV) {
	if current.Revision == 0 {
		revision, err := e.deps.Store.CompareAndSwap(ctx, dialect.Write{Key: key, Value: raw})
		if err != nil {
			return // the next run retries
		}
		current = dialect.KV{Revision: revision, Value: raw}
	}
	e.snapshot.Apply([]config.Record{{Key: key, Revision: current.Revision, Raw: current.Value}})
}
