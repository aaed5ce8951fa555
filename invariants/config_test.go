package invariants

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/control"
	"hyssoploom/dialect"
	"hyssoploom/link"
)

// modelOf is a record of versions that all take new sessions.
func modelOf(versions ...string) *config.Model {
	model := &config.Model{}
	for _, v := range versions {
		model.Versions = append(model.Versions, config.ModelVersion{
			Version: v, State: config.VersionActive, Weight: 1, PriceIn: 1, PriceOut: 1,
		})
	}
	return model
}

// Guards against an entry that dials its agents a second time when it learns
// the names of their backend servers: the two connections replaced each other
// several times, which broke the streams on them.
func TestEntryDialsEachAgentOnce(t *testing.T) {
	logs := &syncBuffer{}
	spec := oneCentre(engine("small-1", "small", 4, 0), engine("small-2", "small", 4, 0))
	spec.Logs = logs
	f := startFleet(t, spec)
	if err := f.KillEntry("entry-2"); err != nil {
		t.Fatal(err)
	}
	f.Store.SetDown(true) // the entry finds the agents through the VM list
	before := len(logs.String())
	if err := f.StartEntry(t.Context(), "entry-2"); err != nil {
		t.Fatal(err)
	}
	e := f.Entries["entry-2"].Entry
	eventually(t, "the entry serves with the records of its peers", func() bool {
		return e.Ready() && e.Linked(len(f.Backends)) && e.Serving("small", "1")
	})
	f.Store.SetDown(false)
	f.putInForce(config.KindModel, "medium", modelOf("1"))
	if r := f.send(chat("r", "entry-2", "small", "x", false)); r.status != 200 {
		t.Errorf("status %d: %s", r.status, r.body)
	}
	text := logs.String()[before:]
	if n := strings.Count(text, "replaced by a newer connection"); n > 0 {
		t.Errorf("%d connections were replaced", n)
	}
	if n := strings.Count(text, "Entry connected."); n != len(f.Backends) {
		t.Errorf("%d connections to %d agents", n, len(f.Backends))
	}
}

// everywhere reports whether every process has the revision, without asking
// the store.
func (f *fleet) everywhere(revision uint64) bool {
	for _, e := range f.Entries {
		if e.Entry.Revision() < revision {
			return false
		}
	}
	for _, b := range f.Backends {
		if b.Agent.Revision() < revision {
			return false
		}
	}
	return true
}

// withdrawn is a record whose only version takes no work.
func withdrawn() *config.Model {
	return &config.Model{Versions: []config.ModelVersion{
		{Version: "1", State: config.VersionWithdrawn, OnWithdraw: config.WithdrawRefuse},
	}}
}

// checkWithdrawn sends requests through all entries and fails if one runs, or if
// an entry relies on the agent to refuse.
func (f *fleet) checkWithdrawn(when string) {
	f.t.Helper()
	before := len(f.runs())
	for name := range f.Entries {
		if r := f.send(chat("", name, "small", "x", false)); r.error().Code != "no_version" || r.error().Run != "not_run" {
			f.t.Errorf("%s: %s answered %d %s", when, name, r.status, r.body)
		}
	}
	if n := len(f.runs()) - before; n > 0 {
		f.t.Errorf("%s: %d runs of a withdrawn version", when, n)
	}
}

// Guards against a record that some processes never get because the store
// fails right after it was accepted.
func TestRecordBeforeOutageReachesAll(t *testing.T) {
	stores := newStoreSwitch()
	spec := oneCentre(engine("small-1", "small", 4, 0), engine("small-2", "small", 4, 0))
	spec.Store = stores.wrap
	f := startFleet(t, spec)
	for _, cut := range []string{"entry-2", "small-2"} {
		stores.set(cut, true)
	}
	f.put(config.KindModel, "small", withdrawn())
	accepted := time.Now()
	revision := f.Store.Revision()
	eventually(t, "the first process has the record", func() bool {
		return f.Entries["entry-1"].Entry.Revision() >= revision || f.Backends["small-1"].Agent.Revision() >= revision
	})
	f.Store.SetDown(true)
	eventually(t, "all processes have the record", func() bool { return f.everywhere(revision) })
	took := time.Since(accepted)
	t.Logf("in force everywhere %v after the acceptance", took)
	if took > inForceTime {
		t.Errorf("took %v, want at most %v", took, inForceTime)
	}
	f.checkWithdrawn("during the outage")
}

// inForceTime is the most that an accepted record may need to be in force in
// every process.
const inForceTime = 8 * time.Second

// Guards against a record that comes back in its old form: from a peer that
// was cut off, from a list that was read before the record and arrives after
// it, and from a watch that starts anew.
func TestRecordNeverReverts(t *testing.T) {
	late := &lateLists{process: "entry-2", read: make(chan struct{}), release: make(chan struct{})}
	spec := oneCentre(engine("small-1", "small", 4, 0))
	spec.Store = late.wrap
	f := startFleet(t, spec)
	old, err := f.Store.Get(t.Context(), config.Key(config.KindDataCentre, "jylland"))
	if err != nil {
		t.Fatal(err)
	}
	stray := f.strayEntry("small-1")
	if err := f.KillEntry("entry-2"); err != nil {
		t.Fatal(err)
	}
	late.armed.Store(true)
	if err := f.StartEntry(t.Context(), "entry-2"); err != nil {
		t.Fatal(err)
	}
	<-late.read
	f.putCentre("jylland", config.DataCentreOut, time.Second)
	eventually(t, "the record is in force, at entry-2 through its peers", f.ConfigApplied)

	reverted := f.watchForReturn(stray)
	close(late.release)
	eventually(t, "the late list was taken in", late.taken.Load)
	records := []config.Record{{Key: old.Key, Revision: old.Revision, Raw: old.Value}}
	for _, m := range control.SplitRecords(records) {
		if err := stray.client.Send(m); err != nil {
			t.Fatal(err)
		}
	}
	f.Store.SetHistoryLimit(1) // after several writes, watches have to begin anew with a list
	for range 5 {
		f.put(config.KindModel, "medium", modelOf("1"))
	}
	eventually(t, "the last record is in force", f.ConfigApplied)
	for _, r := range reverted() {
		t.Error(r)
	}
}

// watchForReturn looks all the time whether a process treats the data centre as
// in service, because a process that reverts soon gets the newer record again.
// The returned function ends it.
func (f *fleet) watchForReturn(stray *strayEntry) func() []string {
	var stop atomic.Bool
	var watchers sync.WaitGroup
	found := make(chan string, 100)
	for name, e := range f.Entries {
		watchers.Go(func() {
			for !stop.Load() && !e.Entry.Ready() {
				time.Sleep(50 * time.Microsecond)
			}
			if !stop.Load() {
				found <- name + " is ready again"
			}
		})
	}
	watchers.Go(func() {
		for attempt := uint32(1); !stop.Load(); attempt++ {
			r := link.Request{RequestID: "stray", Attempt: attempt, Workspace: "brydemaatte", Model: "small", Version: "1"}
			_, _, err := stray.run(f.t.Context(), r)
			var refused *link.RefusedError
			if !errors.As(err, &refused) || refused.Refusal.Code != link.CodeDataCentreOut {
				found <- fmt.Sprintf("the agent answered %v", err)
				return
			}
		}
	})
	return func() []string {
		time.Sleep(300 * time.Millisecond) // messages of the stale peer arrive meanwhile
		stop.Store(true)
		watchers.Wait()
		close(found)
		return slices.Collect(func(yield func(string) bool) {
			for s := range found {
				if !yield(s) {
					return
				}
			}
		})
	}
}

// lateLists holds back the first list of the operators' records that one
// process reads after it was armed.
type lateLists struct {
	process       string
	armed, taken  atomic.Bool
	read, release chan struct{}
}

func (l *lateLists) wrap(process string, store dialect.Store) dialect.Store {
	if process != l.process {
		return store
	}
	return &lateStore{Store: store, lists: l}
}

type lateStore struct {
	dialect.Store
	lists *lateLists
}

func (s *lateStore) List(ctx context.Context, prefix string) ([]dialect.KV, uint64, error) {
	kvs, revision, err := s.Store.List(ctx, prefix)
	if prefix == config.RecordPrefix && s.lists.armed.CompareAndSwap(true, false) {
		close(s.lists.read)
		<-s.lists.release
		// The next call of the follower comes after it has taken in this list.
		go func() { time.Sleep(100 * time.Millisecond); s.lists.taken.Store(true) }()
	}
	return kvs, revision, err
}

// Guards against watches that hang for good and leave a process without news,
// and measures how long a record takes when the watches work.
func TestTimeUntilInForce(t *testing.T) {
	f := startFleet(t, oneCentre(engine("small-1", "small", 4, 0), engine("small-2", "small", 4, 0)))
	measure := func(weight float64) time.Duration {
		model := modelOf("1")
		model.Versions[0].Weight = weight
		accepted := time.Now()
		f.putInForce(config.KindModel, "medium", model)
		return time.Since(accepted)
	}
	longest := time.Duration(0)
	for i := range 10 {
		longest = max(longest, measure(float64(i+2)))
	}
	t.Logf("working watches: longest %v", longest)
	if longest > inForceTime {
		t.Errorf("took %v, want at most %v", longest, inForceTime)
	}
	f.Store.SetWatchesHang(true)
	time.Sleep(2500 * time.Millisecond) // the watches and a poll of every agent hang
	f.Store.SetWatchesHang(false)
	silent := measure(100)
	t.Logf("silent watches: %v", silent)
	if silent > inForceTime {
		t.Errorf("silent watches: took %v, want at most %v", silent, inForceTime)
	}
}

// Guards against a schema change that needs all writers and readers to change
// at once, and against a record of a newer build that switches a model off.
func TestSchemaVersionsSideBySide(t *testing.T) {
	spec := oneCentre(engine("small-1", "small", 4, 0), engine("medium-1", "medium", 4, 0))
	f := startFleet(t, spec)
	f.putRaw("small", `{"schema_version":1,"kind":"model","name":"small","writer":"old","change_id":"c1",
		"spec":{"versions":[{"version":"1","weight":1,"price":3}]}}`)
	f.putInForce(config.KindModel, "medium", modelOf("1"))
	served := func(when string) {
		t.Helper()
		for _, model := range []string{"small", "medium"} {
			for name := range f.Entries {
				if r := f.send(chat("", name, model, "x", false)); r.status != 200 {
					t.Errorf("%s: %s on %s: %d %s", when, model, name, r.status, r.body)
				}
			}
		}
	}
	served("schemas 1 and 2")
	f.putRaw("small", `{"schema_version":99,"kind":"model","name":"small","writer":"new","change_id":"c2",
		"spec":{"versions":"in another form"}}`)
	served("unknown schema")
	// A process that starts now finds only the unknown record in the store and
	// has the last known one from its peers.
	if err := f.KillEntry("entry-2"); err != nil {
		t.Fatal(err)
	}
	if err := f.StartEntry(t.Context(), "entry-2"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the entry has the last known record", func() bool {
		return f.send(chat("", "entry-2", "small", "x", false)).status == 200
	})
	f.putRaw("small", `{"schema_version":1,"kind":"model","name":"small","writer":"old","change_id":"c3",
		"spec":{"versions":[{"version":"1","withdrawn":true,"price":3}]}}`)
	f.checkWithdrawn("withdrawn in schema 1")
}

// putRaw writes a model record as another build would and waits until every
// process has it.
func (f *fleet) putRaw(name, raw string) {
	f.t.Helper()
	key := config.Key(config.KindModel, name)
	current, err := f.Store.Get(f.t.Context(), key)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.Store.CompareAndSwap(f.t.Context(), dialect.Write{Key: key, Value: []byte(raw), ExpectedRevision: current.Revision}); err != nil {
		f.t.Fatal(err)
	}
	eventually(f.t, "the record is in force", f.ConfigApplied)
}
