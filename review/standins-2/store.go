package main

import (
	"encoding/json"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPage is the number of items on one page of a listing.
const maxPage = 500

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	listener net.Listener

	mu        sync.Mutex
	era       int64
	away      bool  // no call is answered
	compacted int64 // the history begins after this revision
	revision  int64
	items     map[string]item
	history   []item
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{}
}

func newStore() *store {
	s := &store{era: 1, revision: 1, items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{}), listener: listen()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		era, away := s.era, s.away
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler) // resets the channel
		}
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		mux.ServeHTTP(w, r)
	}), ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(s.listener) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key as the operator and the runners do.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, encoded, 0)
}

// value returns the value of a key, nil if there is none.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// remove deletes a key as the operator and the runners do.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

// storeCopy is the state of a store at one moment.
type storeCopy struct {
	revision int64
	items    map[string]item
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{s.revision, maps.Clone(s.items)}
}

// leave makes the store answer nothing until comeBack.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// comeBack makes the store answer again, from a copy. Leases that were given since are gone, and
// revisions are given out again.
func (s *store) comeBack(from storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.era++
	s.revision, s.items, s.history, s.compacted = from.revision, maps.Clone(from.items), nil, from.revision
	for id := range s.leases {
		if !slices.ContainsFunc(slices.Collect(maps.Values(s.items)), func(it item) bool { return it.Lease == id }) {
			delete(s.leases, id)
		}
	}
	s.wake()
}

// wake ends the waiting of watches. The caller must hold s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.items[key].Created, Lease: lease}
	if it.Created == 0 {
		it.Created = s.revision
	}
	s.items[key] = it
	s.record(it)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.record(item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	s.wake()
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.dropLease(id)
		}
	}
}

func (s *store) dropLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.drop(key)
		}
	}
}

func respond(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > maxPage
	if more {
		items = items[:maxPage]
	}
	respond(w, map[string]any{"items": items, "morePages": more, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, waitErr := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer end.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for over := false; ; {
		s.mu.Lock()
		if s.away || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // a watch that waits may be cut
		}
		if after < s.compacted || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if over || len(events) > 0 {
			respond(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expectedRevision"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, current := false, []item{}
	for _, c := range txn.Expected {
		it, ok := s.items[c.Key]
		conflict = conflict || it.Revision != c.Revision
		if ok {
			current = append(current, it)
		}
	}
	if conflict {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": current})
		return
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range txn.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Remove {
		s.drop(key)
	}
	respond(w, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var call struct {
		TTL int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := min(max(time.Duration(call.TTL)*time.Millisecond, time.Second), 10*time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl, time.Now().Add(ttl)}
	respond(w, map[string]any{"lease": s.lastLease, "ttlMs": ttl.Milliseconds()})
}

// leaseOf returns the lease that a call names, or answers that it has ended. The caller must
// hold s.mu.
func (s *store) leaseOf(w http.ResponseWriter, r *http.Request) (int64, *lease) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil || s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return 0, nil
	}
	return id, s.leases[id]
}

func (s *store) renew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, l := s.leaseOf(w, r); l != nil {
		l.end = time.Now().Add(l.ttl)
		respond(w, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	}
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, l := s.leaseOf(w, r); l != nil {
		s.dropLease(id)
		respond(w, map[string]any{})
	}
}
