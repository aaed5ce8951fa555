package supervise

import (
	"context"
	"sync"
)

// Inflight counts running operations. Unlike with sync.WaitGroup, an operation may
// begin at any time while another goroutine waits. The zero value is ready to use.
type Inflight struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when count reaches 0; nil if no goroutine waits
}

// Begin counts one operation until the returned function is called. Further calls of
// that function have no effect.
func (f *Inflight) Begin() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	var once sync.Once
	return func() { once.Do(f.finish) }
}

func (f *Inflight) finish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// Wait returns nil once no operation is running, or the error of ctx if that ends
// first.
func (f *Inflight) Wait(ctx context.Context) error {
	f.mu.Lock()
	if f.count == 0 {
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

// Count returns the number of running operations.
func (f *Inflight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}
