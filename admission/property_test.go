package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// ticketState is the state of one ticket as the caller sees it.
type ticketState int

const (
	stateNew ticketState = iota
	stateQueued
	stateRunning
	stateEnded // done, dropped or refused
)

// model applies random events to a controller and checks each effect.
type model struct {
	c       *Controller
	now     time.Duration
	states  map[uint64]ticketState
	running []uint64
	queued  []uint64
	problem string
}

func (m *model) failf(format string, args ...any) {
	if m.problem == "" {
		m.problem = fmt.Sprintf(format, args...)
	}
}

func (m *model) transition(id uint64, from, to ticketState) {
	if m.states[id] != from {
		m.failf("ticket %d: transition from state %d to %d, want from state %d", id, m.states[id], to, from)
	}
	m.states[id] = to
}

// applyChanges checks that an event starts no ticket above the limit and none
// twice.
func (m *model) applyChanges(ch Changes) {
	for _, d := range ch.Drop {
		m.transition(d.ID, stateQueued, stateEnded)
	}
	for _, id := range ch.Start {
		m.transition(id, stateQueued, stateRunning)
		m.running = append(m.running, id)
	}
	r := m.c.Report()
	if len(ch.Start) > 0 && len(m.running) > r.Limit {
		m.failf("%d running above limit %d after a start", len(m.running), r.Limit)
	}
	if len(m.running) != r.Running {
		m.failf("%d running, report says %d", len(m.running), r.Running)
	}
	waits := 0
	for _, l := range m.states {
		if l == stateQueued {
			waits++
		}
	}
	if waits != r.Queued || waits != len(m.c.queued) {
		m.failf("%d queued, report says %d", waits, r.Queued)
	}
}

func (m *model) arrive(rng *rand.Rand, id uint64) {
	t := Ticket{ID: id, Workspace: fmt.Sprint(rng.IntN(3)), Weight: float64(rng.IntN(3)), Priority: rng.IntN(3)}
	if rng.IntN(2) == 0 {
		t.Deadline = m.now + time.Duration(rng.IntN(300))*ms
	}
	v := m.c.Arrive(m.now, t)
	switch v.Outcome {
	case Run:
		m.states[id] = stateRunning
		m.running = append(m.running, id)
		if len(m.running) > m.c.Report().Limit {
			m.failf("%d running above limit %d after an arrival", len(m.running), m.c.Report().Limit)
		}
	case Queued:
		m.states[id] = stateQueued
		m.queued = append(m.queued, id)
	default:
		m.states[id] = stateEnded
	}
	m.applyChanges(Changes{Drop: v.Drop})
}

// endRandomRequest ends a random running request with a random result.
func (m *model) endRandomRequest(rng *rand.Rand) {
	if len(m.running) == 0 {
		return
	}
	i := rng.IntN(len(m.running))
	id := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.states[id] = stateEnded
	kind := rng.IntN(12)
	m.applyChanges(m.c.Done(m.now, Result{ID: id, OK: kind > 1, RefusedConnection: kind == 0, Overloaded: kind == 1,
		FirstToken: time.Duration(50+rng.IntN(100)) * ms}))
}

// randomEvent applies one random event.
func (m *model) randomEvent(rng *rand.Rand, id uint64) {
	m.now += time.Duration(rng.IntN(20)) * ms
	switch kind := rng.IntN(40); {
	case kind < 16:
		m.arrive(rng, id)
	case kind < 32:
		m.endRandomRequest(rng)
	case kind < 34 && len(m.queued) > 0:
		m.applyChanges(m.c.Cancel(m.now, m.queued[rng.IntN(len(m.queued))]))
	case kind < 36 && len(m.running) > 0:
		m.applyChanges(m.c.FirstToken(m.now, m.running[rng.IntN(len(m.running))]))
	case kind == 36:
		m.applyChanges(m.c.EngineStatus(m.now, fmt.Sprint(rng.IntN(2)), m.now))
	case kind == 37:
		m.c.SetLimits(rng.IntN(4), rng.IntN(12))
	case kind == 38 && rng.IntN(10) == 0:
		m.applyChanges(m.c.Drain(m.now))
		m.c.Resume()
	default:
		m.applyChanges(m.c.Expire(m.now))
	}
}

// finish ends all requests and checks that no ticket is left.
func (m *model) finish() {
	for len(m.running) > 0 && m.problem == "" {
		id := m.running[0]
		m.running = m.running[1:]
		m.states[id] = stateEnded
		m.applyChanges(m.c.Done(m.now, Result{ID: id, OK: true}))
	}
	for id, l := range m.states {
		if l != stateEnded {
			m.failf("ticket %d is left in state %d", id, l)
		}
	}
}

// TestRandomEvents guards against exceeding the limit, and against a ticket that is
// lost, started twice, or both started and dropped, in random sequences of events.
func TestRandomEvents(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("limit holds and each ticket ends once", prop.ForAll(
		func(seed uint64, cold, warm, queue int) string {
			rng := rand.New(rand.NewPCG(seed, 1))
			m := &model{c: New(Config{ColdLimit: cold, WarmLimit: warm, QueueLimit: queue, WarmAfter: 3}), states: map[uint64]ticketState{}}
			for id := uint64(1); id <= 300 && m.problem == ""; id++ {
				m.randomEvent(rng, id)
			}
			m.finish()
			return m.problem
		}, gen.UInt64(), gen.IntRange(0, 4), gen.IntRange(0, 12), gen.IntRange(0, 6)))
	properties.TestingRun(t)
}

// TestFairnessBound guards against a workspace that gets less than its share. While
// two workspaces both have waiting requests, their numbers of starts divided by
// their weights differ by at most one request of each, plus the burst credit of the
// workspace that arrived second.
func TestFairnessBound(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("starts follow weights", prop.ForAll(
		func(weightA, weightB, limit, starts int) bool {
			c := New(Config{ColdLimit: limit, WarmLimit: limit, QueueLimit: 64})
			weights := []float64{float64(weightA), float64(weightB)}
			owner, served, queued := map[uint64]int{}, [2]float64{}, [2]int{}
			id := uint64(0)
			var running []uint64
			for n := 0; n < starts; {
				for w := range weights {
					for queued[w] < 4 {
						id++
						owner[id] = w
						if c.Arrive(0, Ticket{ID: id, Workspace: fmt.Sprint(w), Weight: weights[w]}).Outcome == Run {
							running = append(running, id)
							continue // free slots go to the first to arrive
						}
						queued[w]++
					}
				}
				ch := c.Done(0, Result{ID: running[0]})
				running = append(running[1:], ch.Start...)
				for _, s := range ch.Start {
					served[owner[s]]++
					queued[owner[s]]--
					n++
				}
			}
			// The slots that workspace 0 got before workspace 1 arrived count
			// against it.
			gap := served[0]/weights[0] - served[1]/weights[1]
			bound := 1/weights[0] + 1/weights[1]
			return gap <= bound && gap >= -bound-float64(limit)/weights[0]-burstCredit/weights[1]
		}, gen.IntRange(1, 8), gen.IntRange(1, 8), gen.IntRange(1, 8), gen.IntRange(1, 200)))
	properties.TestingRun(t)
}
