package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"hyssoploom/telemetry"
)

const (
	// DefaultWatchWait is how long a watch waits that proves nothing and only brings
	// changes. A connection that went silent is noticed within it.
	DefaultWatchWait = 2 * time.Second
	// watchSpacing is the pause after a watch with changes; each call is paid for,
	// and changes often come in groups.
	watchSpacing = 80 * time.Millisecond
	// probeWait is the wait of a watch that only finds out whether the store is back.
	probeWait = time.Millisecond
	// retryPause is the pause after a failed call; it varies by half.
	retryPause = 150 * time.Millisecond
)

// answerTimes are the times within which the store has to answer, besides the
// wait of a watch. After a failure the next one applies, so that a silent store
// is noticed soon and a slow one is still heard. The store answers in 4 ms, and
// in 80 times as long while it is slow.
var answerTimes = []time.Duration{600 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond, 1500 * time.Millisecond}

// coveredPause is the pause between looks at whether a peer still covers.
const coveredPause = 100 * time.Millisecond

// Follower keeps the part of a State under one prefix equal to the store.
type Follower struct {
	store  Store
	state  *State
	prefix string
	log    *telemetry.Logger
	// Fresh, when set, takes the proofs of the copy.
	Fresh *Freshness
	// WatchWait returns how long a watch waits for changes.
	WatchWait func() time.Duration
	// SuppliedByPeer, when set, tells that a peer passes on what it reads, so that this
	// process need not call the store itself.
	SuppliedByPeer func() bool
	// OnChange, when set, is called with the items that the store changed.
	OnChange func([]Item)

	lost   bool // the last call failed
	lostAt time.Duration
}

// NewFollower returns a follower of the keys under a prefix.
func NewFollower(store Store, state *State, prefix string, log *telemetry.Logger) *Follower {
	return &Follower{store: store, state: state, prefix: prefix, log: log, WatchWait: func() time.Duration { return DefaultWatchWait }}
}

// now reads the clock of the proofs.
func (f *Follower) now() time.Duration {
	if f.Fresh != nil {
		return f.Fresh.Now()
	}
	return BootTime()
}

// prove notes up to when the copy is complete.
func (f *Follower) prove(at time.Duration) {
	if f.Fresh != nil {
		f.Fresh.MarkFresh(at)
	}
}

// Serve follows the store until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	revision, listed := int64(0), false
	failures := 0
	for ctx.Err() == nil {
		if listed && f.SuppliedByPeer != nil && f.SuppliedByPeer() {
			sleep(ctx, coveredPause)
			revision = max(revision, f.state.CompleteRevisionUnder(f.prefix))
			continue
		}
		wait := f.WatchWait()
		if failures > 0 {
			wait = probeWait
		}
		answerTime := answerTimes[failures%len(answerTimes)]
		var err error
		if listed {
			revision, err = f.watch(ctx, revision, wait, answerTime)
		} else {
			revision, err = f.list(ctx, answerTime)
			listed = err == nil
		}
		switch {
		case err == nil:
			failures = 0
			continue
		case errors.Is(err, ErrCompacted):
			f.log.Info("History was compacted, listing again.", "revision", revision)
			listed = false
			continue
		case ctx.Err() != nil:
			return ctx.Err()
		}
		failures++
		f.noteLost(err)
		sleep(ctx, retryPause/2+time.Duration(rand.Int64N(int64(retryPause))))
	}
	return ctx.Err()
}

func (f *Follower) list(ctx context.Context, answerTime time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	started := f.now()
	items, revision, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return 0, err
	}
	f.noteRegained()
	adopted, rejected := f.state.Replace(f.prefix, items, revision)
	f.report(rejected)
	f.state.MarkComplete(f.prefix, revision)
	f.prove(started)
	f.log.Info("Listed the store.", "prefix", f.prefix, "revision", revision, "items", len(items), "changed", len(adopted))
	return revision, nil
}

func (f *Follower) watch(ctx context.Context, after int64, wait, answerTime time.Duration) (int64, error) {
	callCtx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	started := f.now()
	events, revision, err := f.store.Watch(callCtx, f.prefix, after, wait)
	if err != nil {
		return after, err
	}
	f.noteRegained()
	adopted, rejected := f.state.Apply(events)
	f.report(rejected)
	f.state.MarkComplete(f.prefix, revision)
	if f.OnChange != nil && len(adopted) > 0 {
		f.OnChange(adopted)
	}
	proven := started
	if len(events) == 0 && f.now()-started >= wait {
		proven += wait // the store waited this long and saw no change
	}
	f.prove(proven)
	if len(events) > 0 {
		sleep(ctx, watchSpacing)
	}
	return max(after, revision), nil
}

func (f *Follower) report(rejected []Rejected) {
	for _, r := range rejected {
		f.log.Warn("Ignored an item that cannot be decoded.", "key", r.Key, "error", r.Err.Error())
	}
}

func (f *Follower) noteLost(err error) {
	if f.lost {
		return
	}
	f.lost, f.lostAt = true, f.now()
	f.log.Warn("Lost the store.", "prefix", f.prefix, "error", err.Error())
}

func (f *Follower) noteRegained() {
	if !f.lost {
		return
	}
	f.lost = false
	f.state.StoreRecovered()
	f.log.Info("Regained the store.", "prefix", f.prefix, "lost_for", (f.now() - f.lostAt).String())
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
