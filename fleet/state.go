package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// leaseExpiryGrace is how long after a store outage a backend server stays in use whose
// registration expired during the outage. The platform's documentation says that live
// servers register again within about two seconds.
const leaseExpiryGrace = 2 * time.Second

// Decoder decodes an item of the store into an update. It returns nil for keys that
// this system does not use.
type Decoder interface {
	Decode(item Item, now time.Time) (Update, error)
}

// State is a process's copy of the deployment's state. It is safe for concurrent use.
type State struct {
	decoder Decoder
	now     func() time.Time

	mu               sync.Mutex
	items            map[string]Item // newest item of each key, tombstones included
	tombstones       int             // number of tombstones in items
	view             View
	cachedView       *View // nil when view has changed since
	expired          map[string]time.Time
	disputed         map[string]disputedItem // by key, see isEarlierCopy
	storeRecoveredAt time.Time               // end of the last store outage
	prefixes         map[string]*prefixCopy
	changed          chan struct{}
}

// View is an immutable snapshot of the deployment's state. All maps are read-only.
type View struct {
	// Config is nil until a configuration has been read.
	Config *Config
	// Servers holds the registered backend servers by id.
	Servers map[string]*BackendServer
	// ByService groups Servers by service, sorted by id.
	ByService map[string][]*BackendServer
	// OutOfService holds the data centres that are out of service.
	OutOfService map[string]bool
	// Orders, Statuses and Progress describe the rollouts, by service.
	Orders   map[string]Order
	Statuses map[string]Status
	Progress map[string]RolloutProgress
	// PromptBlocks holds the published blocks of parts of prompts.
	PromptBlocks PromptBlocks
	// Peers holds the registered entries by name.
	Peers map[string]Peer
	// Revision is the highest store revision that has been received.
	Revision int64
}

// NewState returns an empty state. For each of the prefixes it tracks the revision up
// to which all changes are known.
func NewState(decoder Decoder, now func() time.Time, prefixes ...string) *State {
	s := &State{
		decoder:  decoder,
		now:      now,
		items:    make(map[string]Item),
		expired:  make(map[string]time.Time),
		disputed: make(map[string]disputedItem),
		prefixes: make(map[string]*prefixCopy),
		changed:  make(chan struct{}),
		view: View{
			Servers:      make(map[string]*BackendServer),
			OutOfService: make(map[string]bool),
			Orders:       make(map[string]Order),
			Statuses:     make(map[string]Status),
			Progress:     make(map[string]RolloutProgress),
			Peers:        make(map[string]Peer),
		},
	}
	for _, prefix := range prefixes {
		s.prefixes[prefix] = &prefixCopy{}
	}
	return s
}

// View returns a snapshot of the current state.
func (s *State) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	s.settleDisputes()
	if s.cachedView == nil {
		s.cachedView = s.view.copy()
	}
	return s.cachedView
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Rejected describes an item that could not be decoded.
type Rejected struct {
	Key string
	Err error
}

// Apply applies the items whose revision is higher than the known one of their key. It
// returns the applied items and those that could not be decoded.
func (s *State) Apply(items []Item) (adopted []Item, rejected []Rejected) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(s.withoutOutdated(items))
}

// Advance applies all changes under a prefix up to a revision that the copy lacks.
func (s *State) Advance(prefix string, changes []Item, revision int64) (adopted []Item, rejected []Rejected) {
	s.mu.Lock()
	defer s.mu.Unlock()
	adopted, rejected = s.apply(s.withoutOutdated(changes))
	if p := s.prefixes[prefix]; p != nil {
		p.complete = max(p.complete, revision)
	}
	s.dropTombstones()
	return adopted, rejected
}

// Replace applies a complete listing of the keys under a prefix, read while the store
// was at the given revision or later. Known keys that are missing from the listing are
// deleted, unless their revision is higher.
func (s *State) Replace(prefix string, listed []Item, revision int64) (adopted []Item, rejected []Rejected) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]string, len(listed))
	for i, item := range listed {
		keys[i] = item.Key
	}
	removed := s.removals(prefix, keys, revision)
	if p := s.prefixes[prefix]; p != nil {
		if revision < p.complete {
			listed = s.withoutOutdated(listed)
		} else if revision > p.complete {
			p.complete, p.removalsSince = revision, revision
		}
	}
	adopted, rejected = s.apply(slices.Concat(listed, removed))
	s.view.Revision = max(s.view.Revision, revision)
	s.dropTombstones()
	return adopted, rejected
}

func (s *State) apply(items []Item) (adopted []Item, rejected []Rejected) {
	now := s.now()
	for _, item := range items {
		known, ok := s.items[item.Key]
		if ok && known.Revision >= item.Revision {
			continue
		}
		update, err := s.decoder.Decode(item, now)
		if err != nil {
			rejected = append(rejected, Rejected{item.Key, err})
		}
		s.view.Revision = max(s.view.Revision, item.Revision)
		if ok && s.isEarlierCopy(known, item, update) {
			s.dispute(item, update, now)
			continue
		}
		s.adopt(item, update, now)
		adopted = append(adopted, item)
	}
	if len(adopted) > 0 {
		s.notifyChanged()
	}
	return adopted, rejected
}

// adopt makes item the known one of its key.
func (s *State) adopt(item Item, update Update, now time.Time) {
	if s.items[item.Key].Deleted {
		s.tombstones--
	}
	if item.Deleted {
		s.tombstones++
	}
	s.items[item.Key] = item
	delete(s.disputed, item.Key)
	if update != nil {
		s.applyUpdate(update, now)
		s.cachedView = nil
	}
}

// notifyChanged closes the channel that Changed has returned.
func (s *State) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) applyUpdate(update Update, now time.Time) {
	v := &s.view
	switch u := update.(type) {
	case ConfigUpdate:
		// The version never decreases within a process.
		if v.Config == nil || u.Config.Version >= v.Config.Version {
			v.Config = u.Config
		}
	case ServerUpdate:
		server := u.Server
		if known := v.Servers[server.ID]; known != nil {
			server.mergeColdness(known, now)
		}
		v.Servers[server.ID] = &server
		delete(s.expired, server.ID)
	case ServerRemoved:
		s.removeServer(u.ID, now)
	case EvacuationUpdate:
		if u.OutOfService {
			v.OutOfService[u.DataCentre] = true
		} else {
			delete(v.OutOfService, u.DataCentre)
		}
	case OrderUpdate:
		if known, ok := v.Orders[u.Order.Service]; ok && known.continuedBy(u.Order) {
			u.Order.Revision = known.Revision
		}
		v.Orders[u.Order.Service] = u.Order
	case OrderRemoved:
		delete(v.Orders, u.Service)
	case StatusUpdate:
		v.Statuses[u.Status.Service] = u.Status
	case RolloutProgressUpdate:
		v.Progress[u.Progress.Service] = u.Progress
	case PromptBlocksUpdate:
		v.PromptBlocks = u.Blocks
	case PeerUpdate:
		v.Peers[u.Peer.Name] = u.Peer
	case PeerRemoved:
		delete(v.Peers, u.Name)
	}
}

// removeServer removes a server. Soon after a store outage the removal is delayed, as
// the lease may have expired only because the store could not be reached.
func (s *State) removeServer(id string, now time.Time) {
	server := s.view.Servers[id]
	if server == nil {
		return
	}
	until := s.storeRecoveredAt.Add(leaseExpiryGrace)
	if !server.Draining && now.Before(until) {
		s.expired[id] = until
		return
	}
	delete(s.view.Servers, id)
}

// removeExpired removes the servers whose delayed removal is due.
func (s *State) removeExpired() {
	now := s.now()
	for id, until := range s.expired {
		if !now.Before(until) {
			delete(s.expired, id)
			delete(s.view.Servers, id)
			s.cachedView = nil
		}
	}
}

// StoreRecovered records that the store has become available again after an outage.
func (s *State) StoreRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeRecoveredAt = s.now()
}

// Item returns the newest item of a key in the store. ok is false when the key is unknown
// or deleted.
func (s *State) Item(key string) (item Item, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, disputed := s.disputed[key]; disputed {
		return d.item, !d.item.Deleted
	}
	item, ok = s.items[key]
	return item, ok && !item.Deleted
}

func (v *View) copy() *View {
	c := &View{
		Config:       v.Config,
		Servers:      maps.Clone(v.Servers),
		ByService:    make(map[string][]*BackendServer),
		OutOfService: maps.Clone(v.OutOfService),
		Orders:       maps.Clone(v.Orders),
		Statuses:     maps.Clone(v.Statuses),
		Progress:     maps.Clone(v.Progress),
		PromptBlocks: v.PromptBlocks,
		Peers:        maps.Clone(v.Peers),
		Revision:     v.Revision,
	}
	for _, id := range slices.Sorted(maps.Keys(v.Servers)) {
		server := v.Servers[id]
		c.ByService[server.Service] = append(c.ByService[server.Service], server)
	}
	return c
}
