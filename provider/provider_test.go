package provider

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/standin"
)

// putDataCentre writes the state of data centre "a" and returns the revision.
func putDataCentre(t *testing.T, s *standin.Store, expect uint64, state config.DataCentreState) uint64 {
	t.Helper()
	raw, err := config.Encode(config.Envelope{SchemaVersion: 1, Kind: config.KindDataCentre, Name: "a",
		Writer: "t", ChangeID: fmt.Sprint(expect), Spec: &config.DataCentre{Region: "r", State: state}})
	if err != nil {
		t.Fatal(err)
	}
	rev, err := s.CompareAndSwap(t.Context(), dialect.Write{Key: config.Key(config.KindDataCentre, "a"), Value: raw, ExpectedRevision: expect})
	if err != nil {
		t.Fatal(err)
	}
	return rev
}

// dataCentreState returns the state of data centre "a", or "" if it is absent.
func dataCentreState(snap *config.Snapshot) config.DataCentreState {
	if d := snap.View().DataCentres["a"]; d != nil {
		return d.State
	}
	return ""
}

// staleStore can answer lists and watches with earlier contents of the store.
type staleStore struct {
	dialect.Store
	kvs      []dialect.KV
	events   []dialect.Event // returned once, before those of the store
	revision uint64
}

func (s *staleStore) List(ctx context.Context, prefix string) ([]dialect.KV, uint64, error) {
	if s.revision > 0 {
		return s.kvs, s.revision, nil
	}
	return s.Store.List(ctx, prefix)
}

func (s *staleStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]dialect.Event, uint64, error) {
	if events := s.events; prefix == config.RecordPrefix && len(events) > 0 {
		s.events = nil
		return events, events[len(events)-1].Revision, nil
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// Guards against records that are replaced by older ones when late events arrive,
// when a watch restarts at an old revision, and when a process that was restarted
// during an outage gets an outdated list from the recovered store.
func TestRecordsNeverRegress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		first := putDataCentre(t, store, 0, config.DataCentreIn)
		old, _, _ := store.List(t.Context(), config.RecordPrefix)
		putDataCentre(t, store, first, config.DataCentreOut)
		all, rev, _ := store.List(t.Context(), config.RecordPrefix)
		peer := config.NewSnapshot()
		peer.ApplyList([]config.Record{{Key: all[0].Key, Revision: all[0].Revision, Raw: all[0].Value}}, rev)

		stale := &staleStore{Store: store, kvs: old, revision: first}
		store.SetDown(true)
		stale.events = []dialect.Event{{KV: old[0]}, {KV: dialect.KV{Key: old[0].Key, Revision: first}, Deleted: true}}
		snap := config.NewSnapshot()
		for range 200 {
			snap.Apply(peer.Records()) // the restarted process gets the records of its peers
			p := NewWatcher(stale, snap, Options{})
			stop := startProvider(t, p)
			time.Sleep(30 * time.Second)
			stop()
			if got := dataCentreState(snap); got != config.DataCentreOut {
				t.Fatalf("state is %q after an outdated list and late events, want out", got)
			}
			store.SetDown(false)
		}
		stale.revision = 0
		defer startProvider(t, NewWatcher(stale, snap, Options{}))()
		third := putDataCentre(t, store, all[0].Revision, config.DataCentreIn)
		time.Sleep(time.Second)
		if got := dataCentreState(snap); got != config.DataCentreIn || snap.Revision() != third {
			t.Fatalf("state is %q at revision %d after the store caught up", got, snap.Revision())
		}
	})
}

// Guards against changes that a process misses because the store has compacted
// them.
func TestMissedChangesAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, snap := standin.NewStore(), config.NewSnapshot()
		rev := putDataCentre(t, store, 0, config.DataCentreIn)
		defer startProvider(t, NewPoller(store, snap, Options{}))()
		time.Sleep(time.Second)
		store.SetHistoryLimit(1)
		putDataCentre(t, store, rev, config.DataCentreOut)
		for i := range 3 {
			if _, err := store.CompareAndSwap(t.Context(), dialect.Write{Key: fmt.Sprint("once/", i)}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(3 * time.Second)
		if got := dataCentreState(snap); got != config.DataCentreOut {
			t.Fatalf("state is %q after a compaction, want out", got)
		}
	})
}

// Guards against a fleet whose reads overload the store while nothing changes,
// while many records change, and after an outage of the store.
func TestFleetReadRate(t *testing.T) {
	const entries, agents, limit = 420, 650, 2000 // reads per second
	quietLogger := &log.Logger{Level: log.PanicLevel}
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		rev := putDataCentre(t, store, 0, config.DataCentreIn)
		snaps := make([]*config.Snapshot, entries+agents)
		for i := range snaps {
			snaps[i] = config.NewSnapshot()
			newProvider, n := NewWatcher, entries
			if i >= entries {
				newProvider, n = NewPoller, agents
			}
			p := newProvider(store, snaps[i], Options{Processes: func() int { return n }, Logger: quietLogger})
			time.AfterFunc(time.Duration(i)*20*time.Millisecond, func() { t.Cleanup(startProvider(t, p)) })
		}
		time.Sleep(time.Minute)
		checkReadRate := func(when string, seconds int, during func()) {
			worst, readsBefore := 0, store.Counts().Reads
			for range seconds {
				before := store.Counts().Reads
				during()
				worst = max(worst, store.Counts().Reads-before)
			}
			t.Logf("%s: mean %d reads/s, at most %d in a second", when, (store.Counts().Reads-readsBefore)/seconds, worst)
			if worst > limit {
				t.Errorf("%s: %d reads in a second, the limit of the store is %d", when, worst, limit)
			}
		}
		idleSecond := func() { time.Sleep(time.Second) }
		checkReadRate("at rest", 30, idleSecond)
		checkReadRate("20 changes a second", 5, func() {
			for range 20 {
				rev = putDataCentre(t, store, rev, config.DataCentreOut)
				time.Sleep(time.Second / 20)
			}
		})
		store.SetDown(true)
		time.Sleep(2 * time.Minute)
		store.SetDown(false)
		rev = putDataCentre(t, store, rev, config.DataCentreIn)
		checkReadRate("store is back", 12, idleSecond)
		for i, s := range snaps {
			if s.Revision() != rev {
				t.Fatalf("process %d has revision %d 12 s after the store is back, want %d", i, s.Revision(), rev)
			}
		}
	})
}

func startProvider(t *testing.T, p *Provider) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = p.Serve(ctx) }()
	return func() { cancel(); <-done }
}

// Guards against changes that do not arrive, and against records that are lost or
// replaced by older ones while the store is down or its watches return nothing.
func TestChangesArriveThroughFaults(t *testing.T) {
	for name, newProvider := range map[string]func(dialect.Store, *config.Snapshot, Options) *Provider{
		"watcher": NewWatcher, "poller": NewPoller,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, snap := standin.NewStore(), config.NewSnapshot()
				rev := putDataCentre(t, store, 0, config.DataCentreIn)
				p := newProvider(store, snap, Options{})
				defer startProvider(t, p)()
				expect := func(when string, within time.Duration, want config.DataCentreState) {
					t.Helper()
					time.Sleep(within)
					synctest.Wait()
					if got := dataCentreState(snap); got != want {
						t.Fatalf("%s: state is %q, want %q", when, got, want)
					}
				}
				expect("first list", time.Second, config.DataCentreIn)
				rev = putDataCentre(t, store, rev, config.DataCentreOut)
				expect("change", 3*time.Second, config.DataCentreOut)

				store.SetDown(true)
				expect("outage", 10*time.Minute, config.DataCentreOut)
				if p.Staleness() < 9*time.Minute {
					t.Fatalf("Staleness() = %v in an outage of 10 minutes", p.Staleness())
				}
				store.SetDown(false)
				rev = putDataCentre(t, store, rev, config.DataCentreIn)
				expect("store is back", 12*time.Second, config.DataCentreIn)

				store.SetWatchesHang(true)
				time.Sleep(time.Second)
				putDataCentre(t, store, rev, config.DataCentreOut)
				expect("change while silent", time.Second, config.DataCentreIn)
				store.SetWatchesHang(false)
				expect("new watch after silence", 50*time.Second, config.DataCentreOut)
				if p.Staleness() > 40*time.Second {
					t.Fatalf("Staleness() = %v in contact with the store", p.Staleness())
				}
			})
		})
	}
}
