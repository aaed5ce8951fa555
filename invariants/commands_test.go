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

// gatedCommands can pause an agent right before it sends a command, and counts
// the loads that run at once.
type gatedCommands struct {
	dialect.Engine
	gate *commandGate
}

type commandGate struct {
	mu      sync.Mutex
	loads   int
	peak    int
	total   int
	hold    time.Duration // length of a load
	paused  chan struct{} // receives when a command waits
	release chan struct{} // closed to let it go on; nil when commands do not wait
}

func (g *commandGate) wrap(_ string, engine dialect.Engine) dialect.Engine {
	return &gatedCommands{Engine: engine, gate: g}
}

func (e *gatedCommands) Order(ctx context.Context, o dialect.Order) error {
	g := e.gate
	if g.release != nil {
		select {
		case g.paused <- struct{}{}:
		default:
		}
		<-g.release
	}
	if o.Action == "load" {
		g.mu.Lock()
		g.loads++
		g.total++
		g.peak = max(g.peak, g.loads)
		g.mu.Unlock()
		time.Sleep(g.hold)
		defer func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.loads--
		}()
	}
	return e.Engine.Order(ctx, o)
}

// pausedStore pauses the agent at its call for a load permit, which comes
// between its decision and its command.
type pausedStore struct {
	dialect.Store
	gate *commandGate
}

func (s *pausedStore) Grant(ctx context.Context, ttl time.Duration) (dialect.Lease, error) {
	select {
	case s.gate.paused <- struct{}{}:
		<-s.gate.release
	default:
	}
	return s.Store.Grant(ctx, ttl)
}

func serving(name string, checksFencing bool, versions ...string) func(*fleet) *config.BackendServer {
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

var second = dialect.ModelRef{Model: "small", Version: "2"}

// Guards against an agent that was paused between its decision and its command
// and then undoes what its successor did on a newer record: with an engine that
// compares the fencing numbers the pause is right before the command, with one
// that ignores them before the agent reads the record again.
func TestPausedAgentGivesNoOldCommand(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("engine checks the number: %t", checks), func(t *testing.T) {
			gate := &commandGate{paused: make(chan struct{}, 1), release: make(chan struct{})}
			spec := oneCentre(engine("small-1", "small", 4, 0))
			spec.Backends[0].Engine.ChecksFencing = checks
			if checks {
				spec.Engine = gate.wrap
			} else {
				spec.Store = func(process string, store dialect.Store) dialect.Store {
					if process != "small-1" {
						return store
					}
					return &pausedStore{Store: store, gate: gate}
				}
			}
			f := startFleet(t, spec)
			f.putInForce(config.KindModel, "small", modelOf("1", "2"))
			f.put(config.KindBackendServer, "small-1", serving("small-1", checks, "1", "2")(f))
			<-gate.paused // on its way to load version 2

			// The record changes, and a successor acts on it.
			f.put(config.KindBackendServer, "small-1", serving("small-1", checks, "1")(f))
			b := f.Backends["small-1"]
			newer, err := f.Store.Get(t.Context(), config.Key(config.KindBackendServer, "small-1"))
			if err != nil {
				t.Fatal(err)
			}
			b.Engine.Apply(dialect.Order{Fencing: newer.Revision, Action: "unload", Target: second})
			close(gate.release)

			// The next order of the agent shows that the old one is over.
			f.put(config.KindBackendServer, "small-1", serving("small-1", checks, "1", "3")(f))
			eventually(t, "the agent acts on the newest record", func() bool {
				return slices.Contains(b.Engine.Status().Loaded, dialect.ModelRef{Model: "small", Version: "3"})
			})
			for _, o := range b.Engine.Record().Orders {
				if o.Action == "load" && o.Target == second {
					t.Errorf("the engine obeyed the old command: %+v", o)
				}
			}
		})
	}
}

// Guards against more loads at once than the weight store bears.
func TestLoadsTakePermits(t *testing.T) {
	const permits, engines = 4, 9
	gate := &commandGate{hold: 150 * time.Millisecond}
	spec := oneCentre()
	for i := range engines {
		spec.Backends = append(spec.Backends, engine(fmt.Sprintf("small-%d", i+1), "small", 4, 0))
	}
	spec.Engine = gate.wrap
	f := startFleet(t, spec)
	f.putInForce(config.KindModel, "small", modelOf("1", "2"))
	for i := range engines {
		name := fmt.Sprintf("small-%d", i+1)
		f.put(config.KindBackendServer, name, serving(name, true, "1", "2")(f))
	}
	eventually(t, "all engines have loaded the version", func() bool {
		for _, b := range f.Backends {
			if b.Engine != nil && !slices.Contains(b.Engine.Status().Loaded, second) {
				return false
			}
		}
		return true
	})
	gate.mu.Lock()
	defer gate.mu.Unlock()
	t.Logf("%d loads, at most %d at once", gate.total, gate.peak)
	if gate.peak > permits {
		t.Errorf("%d loads at once, want at most %d", gate.peak, permits)
	}
	if gate.total != engines {
		t.Errorf("%d loads for %d engines", gate.total, engines)
	}
}
