package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// recordingStore is a store that remembers what it contained at each revision.
type recordingStore struct {
	*goingBackStore
	events    []Item                      // since the last compaction
	compacted int64                       // watches from earlier revisions fail
	contents  map[int64]map[string]string // by revision: value by key
}

func newRecordingStore() *recordingStore {
	s := &recordingStore{goingBackStore: newGoingBackStore(), contents: make(map[int64]map[string]string)}
	s.record()
	return s
}

func (s *recordingStore) now() int64 { return RevisionInEra(s.era, s.revision) }

func (s *recordingStore) record() {
	content := make(map[string]string)
	for key, item := range s.items {
		content[key] = string(item.Value)
	}
	s.contents[s.now()] = content
}

// put writes a value, or removes the key if the value is empty.
func (s *recordingStore) put(key, value string) Item {
	event := Item{}
	if value == "" {
		event = s.remove(key)
	} else {
		event = s.write(key, value)
	}
	s.events = append(s.events, event)
	s.record()
	return event
}

// back replaces the content by that of a copy.
func (s *recordingStore) back(to *goingBackStore) {
	s.goBack(to)
	s.compact()
	s.record()
}

// watch returns the changes after a revision. ok is false if they are not known any more.
func (s *recordingStore) watch(prefix string, after int64) (events []Item, ok bool) {
	if after < s.compacted {
		return nil, false
	}
	for _, event := range s.events {
		if event.Revision > after && strings.HasPrefix(event.Key, prefix) {
			events = append(events, event)
		}
	}
	return events, true
}

// compact forgets the history.
func (s *recordingStore) compact() { s.events, s.compacted = nil, s.now() }

// difference describes how the copy under a prefix differs from what the store contained at
// the revision up to which the copy is complete. Keys in dispute are left out.
func (s *recordingStore) difference(state *State, prefix string) string {
	complete := state.prefixes[prefix].complete
	content := s.contents[complete]
	if complete == 0 {
		return ""
	}
	if content == nil {
		return fmt.Sprintf("there is no revision %d of era %d", StoreRevision(complete), Era(complete))
	}
	for key, item := range state.items {
		_, disputed := state.disputed[key]
		if !strings.HasPrefix(key, prefix) || disputed || item.Revision > complete {
			continue
		}
		value, exists := content[key]
		if exists == item.Deleted || exists && value != string(item.Value) {
			return fmt.Sprintf("%s is %q, deleted %v; in the store %q", key, item.Value, item.Deleted, value)
		}
	}
	for key := range content {
		if _, known := state.items[key]; !known && strings.HasPrefix(key, prefix) {
			return key + " is missing"
		}
	}
	return ""
}

var copyPrefixes = []string{"s/", "e/"}

// newCopy returns the state of a process that has not read anything.
func newCopy(now func() time.Time) *State {
	return NewState(operatorDecoder{}, now, copyPrefixes...)
}

// listInto applies listings of the store.
func listInto(state *State, store *recordingStore) {
	for _, prefix := range copyPrefixes {
		items, revision := store.list(prefix)
		state.Replace(prefix, items, revision)
	}
}

// follow applies the changes of the store, or a listing if they are not known any more.
func follow(state *State, store *recordingStore, prefix string) {
	if events, ok := store.watch(prefix, state.CompleteRevisionUnder(prefix)); ok {
		state.Advance(prefix, events, store.now())
		return
	}
	items, revision := store.list(prefix)
	state.Replace(prefix, items, revision)
}

// ask makes a process take over the changes of another one's copy.
func ask(state, source *State) (complete bool) {
	_, _, complete = state.Merge(source.ChangesSince(state.CompleteRevision()))
	return complete
}

// Guards against a key that stays in a copy whose source has not seen its removal, because
// it was down, listed the store anew, forgot it or has its copy from another process itself.
func TestRemovalsThatTheSourceHasNotSeen(t *testing.T) {
	for _, c := range []struct {
		name string
		// remove removes the key "s/gone" from the store. It returns the new source.
		remove func(store *recordingStore, source *State, newState func() *State) *State
	}{
		{"source was down", func(store *recordingStore, _ *State, newState func() *State) *State {
			store.put("s/gone", "")
			restarted := newState()
			listInto(restarted, store)
			return restarted
		}},
		{"store was compacted", func(store *recordingStore, source *State, _ func() *State) *State {
			// The source does not know the key: it was added after its last read.
			store.put("s/gone", "")
			store.compact()
			store.put("s/other", "ready")
			follow(source, store, "s/")
			follow(source, store, "e/")
			return source
		}},
		{"source changed twice", func(store *recordingStore, source *State, newState func() *State) *State {
			first, second := newState(), newState()
			ask(second, source)
			store.put("s/gone", "")
			listInto(first, store)
			ask(second, first)
			return second
		}},
		{"source started from the copy of a peer that restarted, too", func(store *recordingStore, _ *State, newState func() *State) *State {
			store.put("s/gone", "")
			peer, restarted := newState(), newState()
			listInto(peer, store)
			ask(restarted, peer)
			return restarted
		}},
		{"source forgot the removal", func(store *recordingStore, source *State, _ func() *State) *State {
			store.put("s/gone", "")
			for i := range 2 * maxTombstones {
				key := fmt.Sprintf("s/%d", i)
				store.put(key, "ready")
				store.put(key, "")
			}
			follow(source, store, "s/")
			follow(source, store, "e/")
			return source
		}},
		{"store went back", func(store *recordingStore, source *State, newState func() *State) *State {
			copied := store.copy()
			delete(copied.items, "s/gone")
			store.back(copied)
			restarted := newState()
			listInto(restarted, store)
			return restarted
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := &clock{now: time.Unix(1000, 0)}
			newState := func() *State { return newCopy(clock.Now) }
			store := newRecordingStore()
			store.put("s/stays", "ready")
			store.put("e/fyn", "1")
			source, follower := newState(), newState()
			listInto(source, store)
			store.put("s/gone", "ready")
			listInto(follower, store)
			source = c.remove(store, source, newState)
			if !ask(follower, source) {
				t.Error("the follower's copy is not complete")
			}
			clock.Add(restoreGrace)
			v := follower.View()
			if v.Servers["gone"] != nil || v.Servers["stays"] == nil || !v.OutOfService["fyn"] {
				t.Errorf("servers %v, out of service %v", v.Servers, v.OutOfService)
			}
			if got := follower.CompleteRevision(); got != source.CompleteRevision() {
				t.Errorf("complete up to %d, the source up to %d", got, source.CompleteRevision())
			}
		})
	}
}

// churn replaces n servers, one after the other, in a copy that follows the store.
func churn(state *State, n int) {
	revision := state.CompleteRevisionUnder("s/")
	for i := range n {
		key := fmt.Sprintf("s/%d", i)
		state.Advance("s/", []Item{item(key, "ready", revision+1), {Key: key, Revision: revision + 2, Deleted: true}}, revision+2)
		revision += 2
	}
	state.Advance("e/", nil, revision)
}

// Guards against a process whose memory and answers to peers grow with each server that was
// ever replaced.
func TestRemovedKeysAreForgotten(t *testing.T) {
	state := newCopy(time.Now)
	churn(state, 100_000)
	if n := len(state.items); n > maxTombstones {
		t.Errorf("%d items are kept of 100,000 removed keys", n)
	}
	if n := state.tombstones; n != len(state.items) {
		t.Errorf("%d tombstones are counted, there are %d", n, len(state.items))
	}
	if c := state.ChangesSince(0); len(c.Items) > maxTombstones || len(c.Prefixes) == 0 {
		t.Errorf("a new peer gets %d items, keys listed %v", len(c.Items), len(c.Prefixes) > 0)
	}
	if c := state.ChangesSince(state.CompleteRevision() - 2); len(c.Items) != 1 || len(c.Prefixes) > 0 {
		t.Errorf("a peer that lacks one removal gets %d items, keys listed %v", len(c.Items), len(c.Prefixes) > 0)
	}
}

// BenchmarkChangesSince measures the answer to a peer that lacks one change, after many
// servers have been replaced.
func BenchmarkChangesSince(b *testing.B) {
	for _, removed := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprintf("removed=%d", removed), func(b *testing.B) {
			state := newCopy(time.Now)
			for i := range 1_000 {
				state.Advance("s/", []Item{item(fmt.Sprintf("s/stays-%d", i), "ready", int64(i+1))}, int64(i+1))
			}
			churn(state, removed)
			since := state.CompleteRevision() - 2
			b.ResetTimer()
			for range b.N {
				if c := state.ChangesSince(since); len(c.Items) != 1 {
					b.Fatalf("%d items", len(c.Items))
				}
			}
			b.ReportMetric(float64(len(state.items)), "keys")
		})
	}
}

// Guards against a peer's reply that makes a copy count as complete although it was made for
// another copy, or does not tell which removals are known.
func TestChangesThatDoNotCompleteACopy(t *testing.T) {
	store := newRecordingStore()
	store.put("s/a", "ready")
	source, asked := newCopy(time.Now), newCopy(time.Now)
	listInto(source, store)
	listInto(asked, store)
	for _, prefix := range copyPrefixes {
		store.put("s/b", "ready")
		follow(source, store, prefix)
	}
	reply := source.ChangesSince(asked.CompleteRevision())
	restarted := newCopy(time.Now)
	if _, _, complete := restarted.Merge(reply); complete || restarted.CompleteRevision() != 0 {
		t.Error("a reply to the process before completed the copy")
	}
	untold := reply
	untold.Since, untold.Prefixes = 0, nil
	if adopted, _, complete := asked.Merge(untold); complete || len(adopted) != 1 {
		t.Errorf("changes that may not be all: adopted %v, complete %v", adopted, complete)
	}
	if _, _, complete := asked.Merge(reply); !complete || asked.CompleteRevision() != source.CompleteRevision() {
		t.Error("the reply did not complete the copy that asked")
	}
	unread := newCopy(time.Now)
	if ask(asked, unread) {
		t.Error("a process that has not read the store completed a copy")
	}
}

// Guards against a removed key that comes back from a peer that still has it, or from a late
// message, at a process that has not seen or no longer remembers the removal.
func TestRemovedKeysDoNotComeBack(t *testing.T) {
	store := newRecordingStore()
	added := store.put("s/gone", "ready")
	stale := newCopy(time.Now)
	listInto(stale, store)
	late := stale.ChangesSince(0)
	store.put("s/gone", "")
	store.put("s/stays", "ready")
	for name, deliver := range map[string]func(*State){
		"late reply":       func(s *State) { s.Merge(late) },
		"late change":      func(s *State) { s.Apply([]Item{added}) },
		"late watch":       func(s *State) { s.Advance("s/", []Item{added}, added.Revision) },
		"late listing":     func(s *State) { s.Replace("s/", []Item{added}, added.Revision) },
		"stale peer":       func(s *State) { ask(s, stale) },
		"stale peer twice": func(s *State) { ask(s, stale); ask(s, stale) },
	} {
		restarted := newCopy(time.Now)
		listInto(restarted, store)
		deliver(restarted)
		if v := restarted.View(); v.Servers["gone"] != nil || v.Servers["stays"] == nil {
			t.Errorf("%s: servers %v", name, v.Servers)
		}
		if d := store.difference(restarted, "s/"); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

// Guards against copies that differ from what the store contained at the revision up to
// which they are complete, whatever the order of changes, listings, watches, compactions,
// restarts, exchanges, late messages and returns of the store to an earlier copy.
func TestCopiesEqualTheStore(t *testing.T) {
	seeds := uint64(2000)
	if testing.Short() {
		seeds = 200
	}
	for seed := range seeds {
		playCopies(t, seed)
		if t.Failed() {
			return
		}
	}
}

// playCopies plays a random history with the given seed.
func playCopies(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 34))
	clock := &clock{now: time.Unix(1000, 0)}
	store := newRecordingStore()
	copied := store.copy()
	states := make([]*State, 3)
	for i := range states {
		states[i] = newCopy(clock.Now)
	}
	var late []func() // messages on their way, to whichever process has the place then
	var steps []string
	pick := func() (int, *State) { i := rng.IntN(len(states)); return i, states[i] }
	for range 60 {
		i, state := pick()
		j, other := pick()
		prefix := copyPrefixes[rng.IntN(len(copyPrefixes))]
		step := ""
		switch rng.IntN(14) {
		case 0, 1, 2, 3:
			key := prefix + string(rune('a'+rng.IntN(4)))
			event := store.put(key, []string{"", "ready", "draining"}[rng.IntN(3)])
			step = fmt.Sprintf("%s = %q at %d", key, event.Value, event.Revision)
			if rng.IntN(2) == 0 {
				late = append(late, func() { states[j].Apply([]Item{event}) })
			}
		case 4:
			step = fmt.Sprintf("%d lists", i)
			items, revision := store.list(prefix)
			state.Replace(prefix, items, revision)
		case 5, 6:
			step = fmt.Sprintf("%d follows", i)
			follow(state, store, prefix)
		case 7, 8:
			step = fmt.Sprintf("%d asks %d", i, j)
			ask(state, other)
		case 9:
			step = fmt.Sprintf("%d asks %d, late", i, j)
			reply := other.ChangesSince(state.CompleteRevision())
			late = append(late, func() { states[i].Merge(reply) })
		case 10:
			if len(late) > 0 {
				step = "a late message arrives"
				n := rng.IntN(len(late))
				late[n]()
				late = slices.Delete(late, n, n+1)
			}
		case 11:
			step = fmt.Sprintf("%d restarts", i)
			states[i] = newCopy(clock.Now)
		case 12:
			step = "compaction"
			store.compact()
			if rng.IntN(2) == 0 {
				copied = store.copy()
			}
		case 13:
			if rng.IntN(3) == 0 {
				step = "the store goes back"
				store.back(copied)
				copied = store.copy()
			}
		}
		clock.Add(time.Duration(rng.IntN(1500)) * time.Millisecond)
		steps = append(steps, step)
		for n, s := range states {
			s.View() // settles disputes
			for _, prefix := range copyPrefixes {
				if d := store.difference(s, prefix); d != "" {
					t.Errorf("seed %d: the copy of %d differs: %s\n%s", seed, n, d, strings.Join(steps, "\n"))
					return
				}
			}
		}
	}
}
