package fleet

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine started, suspended time included.
// Unlike the steady clock it tells how old knowledge is after a VM was frozen.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("fleet: no boot time clock: " + err.Error()) // every Linux has it
	}
	return time.Duration(ts.Nano())
}

// Freshness records up to when the state is known to equal the store's. It is
// safe for concurrent use. Times are those of the clock that it was made with.
type Freshness struct {
	clock func() time.Duration

	mu     sync.Mutex
	proven time.Duration
	known  bool
}

// NewFreshness returns a Freshness without any proof; clock must count suspended
// time.
func NewFreshness(clock func() time.Duration) *Freshness { return &Freshness{clock: clock} }

// Now reads the clock.
func (f *Freshness) Now() time.Duration { return f.clock() }

// MarkFresh notes that the state held all that the store had confirmed at time at.
func (f *Freshness) MarkFresh(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || at > f.proven {
		f.proven, f.known = at, true
	}
}

// Age returns the time since the newest proof; ok is false when there is none.
func (f *Freshness) Age() (age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock() - f.proven, f.known
}
