package supervise

import (
	"context"
	"sync"
)

// Inflight counts running work. Unlike sync.WaitGroup, work may begin while
// another goroutine waits.
type Inflight struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n falls to 0; nil when nobody waits
}

// Begin counts one piece of work until the returned function is called.
func (f *Inflight) Begin() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
	var once sync.Once
	return func() { once.Do(f.end) }
}

func (f *Inflight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.n == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// Wait returns when no work runs, or with the error of ctx.
func (f *Inflight) Wait(ctx context.Context) error {
	f.mu.Lock()
	if f.n == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Count returns the amount of running work.
func (f *Inflight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.n
}
