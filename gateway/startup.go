package gateway

import (
	"context"
	"time"
)

const (
	// maxStartupHold is how long after its start an entry holds requests until it has
	// read the store: as long as the store has for its first answer, after which it
	// counts as lost.
	maxStartupHold = 600 * time.Millisecond
	// startupPollInterval is the pause between looks at whether the store has been read.
	startupPollInterval = 5 * time.Millisecond
	// maxHoldShare is the part of a caller's patience for which its request is held;
	// what is left is enough to be answered here or by another entry.
	maxHoldShare = 0.25
)

// startup tells when an entry has read the store for the first time.
type startup struct{ done chan struct{} }

func newStartup() *startup { return &startup{done: make(chan struct{})} }

// watch ends the startup when the entry is informed, or after startupHold.
func (s *startup) watch(ctx context.Context, loaded func() bool) {
	defer close(s.done)
	for end := time.Now().Add(maxStartupHold); ctx.Err() == nil && time.Now().Before(end) && !loaded(); {
		sleep(ctx, startupPollInterval)
	}
}

// hold waits for the end of the startup, within a part of the caller's patience
// (0 is no limit). A request that is refused in the first moments costs its
// caller an attempt, though the entry could route it a little later; when all
// entries start at once, most callers have no further attempt.
func (s *startup) hold(ctx context.Context, clientTimeout time.Duration) {
	select {
	case <-s.done:
		return
	default:
	}
	if clientTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(maxHoldShare*float64(clientTimeout)))
		defer cancel()
	}
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}
