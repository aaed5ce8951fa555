package fleet

import (
	"strings"
	"testing"
	"time"
)

// recordingStore is a store that remembers its changes.
type recordingStore struct {
	*goingBackStore
	events    []Item // since the last compaction
	compacted int64  // watches from earlier revisions fail
}

func newRecordingStore() *recordingStore {
	return &recordingStore{goingBackStore: newGoingBackStore()}
}

func (s *recordingStore) now() int64 { return RevisionInEra(s.era, s.revision) }

// put writes a value, or removes the key if the value is empty.
func (s *recordingStore) put(key, value string) Item {
	event := Item{}
	if value == "" {
		event = s.remove(key)
	} else {
		event = s.write(key, value)
	}
	s.events = append(s.events, event)
	return event
}

// back replaces the content by that of a copy.
func (s *recordingStore) back(to *goingBackStore) {
	s.goBack(to)
	s.compact()
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
	}
}
