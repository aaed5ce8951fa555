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

// prefixSyncer keeps the records of one store prefix up to date in a snapshot.
type prefixSyncer struct {
	store    dialect.Store
	snapshot *config.Snapshot
	prefix   string
	longPoll bool
	opts     Options

	lastContact atomic.Int64 // time of the last successful call, Unix nanoseconds
	listedOnce  atomic.Bool  // stays set when contact is lost

	// The fields below are used only by the goroutine of run.
	cursor      uint64 // revision after which the next call continues
	nextList    time.Time
	backoff     *backoff.ExponentialBackOff
	contactLost bool
}

func newPrefixSyncer(store dialect.Store, snapshot *config.Snapshot, prefix string, longPoll bool, o Options) *prefixSyncer {
	s := &prefixSyncer{store: store, snapshot: snapshot, prefix: prefix, longPoll: longPoll, opts: o,
		backoff: &backoff.ExponentialBackOff{InitialInterval: minBackoff, MaxInterval: maxBackoff,
			RandomizationFactor: backoff.DefaultRandomizationFactor, Multiplier: backoff.DefaultMultiplier}}
	s.backoff.Reset()
	s.lastContact.Store(time.Now().UnixNano())
	return s
}

func (s *prefixSyncer) staleness() time.Duration {
	return time.Since(time.Unix(0, s.lastContact.Load()))
}

func (s *prefixSyncer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause, err := s.syncOnce(ctx)
		if ctx.Err() != nil {
			break
		}
		s.logContact(err)
		if err != nil {
			pause = s.backoff.NextBackOff()
		} else {
			s.backoff.Reset()
		}
		sleep(ctx, pause)
	}
	return ctx.Err()
}

// syncOnce makes one call to the store and returns the pause before the next.
func (s *prefixSyncer) syncOnce(ctx context.Context) (time.Duration, error) {
	if s.listedOnce.Load() && time.Now().Before(s.nextList) {
		return s.fetchChanges(ctx)
	}
	size, err := s.fetchList(ctx)
	if err != nil {
		// Fetch changes in the meantime: they may succeed while lists fail, for
		// example with a timeout.
		s.nextList = time.Now().Add(maxBackoff)
		return 0, err
	}
	s.nextList = time.Now().Add(jitter(s.opts.listInterval(size)))
	if s.longPoll {
		return 0, nil
	}
	return jitter(s.opts.pollInterval()), nil
}

// fetchList applies a full list to the snapshot and returns its size in bytes.
func (s *prefixSyncer) fetchList(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeoutFactor*s.opts.CallTimeout)
	defer cancel()
	kvs, revision, err := s.store.List(ctx, s.prefix)
	if err != nil {
		return 0, err
	}
	s.lastContact.Store(time.Now().UnixNano())
	records := make([]config.Record, 0, len(kvs))
	size := 0
	for _, kv := range kvs {
		size += len(kv.Key) + len(kv.Value)
		records = append(records, config.Record{Key: kv.Key, Revision: kv.Revision, Raw: kv.Value})
	}
	s.notify(s.snapshot.ApplyPrefixList(s.prefix, records, revision))
	s.cursor = revision
	s.listedOnce.Store(true)
	return size, nil
}

// fetchChanges watches or polls once and returns the pause before the next call.
func (s *prefixSyncer) fetchChanges(ctx context.Context) (time.Duration, error) {
	wait := time.Duration(0)
	if s.longPoll {
		wait = min(s.opts.MaxWatchWait, time.Until(s.nextList))
	}
	ctx, cancel := context.WithTimeout(ctx, wait+s.opts.CallTimeout)
	defer cancel()
	started := time.Now()
	events, revision, err := s.store.Watch(ctx, s.prefix, s.cursor, wait)
	if errors.Is(err, dialect.ErrCompacted) {
		s.lastContact.Store(time.Now().UnixNano())
		s.nextList = time.Time{}
		return jitter(s.opts.watchSpacing()), nil
	}
	if err != nil {
		return 0, err
	}
	s.lastContact.Store(time.Now().UnixNano())
	s.notify(s.snapshot.Apply(toRecords(events)))
	s.cursor = revision
	switch {
	case !s.longPoll:
		return jitter(s.opts.pollInterval()), nil
	case len(events) == 0 && time.Since(started) < wait/2:
		// The store ended the wait early. Without a pause this would be a busy loop.
		return jitter(s.opts.pollInterval()), nil
	}
	return jitter(s.opts.watchSpacing()), nil
}

// toRecords converts events to records; a deleted key has no value.
func toRecords(events []dialect.Event) []config.Record {
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

func (s *prefixSyncer) notify(records []config.Record) {
	if len(records) > 0 {
		s.opts.OnChange(records)
	}
}

// logContact logs each loss and each return of contact with the store once.
func (s *prefixSyncer) logContact(err error) {
	switch {
	case err != nil && !s.contactLost:
		s.opts.Logger.Warn().Str("prefix", s.prefix).Err(err).Msg("config: lost contact with the store")
	case err == nil && s.contactLost:
		s.opts.Logger.Info().Str("prefix", s.prefix).Msg("config: contact with the store is back")
	}
	s.contactLost = err != nil
}

// jitter randomizes d, so that processes that started together do not make their
// calls at the same time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction/2 + jitterFraction*rand.Float64()))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
