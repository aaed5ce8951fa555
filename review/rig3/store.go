package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long the platform's store takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`

	at time.Time
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// kvStore is a stand-in of the platform's store (PROTOCOL.md, The platform's metadata store).
type kvStore struct {
	log      *record
	listener net.Listener

	mu        sync.Mutex
	revision  int64
	forgotten int64 // history has only later revisions
	items     map[string]item
	history   []item
	leases    map[int64]*lease
	lastLease int64
	changed   chan struct{}
	// down makes the store silent: calls are neither done nor answered. Leases run on.
	down     bool
	restored chan struct{} // closed when the store is up again
	// losesAnswer is asked for each write, which is done in any case. If it returns true, the
	// channel of the write returns nothing further.
	losesAnswer func(keys []string) bool
}

func newStore(log *record) (*kvStore, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &kvStore{
		log: log, listener: listener, revision: 100, forgotten: 100, items: make(map[string]item),
		leases: make(map[int64]*lease), changed: make(chan struct{}), restored: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(listener, s.whileUp(mux)) }() // ends with the process
	go s.expire()
	return s, nil
}

func (s *kvStore) address() string { return s.listener.Addr().String() }

// whileUp holds calls without an answer while the store is down.
func (s *kvStore) whileUp(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeAnswerTime)
		s.mu.Lock()
		down, restored := s.down, s.restored
		s.mu.Unlock()
		if down {
			select {
			case <-r.Context().Done():
			case <-restored:
			}
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// setDown begins or ends an outage.
func (s *kvStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down == s.down {
		return
	}
	if s.down = down; down {
		s.restored = make(chan struct{})
		s.notify() // waiting watches are cut
	} else {
		close(s.restored)
	}
}

// put writes a key as operators and runners do, and returns its revision. A value that is not
// a []byte is encoded as JSON.
func (s *kvStore) put(key string, value any, lease int64) int64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, encoded, lease)
	return s.revision
}

func (s *kvStore) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *kvStore) newLease(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl, time.Now().Add(ttl)}
	return s.lastLease
}

// renew renews a lease unless it has ended or the store is down.
func (s *kvStore) renew(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || s.down {
		return false
	}
	l.ends = time.Now().Add(l.ttl)
	return true
}

// expire ends leases and forgets old history, as long as the process runs.
func (s *kvStore) expire() {
	for ; ; time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.ends) {
				s.endLease(id)
			}
		}
		for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
			s.forgotten = s.history[0].Revision
			s.history = s.history[1:]
		}
		s.mu.Unlock()
	}
}

func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
}

func (s *kvStore) write(key string, value []byte, lease int64) {
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease, at: time.Now()}
	s.items[key] = i
	s.history = append(s.history, i)
	s.notify()
}

func (s *kvStore) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true, at: time.Now()})
	s.notify()
}

func (s *kvStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, i)
}

// pageItems is the number of items in a page.
const pageItems = 500

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	answer(w, map[string]any{"items": items, "morePages": more, "storeRevision": s.revision})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, waitErr := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if ended || len(events) > 0 {
			answer(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) commit(w http.ResponseWriter, r *http.Request) {
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
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var keys []string
	s.mu.Lock()
	for _, c := range txn.Expected {
		if s.items[c.Key].Revision != c.Revision {
			current := s.items[c.Key]
			s.mu.Unlock()
			s.log.add("store", "412 for %s: expected revision %d, it has %d", c.Key, c.Revision, current.Revision)
			w.WriteHeader(http.StatusPreconditionFailed)
			answer(w, map[string]any{"items": []item{current}})
			return
		}
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			s.mu.Unlock()
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range txn.Puts {
		s.write(p.Key, p.Value, p.Lease)
		keys = append(keys, p.Key)
		if strings.HasPrefix(p.Key, "status/") {
			s.log.add("store", "%s is now %s", p.Key, p.Value)
		}
	}
	for _, key := range txn.Remove {
		s.delete(key)
		keys = append(keys, key)
	}
	revision, loses := s.revision, s.losesAnswer
	s.mu.Unlock()
	if loses != nil && loses(keys) {
		s.log.add("store", "the answer to the write of %s is lost", strings.Join(keys, ", "))
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer(w, map[string]any{"revision": revision})
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(body.TTL, 1000)
	answer(w, map[string]any{"lease": s.newLease(time.Duration(ttl) * time.Millisecond), "ttlMs": ttl})
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil || !s.renew(id) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, map[string]any{"ttlMs": 1000})
}

func (s *kvStore) end(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	answer(w, map[string]any{})
}

// answer sends v as JSON. An error means that the caller has left.
func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
