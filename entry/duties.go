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
	// dutyTTL is the lease of the entry that holds the duties. Safety does not
	// rest on it: each write of a duty is a compare-and-swap.
	dutyTTL = 30 * time.Second
	dutyKey = "duty/housekeeping"
	// sweepLimit bounds the records removed in one round.
	sweepLimit = 500
	// dutyTimeout bounds one round of duties.
	dutyTimeout = 20 * time.Second
)

// runDuties does the work that one entry does for all, if the lease is free.
func (e *Entry) runDuties(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	lease, err := e.deps.Store.Grant(ctx, dutyTTL)
	if err != nil {
		return
	}
	defer func() {
		_ = e.deps.Store.Revoke(context.WithoutCancel(ctx), lease)
	}()
	if _, err := e.deps.Store.CompareAndSwap(ctx, dialect.Write{Key: dutyKey, Value: []byte(e.settings.Name), Lease: lease}); err != nil {
		return
	}
	if err := ledger.Compact(ctx, e.deps.Store); err != nil {
		e.log.Warn("Ledger was not compacted.", "error", err.Error())
	}
	if _, err := e.once.Sweep(ctx, "", sweepLimit); err != nil {
		e.log.Warn("Old idempotency records were not removed.", "error", err.Error())
	}
}

// storeQuarantines writes the quarantines that the store does not have yet.
// Every entry tries; the compare-and-swap lets one of them win.
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
			e.snapshot.Adopt([]config.Record{{Key: key, Revision: revision, Raw: raw}})
		case errors.As(err, &conflict):
			e.adoptQuarantine(ctx, key, raw, conflict.Current)
		}
	}
}

// adoptQuarantine follows a conflict. A key that is gone without a tombstone was
// removed from the store by other means than an operator's lift; the quarantine
// is then written anew.
func (e *Entry) adoptQuarantine(ctx context.Context, key string, raw []byte, current dialect.KV) {
	if current.Revision == 0 {
		revision, err := e.deps.Store.CompareAndSwap(ctx, dialect.Write{Key: key, Value: raw})
		if err != nil {
			return // the next round tries again
		}
		current = dialect.KV{Revision: revision, Value: raw}
	}
	e.snapshot.Adopt([]config.Record{{Key: key, Revision: current.Revision, Raw: current.Value}})
}
