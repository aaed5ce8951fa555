package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"hyssoploom/telemetry"
)

const (
	// DefaultWatchWait is how long a watch waits that only delivers changes and need not
	// keep the copy fresh. A connection that became silent is detected within it.
	DefaultWatchWait = 2 * time.Second
	// rewatchDelay is the delay after a watch that returned changes. Each call is
	// billed, and changes often come in groups.
	rewatchDelay = 80 * time.Millisecond
	// ServersRewatchDelay is that delay for the backend servers, of which some change at
	// any time in a large fleet. Servers announce that they leave seconds before.
	ServersRewatchDelay = 250 * time.Millisecond
	// probeWait is the wait of a watch that only checks whether the store is available
	// again.
	probeWait = time.Millisecond
)

// callTimeouts are the timeouts of calls to the store, in addition to the wait of a
// watch. Each failure moves on to the next one, so that a silent store is detected soon
// and a slow one still gets enough time. The store usually answers in 4 ms, and in 80
// times as long while it is slow.
var callTimeouts = []time.Duration{600 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond}

// peerCheckInterval is the interval between checks whether a peer still supplies the
// changes.
const peerCheckInterval = 100 * time.Millisecond

// Follower replicates the keys of the store under one prefix into a State.
type Follower struct {
	store  Store
	state  *State
	prefix string
	log    *telemetry.Logger
	// Fresh, when set, is updated with the times at which the copy was up to date.
	Fresh *Freshness
	// WatchWait returns how long a watch waits for changes.
	WatchWait func() time.Duration
	// SuppliedByPeer, when set, reports whether a peer forwards the changes that it
	// reads, so that this process need not call the store itself.
	SuppliedByPeer func() bool
	// IsReader, when set, reports whether other entries rely on this one to read the
	// store. Without it, they do.
	IsReader func() bool
	// RewatchDelay is the delay after a watch that returned changes.
	RewatchDelay time.Duration
	// OnChange, when set, is called with the changed items that a watch returned.
	OnChange func([]Item)

	storeLost bool // the last call failed
	lostAt    time.Duration
}

// NewFollower returns a follower of the keys under a prefix.
func NewFollower(store Store, state *State, prefix string, log *telemetry.Logger) *Follower {
	return &Follower{store: store, state: state, prefix: prefix, log: log, RewatchDelay: rewatchDelay,
		WatchWait: func() time.Duration { return DefaultWatchWait }}
}

// now reads the clock of Fresh, or BootTime if Fresh is not set.
func (f *Follower) now() time.Duration {
	if f.Fresh != nil {
		return f.Fresh.Now()
	}
	return BootTime()
}

// markFresh records that the copy equalled the store at time at.
func (f *Follower) markFresh(at time.Duration) {
	if f.Fresh != nil {
		f.Fresh.MarkFresh(at)
	}
}

// Serve lists the store and then watches it until ctx is done. It lists again when the
// store has compacted the changes after the last revision.
func (f *Follower) Serve(ctx context.Context) error {
	revision, listed := int64(0), false
	failures := 0
	for ctx.Err() == nil {
		if listed && f.SuppliedByPeer != nil && f.SuppliedByPeer() {
			sleep(ctx, peerCheckInterval)
			complete := f.state.CompleteRevisionUnder(f.prefix)
			// After the store has gone back, peers cannot tell which keys it has lost.
			listed = Era(complete) == Era(revision)
			revision = max(revision, complete)
			continue
		}
		wait := f.WatchWait()
		if failures > 0 {
			wait = probeWait
		}
		callTimeout := callTimeouts[failures%len(callTimeouts)]
		var err error
		if listed {
			revision, err = f.watch(ctx, revision, wait, callTimeout)
		} else {
			revision, err = f.list(ctx, callTimeout)
			listed = err == nil
		}
		switch {
		case err == nil:
			failures = 0
			continue
		case errors.Is(err, ErrCompacted):
			f.log.Info("The store no longer has the changes since a revision; listing again.",
				"revision", StoreRevision(revision), "era", Era(revision), "store_era", f.store.Era())
			listed = false
			continue
		case ctx.Err() != nil:
			return ctx.Err()
		}
		failures++
		f.recordOutage(err)
		f.pauseAfterFailure(ctx, failures)
	}
	return ctx.Err()
}

// pauseAfterFailure waits before the next call to a store that has failed several times
// in a row. The wait ends early when a peer supplies the changes again.
func (f *Follower) pauseAfterFailure(ctx context.Context, failures int) {
	jitter := rand.Float64()
	for begun := time.Now(); ctx.Err() == nil; sleep(ctx, peerCheckInterval) {
		reader := f.IsReader == nil || f.IsReader()
		left := probePause(failures, reader, jitter) - time.Since(begun)
		if left <= peerCheckInterval {
			sleep(ctx, left)
			return
		}
		if f.SuppliedByPeer != nil && f.SuppliedByPeer() {
			return
		}
	}
}

// list replaces the copy with a listing of the store and returns its revision.
func (f *Follower) list(ctx context.Context, callTimeout time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := f.now()
	items, revision, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return 0, err
	}
	f.recordRecovery()
	adopted, rejected := f.state.Replace(f.prefix, items, revision)
	f.logRejected(rejected)
	f.markFresh(started)
	f.log.Info("Listed the store.", "prefix", f.prefix, "revision", StoreRevision(revision), "era", Era(revision),
		"items", len(items), "changed", len(adopted), "lost", f.state.LostUnder(f.prefix))
	return revision, nil
}

// watch applies the changes after a revision and returns the new revision.
func (f *Follower) watch(ctx context.Context, after int64, wait, callTimeout time.Duration) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	started := f.now()
	events, revision, err := f.store.Watch(callCtx, f.prefix, after, wait)
	if err != nil {
		return after, err
	}
	f.recordRecovery()
	adopted, rejected := f.state.Advance(f.prefix, events, revision)
	f.logRejected(rejected)
	if f.OnChange != nil && len(adopted) > 0 {
		f.OnChange(adopted)
	}
	freshAt := started
	if len(events) == 0 && f.now()-started >= wait {
		freshAt += wait // the store reported no change during the wait
	}
	f.markFresh(freshAt)
	if len(events) > 0 {
		sleep(ctx, f.RewatchDelay)
	}
	return max(after, revision), nil
}

func (f *Follower) logRejected(rejected []Rejected) {
	for _, r := range rejected {
		f.log.Warn("Ignored an item that cannot be decoded.", "key", r.Key, "error", r.Err.Error())
	}
}

// recordOutage logs the first failed call of an outage.
func (f *Follower) recordOutage(err error) {
	if f.Fresh != nil {
		f.Fresh.MarkLost()
	}
	if f.storeLost {
		return
	}
	f.storeLost, f.lostAt = true, f.now()
	f.log.Warn("Lost the store.", "prefix", f.prefix, "error", err.Error())
}

// recordRecovery ends an outage after a successful call.
func (f *Follower) recordRecovery() {
	if !f.storeLost {
		return
	}
	f.storeLost = false
	f.state.StoreRecovered()
	f.log.Info("Regained the store.", "prefix", f.prefix, "lost_for", (f.now() - f.lostAt).String())
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
