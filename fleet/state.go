package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// lapseGrace is how long a backend server whose entry vanished during a store
// outage stays in use after the outage; the platform's pages say that the
// entries of live servers are back within about two seconds.
const lapseGrace = 2 * time.Second

// Decoder turns an item of the store into an update. It returns nil for keys
// that mean nothing to this system.
type Decoder interface {
	Decode(item Item, now time.Time) (Update, error)
}

// State is what a process knows of its deployment. It is safe for concurrent use.
type State struct {
	decoder Decoder
	now     func() time.Time

	mu        sync.Mutex
	items     map[string]Item // newest item of each key, tombstones included
	view      View
	published *View // nil when view has changed since
	lapsed    map[string]time.Time
	recovered time.Time        // end of the last store outage
	complete  map[string]int64 // by prefix: revision up to which all changes are known
	changed   chan struct{}
}

// View is an immutable picture of the deployment. All maps are read-only.
type View struct {
	// Config is nil until a configuration has been read.
	Config *Config
	// Servers are the registered backend servers by id.
	Servers map[string]*BackendServer
	// ByService groups Servers by service, in order of id.
	ByService map[string][]*BackendServer
	// OutOfService holds the data centres that are out of service.
	OutOfService map[string]bool
	Orders       map[string]Order
	Statuses     map[string]Status
	Plans        map[string]Plan
	Peers        map[string]Peer
	// Revision is the highest store revision that was seen.
	Revision int64
}

// NewState returns an empty state of the keys under some prefixes.
func NewState(decoder Decoder, now func() time.Time, prefixes ...string) *State {
	complete := make(map[string]int64)
	for _, prefix := range prefixes {
		complete[prefix] = 0
	}
	return &State{
		complete: complete,
		decoder:  decoder,
		now:      now,
		items:    make(map[string]Item),
		lapsed:   make(map[string]time.Time),
		changed:  make(chan struct{}),
		view: View{
			Servers:      make(map[string]*BackendServer),
			OutOfService: make(map[string]bool),
			Orders:       make(map[string]Order),
			Statuses:     make(map[string]Status),
			Plans:        make(map[string]Plan),
			Peers:        make(map[string]Peer),
		},
	}
}

// View returns the current picture.
func (s *State) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLapsed()
	if s.published == nil {
		s.published = s.view.copy()
	}
	return s.published
}

// Changed returns a channel that is closed at the next change.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Rejected is an item that could not be decoded.
type Rejected struct {
	Key string
	Err error
}

// Apply adopts items that are newer than what is known, key by key, and returns
// those that were adopted.
func (s *State) Apply(items []Item) (adopted []Item, rejected []Rejected) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(items)
}

// Replace adopts a complete listing of the keys under a prefix that was read while
// the store was at revision or later. Known keys that the listing lacks are gone.
func (s *State) Replace(prefix string, items []Item, revision int64) (adopted []Item, rejected []Rejected) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Key] = true
	}
	for key, known := range s.items {
		if strings.HasPrefix(key, prefix) && !listed[key] && !known.Deleted && known.Revision <= revision {
			items = append(items, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	adopted, rejected = s.apply(items)
	s.view.Revision = max(s.view.Revision, revision)
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
		s.items[item.Key] = item
		s.view.Revision = max(s.view.Revision, item.Revision)
		adopted = append(adopted, item)
		if update != nil {
			s.adopt(update, now)
			s.published = nil
		}
	}
	if len(adopted) > 0 {
		s.publish()
	}
	return adopted, rejected
}

func (s *State) publish() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) adopt(update Update, now time.Time) {
	v := &s.view
	switch u := update.(type) {
	case ConfigUpdate:
		// A version never goes back within a process.
		if v.Config == nil || u.Config.Version >= v.Config.Version {
			v.Config = u.Config
		}
	case ServerUpdate:
		server := u.Server
		if old := v.Servers[server.ID]; old != nil && old.StartedAtMS == server.StartedAtMS && old.ColdAt(now) && server.ColdRemaining > 0 {
			// The remaining time in an entry may be as old as the entry.
			server.ColdRemaining = min(server.ColdRemaining, old.ColdRemaining-now.Sub(old.ReceivedAt))
		}
		v.Servers[server.ID] = &server
		delete(s.lapsed, server.ID)
	case ServerRemoved:
		s.remove(u.ID, now)
	case EvacuationUpdate:
		if u.OutOfService {
			v.OutOfService[u.DataCentre] = true
		} else {
			delete(v.OutOfService, u.DataCentre)
		}
	case OrderUpdate:
		v.Orders[u.Order.Service] = u.Order
	case OrderRemoved:
		delete(v.Orders, u.Service)
	case StatusUpdate:
		v.Statuses[u.Status.Service] = u.Status
	case PlanUpdate:
		v.Plans[u.Plan.Service] = u.Plan
	case PeerUpdate:
		v.Peers[u.Peer.Name] = u.Peer
	case PeerRemoved:
		delete(v.Peers, u.Name)
	}
}

// remove drops a server, or schedules that when its entry may only have lapsed
// while the store was away.
func (s *State) remove(id string, now time.Time) {
	server := s.view.Servers[id]
	if server == nil {
		return
	}
	until := s.recovered.Add(lapseGrace)
	if !server.Draining && now.Before(until) {
		s.lapsed[id] = until
		return
	}
	delete(s.view.Servers, id)
}

func (s *State) dropLapsed() {
	now := s.now()
	for id, until := range s.lapsed {
		if !now.Before(until) {
			delete(s.lapsed, id)
			delete(s.view.Servers, id)
			s.published = nil
		}
	}
}

// StoreRecovered notes that the store answers again after an outage.
func (s *State) StoreRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recovered = s.now()
}

// CompleteRevision returns the revision up to which all changes are known.
func (s *State) CompleteRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completeLocked()
}

func (s *State) completeLocked() int64 {
	least, first := int64(0), true
	for _, revision := range s.complete {
		if first || revision < least {
			least, first = revision, false
		}
	}
	return least
}

// CompleteRevisionUnder returns the revision up to which all changes under one of the
// state's prefixes are known.
func (s *State) CompleteRevisionUnder(prefix string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete[prefix]
}

// MarkComplete notes that all changes under a prefix up to a revision have been
// applied; the empty prefix means all prefixes.
func (s *State) MarkComplete(prefix string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.complete {
		if prefix == "" || prefix == p {
			s.complete[p] = max(s.complete[p], revision)
		}
	}
}

// ItemsSince returns the newest item of each key that changed after a revision,
// tombstones included, and the revision up to which they are complete.
func (s *State) ItemsSince(revision int64) (items []Item, complete int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range s.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	return items, s.completeLocked()
}

// Item returns the newest item of a key; ok is false when it is unknown or deleted.
func (s *State) Item(key string) (item Item, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
		Plans:        maps.Clone(v.Plans),
		Peers:        maps.Clone(v.Peers),
		Revision:     v.Revision,
	}
	for _, id := range slices.Sorted(maps.Keys(v.Servers)) {
		server := v.Servers[id]
		c.ByService[server.Service] = append(c.ByService[server.Service], server)
	}
	return c
}
