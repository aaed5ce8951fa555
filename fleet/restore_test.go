package fleet

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// operatorDecoder decodes "e/DC" into an evacuation, "o/SERVICE" into an order for the
// version that is the value, and "st/SERVICE" into the status "TARGET OUTCOME", besides the
// keys of testDecoder.
type operatorDecoder struct{ testDecoder }

func (d operatorDecoder) Decode(item Item, now time.Time) (Update, error) {
	kind, name, _ := strings.Cut(item.Key, "/")
	switch kind {
	case "e":
		return EvacuationUpdate{DataCentre: name, OutOfService: !item.Deleted}, nil
	case "o":
		if item.Deleted {
			return OrderRemoved{Service: name}, nil
		}
		return OrderUpdate{Order{Service: name, Target: string(item.Value), Duration: 20 * time.Second, Revision: item.Revision}}, nil
	case "st":
		status := Status{Service: name, Revision: item.Revision}
		if target, outcome, ok := strings.Cut(string(item.Value), " "); ok && !item.Deleted {
			status.Target, status.Outcome = target, Outcome(outcome)
		}
		return StatusUpdate{status}, nil
	}
	return d.testDecoder.Decode(item, now)
}

// goingBackStore is a store that keeps copies of itself and can go back to one.
type goingBackStore struct {
	era, revision int64
	items         map[string]Item
}

func newGoingBackStore() *goingBackStore {
	return &goingBackStore{era: 1, revision: 1, items: make(map[string]Item)}
}

func (s *goingBackStore) write(key, value string) Item {
	s.revision++
	s.items[key] = Item{Key: key, Value: []byte(value), Revision: RevisionInEra(s.era, s.revision)}
	return s.items[key]
}

func (s *goingBackStore) remove(key string) Item {
	s.revision++
	delete(s.items, key)
	return Item{Key: key, Revision: RevisionInEra(s.era, s.revision), Deleted: true}
}

func (s *goingBackStore) copy() *goingBackStore {
	c := &goingBackStore{era: s.era, revision: s.revision, items: make(map[string]Item)}
	for key, item := range s.items {
		c.items[key] = item
	}
	return c
}

// goBack replaces the state by that of a copy.
func (s *goingBackStore) goBack(to *goingBackStore) {
	era := s.era + 1
	*s = *to.copy()
	s.era = era
	for key, item := range s.items {
		item.Revision = RevisionInEra(era, StoreRevision(item.Revision))
		s.items[key] = item
	}
}

func (s *goingBackStore) list(prefix string) (items []Item, revision int64) {
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	return items, RevisionInEra(s.era, s.revision)
}

// describe returns what a view says about the keys of the tests.
func describe(v *View) string {
	var parts []string
	if v.Config != nil {
		parts = append(parts, fmt.Sprintf("config %d", v.Config.Version))
	}
	if server := v.Servers["a"]; server != nil && server.Draining {
		parts = append(parts, "a drains")
	} else if server != nil {
		parts = append(parts, "a ready")
	}
	if v.OutOfService["fyn"] {
		parts = append(parts, "fyn out")
	}
	if r, ok := v.Rollout("app"); ok {
		parts = append(parts, r.Target+" "+string(r.Outcome))
	}
	return strings.Join(parts, ", ")
}

// Guards against changes that an entry knows and the store has lost, and that are undone
// before their writers make them again, or kept forever.
func TestLostChanges(t *testing.T) {
	type step = func(*goingBackStore) Item
	write := func(key, value string) step { return func(s *goingBackStore) Item { return s.write(key, value) } }
	remove := func(key string) step { return func(s *goingBackStore) Item { return s.remove(key) } }
	for _, c := range []struct {
		name string
		// kept and lost are the changes before and after the copy; again are those that
		// are made after the store has gone back and the entry has listed it.
		kept, lost, again []step
		// listed, settled and rewritten are the views after the listing, after the grace
		// without another change, and after again.
		listed, settled, rewritten string
	}{
		{"configuration", []step{write("c", "3")}, []step{write("c", "5")}, []step{write("c", "5"), write("c", "6")},
			"config 5", "config 5", "config 6"},
		{"evacuation", nil, []step{write("e/fyn", "")}, []step{write("e/fyn", "")}, "fyn out", "", "fyn out"},
		{"evacuation taken back", []step{write("e/fyn", "")}, []step{remove("e/fyn")}, []step{remove("e/fyn")}, "fyn out", "fyn out", ""},
		{"server that leaves", []step{write("s/a", "ready")}, []step{write("s/a", "draining")}, []step{write("s/a", "draining")},
			"a drains", "a ready", "a drains"},
		{"server that is gone", []step{write("s/a", "ready")}, []step{remove("s/a")}, []step{remove("s/a")}, "", "a ready", ""},
		{"new server", nil, []step{write("s/a", "ready")}, []step{write("s/a", "ready")}, "a ready", "", "a ready"},
		{"new server that leaves at once", nil, []step{write("s/a", "ready")}, []step{write("s/a", "draining")}, "a ready", "", "a drains"},
		{"order", nil, []step{write("o/app", "v2")}, []step{write("o/app", "v2")}, "v2 in_progress", "", "v2 in_progress"},
		{"order and its outcome", nil, []step{write("o/app", "v2"), write("st/app", "v2 completed")}, []step{write("o/app", "v2")},
			"v2 completed", "", "v2 completed"},
		{"outcome", []step{write("o/app", "v2"), write("st/app", "v2 in_progress")}, []step{write("st/app", "v2 rolled_back")},
			[]step{write("st/app", "v2 in_progress")}, "v2 rolled_back", "v2 rolled_back", "v2 rolled_back"},
		{"order withdrawn", []step{write("o/app", "v2")}, []step{remove("o/app")}, []step{remove("o/app")}, "", "v2 in_progress", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			play := func(settle bool) string {
				clock := &clock{now: time.Unix(1000, 0)}
				state := NewState(operatorDecoder{}, clock.Now, "")
				store := newGoingBackStore()
				apply := func(steps []step) {
					for _, change := range steps {
						state.Apply([]Item{change(store)})
					}
				}
				apply(c.kept)
				copied := store.copy()
				apply(c.lost)
				store.goBack(copied)
				state.StoreRecovered()
				items, revision := store.list("")
				state.Replace("", items, revision)
				if got := describe(state.View()); got != c.listed {
					t.Errorf("after the listing: %q, want %q", got, c.listed)
				}
				if settle {
					clock.Add(restoreGrace)
				} else {
					clock.Add(time.Second)
					apply(c.again)
					clock.Add(10 * time.Second)
				}
				return describe(state.View())
			}
			if got := play(true); got != c.settled {
				t.Errorf("after the grace: %q, want %q", got, c.settled)
			}
			if got := play(false); got != c.rewritten {
				t.Errorf("when written again: %q, want %q", got, c.rewritten)
			}
		})
	}
}

// Guards against the status of a new rollout that is taken for an earlier copy of the last
// one's, so that the entries publish it again and again.
func TestStatusOfNewRolloutAfterLostOutcome(t *testing.T) {
	for _, outcome := range []Outcome{InProgress, Completed, RolledBack} {
		clock := &clock{now: time.Unix(1000, 0)}
		state := NewState(operatorDecoder{}, clock.Now, "")
		store := newGoingBackStore()
		state.Apply([]Item{store.write("o/app", "v2"), store.write("st/app", "v2 in_progress")})
		copied := store.copy()
		state.Apply([]Item{store.write("st/app", "v2 completed")})
		store.goBack(copied)
		items, revision := store.list("")
		state.Replace("", items, revision)
		if !state.Lost("st/app") || describe(state.View()) != "v2 completed" {
			t.Fatalf("the outcome is not kept: %q", describe(state.View()))
		}
		state.Apply([]Item{store.write("o/app", "v3"), store.write("st/app", "v3 "+string(outcome))})
		if got, want := describe(state.View()), "v3 "+string(outcome); got != want || state.Lost("st/app") {
			t.Errorf("%q, lost %v; want %q", got, state.Lost("st/app"), want)
		}
	}
}

// Guards against an entry that differs from the store for good after it has gone back
// several times, whatever the order of changes, copies, listings and peers' news.
func TestEntriesConvergeAfterStoreGoesBack(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 27))
		clock := &clock{now: time.Unix(1000, 0)}
		newState := func() *State { return NewState(operatorDecoder{}, clock.Now, "") }
		store := newGoingBackStore()
		states := []*State{newState(), newState(), newState()}
		list := func(state *State) {
			items, revision := store.list("")
			state.Replace("", items, revision)
		}
		version := 1
		change := func() Item {
			switch rng.IntN(6) {
			case 0:
				version++
				return store.write("c", fmt.Sprint(version))
			case 1:
				return store.write("e/fyn", "")
			case 2:
				return store.remove("e/fyn")
			case 3:
				return store.write("s/a", []string{"ready", "cold"}[rng.IntN(2)])
			case 4:
				return store.remove("s/a")
			}
			return store.write("o/app", fmt.Sprintf("v%d", rng.IntN(3)))
		}
		for range 2 {
			copied := store.copy()
			for range 1 + rng.IntN(12) {
				event := change()
				for _, state := range states {
					if rng.IntN(4) > 0 {
						state.Apply([]Item{event}) // the others learn of it from a listing
					}
				}
				if rng.IntN(4) == 0 {
					copied = store.copy()
				}
			}
			store.goBack(copied)
			if rng.IntN(2) == 0 {
				states[rng.IntN(len(states))] = newState() // an entry restarts
			}
			for _, state := range states {
				state.StoreRecovered()
			}
			for range rng.IntN(4) {
				event := change()
				states[rng.IntN(len(states))].Apply([]Item{event})
			}
			from, to := rng.IntN(len(states)), rng.IntN(len(states))
			states[to].Merge(states[from].ChangesSince(states[to].CompleteRevision()))
			for _, state := range states {
				list(state)
			}
		}
		// The operator writes the newest configuration again.
		event := store.write("c", fmt.Sprint(version+1))
		for _, state := range states {
			state.Apply([]Item{event})
		}
		clock.Add(restoreGrace + leaseExpiryGrace)
		fresh := newState()
		list(fresh)
		want := describe(fresh.View())
		for i, state := range states {
			list(state)
			clock.Add(restoreGrace + leaseExpiryGrace)
			if got := describe(state.View()); got != want {
				t.Fatalf("seed %d: entry %d has %q, the store has %q", seed, i, got, want)
			}
		}
	}
}

// Guards against revisions of different eras that are taken for the same, and against an
// era that does not fit.
func TestRevisionsOfEras(t *testing.T) {
	before, after := RevisionInEra(1, 38), RevisionInEra(2, 33)
	if after <= before || Era(after) != 2 || StoreRevision(after) != 33 || RevisionInEra(2, 38) == before {
		t.Errorf("%d and %d", before, after)
	}
	if RevisionInEra(7, 0) != 0 || Era(RevisionInEra(MaxEra, 1)) != MaxEra {
		t.Error("limits of revisions")
	}
}
