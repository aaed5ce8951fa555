package gateway

import (
	"context"
	"time"
)

const (
	// startupHold is how long after its start an entry holds requests until it has
	// read the store: as long as the store has for its first answer, after which it
	// counts as lost.
	startupHold = 600 * time.Millisecond
	// startupPoll is the pause between looks at whether the store has been read.
	startupPoll = 5 * time.Millisecond
	// holdShare is the part of a caller's patience for which its request is held;
	// what is left is enough to be answered here or by another entry.
	holdShare = 0.25
)

// startup tells when an entry has read the store for the first time.
type startup struct{ over chan struct{} }

func newStartup() *startup { return &startup{over: make(chan struct{})} }

// watch ends the startup when the entry is informed, or after startupHold.
func (s *startup) watch(ctx context.Context, informed func() bool) {
	defer close(s.over)
	for end := time.Now().Add(startupHold); ctx.Err() == nil && time.Now().Before(end) && !informed(); {
		wait(ctx, startupPoll)
	}
}

// hold waits for the end of the startup, within a part of the caller's patience
// (0 is no limit). A request that is refused in the first moments costs its
// caller an attempt, though the entry could route it a little later; when all
// entries start at once, most callers have no further attempt.
func (s *startup) hold(ctx context.Context, patience time.Duration) {
	select {
	case <-s.over:
		return
	default:
	}
	if patience > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(holdShare*float64(patience)))
		defer cancel()
	}
	select {
	case <-s.over:
	case <-ctx.Done():
	}
}
