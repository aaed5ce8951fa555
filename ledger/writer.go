package ledger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hyssoploom/dialect"
)

const (
	// DefaultWindow is the default commit window.
	DefaultWindow = 20 * time.Millisecond
	// DefaultMaxRows is the default number of rows at which a Writer is full. A
	// row takes about 0.5 KiB in memory (BenchmarkWriterAdd).
	DefaultMaxRows = 65_536

	callTimeout  = 5 * time.Second
	firstBackoff = 50 * time.Millisecond
	// maxBackoff limits the delay from the end of an outage to the next attempt.
	maxBackoff = 5 * time.Second
)

// Writer writes rows to the store by group commit.
//
// Its memory is bounded. At the maximum number of rows, Full returns true and the
// owner should refuse new work that will be charged. Rows of work that is already
// running are accepted up to a quarter above the maximum. Further rows are
// dropped and counted in Stats; the channel that Add returned for them is never
// closed, so that the other process that holds the row keeps its copy.
type Writer struct {
	// OnDurable, if not nil, is called with the keys of rows that are in the store.
	// It must be set before Serve is called. A key is left out while another variant
	// of its row is waiting, such as that of a later attempt on another agent, which
	// must keep its copy.
	OnDurable func([]RowKey)

	store   BatchStore
	bootID  string
	window  func() time.Duration
	maxRows int
	// retention is how long durable rows are kept for Requeue.
	retention time.Duration

	wake       chan struct{} // holds a value if rows are waiting
	commitSlot chan struct{} // holds a value if no commit is running

	// mu guards the fields below.
	mu         sync.Mutex
	waiting    map[RowKey]*pendingRow
	queue      []*pendingRow // the rows of waiting, oldest first
	batch      *batch        // taken from the queue and not yet durable
	nextNumber uint64        // number of the next batch
	retained   []retainedRow // durable rows, oldest first
	stats      Stats
}

// retainedRow is a row that became durable at a time.
type retainedRow struct {
	row Row
	at  time.Time
}

// pendingRow is a row that is not yet durable.
type pendingRow struct {
	row   Row
	added time.Time
	done  chan struct{}
}

// batch is a group of rows written as one value.
type batch struct {
	key   string
	value []byte
	rows  []*pendingRow
	// outcomeUnknown is set if an earlier write under key may have taken effect.
	outcomeUnknown bool
}

// Stats holds the counters and the backlog of a Writer, for expvar.
type Stats struct {
	Waiting   int           `json:"waiting"`    // rows not yet durable
	OldestAge time.Duration `json:"oldest_age"` // of the rows not yet durable, in nanoseconds
	Rows      uint64        `json:"rows"`       // written durably
	Batches   uint64        `json:"batches"`    // written durably
	Bytes     uint64        `json:"bytes"`      // written durably
	Failures  uint64        `json:"failures"`   // failed commits, which are retried
	Dropped   uint64        `json:"dropped"`    // rows rejected above the limit
}

// BatchStore is the subset of dialect.Store that a Writer uses.
type BatchStore interface {
	Get(ctx context.Context, key string) (dialect.KV, error)
	CompareAndSwap(ctx context.Context, w dialect.Write) (uint64, error)
}

// WriterOption configures a Writer.
type WriterOption func(*Writer)

// WithMaxRows sets the number of rows at which the Writer is full. The default is
// DefaultMaxRows.
func WithMaxRows(n int) WriterOption { return func(w *Writer) { w.maxRows = n } }

// WithRetention sets how long durable rows are kept for Requeue. The default is not at all.
func WithRetention(d time.Duration) WriterOption { return func(w *Writer) { w.retention = d } }

// NewWriter returns a Writer whose batches are stored under bootID. window returns
// the minimum time between the starts of two commits of Serve; nil means
// DefaultWindow.
func NewWriter(store BatchStore, bootID string, window func() time.Duration, opts ...WriterOption) *Writer {
	if window == nil {
		window = func() time.Duration { return DefaultWindow }
	}
	w := &Writer{
		store: store, bootID: bootID, window: window, maxRows: DefaultMaxRows,
		wake: make(chan struct{}, 1), commitSlot: make(chan struct{}, 1),
		waiting: make(map[RowKey]*pendingRow),
	}
	w.commitSlot <- struct{}{}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Add queues a row and returns a channel that is closed when the row, or the
// variant that it was merged into, is in the store.
func (w *Writer) Add(r Row) (durable <-chan struct{}) {
	r = r.normalized()
	w.mu.Lock()
	defer w.mu.Unlock()
	if p, ok := w.waiting[r.Key()]; ok {
		p.row = Merge(p.row, r)
		return p.done
	}
	p := &pendingRow{row: r, added: time.Now(), done: make(chan struct{})}
	if w.backlog() >= w.maxRows+w.maxRows/4 {
		w.stats.Dropped++
		return p.done
	}
	w.waiting[r.Key()] = p
	w.queue = append(w.queue, p)
	w.wakeServe()
	return p.done
}

// Requeue queues the durable rows of the retention again, because the store may have lost
// them, and returns their number. Rows that it still has are merged with them.
func (w *Writer) Requeue() int {
	w.mu.Lock()
	w.pruneRetained()
	rows := w.retained
	w.retained = nil
	w.mu.Unlock()
	for _, r := range rows {
		w.Add(r.row)
	}
	return len(rows)
}

// pruneRetained drops the retained rows that are too old or too many. The caller holds
// w.mu.
func (w *Writer) pruneRetained() {
	cut := max(len(w.retained)-w.maxRows, 0)
	for cut < len(w.retained) && time.Since(w.retained[cut].at) > w.retention {
		cut++
	}
	w.retained = slices.Delete(w.retained, 0, cut)
}

// wakeServe makes Serve run a commit.
func (w *Writer) wakeServe() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// backlog returns the number of rows not yet durable. The caller holds w.mu.
func (w *Writer) backlog() int {
	n := len(w.queue)
	if w.batch != nil {
		n += len(w.batch.rows)
	}
	return n
}

// Full reports whether the owner should refuse new work that will be charged.
func (w *Writer) Full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.backlog() >= w.maxRows
}

// Stats returns the counters and the current backlog.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.stats
	s.Waiting = w.backlog()
	switch {
	case w.batch != nil:
		s.OldestAge = time.Since(w.batch.rows[0].added)
	case len(w.queue) > 0:
		s.OldestAge = time.Since(w.queue[0].added)
	}
	return s
}

// Serve commits rows until ctx is done. Rows not yet durable are kept, and Serve
// can be called again.
func (w *Writer) Serve(ctx context.Context) error {
	w.mu.Lock()
	if w.backlog() > 0 {
		w.wakeServe()
	}
	w.mu.Unlock()
	retry := newBackoff()
	var lastCommit time.Time // start of the last commit
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.wake:
		}
		// The window limits the rate of writes. A row added after an idle period
		// is committed at once.
		pause := time.Until(lastCommit.Add(w.window()))
		for {
			if err := sleep(ctx, pause); err != nil {
				return err
			}
			lastCommit = time.Now()
			if err := w.commitBatch(ctx); err == nil {
				break
			}
			pause = retry.NextBackOff()
		}
		retry.Reset()
	}
}

// Flush commits all rows without waiting for the window. If ctx is done before
// all rows are durable, it returns an error with the number of remaining rows.
func (w *Writer) Flush(ctx context.Context) error {
	retry := newBackoff()
	for {
		w.mu.Lock()
		remaining := w.backlog()
		w.mu.Unlock()
		if remaining == 0 {
			return nil
		}
		err := w.commitBatch(ctx)
		if err == nil {
			retry.Reset()
			continue
		}
		if sleep(ctx, retry.NextBackOff()) != nil {
			return fmt.Errorf("ledger: %d rows are not durable: %w", remaining, errors.Join(ctx.Err(), err))
		}
	}
}

// commitBatch writes the batch that is not yet durable, or a new one. At most one
// commit runs at a time.
func (w *Writer) commitBatch(ctx context.Context) error {
	select {
	case <-w.commitSlot:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { w.commitSlot <- struct{}{} }()
	b, err := w.takeBatch()
	if b == nil || err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	keyTaken, err := w.writeBatch(ctx, b)
	if keyTaken { // the key holds a different value: use the next number
		w.assignNextKey(b)
		keyTaken, err = w.writeBatch(ctx, b)
		if keyTaken {
			err = fmt.Errorf("ledger: key %q holds a different value", b.key)
			w.assignNextKey(b)
		}
	}
	w.mu.Lock()
	if err != nil {
		w.stats.Failures++
		w.mu.Unlock()
		return err
	}
	keys := w.markDurable(b)
	w.mu.Unlock()
	for _, p := range b.rows {
		close(p.done)
	}
	if w.OnDurable != nil && len(keys) > 0 {
		w.OnDurable(keys)
	}
	return nil
}

// takeBatch returns the batch that is not yet durable. If there is none, it moves
// rows from the queue to a new batch; it returns nil if the queue is empty.
func (w *Writer) takeBatch() (*batch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.batch != nil || len(w.queue) == 0 {
		return w.batch, nil
	}
	b := &batch{key: w.nextKey()}
	var encoded [][]byte
	size := batchHeaderBytes
	for _, p := range w.queue {
		e, err := EncodeRow(p.row)
		if err != nil {
			return nil, err
		}
		if size += len(e); size > MaxBatchBytes && len(encoded) > 0 {
			break
		}
		encoded = append(encoded, e)
	}
	b.rows = w.queue[:len(encoded):len(encoded)]
	w.queue = append([]*pendingRow(nil), w.queue[len(encoded):]...)
	for _, p := range b.rows {
		delete(w.waiting, p.row.Key())
	}
	b.value = encodeBatch(encoded)
	w.batch = b
	return b, nil
}

// nextKey returns the key of the next batch. The caller holds w.mu.
func (w *Writer) nextKey() string {
	n := w.nextNumber
	w.nextNumber++
	return fmt.Sprintf("%s%s/%010d", Prefix, w.bootID, n)
}

// assignNextKey gives the batch a new key.
func (w *Writer) assignNextKey(b *batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b.key, b.outcomeUnknown = w.nextKey(), false
}

// markDurable removes a durable batch from the backlog and returns the keys to
// report to OnDurable. The caller holds w.mu.
func (w *Writer) markDurable(b *batch) []RowKey {
	w.batch = nil
	w.stats.Batches++
	w.stats.Rows += uint64(len(b.rows))
	w.stats.Bytes += uint64(len(b.value))
	if len(w.queue) > 0 {
		w.wakeServe()
	}
	keys := make([]RowKey, 0, len(b.rows))
	now := time.Now()
	for _, p := range b.rows {
		if w.retention > 0 {
			w.retained = append(w.retained, retainedRow{p.row, now})
		}
		if _, newerWaiting := w.waiting[p.row.Key()]; !newerWaiting {
			keys = append(keys, p.row.Key())
		}
	}
	w.pruneRetained()
	return keys
}

// writeBatch creates the key of the batch in the store. If an earlier write had an
// unknown outcome, it reads the key first. The key may be absent although that
// write took effect, because a compaction has merged and removed the batch;
// writing the batch again is harmless, because rows merge. keyTaken reports that
// the key holds a different value.
func (w *Writer) writeBatch(ctx context.Context, b *batch) (keyTaken bool, err error) {
	if b.outcomeUnknown {
		if durable, keyTaken, err := w.readBack(ctx, b); durable || keyTaken || err != nil {
			return keyTaken, err
		}
	}
	_, err = w.store.CompareAndSwap(ctx, dialect.Write{Key: b.key, Value: b.value})
	var conflict *dialect.ConflictError
	switch {
	case err == nil:
		return false, nil
	case errors.As(err, &conflict):
		if bytes.Equal(conflict.Current.Value, b.value) {
			return false, nil
		}
		return true, err
	case errors.Is(err, dialect.ErrUnavailable):
		return false, err
	}
	b.outcomeUnknown = true
	if durable, keyTaken, readErr := w.readBack(ctx, b); durable || keyTaken {
		return keyTaken, readErr
	}
	return false, err
}

// readBack reads the key of the batch and reports whether it holds the batch
// (durable) or a different value (keyTaken). If the key is absent, neither is set.
func (w *Writer) readBack(ctx context.Context, b *batch) (durable, keyTaken bool, err error) {
	kv, err := w.store.Get(ctx, b.key)
	switch {
	case errors.Is(err, dialect.ErrNotFound):
		b.outcomeUnknown = false // the next write needs no read before it

		return false, false, nil
	case err != nil:
		return false, false, err
	}
	same := bytes.Equal(kv.Value, b.value)
	return same, !same, nil
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstBackoff, maxBackoff
	return b
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
