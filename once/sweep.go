package once

import (
	"context"
	"errors"

	"hyssoploom/dialect"
	"hyssoploom/internal/storekey"
)

// Sweep removes up to limit records of a workspace, or of all workspaces when
// workspace is empty, whose last change is more than Retention ago; limit 0
// means all. A record that changes in the meantime is kept.
//
// The age is the sweeper's clock minus the clock of the process that wrote the
// record. If their clocks differ by d, a record is removed up to d too early or
// too late. A record removed too early lets its key run again, so clocks may be
// wrong by hours but not by a day.
func (l *RecordStore) Sweep(ctx context.Context, workspace string, limit int) (removed int, err error) {
	prefix := keyPrefix
	if workspace != "" {
		prefix = storekey.Join(keyPrefix, workspace) + "/"
	}
	kvs, _, err := l.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	var failed []error
	for _, kv := range kvs {
		if limit > 0 && removed >= limit {
			break
		}
		rec, err := decode(kv.Key, kv.Value)
		if err != nil {
			failed = append(failed, err) // kept: it may be of a newer version
			continue
		}
		if l.now().Sub(rec.At) <= Retention {
			continue
		}
		_, err = l.store.Swap(ctx, dialect.Write{Key: kv.Key, Expect: kv.Revision, Delete: true})
		var conflict *dialect.ConflictError
		switch {
		case err == nil:
			removed++
		case errors.As(err, &conflict): // changed or removed by another sweeper
		default:
			// A removal of unknown outcome needs no reading back: the next sweep
			// finds what is left.
			return removed, errors.Join(append(failed, err)...)
		}
	}
	return removed, errors.Join(failed...)
}
