// Package standin provides fake implementations of the platform's services and
// of backend servers for tests and the demo, with fault injection and call
// counters.
package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"hyssoploom/dialect"
)

// DefaultHistoryLimit is the number of past changes kept for watches.
const DefaultHistoryLimit = 10_000

// Counts holds the numbers of calls that a Store has received.
type Counts struct {
	Reads  int // Get, List and Watch
	Writes int // CompareAndSwap and the lease calls
	// WaitingWatches is the number of watches that are waiting at present.
	WaitingWatches int
}

// Store is an in-memory key-value store. Tests in the same process use it
// directly as a dialect.Store; Handler serves it over HTTP.
type Store struct {
	mu         sync.Mutex
	keys       map[string]dialect.KV
	leaseByKey map[string]dialect.Lease
	leases     map[dialect.Lease]*lease
	events     []dialect.Event // oldest first
	history    int
	revision   uint64
	changed    chan struct{}
	counts     Counts
	faults     faults
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

var _ dialect.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{keys: map[string]dialect.KV{}, leaseByKey: map[string]dialect.Lease{},
		leases: map[dialect.Lease]*lease{}, history: DefaultHistoryLimit, changed: make(chan struct{})}
}

// Counts returns the call counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Get returns one key.
func (s *Store) Get(ctx context.Context, key string) (dialect.KV, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return dialect.KV{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kv, ok := s.keys[key]
	if !ok {
		return dialect.KV{}, dialect.ErrNotFound
	}
	return kv, nil
}

// List returns all keys with a prefix, sorted by key.
func (s *Store) List(ctx context.Context, prefix string) ([]dialect.KV, uint64, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []dialect.KV
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	slices.SortFunc(out, func(a, b dialect.KV) int { return strings.Compare(a.Key, b.Key) })
	return out, s.revision, nil
}

// CompareAndSwap writes or deletes a key if it has the expected revision.
func (s *Store) CompareAndSwap(ctx context.Context, w dialect.Write) (uint64, error) {
	if err := s.beginCall(ctx, true); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if consumeFault(&s.faults.dropRequests) {
		return 0, fmt.Errorf("%w: request lost", dialect.ErrUnknownOutcome)
	}
	rev, err := s.compareAndSwap(w)
	if consumeFault(&s.faults.loseResponses) {
		return 0, fmt.Errorf("%w: response lost", dialect.ErrUnknownOutcome)
	}
	return rev, err
}

func (s *Store) compareAndSwap(w dialect.Write) (uint64, error) {
	if len(w.Value) > dialect.MaxValueBytes {
		return 0, dialect.ErrValueTooLarge
	}
	if w.Lease != "" && s.leases[w.Lease] == nil {
		return 0, dialect.ErrLeaseEnded
	}
	current, exists := s.keys[w.Key]
	if current.Revision != w.ExpectedRevision {
		current.Key = w.Key
		return 0, &dialect.ConflictError{Current: current}
	}
	if w.Delete {
		if exists {
			s.remove(w.Key)
		}
		return s.revision, nil
	}
	s.revision++
	kv := dialect.KV{Key: w.Key, Value: slices.Clone(w.Value), Revision: s.revision}
	s.keys[w.Key] = kv
	delete(s.leaseByKey, w.Key)
	if w.Lease != "" {
		s.leaseByKey[w.Key] = w.Lease
	}
	s.appendEvent(dialect.Event{KV: kv})
	return s.revision, nil
}

// remove deletes an existing key; the caller holds the lock.
func (s *Store) remove(key string) {
	s.revision++
	delete(s.keys, key)
	delete(s.leaseByKey, key)
	s.appendEvent(dialect.Event{KV: dialect.KV{Key: key, Revision: s.revision}, Deleted: true})
}

// appendEvent adds an event to the history and notifies the watches; the caller
// holds the lock.
func (s *Store) appendEvent(e dialect.Event) {
	s.events = append(s.events, e)
	if n := len(s.events) - s.history; n > 0 {
		s.events = slices.Delete(s.events, 0, n)
	}
	s.notifyWatches()
}

// notifyWatches makes waiting watches check for events again; the caller holds
// the lock.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch waits for changes after a revision.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]dialect.Event, uint64, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return nil, 0, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	s.addWaitingWatches(1)
	defer s.addWaitingWatches(-1)
	for {
		events, rev, changed, err := s.eventsSince(prefix, after)
		if changed == nil && err == nil {
			<-ctx.Done() // hang until the caller gives up
			return nil, 0, ctx.Err()
		}
		if err != nil || len(events) > 0 || wait <= 0 {
			return events, rev, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil, rev, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *Store) addWaitingWatches(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.WaitingWatches += n
}

// eventsSince returns the events after a revision and a channel that is closed by
// the next change. The channel is nil while watches are set to hang.
func (s *Store) eventsSince(prefix string, after uint64) ([]dialect.Event, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.watchesHang:
		return nil, 0, nil, nil
	case s.faults.down:
		return nil, 0, nil, errDown
	case len(s.events) == s.history && after+1 < s.events[0].Revision:
		return nil, 0, nil, dialect.ErrCompacted
	}
	var out []dialect.Event
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			out = append(out, e)
		}
	}
	return out, s.revision, s.changed, nil
}
