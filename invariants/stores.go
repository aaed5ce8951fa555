package invariants

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"hyssoploom/dialect"
	"hyssoploom/embedded"
	"hyssoploom/once"
)

// taps holds the store of each process as that process sees it.
type taps struct {
	mu     sync.Mutex
	newest map[string]*tap // by process; a restarted process gets a new one
}

// tap is the store as one run of a process sees it.
type tap struct {
	dialect.Store
	died chan struct{}
	kill sync.Once

	mu     sync.Mutex
	faults []*writeFault
}

// swapFunc performs a write under a fault.
type swapFunc func(ctx context.Context, t *tap, w dialect.Write) (uint64, error)

// writeFault is applied to the first write that it matches.
type writeFault struct {
	match func(dialect.Write) bool
	do    swapFunc
	// reached is closed when the fault has taken effect: before a write that it
	// holds back or drops, after a write that it lets through.
	reached chan struct{}
	resume  chan struct{} // closing it ends a pause
}

// startTapped starts a fleet whose processes have a tap each.
func startTapped(t *testing.T, spec embedded.Spec) (*fleet, *taps) {
	t.Helper()
	s := &taps{newest: make(map[string]*tap)}
	spec.Store = s.wrap
	return startFleet(t, spec), s
}

func (s *taps) wrap(process string, store dialect.Store) dialect.Store {
	t := &tap{Store: store, died: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest[process] = t
	return t
}

func (s *taps) of(process string) *tap {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest[process]
}

// die separates the process from the store for good. What an embedded process
// that was killed still does has no effect from then on.
func (t *tap) die() { t.kill.Do(func() { close(t.died) }) }

var errDead = fmt.Errorf("%w: the process is dead", dialect.ErrUnavailable)

func (t *tap) isDead() bool {
	select {
	case <-t.died:
		return true
	default:
		return false
	}
}

func (t *tap) Get(ctx context.Context, key string) (dialect.KV, error) {
	if t.isDead() {
		return dialect.KV{}, errDead
	}
	return t.Store.Get(ctx, key)
}

func (t *tap) CompareAndSwap(ctx context.Context, w dialect.Write) (uint64, error) {
	if t.isDead() {
		return 0, errDead
	}
	if fault := t.take(w); fault != nil {
		return fault.do(ctx, t, w)
	}
	return t.Store.CompareAndSwap(ctx, w)
}

func (t *tap) take(w dialect.Write) *writeFault {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, f := range t.faults {
		if f.match(w) {
			t.faults = append(t.faults[:i:i], t.faults[i+1:]...)
			return f
		}
	}
	return nil
}

func (t *tap) inject(match func(dialect.Write) bool, kind func(*writeFault) swapFunc) *writeFault {
	f := &writeFault{match: match, reached: make(chan struct{}), resume: make(chan struct{})}
	f.do = kind(f)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, f)
	return f
}

// clear removes the faults that were not reached.
func (t *tap) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = nil
}

func (f *writeFault) wasReached() bool {
	select {
	case <-f.reached:
		return true
	default:
		return false
	}
}

// pause waits until the fault is resumed or the process dies.
func (f *writeFault) pause(t *tap) error {
	select {
	case <-f.resume:
		return nil
	case <-t.died:
		return errDead
	}
}

// The kinds of write faults. A pause ignores the caller's context, as a paused
// process does.
func pauseBefore(f *writeFault) swapFunc {
	return func(ctx context.Context, t *tap, w dialect.Write) (uint64, error) {
		close(f.reached)
		if err := f.pause(t); err != nil {
			return 0, err
		}
		return t.Store.CompareAndSwap(context.WithoutCancel(ctx), w)
	}
}

func pauseAfter(f *writeFault) swapFunc {
	return func(ctx context.Context, t *tap, w dialect.Write) (uint64, error) {
		revision, err := t.Store.CompareAndSwap(ctx, w)
		close(f.reached)
		if err := f.pause(t); err != nil {
			return 0, err
		}
		return revision, err
	}
}

func loseResponse(f *writeFault) swapFunc {
	return func(ctx context.Context, t *tap, w dialect.Write) (uint64, error) {
		_, _ = t.Store.CompareAndSwap(ctx, w)
		close(f.reached)
		return 0, fmt.Errorf("%w: response lost", dialect.ErrUnknownOutcome)
	}
}

func dropRequest(f *writeFault) swapFunc {
	return func(context.Context, *tap, dialect.Write) (uint64, error) {
		close(f.reached)
		return 0, fmt.Errorf("%w: request lost", dialect.ErrUnknownOutcome)
	}
}

// toState matches the write that moves an idempotency record to a state.
func toState(state once.State) func(dialect.Write) bool {
	return func(w dialect.Write) bool {
		var r once.Record
		return strings.HasPrefix(w.Key, "once/") && json.Unmarshal(w.Value, &r) == nil && r.State == state
	}
}

// toPrefix matches writes below a prefix.
func toPrefix(prefix string) func(dialect.Write) bool {
	return func(w dialect.Write) bool { return strings.HasPrefix(w.Key, prefix) }
}

// crashEntry kills an entry and cuts it off from the store.
func (f *fleet) crashEntry(s *taps, name string) {
	f.t.Helper()
	s.of(name).die()
	if err := f.KillEntry(name); err != nil {
		f.t.Fatal(err)
	}
}

// crashAgent kills an agent. Its links go down before a paused write returns,
// so that the entries hear nothing more from it.
func (f *fleet) crashAgent(s *taps, name string) {
	f.t.Helper()
	before := make(map[string]int)
	for entry, e := range f.Entries {
		for e.Entry.Linked(before[entry] + 1) {
			before[entry]++
		}
	}
	killed := make(chan error, 1)
	go func() { killed <- f.KillAgent(name) }()
	eventually(f.t, "the links to "+name+" are down", func() bool {
		for entry, e := range f.Entries {
			if before[entry] > 0 && e.Entry.Linked(before[entry]) {
				return false
			}
		}
		return true
	})
	s.of(name).die()
	if err := <-killed; err != nil {
		f.t.Fatal(err)
	}
}
