// Package faketest provides an in-memory dialect.Store with fault injection for
// tests.
package faketest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"hyssoploom/dialect"
)

// Fault is the fault injected into one call.
type Fault int

// Faults apply to reads as well as writes: LoseResponse also loses the response
// of a read.
const (
	Pass         Fault = iota
	LoseResponse       // apply the call, and fail with ErrUnknownOutcome
	LoseRequest        // do not apply the call, and fail with ErrUnknownOutcome
	Refuse             // do not apply the call, and fail with ErrUnavailable
	DelayWrite         // fail with ErrUnknownOutcome, and apply a write at ApplyDelayed
	Hang               // apply the call, and return when the context ends
)

// Call describes one call to the store.
type Call struct {
	Op    string // "get", "list" or "swap"
	Key   string
	Write *dialect.Write // nil for reads
}

// Store is an in-memory store. Its zero value is empty and has no faults.
// Watches and leases are not supported.
type Store struct {
	mu           sync.Mutex
	fault        func(Call) Fault
	afterApplied func(Call)
	revision     uint64
	keys         map[string]dialect.KV
	delayed      []dialect.Write
	calls        []Call
}

// OnCall sets the function that selects the fault of each call; nil selects Pass.
// It may block to delay the call before it is applied.
func (s *Store) OnCall(fault func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// OnApplied sets a function to be called after a call was applied and before its
// result is returned. It may block to delay the result.
func (s *Store) OnApplied(afterApplied func(Call)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterApplied = afterApplied
}

// Copy returns a store with the same keys and without faults.
func (s *Store) Copy() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Store{revision: s.revision, keys: maps.Clone(s.keys)}
}

// Get returns one key.
func (s *Store) Get(ctx context.Context, key string) (kv dialect.KV, err error) {
	err = s.call(ctx, Call{Op: "get", Key: key}, func() error {
		var ok bool
		if kv, ok = s.keys[key]; !ok {
			return dialect.ErrNotFound
		}
		return nil
	})
	return kv, err
}

// List returns all keys with the prefix, sorted.
func (s *Store) List(ctx context.Context, prefix string) (kvs []dialect.KV, revision uint64, err error) {
	err = s.call(ctx, Call{Op: "list", Key: prefix}, func() error {
		for _, k := range slices.Sorted(maps.Keys(s.keys)) {
			if strings.HasPrefix(k, prefix) {
				kvs = append(kvs, s.keys[k])
			}
		}
		revision = s.revision
		return nil
	})
	return kvs, revision, err
}

// CompareAndSwap writes or deletes a key if it has the expected revision.
func (s *Store) CompareAndSwap(ctx context.Context, w dialect.Write) (revision uint64, err error) {
	w.Value = slices.Clone(w.Value)
	err = s.call(ctx, Call{Op: "swap", Key: w.Key, Write: &w}, func() error {
		err := s.apply(w)
		revision = s.revision
		return err
	})
	return revision, err
}

func (s *Store) call(ctx context.Context, c Call, apply func() error) error {
	s.mu.Lock()
	faultFunc := s.fault
	s.calls = append(s.calls, c)
	s.mu.Unlock()
	fault := Pass
	if faultFunc != nil {
		fault = faultFunc(c)
	}
	if err := ctx.Err(); err != nil && fault == Pass {
		return err
	}
	err := s.applyWithFault(c, fault, apply)
	if fault == Hang {
		<-ctx.Done()
		err = ctx.Err()
	}
	s.mu.Lock()
	afterApplied := s.afterApplied
	s.mu.Unlock()
	if afterApplied != nil {
		afterApplied(c)
	}
	return err
}

func (s *Store) applyWithFault(c Call, fault Fault, apply func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch fault {
	case Pass:
		return apply()
	case Refuse:
		return dialect.ErrUnavailable
	case LoseResponse, Hang:
		_ = apply()
	case DelayWrite:
		if c.Write != nil {
			s.delayed = append(s.delayed, *c.Write)
		}
	}
	return dialect.ErrUnknownOutcome
}

func (s *Store) apply(w dialect.Write) error {
	if s.keys == nil {
		s.keys = make(map[string]dialect.KV)
	}
	if cur := s.keys[w.Key]; cur.Revision != w.ExpectedRevision {
		cur.Key = w.Key
		return &dialect.ConflictError{Current: cur}
	}
	s.revision++
	if w.Delete {
		delete(s.keys, w.Key)
	} else {
		s.keys[w.Key] = dialect.KV{Key: w.Key, Value: w.Value, Revision: s.revision}
	}
	return nil
}

// ApplyDelayed applies the writes that DelayWrite held back, in call order.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.delayed {
		_ = s.apply(w)
	}
	s.delayed = nil
}

// Keys returns the keys with the prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	return keys
}

// Calls returns the number of calls of an operation so far.
func (s *Store) Calls(op string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.calls {
		if c.Op == op {
			n++
		}
	}
	return n
}

// Watch is not supported and returns dialect.ErrUnavailable.
func (*Store) Watch(context.Context, string, uint64, time.Duration) ([]dialect.Event, uint64, error) {
	return nil, 0, dialect.ErrUnavailable
}

// Grant is not supported and returns dialect.ErrUnavailable.
func (*Store) Grant(context.Context, time.Duration) (dialect.Lease, error) {
	return "", dialect.ErrUnavailable
}

// KeepAlive is not supported and returns dialect.ErrUnavailable.
func (*Store) KeepAlive(context.Context, dialect.Lease) error { return dialect.ErrUnavailable }

// Revoke is not supported and returns dialect.ErrUnavailable.
func (*Store) Revoke(context.Context, dialect.Lease) error { return dialect.ErrUnavailable }
