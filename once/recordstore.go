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

// Permanent errors of Finish and Abandon, and the error for invalid arguments.
var (
	ErrNoRecord   = errors.New("once: no record")
	ErrOtherNonce = errors.New("once: record belongs to another reservation")
	ErrNotStarted = errors.New("once: call was not started")
	// ErrOtherAgent is returned by Abandon only.
	ErrOtherAgent = errors.New("once: call was started by another agent")
	// ErrInvalid means that the workspace or key is empty, the key is too long,
	// or the timeout is below 1 ms or above half of Retention.
	ErrInvalid = errors.New("once: invalid reservation")
)

const (
	// Retention is how long a record is kept after its last change.
	Retention = 24 * time.Hour
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 255
	// DefaultMaxObservedNonces is the default number of keys whose last nonce is
	// remembered. Evicting one only delays the takeover of its reservation.
	DefaultMaxObservedNonces = 10_000

	keyPrefix = "once/"
	// maxSwapAttempts limits the compare-and-swap attempts of one step.
	maxSwapAttempts = 4
	// readBackTimeout limits the read after a write of unknown outcome, which
	// ignores the caller's context.
	readBackTimeout = 2 * time.Second
)

// RecordStore reads and writes the idempotency records in the platform's store.
type RecordStore struct {
	store    dialect.Store
	now      func() time.Time
	newID    func() string
	observed *lru.Cache[string, observedNonce]
}

// observedNonce is the last nonce seen at a key and when it was first seen.
type observedNonce struct {
	nonce string
	since time.Time
}

// Option configures a RecordStore.
type Option func(*RecordStore)

// WithClock sets the clock. The default is time.Now.
func WithClock(now func() time.Time) Option { return func(s *RecordStore) { s.now = now } }

// WithIDs sets the generator of nonces and start ids, which must never repeat.
// The default is crypto/rand.Text.
func WithIDs(newID func() string) Option { return func(s *RecordStore) { s.newID = newID } }

// WithMaxObservedNonces limits the number of keys whose last nonce is remembered.
// The default is DefaultMaxObservedNonces.
func WithMaxObservedNonces(n int) Option {
	return func(s *RecordStore) { s.observed = lru.New[string, observedNonce](n) }
}

// New returns a RecordStore that keeps its records in store.
func New(store dialect.Store, opts ...Option) *RecordStore {
	s := &RecordStore{store: store, now: time.Now, newID: rand.Text}
	WithMaxObservedNonces(DefaultMaxObservedNonces)(s)
	for _, o := range opts {
		o(s)
	}
	return s
}

// StoreKey returns the store key of the record for an idempotency key.
func StoreKey(workspace, key string) string {
	return storekey.Join(keyPrefix, workspace, key)
}

// Reserve tries to reserve the key for the caller, which may dispatch the call
// only if the outcome is Reserved, and never after an error. An error does not
// mean that the call has never run: an earlier request with the same key may
// have run it. After an error, "not run" may therefore be reported only if no
// earlier request can have used the key, that is, if the entry generated the key
// itself.
func (s *RecordStore) Reserve(ctx context.Context, r Reservation) (Result, error) {
	if r.Key == "" || len(r.Key) > MaxKeyBytes || r.Workspace == "" ||
		r.Timeout < time.Millisecond || r.Timeout > Retention/2 {
		return Result{}, ErrInvalid
	}
	key := StoreKey(r.Workspace, r.Key)
	want := Record{
		State: StateReserved, Nonce: s.newID(), BodyHash: r.BodyHash, RequestID: r.RequestID,
		Owner: r.Owner, TimeoutMS: (r.Timeout + time.Millisecond - 1).Milliseconds(),
	}
	// Most keys are new, so the first write is attempted without a read.
	absent := &dialect.KV{Key: key}
	return applyStep(ctx, s, "reserve", key, absent, func(cur *Record) (Result, *Record) {
		var observed, age time.Duration
		if cur != nil {
			observed, age = s.observe(key, cur.Nonce), s.now().Sub(cur.At)
		}
		return reserve(cur, want, observed, age)
	})
}

// observe returns the time since this process first saw the nonce at the key.
func (s *RecordStore) observe(key, nonce string) time.Duration {
	now := s.now()
	if o, ok := s.observed.Get(key); ok && o.nonce == nonce {
		return now.Sub(o.since)
	}
	s.observed.Put(key, observedNonce{nonce, now})
	return 0
}

// Cancel gives up a reservation. After an error the outcome is unknown: the call
// may have run or may still run.
func (s *RecordStore) Cancel(ctx context.Context, workspace, key, nonce string) (CancelResult, error) {
	return applyStep(ctx, s, "cancel", StoreKey(workspace, key), nil, func(cur *Record) (CancelResult, *Record) {
		return cancel(cur, nonce)
	})
}

// Start claims the single run of a call. The caller must make the call only if
// the result is Started and the deadline, checked after Start returned, has not
// passed. After an error the caller must not make the call.
func (s *RecordStore) Start(ctx context.Context, workspace, key, nonce, agentBootID string) (StartResult, error) {
	startID := s.newID()
	return applyStep(ctx, s, "start", StoreKey(workspace, key), nil, func(cur *Record) (StartResult, *Record) {
		return start(cur, nonce, startID, agentBootID)
	})
}

// Finish stores the answer of a started call. ErrNoRecord, ErrOtherNonce and
// ErrNotStarted are permanent; after any other error the caller retries.
func (s *RecordStore) Finish(ctx context.Context, workspace, key, nonce string, a Answer) error {
	return s.endCall(ctx, "finish", workspace, key, func(cur *Record) (transitionError, *Record) {
		return finish(cur, nonce, a)
	})
}

// Abandon cancels a call that this agent has claimed by Start and that certainly
// has not reached and will not reach the backend server, so that the key can be
// reserved again. The caller must be the only one in its process that called
// Start with this nonce. A call that another agent started is not changed, and
// ErrOtherAgent is returned. The other errors are those of Finish.
func (s *RecordStore) Abandon(ctx context.Context, workspace, key, nonce, agentBootID string) error {
	return s.endCall(ctx, "abandon", workspace, key, func(cur *Record) (transitionError, *Record) {
		return abandon(cur, nonce, agentBootID)
	})
}

// endCall applies a transition to a final state.
func (s *RecordStore) endCall(ctx context.Context, step, workspace, key string, decide func(*Record) (transitionError, *Record)) error {
	refused, err := applyStep(ctx, s, step, StoreKey(workspace, key), nil, decide)
	if err != nil {
		return err
	}
	return refused.reason
}

// applyStep applies one transition of the state machine by compare-and-swap.
// decide returns the result and the record to write; a nil record means that
// nothing has to be written. After a write of unknown outcome the key is read
// back, and decide recognizes its own record. If the read returns the old
// revision, the write is retried against that revision, so that at most one of
// the two writes can take effect.
//
// cur is the expected current value; if it is nil, the key is read first.
func applyStep[T any](ctx context.Context, s *RecordStore, step, key string, cur *dialect.KV, decide func(*Record) (T, *Record)) (T, error) {
	var zero T
	outcomeUnknown := false
	lastErr := errors.New("too many competing writers")
	for range maxSwapAttempts {
		if cur == nil {
			kv, err := s.read(ctx, key, outcomeUnknown)
			if err != nil {
				return zero, stepError(step, key, outcomeUnknown, err)
			}
			cur = &kv
		}
		var rec *Record
		if cur.Revision != 0 {
			var err error
			if rec, err = decodeRecord(key, cur.Value); err != nil {
				return zero, stepError(step, key, outcomeUnknown, err)
			}
		}
		result, next := decide(rec)
		if next == nil {
			return result, nil
		}
		conflict, err := s.swap(ctx, key, cur.Revision, *next)
		switch {
		case err == nil:
			return result, nil
		case errors.Is(err, dialect.ErrUnavailable):
			return zero, stepError(step, key, outcomeUnknown, err)
		case conflict == nil:
			outcomeUnknown, lastErr = true, err
		}
		cur = conflict
	}
	return zero, stepError(step, key, outcomeUnknown, lastErr)
}

// read returns the value of the key, or a KV with revision 0 if it is absent.
// After a write of unknown outcome it reads even if the caller's context has
// ended.
func (s *RecordStore) read(ctx context.Context, key string, afterUnknownWrite bool) (dialect.KV, error) {
	if afterUnknownWrite {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
		defer cancel()
	}
	kv, err := s.store.Get(ctx, key)
	if errors.Is(err, dialect.ErrNotFound) {
		return dialect.KV{Key: key}, nil
	}
	return kv, err
}

// swap writes the record if the key still has the revision expect. After a
// conflict it returns the current value; after any other error it returns nil,
// and the caller has to read the key.
func (s *RecordStore) swap(ctx context.Context, key string, expect uint64, next Record) (*dialect.KV, error) {
	next.At = s.now().UTC()
	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Join(dialect.ErrUnavailable, err)
	}
	if _, err = s.store.CompareAndSwap(ctx, dialect.Write{Key: key, Value: value, ExpectedRevision: expect}); err == nil {
		if next.State == StateReserved {
			s.observe(key, next.Nonce)
		}
		return nil, nil
	}
	var conflict *dialect.ConflictError
	if errors.As(err, &conflict) {
		return &conflict.Current, err
	}
	return nil, err
}

// stepError wraps err in ErrUnknownOutcome if a write of the step may have taken
// effect, and in ErrUnavailable otherwise.
func stepError(step, key string, outcomeUnknown bool, err error) error {
	kind := dialect.ErrUnavailable
	if outcomeUnknown {
		kind = dialect.ErrUnknownOutcome
	}
	return fmt.Errorf("once: %s %q: %w (%w)", step, key, kind, err)
}
