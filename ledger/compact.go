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

// DefaultSmallBytes is the size below which a batch is merged with others.
const DefaultSmallBytes = MaxBatchBytes / 2

// CompactOption changes one compaction.
type CompactOption func(*compaction)

// WithSmallBytes sets the size below which a batch is merged; DefaultSmallBytes
// when absent.
func WithSmallBytes(n int) CompactOption { return func(c *compaction) { c.small = n } }

// WithMaxWrites bounds the store writes of one compaction, because they count
// against the rate that the fleet shares. A compaction needs at least 3 writes;
// no bound when absent.
func WithMaxWrites(n int) CompactOption { return func(c *compaction) { c.maxWrites = max(n, 3) } }

type compaction struct {
	store     dialect.Store
	id        string
	small     int
	maxWrites int
	writes    int
	n         int
}

// errBudget ends a compaction that has used up its writes.
var errBudget = errors.New("write budget used up")

// Compact merges small batches into large ones. It needs no lease: the merged
// batch is written under a key of its own and is known to be in the store before
// its sources are removed, each by compare-and-swap. A compactor that is paused
// at any point, or runs beside another, leaves at most copies, which merge.
func Compact(ctx context.Context, store dialect.Store, opts ...CompactOption) error {
	c := &compaction{store: store, id: "compact-" + rand.Text(), small: DefaultSmallBytes, maxWrites: math.MaxInt}
	for _, o := range opts {
		o(c)
	}
	kvs, _, err := store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	groups, failed := c.group(kvs)
	for _, g := range groups {
		if err := c.replace(ctx, g); errors.Is(err, errBudget) {
			break
		} else if err != nil {
			return errors.Join(append(failed, err)...)
		}
	}
	return errors.Join(failed...)
}

// group collects small batches whose sizes sum to at most MaxBatchBytes. Their
// merged batch is no larger than the sum. A batch that cannot be decoded is
// kept and reported.
func (c *compaction) group(kvs []dialect.KV) (groups [][]dialect.KV, failed []error) {
	var g []dialect.KV
	size := 0
	flush := func() {
		if len(g) > 1 {
			groups = append(groups, g)
		}
		g, size = nil, 0
	}
	for _, kv := range kvs {
		if len(kv.Value) >= c.small {
			continue
		}
		if _, err := decodeBatch(kv.Value); err != nil {
			failed = append(failed, fmt.Errorf("ledger: batch %q cannot be decoded: %w", kv.Key, err))
			continue
		}
		if size+len(kv.Value) > MaxBatchBytes || len(g)+2 > c.maxWrites {
			flush()
		}
		g = append(g, kv)
		size += len(kv.Value)
	}
	flush()
	return groups, failed
}

// replace writes the union of the sources and then removes them.
func (c *compaction) replace(ctx context.Context, sources []dialect.KV) error {
	// A group that is begun is also ended, so that no copies are left.
	if c.writes+1+len(sources) > c.maxWrites {
		return errBudget
	}
	value, err := union(sources)
	if err != nil {
		return err
	}
	if err := c.create(ctx, value); err != nil {
		return err
	}
	for _, kv := range sources {
		c.writes++
		_, err := c.store.Swap(ctx, dialect.Write{Key: kv.Key, Expect: kv.Revision, Delete: true})
		var conflict *dialect.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			// What is left is a copy; the next compaction merges it again.
			return fmt.Errorf("ledger: remove %q: %w", kv.Key, err)
		}
	}
	return nil
}

func union(sources []dialect.KV) ([]byte, error) {
	book := new(RowSet)
	for _, kv := range sources {
		rows, err := decodeBatch(kv.Value)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			book.Add(r)
		}
	}
	var encoded [][]byte
	for _, r := range book.Rows() {
		e, err := EncodeRow(r)
		if err != nil {
			return nil, err
		}
		encoded = append(encoded, e)
	}
	return encodeBatch(encoded), nil
}

// create writes a merged batch. It fails unless the batch is known to be in the
// store. After a write of unknown outcome the batch may be in the store and be
// absent when read back, because another compactor has merged it; the sources
// are then left alone.
func (c *compaction) create(ctx context.Context, value []byte) error {
	key := fmt.Sprintf("%s%s/%010d", Prefix, c.id, c.n)
	c.n++
	c.writes++
	_, err := c.store.Swap(ctx, dialect.Write{Key: key, Value: value})
	if err == nil {
		return nil
	}
	kv, readErr := c.store.Get(ctx, key)
	if readErr == nil && bytes.Equal(kv.Value, value) {
		return nil
	}
	return fmt.Errorf("ledger: write %q: %w", key, err)
}
