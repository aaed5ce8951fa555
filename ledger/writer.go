package ledger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hyssoploom/dialect"
)

const (
	// DefaultWindow is the commit window when none is given.
	DefaultWindow = 20 * time.Millisecond
	// DefaultMaxRows is the number of rows at which a Writer is full. A row takes
	// about 0.5 KiB in memory (BenchmarkWriterAdd).
	DefaultMaxRows = 65_536

	callTimeout  = 5 * time.Second
	firstBackoff = 50 * time.Millisecond
	// maxBackoff bounds the time from the end of an outage to the next attempt.
	maxBackoff = 5 * time.Second
)

// Writer writes rows to the store by group commit.
//
// Its memory is bounded: at the maximum number of rows, Full returns true and
// its owner should refuse new work that will be charged. Rows of work that is
// already running are accepted up to a quarter above the maximum. Further rows
// are dropped and counted in Stats; the channel that Add returned stays open, so
// that the other holder keeps its copy.
type Writer struct {
	// OnDurable, if set before Serve, is called with the keys of rows that are in
	// the store. A key is left out while another form of its row is waiting, such
	// as that of a later attempt on another agent: its holder must keep it.
	OnDurable func([]RowKey)

	store   BatchStore
	bootID  string
	window  func() time.Duration
	maxRows int

	wake   chan struct{} // holds one value while rows are waiting
	commit chan struct{} // holds one value while no commit is running

	// mu guards what follows.
	mu      sync.Mutex
	waiting map[RowKey]*pendingRow
	order   []*pendingRow // of waiting, oldest first
	batch   *batch        // cut and not yet durable
	next    uint64        // number of the next batch
	stats   Stats
}

type pendingRow struct {
	row   Row
	added time.Time
	done  chan struct{}
}

type batch struct {
	key   string
	value []byte
	rows  []*pendingRow
	// unknown tells that an earlier write of the batch may have taken effect.
	unknown bool
}

// Stats describes a Writer, for expvar.
type Stats struct {
	Waiting   int           `json:"waiting"`    // rows not yet durable
	OldestAge time.Duration `json:"oldest_age"` // of the rows not yet durable, nanoseconds
	Rows      uint64        `json:"rows"`       // made durable
	Batches   uint64        `json:"batches"`    // made durable
	Bytes     uint64        `json:"bytes"`      // made durable
	Failures  uint64        `json:"failures"`   // commits that have to be repeated
	Dropped   uint64        `json:"dropped"`    // rows not accepted
}

// BatchStore is what a Writer needs of the platform's store.
type BatchStore interface {
	Get(ctx context.Context, key string) (dialect.KV, error)
	Swap(ctx context.Context, w dialect.Write) (uint64, error)
}

// WriterOption changes a Writer.
type WriterOption func(*Writer)

// WithMaxRows sets the number of rows at which the Writer is full;
// DefaultMaxRows when absent.
func WithMaxRows(n int) WriterOption { return func(w *Writer) { w.maxRows = n } }

// NewWriter returns a Writer for the batches of one boot id. window returns how
// long a commit waits for more rows; nil means DefaultWindow.
func NewWriter(store BatchStore, bootID string, window func() time.Duration, opts ...WriterOption) *Writer {
	if window == nil {
		window = func() time.Duration { return DefaultWindow }
	}
	w := &Writer{
		store: store, bootID: bootID, window: window, maxRows: DefaultMaxRows,
		wake: make(chan struct{}, 1), commit: make(chan struct{}, 1),
		waiting: make(map[RowKey]*pendingRow),
	}
	w.commit <- struct{}{}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Add accepts a row and returns a channel that is closed when the row, or a form
// of it that counts instead, is in the store.
func (w *Writer) Add(r Row) (durable <-chan struct{}) {
	r = r.normal()
	w.mu.Lock()
	defer w.mu.Unlock()
	if p, ok := w.waiting[r.Key()]; ok {
		p.row = Merge(p.row, r)
		return p.done
	}
	p := &pendingRow{row: r, added: time.Now(), done: make(chan struct{})}
	if w.held() >= w.maxRows+w.maxRows/4 {
		w.stats.Dropped++
		return p.done
	}
	w.waiting[r.Key()] = p
	w.order = append(w.order, p)
	w.signal()
	return p.done
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// held is the number of rows not yet durable; w.mu is held.
func (w *Writer) held() int {
	n := len(w.order)
	if w.batch != nil {
		n += len(w.batch.rows)
	}
	return n
}

// Full tells that the owner should refuse new work that will be charged.
func (w *Writer) Full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held() >= w.maxRows
}

// Stats returns the counters and the present backlog.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.stats
	s.Waiting = w.held()
	switch {
	case w.batch != nil:
		s.OldestAge = time.Since(w.batch.rows[0].added)
	case len(w.order) > 0:
		s.OldestAge = time.Since(w.order[0].added)
	}
	return s
}

// Serve commits rows until ctx ends. It can be started again afterwards; rows
// not yet durable are kept.
func (w *Writer) Serve(ctx context.Context) error {
	w.mu.Lock()
	if w.held() > 0 {
		w.signal()
	}
	w.mu.Unlock()
	retry := newBackoff()
	var last time.Time // start of the last commit
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.wake:
		}
		// The window bounds the rate of writes; a row that comes after a pause
		// need not wait for others.
		pause := time.Until(last.Add(w.window()))
		for {
			if err := sleep(ctx, pause); err != nil {
				return err
			}
			last = time.Now()
			if err := w.commitOne(ctx); err == nil {
				break
			}
			pause = retry.NextBackOff()
		}
		retry.Reset()
	}
}

// Flush commits all rows without waiting for the window. It returns when no row
// is left or ctx ends, then with an error that counts the rows left.
func (w *Writer) Flush(ctx context.Context) error {
	retry := newBackoff()
	for {
		w.mu.Lock()
		left := w.held()
		w.mu.Unlock()
		if left == 0 {
			return nil
		}
		err := w.commitOne(ctx)
		if err == nil {
			retry.Reset()
			continue
		}
		if sleep(ctx, retry.NextBackOff()) != nil {
			return fmt.Errorf("ledger: %d rows are not durable: %w", left, errors.Join(ctx.Err(), err))
		}
	}
}

// commitOne writes the batch that was cut before, or cuts one.
func (w *Writer) commitOne(ctx context.Context) error {
	select {
	case <-w.commit:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { w.commit <- struct{}{} }()
	b, err := w.cut()
	if b == nil || err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	taken, err := w.write(ctx, b)
	if taken { // the key has a different value: use the next number
		w.rename(b)
		taken, err = w.write(ctx, b)
		if taken {
			err = fmt.Errorf("ledger: key %q is taken", b.key)
			w.rename(b)
		}
	}
	w.mu.Lock()
	if err != nil {
		w.stats.Failures++
		w.mu.Unlock()
		return err
	}
	keys := w.settle(b)
	w.mu.Unlock()
	for _, p := range b.rows {
		close(p.done)
	}
	if w.OnDurable != nil && len(keys) > 0 {
		w.OnDurable(keys)
	}
	return nil
}

// cut returns the batch to write, or nil when no rows are waiting.
func (w *Writer) cut() (*batch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.batch != nil || len(w.order) == 0 {
		return w.batch, nil
	}
	b := &batch{key: w.nextKey()}
	var encoded [][]byte
	size := batchHeaderBytes
	for _, p := range w.order {
		e, err := EncodeRow(p.row)
		if err != nil {
			return nil, err
		}
		if size += len(e); size > MaxBatchBytes && len(encoded) > 0 {
			break
		}
		encoded = append(encoded, e)
	}
	b.rows = w.order[:len(encoded):len(encoded)]
	w.order = append([]*pendingRow(nil), w.order[len(encoded):]...)
	for _, p := range b.rows {
		delete(w.waiting, p.row.Key())
	}
	b.value = encodeBatch(encoded)
	w.batch = b
	return b, nil
}

// nextKey needs w.mu.
func (w *Writer) nextKey() string {
	n := w.next
	w.next++
	return fmt.Sprintf("%s%s/%010d", Prefix, w.bootID, n)
}

func (w *Writer) rename(b *batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b.key, b.unknown = w.nextKey(), false
}

// settle forgets a durable batch and returns the keys to report; w.mu is held.
func (w *Writer) settle(b *batch) []RowKey {
	w.batch = nil
	w.stats.Batches++
	w.stats.Rows += uint64(len(b.rows))
	w.stats.Bytes += uint64(len(b.value))
	if len(w.order) > 0 {
		w.signal()
	}
	keys := make([]RowKey, 0, len(b.rows))
	for _, p := range b.rows {
		if _, again := w.waiting[p.row.Key()]; !again {
			keys = append(keys, p.row.Key())
		}
	}
	return keys
}

// write creates the key of the batch. After a write of unknown outcome it reads
// the key back first. The key may then be absent although the write took effect,
// because a compactor has merged and removed the batch; writing it a second time
// is harmless, because rows merge. taken tells that the key holds another value.
func (w *Writer) write(ctx context.Context, b *batch) (taken bool, err error) {
	if b.unknown {
		if done, taken, err := w.readBack(ctx, b); done || taken || err != nil {
			return taken, err
		}
	}
	_, err = w.store.Swap(ctx, dialect.Write{Key: b.key, Value: b.value})
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
	b.unknown = true
	if done, taken, readErr := w.readBack(ctx, b); done || taken {
		return taken, readErr
	}
	return false, err
}

func (w *Writer) readBack(ctx context.Context, b *batch) (done, taken bool, err error) {
	kv, err := w.store.Get(ctx, b.key)
	switch {
	case errors.Is(err, dialect.ErrNotFound):
		b.unknown = false // the next write needs no reading before
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
