package invariants

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"hyssoploom/config"
	"hyssoploom/dialect"
)

// pausableEngine can pause an agent right before it sends a command, and counts
// concurrent loads.
type pausableEngine struct {
	dialect.Engine
	gate *commandGate
}

// commandGate pauses and counts the commands of pausable engines.
type commandGate struct {
	mu           sync.Mutex
	runningLoads int
	peakLoads    int
	totalLoads   int
	loadTime     time.Duration // simulated duration of a load
	paused       chan struct{} // receives a value when a command is paused
	resume       chan struct{} // closed to resume; nil when commands are not paused
}

func (g *commandGate) wrap(_ string, engine dialect.Engine) dialect.Engine {
	return &pausableEngine{Engine: engine, gate: g}
}

func (e *pausableEngine) Order(ctx context.Context, o dialect.Order) error {
	g := e.gate
	if g.resume != nil {
		select {
		case g.paused <- struct{}{}:
		default:
		}
		<-g.resume
	}
	if o.Action == "load" {
		g.mu.Lock()
		g.runningLoads++
		g.totalLoads++
		g.peakLoads = max(g.peakLoads, g.runningLoads)
		g.mu.Unlock()
		time.Sleep(g.loadTime)
		defer func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.runningLoads--
		}()
	}
	return e.Engine.Order(ctx, o)
}

// pausableStore pauses the agent when it requests a load permit, which is after its
// decision and before its command.
type pausableStore struct {
	dialect.Store
	gate *commandGate
}

func (s *pausableStore) Grant(ctx context.Context, ttl time.Duration) (dialect.Lease, error) {
	select {
	case s.gate.paused <- struct{}{}:
		<-s.gate.resume
	default:
	}
	return s.Store.Grant(ctx, ttl)
}

func servingRecord(name string, checksFencing bool, versions ...string) func(*fleet) *config.BackendServer {
	return func(f *fleet) *config.BackendServer {
		record := f.Backends[name].Record(config.BackendServerIn)
		record.ChecksFencing = checksFencing
		record.Serves = nil
		for _, v := range versions {
			record.Serves = append(record.Serves, config.Placement{Model: "small", Version: v})
		}
		return record
	}
}

var smallVersion2 = dialect.ModelRef{Model: "small", Version: "2"}

// Guards against an agent that is paused between its decision and its command and then
// undoes what its successor did on a newer record. With an engine that checks fencing
// numbers the pause is right before the command; with one that ignores them it is
// before the agent reads the record again.
func TestPausedAgentSendsNoStaleCommand(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("engine checks fencing: %t", checksFencing), func(t *testing.T) {
			gate := &commandGate{paused: make(chan struct{}, 1), resume: make(chan struct{})}
			spec := oneDataCentreSpec(engineSpec("small-1", "small", 4, 0))
			spec.Backends[0].Engine.ChecksFencing = checksFencing
			if checksFencing {
				spec.Engine = gate.wrap
			} else {
				spec.Store = func(process string, store dialect.Store) dialect.Store {
					if process != "small-1" {
						return store
					}
					return &pausableStore{Store: store, gate: gate}
				}
			}
			f := startFleet(t, spec)
			f.putAndWait(config.KindModel, "small", activeModel("1", "2"))
			f.put(config.KindBackendServer, "small-1", servingRecord("small-1", checksFencing, "1", "2")(f))
			<-gate.paused // the agent is about to load version 2

			// The record changes, and a successor acts on the change.
			f.put(config.KindBackendServer, "small-1", servingRecord("small-1", checksFencing, "1")(f))
			b := f.Backends["small-1"]
			newer, err := f.Store.Get(t.Context(), config.Key(config.KindBackendServer, "small-1"))
			if err != nil {
				t.Fatal(err)
			}
			b.Engine.Apply(dialect.Order{Fencing: newer.Revision, Action: "unload", Target: smallVersion2})
			close(gate.resume)

			// The agent's next order shows that the old one has completed or was
			// dropped.
			f.put(config.KindBackendServer, "small-1", servingRecord("small-1", checksFencing, "1", "3")(f))
			eventually(t, "the agent acts on the newest record", func() bool {
				return slices.Contains(b.Engine.Status().Loaded, dialect.ModelRef{Model: "small", Version: "3"})
			})
			for _, o := range b.Engine.Record().Orders {
				if o.Action == "load" && o.Target == smallVersion2 {
					t.Errorf("the engine executed the stale command: %+v", o)
				}
			}
		})
	}
}

// Guards against more concurrent loads than the weight store can handle.
func TestLoadsTakePermits(t *testing.T) {
	const permits, engines = 4, 9
	gate := &commandGate{loadTime: 150 * time.Millisecond}
	spec := oneDataCentreSpec()
	for i := range engines {
		spec.Backends = append(spec.Backends, engineSpec(fmt.Sprintf("small-%d", i+1), "small", 4, 0))
	}
	spec.Engine = gate.wrap
	f := startFleet(t, spec)
	f.putAndWait(config.KindModel, "small", activeModel("1", "2"))
	for i := range engines {
		name := fmt.Sprintf("small-%d", i+1)
		f.put(config.KindBackendServer, name, servingRecord(name, true, "1", "2")(f))
	}
	eventually(t, "all engines have loaded the version", func() bool {
		for _, b := range f.Backends {
			if b.Engine != nil && !slices.Contains(b.Engine.Status().Loaded, smallVersion2) {
				return false
			}
		}
		return true
	})
	gate.mu.Lock()
	defer gate.mu.Unlock()
	t.Logf("%d loads, at most %d at once", gate.totalLoads, gate.peakLoads)
	if gate.peakLoads > permits {
		t.Errorf("%d loads at once, want at most %d", gate.peakLoads, permits)
	}
	if gate.totalLoads != engines {
		t.Errorf("%d loads for %d engines", gate.totalLoads, engines)
	}
}
