package fleet

import (
	"bytes"
	"strings"
	"time"
)

// When the store goes back to an earlier copy, the changes since the copy are lost until
// their writers make them again. In the meantime the store's items may be older than those
// that this process knows.

// restoreGrace is how long a known change is kept that the store has lost. Operators and
// backend servers write theirs again within seconds.
const restoreGrace = 5 * time.Second

// disputedItem is an item of the store that may be older than the known one of its key.
type disputedItem struct {
	item   Item
	update Update
	// until is when the item is adopted, or zero if it is not.
	until time.Time
}

// isEarlierCopy reports whether an item of a newer era may be the copy of an older state
// than the known one, and the known one is to be kept for a while. Where a mistake would
// send requests to a backend server that is to get none, the safe state is adopted at once.
// The status of a rollout is kept while it is about the known order: its outcome is final.
func (s *State) isEarlierCopy(known, item Item, update Update) bool {
	if Era(item.Revision) <= Era(known.Revision) || known.Deleted == item.Deleted && bytes.Equal(known.Value, item.Value) {
		return false
	}
	older := item.Deleted || StoreRevision(item.Revision) <= StoreRevision(known.Revision)
	switch u := update.(type) {
	case EvacuationUpdate:
		return !u.OutOfService
	case OrderUpdate, OrderRemoved:
		return older
	case StatusUpdate:
		status := s.view.Statuses[u.Status.Service]
		if u.Status.Target == status.Target {
			return status.Outcome.Final() && u.Status.Outcome != status.Outcome
		}
		return status.Target == s.view.Orders[u.Status.Service].Target
	case ServerUpdate:
		if u.Server.Draining {
			return false
		}
		server := s.view.Servers[u.Server.ID]
		return known.Deleted && older || server != nil && server.Draining && server.StartedAtMS == u.Server.StartedAtMS
	}
	return false
}

// dispute keeps the known item of a key and remembers that of the store.
func (s *State) dispute(item Item, update Update, now time.Time) {
	d := disputedItem{item: item, update: update, until: now.Add(restoreGrace)}
	if earlier, ok := s.disputed[item.Key]; ok {
		d.until = earlier.until
	}
	if u, ok := update.(StatusUpdate); ok && s.view.Statuses[u.Status.Service].Outcome != "" {
		d.until = time.Time{} // the entries publish the known state again
	}
	s.disputed[item.Key] = d
	s.notifyChanged()
}

// settleDisputes adopts the disputed items whose time has come.
func (s *State) settleDisputes() {
	now := s.now()
	for _, d := range s.disputed {
		if !d.until.IsZero() && !now.Before(d.until) {
			s.adopt(d.item, d.update, now)
			s.notifyChanged()
		}
	}
}

// Lost reports whether the store has lost the known item of a key.
func (s *State) Lost(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, lost := s.disputed[key]
	return lost
}

// LostUnder returns the number of known items under a prefix that the store has lost.
func (s *State) LostUnder(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.disputed {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// continuedBy reports whether an order of a newer era is the same order, written again.
func (o Order) continuedBy(again Order) bool {
	return Era(again.Revision) > Era(o.Revision) && again.Target == o.Target && again.Duration == o.Duration
}
