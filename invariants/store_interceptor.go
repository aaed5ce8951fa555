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

// storeInterceptors holds the store interceptor of each process.
type storeInterceptors struct {
	mu        sync.Mutex
	byProcess map[string]*storeInterceptor // a restarted process gets a new interceptor
}

// storeInterceptor wraps the store for one run of a process and injects faults into its
// calls.
type storeInterceptor struct {
	dialect.Store
	crashed   chan struct{}
	crashOnce sync.Once

	mu     sync.Mutex
	faults []*writeFault
}

// swapFunc performs a write under a fault.
type swapFunc func(ctx context.Context, i *storeInterceptor, w dialect.Write) (uint64, error)

// writeFault is applied to the first write that it matches.
type writeFault struct {
	match func(dialect.Write) bool
	swap  swapFunc
	// triggered is closed when the fault has taken effect: before a write that is
	// paused or dropped, after a write that is let through.
	triggered chan struct{}
	resume    chan struct{} // closed to end a pause
}

// startIntercepted starts a fleet with a store interceptor for each process.
func startIntercepted(t *testing.T, spec embedded.Spec) (*fleet, *storeInterceptors) {
	t.Helper()
	s := &storeInterceptors{byProcess: make(map[string]*storeInterceptor)}
	spec.Store = s.wrap
	return startFleet(t, spec), s
}

func (s *storeInterceptors) wrap(process string, store dialect.Store) dialect.Store {
	i := &storeInterceptor{Store: store, crashed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byProcess[process] = i
	return i
}

func (s *storeInterceptors) forProcess(process string) *storeInterceptor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byProcess[process]
}

// crash makes Get and CompareAndSwap of the process fail permanently, so that goroutines of an
// embedded process that still run after it was killed cannot write to the store.
func (i *storeInterceptor) crash() { i.crashOnce.Do(func() { close(i.crashed) }) }

var errCrashed = fmt.Errorf("%w: the process has crashed", dialect.ErrUnavailable)

func (i *storeInterceptor) hasCrashed() bool {
	select {
	case <-i.crashed:
		return true
	default:
		return false
	}
}

func (i *storeInterceptor) Get(ctx context.Context, key string) (dialect.KV, error) {
	if i.hasCrashed() {
		return dialect.KV{}, errCrashed
	}
	return i.Store.Get(ctx, key)
}

func (i *storeInterceptor) CompareAndSwap(ctx context.Context, w dialect.Write) (uint64, error) {
	if i.hasCrashed() {
		return 0, errCrashed
	}
	if fault := i.takeFault(w); fault != nil {
		return fault.swap(ctx, i, w)
	}
	return i.Store.CompareAndSwap(ctx, w)
}

func (i *storeInterceptor) takeFault(w dialect.Write) *writeFault {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n, f := range i.faults {
		if f.match(w) {
			i.faults = append(i.faults[:n:n], i.faults[n+1:]...)
			return f
		}
	}
	return nil
}

func (i *storeInterceptor) inject(match func(dialect.Write) bool, newSwap func(*writeFault) swapFunc) *writeFault {
	f := &writeFault{match: match, triggered: make(chan struct{}), resume: make(chan struct{})}
	f.swap = newSwap(f)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = append(i.faults, f)
	return f
}

// clearFaults removes the faults that have not been triggered.
func (i *storeInterceptor) clearFaults() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = nil
}

func (f *writeFault) wasTriggered() bool {
	select {
	case <-f.triggered:
		return true
	default:
		return false
	}
}

// waitForResume blocks until the fault is resumed or the process crashes.
func (f *writeFault) waitForResume(i *storeInterceptor) error {
	select {
	case <-f.resume:
		return nil
	case <-i.crashed:
		return errCrashed
	}
}

// The following functions implement the write faults. A pause ignores the caller's
// context, as a paused process does.
func pauseBefore(f *writeFault) swapFunc {
	return func(ctx context.Context, i *storeInterceptor, w dialect.Write) (uint64, error) {
		close(f.triggered)
		if err := f.waitForResume(i); err != nil {
			return 0, err
		}
		return i.Store.CompareAndSwap(context.WithoutCancel(ctx), w)
	}
}

func pauseAfter(f *writeFault) swapFunc {
	return func(ctx context.Context, i *storeInterceptor, w dialect.Write) (uint64, error) {
		revision, err := i.Store.CompareAndSwap(ctx, w)
		close(f.triggered)
		if err := f.waitForResume(i); err != nil {
			return 0, err
		}
		return revision, err
	}
}

func loseResponse(f *writeFault) swapFunc {
	return func(ctx context.Context, i *storeInterceptor, w dialect.Write) (uint64, error) {
		_, _ = i.Store.CompareAndSwap(ctx, w)
		close(f.triggered)
		return 0, fmt.Errorf("%w: response lost", dialect.ErrUnknownOutcome)
	}
}

func dropRequest(f *writeFault) swapFunc {
	return func(context.Context, *storeInterceptor, dialect.Write) (uint64, error) {
		close(f.triggered)
		return 0, fmt.Errorf("%w: request lost", dialect.ErrUnknownOutcome)
	}
}

// writesState matches the write that moves an idempotency record to a state.
func writesState(state once.State) func(dialect.Write) bool {
	return func(w dialect.Write) bool {
		var r once.Record
		return strings.HasPrefix(w.Key, "once/") && json.Unmarshal(w.Value, &r) == nil && r.State == state
	}
}

// writesPrefix matches writes to keys with a prefix.
func writesPrefix(prefix string) func(dialect.Write) bool {
	return func(w dialect.Write) bool { return strings.HasPrefix(w.Key, prefix) }
}

// crashEntry kills an entry and disconnects it from the store.
func (f *fleet) crashEntry(s *storeInterceptors, name string) {
	f.t.Helper()
	s.forProcess(name).crash()
	if err := f.KillEntry(name); err != nil {
		f.t.Fatal(err)
	}
}

// crashAgent kills an agent. Its links go down before a paused write returns, so that
// the entries receive nothing more from it.
func (f *fleet) crashAgent(s *storeInterceptors, name string) {
	f.t.Helper()
	before := make(map[string]int)
	for entry, e := range f.Entries {
		for e.Entry.HasLinks(before[entry] + 1) {
			before[entry]++
		}
	}
	killed := make(chan error, 1)
	go func() { killed <- f.KillAgent(name) }()
	eventually(f.t, "the links to "+name+" are down", func() bool {
		for entry, e := range f.Entries {
			if before[entry] > 0 && e.Entry.HasLinks(before[entry]) {
				return false
			}
		}
		return true
	})
	s.forProcess(name).crash()
	if err := <-killed; err != nil {
		f.t.Fatal(err)
	}
}
