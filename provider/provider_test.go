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

// put writes the state of data centre "a" and returns the revision.
func put(t *testing.T, s *standin.Store, expect uint64, state config.DataCentreState) uint64 {
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

func stateOf(snap *config.Snapshot) config.DataCentreState {
	if d := snap.View().DataCentres["a"]; d != nil {
		return d.State
	}
	return ""
}

// faultyStore can answer lists and watches with what the store held earlier.
type faultyStore struct {
	dialect.Store
	kvs      []dialect.KV
	events   []dialect.Event // sent once, before the store's own
	revision uint64
}

func (s *faultyStore) List(ctx context.Context, prefix string) ([]dialect.KV, uint64, error) {
	if s.revision > 0 {
		return s.kvs, s.revision, nil
	}
	return s.Store.List(ctx, prefix)
}

func (s *faultyStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]dialect.Event, uint64, error) {
	if events := s.events; prefix == config.RecordPrefix && len(events) > 0 {
		s.events = nil
		return events, events[len(events)-1].Revision, nil
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// Guards against records that turn back when late events arrive, when a watch
// starts again at an old revision, and when a process that was restarted in an
// outage gets an old list from a store that comes back.
func TestNothingTurnsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		first := put(t, store, 0, config.DataCentreIn)
		old, _, _ := store.List(t.Context(), config.RecordPrefix)
		put(t, store, first, config.DataCentreOut)
		all, rev, _ := store.List(t.Context(), config.RecordPrefix)
		peer := config.NewSnapshot()
		peer.AdoptList([]config.Record{{Key: all[0].Key, Revision: all[0].Revision, Raw: all[0].Value}}, rev)

		faulty := &faultyStore{Store: store, kvs: old, revision: first}
		store.SetDown(true)
		faulty.events = []dialect.Event{{KV: old[0]}, {KV: dialect.KV{Key: old[0].Key, Revision: first}, Deleted: true}}
		snap := config.NewSnapshot()
		for range 200 {
			snap.Adopt(peer.All()) // the restarted process asks its peers
			p := NewWatcher(faulty, snap, Options{})
			stop := start(t, p)
			time.Sleep(30 * time.Second)
			stop()
			if got := stateOf(snap); got != config.DataCentreOut {
				t.Fatalf("state is %q after an old list and late events, want out", got)
			}
			store.SetDown(false)
		}
		faulty.revision = 0
		defer start(t, NewWatcher(faulty, snap, Options{}))()
		third := put(t, store, all[0].Revision, config.DataCentreIn)
		time.Sleep(time.Second)
		if got := stateOf(snap); got != config.DataCentreIn || snap.Revision() != third {
			t.Fatalf("state is %q at revision %d after the store caught up", got, snap.Revision())
		}
	})
}

// Guards against changes that are missed when the store has compacted them.
func TestCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, snap := standin.NewStore(), config.NewSnapshot()
		rev := put(t, store, 0, config.DataCentreIn)
		defer start(t, NewPoller(store, snap, Options{}))()
		time.Sleep(time.Second)
		store.SetHistoryLimit(1)
		put(t, store, rev, config.DataCentreOut)
		for i := range 3 {
			if _, err := store.CompareAndSwap(t.Context(), dialect.Write{Key: fmt.Sprint("once/", i)}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(3 * time.Second)
		if got := stateOf(snap); got != config.DataCentreOut {
			t.Fatalf("state is %q after a compaction, want out", got)
		}
	})
}

// Guards against a fleet whose reads overload the store: at rest, while many
// records change, and when the store returns after an outage.
func TestFleetReadRate(t *testing.T) {
	const entries, agents, limit = 420, 650, 2000 // reads per second
	silent := &log.Logger{Level: log.PanicLevel}
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		rev := put(t, store, 0, config.DataCentreIn)
		snaps := make([]*config.Snapshot, entries+agents)
		for i := range snaps {
			snaps[i] = config.NewSnapshot()
			make, n := NewWatcher, entries
			if i >= entries {
				make, n = NewPoller, agents
			}
			p := make(store, snaps[i], Options{Processes: func() int { return n }, Logger: silent})
			time.AfterFunc(time.Duration(i)*20*time.Millisecond, func() { t.Cleanup(start(t, p)) })
		}
		time.Sleep(time.Minute)
		rate := func(when string, seconds int, during func()) {
			worst, begun := 0, store.Counts().Reads
			for range seconds {
				before := store.Counts().Reads
				during()
				worst = max(worst, store.Counts().Reads-before)
			}
			t.Logf("%s: mean %d reads/s, at most %d in a second", when, (store.Counts().Reads-begun)/seconds, worst)
			if worst > limit {
				t.Errorf("%s: %d reads in a second, the store carries %d", when, worst, limit)
			}
		}
		quiet := func() { time.Sleep(time.Second) }
		rate("at rest", 30, quiet)
		rate("20 changes a second", 5, func() {
			for range 20 {
				rev = put(t, store, rev, config.DataCentreOut)
				time.Sleep(time.Second / 20)
			}
		})
		store.SetDown(true)
		time.Sleep(2 * time.Minute)
		store.SetDown(false)
		rev = put(t, store, rev, config.DataCentreIn)
		rate("store is back", 12, quiet)
		for i, s := range snaps {
			if s.Revision() != rev {
				t.Fatalf("process %d has revision %d 12 s after the store is back, want %d", i, s.Revision(), rev)
			}
		}
	})
}

func start(t *testing.T, p *Provider) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = p.Serve(ctx) }()
	return func() { cancel(); <-done }
}

// Guards against changes that do not arrive, and against records that turn
// back or vanish while the store is away or its watches are silent.
func TestFollow(t *testing.T) {
	for name, make := range map[string]func(dialect.Store, *config.Snapshot, Options) *Provider{
		"watcher": NewWatcher, "poller": NewPoller,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, snap := standin.NewStore(), config.NewSnapshot()
				rev := put(t, store, 0, config.DataCentreIn)
				p := make(store, snap, Options{})
				defer start(t, p)()
				expect := func(when string, within time.Duration, want config.DataCentreState) {
					t.Helper()
					time.Sleep(within)
					synctest.Wait()
					if got := stateOf(snap); got != want {
						t.Fatalf("%s: state is %q, want %q", when, got, want)
					}
				}
				expect("first list", time.Second, config.DataCentreIn)
				rev = put(t, store, rev, config.DataCentreOut)
				expect("change", 3*time.Second, config.DataCentreOut)

				store.SetDown(true)
				expect("outage", 10*time.Minute, config.DataCentreOut)
				if p.Age() < 9*time.Minute {
					t.Fatalf("Age() = %v in an outage of 10 minutes", p.Age())
				}
				store.SetDown(false)
				rev = put(t, store, rev, config.DataCentreIn)
				expect("store is back", 12*time.Second, config.DataCentreIn)

				store.SetWatchesHang(true)
				time.Sleep(time.Second)
				put(t, store, rev, config.DataCentreOut)
				expect("change while silent", time.Second, config.DataCentreIn)
				store.SetWatchesHang(false)
				expect("new watch after silence", 50*time.Second, config.DataCentreOut)
				if p.Age() > 40*time.Second {
					t.Fatalf("Age() = %v in contact with the store", p.Age())
				}
			})
		})
	}
}
