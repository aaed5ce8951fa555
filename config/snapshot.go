package config

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Snapshot holds, for each key under Prefixes, the record with the highest
// revision that was ever adopted. It is safe for concurrent use.
//
// Besides the newest record of a key it keeps the newest one that this build
// can decode, so that the latter stays in force and can be passed on to peers.
type Snapshot struct {
	mu       sync.Mutex
	slots    map[string]slot
	floors   map[string]uint64 // by prefix: revision of the newest full list
	revision uint64
	digest   uint64
	changed  chan struct{}
	view     atomic.Pointer[View]
}

// held is a record with its decoded form.
type held struct {
	Record
	env Envelope
	err error
}

// usable tells whether the record can be in force. A quarantine that cannot be
// decoded stays in force, because its key alone says what is quarantined and
// ignoring it would send work to a bad version.
func (h *held) usable() bool {
	return h.err == nil || strings.HasPrefix(h.Key, QuarantinePrefix)
}

// slot is the state of one key.
type slot struct {
	latest *held
	good   *held // newest usable record; nil if there was none
}

// NewSnapshot returns an empty snapshot.
func NewSnapshot() *Snapshot {
	s := &Snapshot{slots: map[string]slot{}, floors: map[string]uint64{}, changed: make(chan struct{})}
	s.view.Store(buildView(s))
	return s
}

// Apply merges records and returns those that changed the snapshot. For each
// key only a higher revision is adopted. The snapshot keeps the Raw slices.
func (s *Snapshot) Apply(records []Record) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.publish(s.adoptAll(records))
}

// ApplyList merges a full list of all prefixes. Held keys that it lacks become
// tombstones at listRevision, unless they were written later.
func (s *Snapshot) ApplyList(all []Record, listRevision uint64) []Record {
	return s.adoptList(Prefixes(), all, listRevision)
}

// ApplyPrefixList merges a full list of one prefix, like ApplyList.
func (s *Snapshot) ApplyPrefixList(prefix string, all []Record, listRevision uint64) []Record {
	return s.adoptList([]string{prefix}, all, listRevision)
}

func (s *Snapshot) adoptList(prefixes []string, all []Record, listRevision uint64) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	adopted := s.adoptAll(all)
	present := make(map[string]bool, len(all))
	for _, r := range all {
		present[r.Key] = true
	}
	for key, sl := range s.slots {
		if slices.Contains(prefixes, prefixOf(key)) && !present[key] && len(sl.latest.Raw) > 0 {
			adopted = append(adopted, s.adoptAll([]Record{{Key: key, Revision: listRevision}})...)
		}
	}
	for _, p := range prefixes {
		s.floors[p] = max(s.floors[p], listRevision)
	}
	return s.publish(adopted)
}

func (s *Snapshot) adoptAll(records []Record) []Record {
	var adopted []Record
	for _, r := range records {
		if r, ok := s.adopt(r); ok {
			adopted = append(adopted, r)
		}
	}
	return adopted
}

// adopt merges one record and returns what it adopted in its place.
func (s *Snapshot) adopt(r Record) (Record, bool) {
	prefix := prefixOf(r.Key)
	if prefix == "" || r.Revision == 0 {
		return r, false
	}
	sl, known := s.slots[r.Key]
	if !known && len(r.Raw) > 0 && r.Revision < s.floors[prefix] {
		// A full list newer than the record lacked the key, so the record was
		// deleted in between. A peer that missed this still sends it.
		r = Record{Key: r.Key, Revision: s.floors[prefix]}
	}
	if known && r.Revision <= sl.latest.Revision {
		return r, s.adoptOlder(sl, r)
	}
	h := decodeHeld(r)
	s.revision = max(s.revision, r.Revision)
	next := slot{latest: h, good: sl.good}
	if h.usable() {
		next.good = h
	}
	s.replace(r.Key, next)
	return r, true
}

// replace changes the state of a key and the digest with it.
func (s *Snapshot) replace(key string, next slot) {
	s.digest ^= s.slots[key].digest() ^ next.digest()
	s.slots[key] = next
}

// adoptOlder keeps a record that is older than the newest one of its key if the
// newest cannot be decoded and this one is the best known substitute.
func (s *Snapshot) adoptOlder(sl slot, r Record) bool {
	if sl.latest.usable() || r.Revision == sl.latest.Revision || sl.good != nil && r.Revision <= sl.good.Revision {
		return false
	}
	h := decodeHeld(r)
	if !h.usable() {
		return false
	}
	sl.good = h
	s.replace(r.Key, sl)
	return true
}

func decodeHeld(r Record) *held {
	h := &held{Record: r}
	h.env, h.err = Decode(r.Key, r.Raw)
	return h
}

// digest is the key's share of the snapshot digest. The substitute of a record
// that cannot be decoded counts, so that a process without it is noticed.
func (s slot) digest() uint64 {
	if s.latest == nil {
		return 0
	}
	d := s.latest.digest()
	if s.good != nil && s.good != s.latest {
		d ^= bits.RotateLeft64(s.good.digest(), 1)
	}
	return d
}

// digest is the record's share of its key's digest. Keys that the store no
// longer has do not count, because processes may have noticed their absence at
// different list revisions.
func (h *held) digest() uint64 {
	if len(h.Raw) == 0 {
		return 0
	}
	b := append([]byte(h.Key), 0)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, h.Revision))
}

// publish makes adopted records visible.
func (s *Snapshot) publish(adopted []Record) []Record {
	if len(adopted) == 0 {
		return nil
	}
	s.view.Store(buildView(s))
	close(s.changed)
	s.changed = make(chan struct{})
	return adopted
}

// Revision returns the highest revision of any record held. Revisions of lists
// do not count, because writes to other keys of the store raise them.
func (s *Snapshot) Revision() uint64 { return s.View().Revision }

// Digest returns an order-independent digest of the records held: equal digests
// mean equal keys and revisions, of newest records and of their substitutes.
func (s *Snapshot) Digest() uint64 { return s.View().Digest }

// View returns the records in force.
func (s *Snapshot) View() *View { return s.view.Load() }

// Changed returns a channel that is closed by the next change.
func (s *Snapshot) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Get returns the newest record of a key. Its Raw is empty if the store no
// longer has the key.
func (s *Snapshot) Get(key string) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sl, ok := s.slots[key]
	if !ok {
		return Record{}, false
	}
	return sl.latest.Record, true
}

// Records returns all records, oldest first.
func (s *Snapshot) Records() []Record { return s.RecordsAfter(0) }

// RecordsAfter returns the records with a higher revision, oldest first. For a key
// whose newest record cannot be decoded it includes the one in force.
func (s *Snapshot) RecordsAfter(revision uint64) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Record
	for _, sl := range s.slots {
		if sl.latest.Revision > revision {
			out = append(out, sl.latest.Record)
		}
		if sl.good != nil && sl.good != sl.latest && sl.good.Revision > revision {
			out = append(out, sl.good.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return out
}
