package provider

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hyssoploom/config"
	"hyssoploom/dialect"
)

// follower follows one prefix of the store.
type follower struct {
	store    dialect.Store
	snap     *config.Snapshot
	prefix   string
	longPoll bool
	opts     Options

	contact atomic.Int64 // time of the last successful call, Unix nanoseconds
	listed  atomic.Bool

	// The fields below belong to the goroutine of serve.
	cursor  uint64 // revision to continue from
	listDue time.Time
	backoff *backoff.ExponentialBackOff
	failing bool
}

func newFollower(store dialect.Store, snap *config.Snapshot, prefix string, longPoll bool, o Options) *follower {
	f := &follower{store: store, snap: snap, prefix: prefix, longPoll: longPoll, opts: o,
		backoff: &backoff.ExponentialBackOff{InitialInterval: minBackoff, MaxInterval: maxBackoff,
			RandomizationFactor: backoff.DefaultRandomizationFactor, Multiplier: backoff.DefaultMultiplier}}
	f.backoff.Reset()
	f.contact.Store(time.Now().UnixNano())
	return f
}

func (f *follower) age() time.Duration { return time.Since(time.Unix(0, f.contact.Load())) }

func (f *follower) serve(ctx context.Context) error {
	for ctx.Err() == nil {
		pause, err := f.step(ctx)
		if ctx.Err() != nil {
			break
		}
		f.note(err)
		if err != nil {
			pause = f.backoff.NextBackOff()
		} else {
			f.backoff.Reset()
		}
		sleep(ctx, pause)
	}
	return ctx.Err()
}

// step performs one call and returns the pause before the next.
func (f *follower) step(ctx context.Context) (time.Duration, error) {
	if f.listed.Load() && time.Now().Before(f.listDue) {
		return f.changes(ctx)
	}
	size, err := f.list(ctx)
	if err != nil {
		// Changes can still be had while lists fail, for example by a timeout.
		f.listDue = time.Now().Add(maxBackoff)
		return 0, err
	}
	f.listDue = time.Now().Add(jitter(f.opts.listInterval(size)))
	if f.longPoll {
		return 0, nil
	}
	return jitter(f.opts.pollInterval()), nil
}

// list adopts a full list and returns its size in bytes.
func (f *follower) list(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeoutFactor*f.opts.CallTimeout)
	defer cancel()
	kvs, revision, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return 0, err
	}
	f.contact.Store(time.Now().UnixNano())
	records := make([]config.Record, 0, len(kvs))
	size := 0
	for _, kv := range kvs {
		size += len(kv.Key) + len(kv.Value)
		records = append(records, config.Record{Key: kv.Key, Revision: kv.Revision, Raw: kv.Value})
	}
	f.adopted(f.snap.ApplyPrefixList(f.prefix, records, revision))
	f.cursor = revision
	f.listed.Store(true)
	return size, nil
}

// changes watches or polls once.
func (f *follower) changes(ctx context.Context) (time.Duration, error) {
	wait := time.Duration(0)
	if f.longPoll {
		wait = min(f.opts.MaxWatchWait, time.Until(f.listDue))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.opts.CallTimeout)
	defer cancel()
	begun := time.Now()
	events, revision, err := f.store.Watch(ctx, f.prefix, f.cursor, wait)
	if errors.Is(err, dialect.ErrCompacted) {
		f.contact.Store(time.Now().UnixNano())
		f.listDue = time.Time{}
		return jitter(f.opts.watchSpacing()), nil
	}
	if err != nil {
		return 0, err
	}
	f.contact.Store(time.Now().UnixNano())
	f.adopted(f.snap.Apply(recordsOf(events)))
	f.cursor = revision
	switch {
	case !f.longPoll:
		return jitter(f.opts.pollInterval()), nil
	case len(events) == 0 && time.Since(begun) < wait/2:
		// The store ended the wait early; without a pause this would be a busy loop.
		return jitter(f.opts.pollInterval()), nil
	}
	return jitter(f.opts.watchSpacing()), nil
}

func recordsOf(events []dialect.Event) []config.Record {
	records := make([]config.Record, 0, len(events))
	for _, e := range events {
		r := config.Record{Key: e.Key, Revision: e.Revision, Raw: e.Value}
		if e.Deleted {
			r.Raw = nil
		}
		records = append(records, r)
	}
	return records
}

func (f *follower) adopted(records []config.Record) {
	if len(records) > 0 {
		f.opts.OnChange(records)
	}
}

// note logs the loss and the return of contact once each.
func (f *follower) note(err error) {
	switch {
	case err != nil && !f.failing:
		f.opts.Logger.Warn().Str("prefix", f.prefix).Err(err).Msg("config: lost contact with the store")
	case err == nil && f.failing:
		f.opts.Logger.Info().Str("prefix", f.prefix).Msg("config: contact with the store is back")
	}
	f.failing = err != nil
}

// jitter spreads the calls of processes that started together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare/2 + jitterShare*rand.Float64()))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
