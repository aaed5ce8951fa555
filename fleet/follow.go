package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"hyssoploom/telemetry"
)

const (
	// watchWait is how long a watch waits for changes. Two waits and a round trip
	// stay under the 3 s after which keyed requests are refused.
	watchWait = 1200 * time.Millisecond
	// retryPause is the first pause after a failed call of the store; it doubles
	// up to maxRetryPause.
	retryPause    = 150 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
)

// Follower keeps a State equal to the store.
type Follower struct {
	store Store
	state *State
	fresh *Freshness
	log   *telemetry.Logger

	lost   bool // the last call failed
	lostAt time.Duration
}

// NewFollower returns a follower that reports its proofs to fresh.
func NewFollower(store Store, state *State, fresh *Freshness, log *telemetry.Logger) *Follower {
	return &Follower{store: store, state: state, fresh: fresh, log: log}
}

// Serve follows the store until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	revision, listed := int64(0), false
	pause := retryPause
	for ctx.Err() == nil {
		var err error
		if listed {
			revision, err = f.watch(ctx, revision)
		} else {
			revision, err = f.list(ctx)
			listed = err == nil
		}
		switch {
		case err == nil:
			pause = retryPause
			continue
		case errors.Is(err, ErrCompacted):
			f.log.Info("History was compacted, listing again.", "revision", revision)
			listed = false
			continue
		case ctx.Err() != nil:
			return ctx.Err()
		}
		f.noteLost(err)
		sleep(ctx, pause+time.Duration(rand.Int64N(int64(pause/2))))
		pause = min(2*pause, maxRetryPause)
	}
	return ctx.Err()
}

func (f *Follower) list(ctx context.Context) (int64, error) {
	started := f.fresh.Now()
	items, revision, err := f.store.List(ctx, "")
	if err != nil {
		return 0, err
	}
	f.noteRegained()
	adopted, rejected := f.state.Replace(items, revision)
	f.report(rejected)
	f.state.MarkComplete(revision)
	f.fresh.Prove(started)
	f.log.Info("Listed the store.", "revision", revision, "items", len(items), "changed", len(adopted))
	return revision, nil
}

func (f *Follower) watch(ctx context.Context, after int64) (int64, error) {
	started := f.fresh.Now()
	events, revision, err := f.store.Watch(ctx, "", after, watchWait)
	if err != nil {
		return after, err
	}
	f.noteRegained()
	_, rejected := f.state.Apply(events)
	f.report(rejected)
	f.state.MarkComplete(revision)
	proven := started
	if len(events) == 0 && f.fresh.Now()-started >= watchWait {
		proven += watchWait // the store waited this long and saw no change
	}
	f.fresh.Prove(proven)
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
	f.lost, f.lostAt = true, f.fresh.Now()
	f.log.Warn("Lost the store.", "error", err.Error())
}

func (f *Follower) noteRegained() {
	if !f.lost {
		return
	}
	f.lost = false
	f.state.StoreRecovered()
	f.log.Info("Regained the store.", "lost_for", (f.fresh.Now() - f.lostAt).String())
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
