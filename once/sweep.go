package once

import (
	"context"
	"errors"

	"hyssoploom/dialect"
	"hyssoploom/internal/storekey"
)

// Sweep removes up to limit records whose last change is more than Retention
// ago, in one workspace or, if workspace is empty, in all of them. A limit of 0
// means no limit. A record that changes during the sweep is kept.
//
// The age of a record compares the clock of the sweeper with that of the process
// that wrote the record. If the clocks differ by d, a record is removed up to d
// too early or too late. Once a record is removed, its key can run again, so
// clocks may be wrong by hours but not by a day.
func (s *RecordStore) Sweep(ctx context.Context, workspace string, limit int) (removed int, err error) {
	prefix := keyPrefix
	if workspace != "" {
		prefix = storekey.Join(keyPrefix, workspace) + "/"
	}
	kvs, _, err := s.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	var failed []error
	for _, kv := range kvs {
		if limit > 0 && removed >= limit {
			break
		}
		rec, err := decodeRecord(kv.Key, kv.Value)
		if err != nil {
			failed = append(failed, err) // kept: a newer version may have written it
			continue
		}
		if s.now().Sub(rec.At) <= Retention {
			continue
		}
		_, err = s.store.CompareAndSwap(ctx, dialect.Write{Key: kv.Key, ExpectedRevision: kv.Revision, Delete: true})
		var conflict *dialect.ConflictError
		switch {
		case err == nil:
			removed++
		case errors.As(err, &conflict): // changed or removed by another sweeper
		default:
			// A removal of unknown outcome is not read back: the next sweep finds the
			// record if it is still there.

			return removed, errors.Join(append(failed, err)...)
		}
	}
	return removed, errors.Join(failed...)
}
