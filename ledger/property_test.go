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

// charging is one entry and two agents that hold the same rows. Messages between
// them are lost, doubled and delayed, and one of the three may stop for good.
type charging struct {
	t         *testing.T
	store     *faketest.Store
	entry     *Writer
	stopEntry context.CancelFunc
	agents    [2]chargingAgent
	gone      int       // index of the agent that stopped, or entryGone, or nobody
	received  []sentRow // by the entry
	inTransit []sentRow

	mu      sync.Mutex
	rng     *rand.Rand
	held    map[RowKey][]sentRow // the rows that the entry got of a charge
	reports [2][]RowRef          // on their way to the agents
}

type chargingAgent struct {
	writer *Writer
	holder *RowBuffer
	made   *RowSet
}

type sentRow struct {
	Row
	agent int
}

const (
	nobody    = -1
	entryGone = -2
)

func newCharging(t *testing.T, seed uint64) *charging {
	c := &charging{
		t: t, store: new(faketest.Store), rng: rand.New(rand.NewPCG(seed, 1)), gone: nobody, held: make(map[RowKey][]sentRow),
	}
	c.entry = NewWriter(c.store, "entry", nil)
	c.entry.OnDurable = c.report
	for i := range c.agents {
		w := NewWriter(c.store, fmt.Sprintf("agent-%d", i), nil)
		c.agents[i] = chargingAgent{writer: w, holder: NewRowBuffer(w), made: new(RowSet)}
	}
	ctx, stop := context.WithCancel(t.Context())
	c.stopEntry = stop
	go func() { _ = c.entry.Serve(ctx) }()
	return c
}

func (c *charging) random(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *charging) report(keys []RowKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range keys {
		for _, r := range c.held[k] {
			c.reports[r.agent] = append(c.reports[r.agent], r.Ref())
		}
		delete(c.held, k)
	}
}

// create lets an agent make a row, unless it has made one for the request: the
// entry tries an agent once.
func (c *charging) create(i int) {
	r := rowOf(uint16(c.random(1 << 16)))
	r.RequestID = fmt.Sprintf("r-%d", c.random(20))
	if _, made := c.agents[i].made.Get(r.Key()); made || c.gone == i {
		return
	}
	r.Attempt = fmt.Sprint(i)
	c.agents[i].made.Add(r)
	c.agents[i].holder.Hold("entry", r)
	c.inTransit = append(c.inTransit, sentRow{r, i})
}

// receive lets one message arrive at the entry, out of order.
func (c *charging) receive(pick int, again bool) {
	if len(c.inTransit) == 0 || c.gone == entryGone {
		return
	}
	pick %= len(c.inTransit)
	r := c.inTransit[pick]
	if !again {
		c.inTransit = append(c.inTransit[:pick:pick], c.inTransit[pick+1:]...)
	}
	c.received = append(c.received, r)
	c.mu.Lock()
	c.held[r.Key()] = append(c.held[r.Key()], r)
	c.mu.Unlock()
	c.entry.Add(r.Row)
}

// step does what a byte of the schedule says.
func (c *charging) step(b uint8) {
	arg := int(b >> 4)
	i := arg % 2
	a := c.agents[i]
	switch b & 15 {
	case 0, 1, 2, 3:
		c.create(i)
	case 4, 5, 6:
		c.receive(arg, arg == 15)
	case 7: // the messages on their way are lost
		c.inTransit = nil
	case 8, 9: // the reports to one agent arrive or are lost
		c.mu.Lock()
		refs := c.reports[i]
		c.reports[i] = nil
		c.mu.Unlock()
		if arg < 12 {
			a.holder.Release("entry", refs)
		}
	case 10, 11:
		time.Sleep(time.Duration(arg) * 100 * time.Millisecond)
	case 12: // from now on one call in arg fails
		c.store.OnCall(func(faketest.Call) faketest.Fault {
			time.Sleep(time.Duration(c.random(int(50 * time.Millisecond))))
			if arg == 0 || c.random(arg) > 0 {
				return faketest.Pass
			}
			return faketest.Fault(1 + c.random(int(faketest.Late)))
		})
	case 13: // the link is gone for 10 s: the agent writes the rows itself
		if c.gone != i {
			a.holder.HandOver("entry")
			_ = c.flush(a.writer, time.Second)
		}
	case 14:
		go func() { _ = Compact(c.t.Context(), c.store) }()
	case 15: // one of the three stops for good
		if c.gone != nobody || arg > 5 {
			return
		}
		if c.gone = arg%3 - 1; c.gone == nobody {
			c.gone = entryGone
			c.stopEntry()
		}
	}
}

func (c *charging) flush(w *Writer, limit time.Duration) error {
	ctx, stop := context.WithTimeout(c.t.Context(), limit)
	defer stop()
	return w.Flush(ctx)
}

// end lets the survivors write what they hold in a store without faults and
// compares. Rows that only the stopped agent held may be missing.
func (c *charging) end() string {
	c.store.OnCall(nil)
	defer time.Sleep(time.Minute) // until the Writer and the compactors have ended
	defer c.stopEntry()
	created, want := new(RowSet), new(RowSet)
	for _, r := range c.received {
		want.Add(r.Row)
	}
	for i, a := range c.agents {
		created.Merge(a.made)
		if i == c.gone {
			continue
		}
		want.Merge(a.made)
		a.holder.HandOver("entry")
		if err := c.flush(a.writer, time.Hour); err != nil {
			return err.Error()
		}
	}
	if c.gone != entryGone {
		if err := c.flush(c.entry, time.Hour); err != nil {
			return err.Error()
		}
	}
	time.Sleep(time.Minute)
	c.store.Deliver()
	got, err := Read(c.t.Context(), c.store)
	if err != nil {
		return err.Error()
	}
	for _, r := range got.Rows() {
		if all, ok := created.Get(r.Key()); !ok || compare(all, r) < 0 {
			return fmt.Sprintf("row %v was never created", r)
		}
		if c.gone >= 0 {
			want.Add(r) // the stopped agent may have written it
		}
	}
	return cmp.Diff(want.Rows(), got.Rows())
}

// Guards against charges that are lost, doubled or too small when both holders
// write, messages are lost, doubled and reordered, calls to the store fail, two
// compactors run, and one of the holders stops.
func TestBothHolders(t *testing.T) {
	properties := params(20261204, 500)
	properties.Property("the store holds the merge of all rows", prop.ForAll(func(schedule []uint8, seed uint64) (diff string) {
		synctest.Test(t, func(t *testing.T) {
			c := newCharging(t, seed)
			for _, b := range schedule {
				c.step(b)
				synctest.Wait()
			}
			diff = c.end()
		})
		return diff
	}, gen.SliceOfN(150, gen.UInt8()), gen.UInt64()))
	properties.TestingRun(t)
}
