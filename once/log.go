package once

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"hyssoploom/dialect"
	"hyssoploom/internal/lru"
	"hyssoploom/internal/storekey"
)

// Errors of Finish and Abandon that a retry cannot mend, and of invalid arguments.
var (
	ErrNoRecord   = errors.New("once: no record")
	ErrOtherNonce = errors.New("once: record belongs to another reservation")
	ErrNotStarted = errors.New("once: call was not started")
	// ErrOtherAgent is an error of Abandon only.
	ErrOtherAgent = errors.New("once: call was started by another agent")
	// ErrInvalid means that the workspace or key is empty, the key is too long,
	// or the timeout is below 1 ms or above half of Retention.
	ErrInvalid = errors.New("once: invalid reservation")
)

const (
	// Retention is how long a record is kept after its last change.
	Retention = 24 * time.Hour
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 255
	// DefaultObservations bounds the reservations of other processes that are
	// remembered. Forgetting one only delays its takeover.
	DefaultObservations = 10_000

	keyPrefix = "once/"
	// maxSwaps bounds the attempts of one step against competing writers.
	maxSwaps = 4
	// readBackTimeout bounds the reading back of a write whose caller has gone.
	readBackTimeout = 2 * time.Second
)

// RecordStore reads and writes the records of all keys.
type RecordStore struct {
	store dialect.Store
	now   func() time.Time
	newID func() string
	seen  *lru.Cache[string, observation]
}

type observation struct {
	nonce string
	since time.Time
}

// Option changes a Log.
type Option func(*RecordStore)

// WithClock sets the clock; time.Now when absent.
func WithClock(now func() time.Time) Option { return func(l *RecordStore) { l.now = now } }

// WithIDs sets the source of nonces and start ids, which must never repeat;
// crypto/rand.Text when absent.
func WithIDs(newID func() string) Option { return func(l *RecordStore) { l.newID = newID } }

// WithObservations sets the bound on remembered reservations;
// DefaultObservations when absent.
func WithObservations(n int) Option {
	return func(l *RecordStore) { l.seen = lru.New[string, observation](n) }
}

// New returns a Log on the store.
func New(store dialect.Store, opts ...Option) *RecordStore {
	l := &RecordStore{store: store, now: time.Now, newID: rand.Text}
	WithObservations(DefaultObservations)(l)
	for _, o := range opts {
		o(l)
	}
	return l
}

// StoreKey returns the store's key for an idempotency key.
func StoreKey(workspace, key string) string {
	return storekey.Join(keyPrefix, workspace, key)
}

// Reserve tries to get the right to dispatch a call. After an error nothing may
// be dispatched. An error does not tell that the call has never run: an earlier
// request with the same key may have run it. "Not run" may therefore be reported
// after an error only when no earlier request can have used the key, that is,
// when the entry has made up the key itself.
func (l *RecordStore) Reserve(ctx context.Context, r Reservation) (Result, error) {
	if r.Key == "" || len(r.Key) > MaxKeyBytes || r.Workspace == "" ||
		r.Timeout < time.Millisecond || r.Timeout > Retention/2 {
		return Result{}, ErrInvalid
	}
	key := StoreKey(r.Workspace, r.Key)
	want := Record{
		State: StateReserved, Nonce: l.newID(), BodyHash: r.BodyHash, RequestID: r.RequestID,
		Owner: r.Owner, TimeoutMS: (r.Timeout + time.Millisecond - 1).Milliseconds(),
	}
	// Most keys are new: the first write does not read before.
	absent := &dialect.KV{Key: key}
	return run(ctx, l, "reserve", key, absent, func(cur *Record) (Result, *Record) {
		var observed, age time.Duration
		if cur != nil {
			observed, age = l.observe(key, cur.Nonce), l.now().Sub(cur.At)
		}
		return reserve(cur, want, observed, age)
	})
}

// observe returns for how long this process has seen the nonce at the key.
func (l *RecordStore) observe(key, nonce string) time.Duration {
	now := l.now()
	if o, ok := l.seen.Get(key); ok && o.nonce == nonce {
		return now.Sub(o.since)
	}
	l.seen.Put(key, observation{nonce, now})
	return 0
}

// Cancel gives up a reservation. After an error the outcome is unknown: the call
// may have been or may yet be run.
func (l *RecordStore) Cancel(ctx context.Context, workspace, key, nonce string) (CancelResult, error) {
	return run(ctx, l, "cancel", StoreKey(workspace, key), nil, func(cur *Record) (CancelResult, *Record) {
		return cancel(cur, nonce)
	})
}

// Start claims the single run of a call for the caller, which must make the call
// only if the result is Started, and must check its deadline after Start. After
// an error the caller must not make the call.
func (l *RecordStore) Start(ctx context.Context, workspace, key, nonce, agentBootID string) (StartResult, error) {
	startID := l.newID()
	return run(ctx, l, "start", StoreKey(workspace, key), nil, func(cur *Record) (StartResult, *Record) {
		return start(cur, nonce, startID, agentBootID)
	})
}

// Finish stores the answer of a started call. The caller repeats it after an
// error that is not one of ErrNoRecord, ErrOtherNonce and ErrNotStarted.
func (l *RecordStore) Finish(ctx context.Context, workspace, key, nonce string, a Answer) error {
	return l.end(ctx, "finish", workspace, key, func(cur *Record) (refusal, *Record) {
		return finish(cur, nonce, a)
	})
}

// Abandon cancels a call that this agent has started by Start and that certainly
// has not reached and will not reach the backend server, so that the key can be
// used again. The caller must be the only one in its process that called Start
// with this nonce; a call that another agent started stays as it is. Its errors
// are those of Finish and ErrOtherAgent.
func (l *RecordStore) Abandon(ctx context.Context, workspace, key, nonce, agentBootID string) error {
	return l.end(ctx, "abandon", workspace, key, func(cur *Record) (refusal, *Record) {
		return abandon(cur, nonce, agentBootID)
	})
}

func (l *RecordStore) end(ctx context.Context, step, workspace, key string, decide func(*Record) (refusal, *Record)) error {
	refused, err := run(ctx, l, step, StoreKey(workspace, key), nil, decide)
	if err != nil {
		return err
	}
	return refused.reason
}

// run takes one step of the state machine. decide returns the result and the
// record to write; a nil record means that nothing needs to be written. A
// write whose outcome is unknown is read back, and decide recognizes its own
// record. When the read shows the old revision, the write is tried again
// against that revision, so that at most one of the two can take effect.
//
// cur is the assumed present value; nil reads it first.
func run[T any](ctx context.Context, l *RecordStore, step, key string, cur *dialect.KV, decide func(*Record) (T, *Record)) (T, error) {
	var zero T
	unknown := false
	last := errors.New("too many competing writers")
	for range maxSwaps {
		if cur == nil {
			kv, err := l.read(ctx, key, unknown)
			if err != nil {
				return zero, stepError(step, key, unknown, err)
			}
			cur = &kv
		}
		var rec *Record
		if cur.Revision != 0 {
			var err error
			if rec, err = decode(key, cur.Value); err != nil {
				return zero, stepError(step, key, unknown, err)
			}
		}
		result, next := decide(rec)
		if next == nil {
			return result, nil
		}
		conflict, err := l.swap(ctx, key, cur.Revision, *next)
		switch {
		case err == nil:
			return result, nil
		case errors.Is(err, dialect.ErrUnavailable):
			return zero, stepError(step, key, unknown, err)
		case conflict == nil:
			unknown, last = true, err
		}
		cur = conflict
	}
	return zero, stepError(step, key, unknown, last)
}

// read returns a KV with revision 0 when the key is absent.
func (l *RecordStore) read(ctx context.Context, key string, readBack bool) (dialect.KV, error) {
	if readBack { // also for a caller whose context has ended
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
		defer stop()
	}
	kv, err := l.store.Get(ctx, key)
	if errors.Is(err, dialect.ErrNotFound) {
		return dialect.KV{Key: key}, nil
	}
	return kv, err
}

// swap returns the present value after a conflict, or nil when it has to be read.
func (l *RecordStore) swap(ctx context.Context, key string, expect uint64, next Record) (*dialect.KV, error) {
	next.At = l.now().UTC()
	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Join(dialect.ErrUnavailable, err)
	}
	if _, err = l.store.Swap(ctx, dialect.Write{Key: key, Value: value, Expect: expect}); err == nil {
		if next.State == StateReserved {
			l.observe(key, next.Nonce)
		}
		return nil, nil
	}
	var conflict *dialect.ConflictError
	if errors.As(err, &conflict) {
		return &conflict.Current, err
	}
	return nil, err
}

// stepError tells whether a write of the step may have taken effect.
func stepError(step, key string, unknown bool, err error) error {
	kind := dialect.ErrUnavailable
	if unknown {
		kind = dialect.ErrUnknownOutcome
	}
	return fmt.Errorf("once: %s %q: %w (%w)", step, key, kind, err)
}
