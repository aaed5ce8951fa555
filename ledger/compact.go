package ledger

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"math"

	"hyssoploom/dialect"
)

// DefaultSmallBytes is the default size below which a batch is merged with
// others.
const DefaultSmallBytes = MaxBatchBytes / 2

// CompactOption configures a compaction.
type CompactOption func(*compaction)

// WithSmallBytes sets the size below which a batch is merged. The default is
// DefaultSmallBytes.
func WithSmallBytes(n int) CompactOption { return func(c *compaction) { c.smallBytes = n } }

// WithMaxWrites limits the store writes of one compaction, which count against
// the write rate that the fleet shares. The default is no limit. The minimum is
// 3: a merge of two batches takes one write and two removals.
func WithMaxWrites(n int) CompactOption { return func(c *compaction) { c.maxWrites = max(n, 3) } }

// compaction is the state of one call of Compact.
type compaction struct {
	store      dialect.Store
	keyID      string
	smallBytes int
	maxWrites  int
	writes     int // store writes so far
	nextNumber int // number of the next merged batch, part of its key
}

// errWriteBudget ends a compaction that has no writes left for the next group.
var errWriteBudget = errors.New("write budget used up")

// Compact merges small batches into large ones. It needs no lease: the merged
// batch is written under a new key and is known to be in the store before its
// sources are removed, each by compare-and-swap. A compaction that is paused at
// any point, or runs concurrently with another, leaves at most duplicate rows,
// which count once when they are read.
func Compact(ctx context.Context, store dialect.Store, opts ...CompactOption) error {
	c := &compaction{store: store, keyID: "compact-" + rand.Text(), smallBytes: DefaultSmallBytes, maxWrites: math.MaxInt}
	for _, o := range opts {
		o(c)
	}
	kvs, _, err := store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	groups, errs := c.groupSmallBatches(kvs)
	for _, g := range groups {
		if err := c.mergeGroup(ctx, g); errors.Is(err, errWriteBudget) {
			break
		} else if err != nil {
			return errors.Join(append(errs, err)...)
		}
	}
	return errors.Join(errs...)
}

// groupSmallBatches groups small batches so that the sizes in a group sum to at
// most MaxBatchBytes. A merged batch is no larger than that sum. A batch that
// cannot be decoded is left out and reported.
func (c *compaction) groupSmallBatches(kvs []dialect.KV) (groups [][]dialect.KV, errs []error) {
	var current []dialect.KV
	size := 0
	flush := func() {
		if len(current) > 1 {
			groups = append(groups, current)
		}
		current, size = nil, 0
	}
	for _, kv := range kvs {
		if len(kv.Value) >= c.smallBytes {
			continue
		}
		if _, err := decodeBatch(kv.Value); err != nil {
			errs = append(errs, fmt.Errorf("ledger: batch %q cannot be decoded: %w", kv.Key, err))
			continue
		}
		if size+len(kv.Value) > MaxBatchBytes || len(current)+2 > c.maxWrites {
			flush()
		}
		current = append(current, kv)
		size += len(kv.Value)
	}
	flush()
	return groups, errs
}

// mergeGroup writes the merged batch of the sources and then removes them.
func (c *compaction) mergeGroup(ctx context.Context, sources []dialect.KV) error {
	// A group is only started if the remaining writes suffice to remove all of
	// its sources, so that no duplicates are left.
	if c.writes+1+len(sources) > c.maxWrites {
		return errWriteBudget
	}
	value, err := mergeBatches(sources)
	if err != nil {
		return err
	}
	if err := c.writeMerged(ctx, value); err != nil {
		return err
	}
	for _, kv := range sources {
		c.writes++
		_, err := c.store.CompareAndSwap(ctx, dialect.Write{Key: kv.Key, ExpectedRevision: kv.Revision, Delete: true})
		var conflict *dialect.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			// The remaining sources are duplicates; the next compaction merges them.
			return fmt.Errorf("ledger: remove %q: %w", kv.Key, err)
		}
	}
	return nil
}

// mergeBatches returns one batch with the merged rows of the sources.
func mergeBatches(sources []dialect.KV) ([]byte, error) {
	set := new(RowSet)
	for _, kv := range sources {
		rows, err := decodeBatch(kv.Value)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			set.Add(r)
		}
	}
	var encoded [][]byte
	for _, r := range set.Rows() {
		e, err := EncodeRow(r)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, e)
	}
	return encodeBatch(encoded), nil
}

// writeMerged writes a merged batch under a new key. It fails unless the batch is
// known to be in the store, and the sources are then kept. After a write of
// unknown outcome it also fails if the write took effect but another compaction
// merged and removed the batch before it was read back.
func (c *compaction) writeMerged(ctx context.Context, value []byte) error {
	key := fmt.Sprintf("%s%s/%010d", Prefix, c.keyID, c.nextNumber)
	c.nextNumber++
	c.writes++
	_, err := c.store.CompareAndSwap(ctx, dialect.Write{Key: key, Value: value})
	if err == nil {
		return nil
	}
	kv, readErr := c.store.Get(ctx, key)
	if readErr == nil && bytes.Equal(kv.Value, value) {
		return nil
	}
	return fmt.Errorf("ledger: write %q: %w", key, err)
}
