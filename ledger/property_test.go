package ledger

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hyssoploom/internal/faketest"
)

// simulation runs one entry and two agents that hold copies of the same rows.
// Messages between them are lost, duplicated and delayed, and one of the three
// processes may stop permanently.
type simulation struct {
	t         *testing.T
	store     *faketest.Store
	entry     *Writer
	stopEntry context.CancelFunc
	agents    [2]simulatedAgent
	stopped   int       // index of the stopped agent, or entryStopped or noneStopped
	received  []sentRow // by the entry
	inTransit []sentRow // from agents to the entry

	mu            sync.Mutex
	rng           *rand.Rand
	receivedByKey map[RowKey][]sentRow // received rows not yet reported durable
	reports       [2][]RowRef          // in transit to the agents
}

type simulatedAgent struct {
	writer    *Writer
	buffer    *RowBuffer
	generated *RowSet
}

type sentRow struct {
	Row
	agent int
}

const (
	noneStopped  = -1
	entryStopped = -2
)

func newSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{
		t: t, store: new(faketest.Store), rng: rand.New(rand.NewPCG(seed, 1)), stopped: noneStopped, receivedByKey: make(map[RowKey][]sentRow),
	}
	sim.entry = NewWriter(sim.store, "entry", nil)
	sim.entry.OnDurable = sim.reportDurable
	for i := range sim.agents {
		w := NewWriter(sim.store, fmt.Sprintf("agent-%d", i), nil)
		sim.agents[i] = simulatedAgent{writer: w, buffer: NewRowBuffer(w), generated: new(RowSet)}
	}
	ctx, stop := context.WithCancel(t.Context())
	sim.stopEntry = stop
	go func() { _ = sim.entry.Serve(ctx) }()
	return sim
}

func (sim *simulation) random(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rng.IntN(n)
}

func (sim *simulation) reportDurable(keys []RowKey) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, k := range keys {
		for _, r := range sim.receivedByKey[k] {
			sim.reports[r.agent] = append(sim.reports[r.agent], r.Ref())
		}
		delete(sim.receivedByKey, k)
	}
}

// createRow lets an agent create a row, unless it already has one with the same
// key: an entry sends a request to an agent at most once.
func (sim *simulation) createRow(i int) {
	r := rowFromBits(uint16(sim.random(1 << 16)))
	r.RequestID = fmt.Sprintf("r-%d", sim.random(20))
	if _, generated := sim.agents[i].generated.Get(r.Key()); generated || sim.stopped == i {
		return
	}
	r.Attempt = fmt.Sprint(i)
	sim.agents[i].generated.Add(r)
	sim.agents[i].buffer.Hold("entry", r)
	sim.inTransit = append(sim.inTransit, sentRow{r, i})
}

// deliverRow delivers one message to the entry, out of order and possibly as a
// duplicate.
func (sim *simulation) deliverRow(pick int, duplicate bool) {
	if len(sim.inTransit) == 0 || sim.stopped == entryStopped {
		return
	}
	pick %= len(sim.inTransit)
	r := sim.inTransit[pick]
	if !duplicate {
		sim.inTransit = append(sim.inTransit[:pick:pick], sim.inTransit[pick+1:]...)
	}
	sim.received = append(sim.received, r)
	sim.mu.Lock()
	sim.receivedByKey[r.Key()] = append(sim.receivedByKey[r.Key()], r)
	sim.mu.Unlock()
	sim.entry.Add(r.Row)
}

// step runs the event that a byte of the schedule encodes.
func (sim *simulation) step(b uint8) {
	arg := int(b >> 4)
	i := arg % 2
	a := sim.agents[i]
	switch b & 15 {
	case 0, 1, 2, 3:
		sim.createRow(i)
	case 4, 5, 6:
		sim.deliverRow(arg, arg == 15)
	case 7: // the messages in transit are lost
		sim.inTransit = nil
	case 8, 9: // the reports to one agent arrive or are lost
		sim.mu.Lock()
		refs := sim.reports[i]
		sim.reports[i] = nil
		sim.mu.Unlock()
		if arg < 12 {
			a.buffer.Release("entry", refs)
		}
	case 10, 11:
		time.Sleep(time.Duration(arg) * 100 * time.Millisecond)
	case 12: // from now on calls are delayed, and one in arg fails
		sim.store.OnCall(func(faketest.Call) faketest.Fault {
			time.Sleep(time.Duration(sim.random(int(50 * time.Millisecond))))
			if arg == 0 || sim.random(arg) > 0 {
				return faketest.Pass
			}
			return faketest.Fault(1 + sim.random(int(faketest.DelayWrite)))
		})
	case 13: // the link has been lost for 10 s: the agent writes the rows itself
		if sim.stopped != i {
			a.buffer.HandOver("entry")
			_ = sim.flush(a.writer, time.Second)
		}
	case 14:
		go func() { _ = Compact(sim.t.Context(), sim.store) }()
	case 15: // one of the three processes stops permanently
		if sim.stopped != noneStopped || arg > 5 {
			return
		}
		if sim.stopped = arg%3 - 1; sim.stopped == noneStopped {
			sim.stopped = entryStopped
			sim.stopEntry()
		}
	}
}

func (sim *simulation) flush(w *Writer, limit time.Duration) error {
	ctx, stop := context.WithTimeout(sim.t.Context(), limit)
	defer stop()
	return w.Flush(ctx)
}

// finish lets the running processes write their rows to the store without faults
// and compares the result with the rows created. Rows that only the stopped agent
// held may be missing.
func (sim *simulation) finish() string {
	sim.store.OnCall(nil)
	defer time.Sleep(time.Minute) // until the Writer and the compactors have ended
	defer sim.stopEntry()
	created, want := new(RowSet), new(RowSet)
	for _, r := range sim.received {
		want.Add(r.Row)
	}
	for i, a := range sim.agents {
		created.Merge(a.generated)
		if i == sim.stopped {
			continue
		}
		want.Merge(a.generated)
		a.buffer.HandOver("entry")
		if err := sim.flush(a.writer, time.Hour); err != nil {
			return err.Error()
		}
	}
	if sim.stopped != entryStopped {
		if err := sim.flush(sim.entry, time.Hour); err != nil {
			return err.Error()
		}
	}
	time.Sleep(time.Minute)
	sim.store.ApplyDelayed()
	got, err := Read(sim.t.Context(), sim.store)
	if err != nil {
		return err.Error()
	}
	for _, r := range got.Rows() {
		if all, ok := created.Get(r.Key()); !ok || compareRows(all, r) < 0 {
			return fmt.Sprintf("row %v was never created", r)
		}
		if sim.stopped >= 0 {
			want.Add(r) // the stopped agent may have written it
		}
	}
	return cmp.Diff(want.Rows(), got.Rows())
}

// Guards against charges that are lost, duplicated or too small when entry and
// agents both write, messages are lost, duplicated and reordered, store calls
// fail, compactions run concurrently, and one process stops.
func TestBothHolders(t *testing.T) {
	properties := newProperties(20261204, 500)
	properties.Property("the store holds the merge of all rows", prop.ForAll(func(schedule []uint8, seed uint64) (diff string) {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t, seed)
			for _, b := range schedule {
				sim.step(b)
				synctest.Wait()
			}
			diff = sim.finish()
		})
		return diff
	}, gen.SliceOfN(150, gen.UInt8()), gen.UInt64()))
	properties.TestingRun(t)
}
