package gateway

import (
	"context"
	"time"
)

const (
	// maxStartupHold is how long after its start an entry holds requests while it has
	// not read the store. It equals the time allowed for the first response of the
	// store, after which the store is considered unavailable.
	maxStartupHold = 600 * time.Millisecond
	// startupPollInterval is the interval between checks whether the store has been
	// read.
	startupPollInterval = 5 * time.Millisecond
	// maxHoldShare is the share of the client's timeout for which its request is held;
	// the rest is enough for a response from this or another entry.
	maxHoldShare = 0.25
)

// startup signals when an entry has read the store for the first time.
type startup struct{ done chan struct{} }

func newStartup() *startup { return &startup{done: make(chan struct{})} }

// watch ends the startup phase when loaded returns true, or after maxStartupHold.
func (s *startup) watch(ctx context.Context, loaded func() bool) {
	defer close(s.done)
	for end := time.Now().Add(maxStartupHold); ctx.Err() == nil && time.Now().Before(end) && !loaded(); {
		sleep(ctx, startupPollInterval)
	}
}

// hold waits for the end of the startup phase, but at most for a share of clientTimeout
// (0 means no limit). Rejecting a request right after the start costs the client an
// attempt although the entry could route it shortly afterwards; when all entries start
// at once, most clients have no attempt left.
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
