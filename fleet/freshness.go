package fleet

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the machine booted, including suspended time. Unlike
// the monotonic clock it gives the real age of data after a VM was suspended.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("fleet: no boot time clock: " + err.Error()) // always available on Linux
	}
	return time.Duration(ts.Nano())
}

// Freshness records the latest time at which the local copy is known to have equalled
// the store. Times are readings of its clock. It is safe for concurrent use.
type Freshness struct {
	clock func() time.Duration

	mu      sync.Mutex
	freshAt time.Duration
	known   bool
	lostAt  time.Duration
	lost    bool
}

// NewFreshness returns a Freshness for a copy of unknown age. clock must include
// suspended time.
func NewFreshness(clock func() time.Duration) *Freshness { return &Freshness{clock: clock} }

// Now reads the clock.
func (f *Freshness) Now() time.Duration { return f.clock() }

// MarkFresh records that the copy contained everything that the store had confirmed at
// time at. Earlier times than the recorded one are ignored, and ones before a loss do not end
// it: they are those of copies that peers had by then.
func (f *Freshness) MarkFresh(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known || at > f.freshAt {
		f.freshAt, f.known = at, true
	}
	f.lost = f.lost && at <= f.lostAt
}

// MarkLost records that the copy can no longer be compared with the store.
func (f *Freshness) MarkLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost {
		f.lostAt, f.lost = f.clock(), true
	}
}

// LostFor returns the time since the copy could last be compared with the store; 0 if it can
// be.
func (f *Freshness) LostFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost {
		return 0
	}
	return max(f.clock()-f.lostAt, 1)
}

// Age returns the time since the copy was last known to equal the store. ok is false
// when it never was.
func (f *Freshness) Age() (age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock() - f.freshAt, f.known
}
