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
// revision that was ever applied. It is safe for concurrent use.
//
// If this build cannot decode the newest record of a key, the snapshot also keeps
// the newest one that it can decode, as a fallback: the fallback stays in force
// and is sent to peers.
type Snapshot struct {
	mu            sync.Mutex
	states        map[string]keyState
	listRevisions map[string]uint64 // by prefix: revision of the newest full list
	revision      uint64
	digest        uint64
	changed       chan struct{}
	view          atomic.Pointer[View]
}

// decodedRecord is a record with its decoded envelope or the decoding error.
type decodedRecord struct {
	Record
	envelope  Envelope
	decodeErr error
}

// usable reports whether the record can be in force. This includes a quarantine
// that cannot be decoded: its key identifies the quarantined version, and ignoring
// it would send requests to a bad version.
func (rec *decodedRecord) usable() bool {
	return rec.decodeErr == nil || strings.HasPrefix(rec.Key, QuarantinePrefix)
}

// keyState holds the records kept for one key.
type keyState struct {
	latest     *decodedRecord
	lastUsable *decodedRecord // newest usable record; nil if there was none
}

// NewSnapshot returns an empty snapshot.
func NewSnapshot() *Snapshot {
	s := &Snapshot{states: map[string]keyState{}, listRevisions: map[string]uint64{}, changed: make(chan struct{})}
	s.view.Store(buildView(s))
	return s
}

// Apply merges records into the snapshot and returns those that changed it. A
// record replaces only a lower revision of its key. The snapshot retains the Raw
// slices.
func (s *Snapshot) Apply(records []Record) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.publish(s.applyRecords(records))
}

// ApplyList merges a full list of all prefixes. Keys of the snapshot that are
// missing in the list become tombstones at listRevision, unless they were written
// later.
func (s *Snapshot) ApplyList(all []Record, listRevision uint64) []Record {
	return s.applyList(Prefixes(), all, listRevision)
}

// ApplyPrefixList is ApplyList for a full list of one prefix.
func (s *Snapshot) ApplyPrefixList(prefix string, all []Record, listRevision uint64) []Record {
	return s.applyList([]string{prefix}, all, listRevision)
}

func (s *Snapshot) applyList(prefixes []string, all []Record, listRevision uint64) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := s.applyRecords(all)
	present := make(map[string]bool, len(all))
	for _, r := range all {
		present[r.Key] = true
	}
	for key, state := range s.states {
		if slices.Contains(prefixes, prefixOf(key)) && !present[key] && len(state.latest.Raw) > 0 {
			applied = append(applied, s.applyRecords([]Record{{Key: key, Revision: listRevision}})...)
		}
	}
	for _, p := range prefixes {
		s.listRevisions[p] = max(s.listRevisions[p], listRevision)
	}
	return s.publish(applied)
}

func (s *Snapshot) applyRecords(records []Record) []Record {
	var applied []Record
	for _, r := range records {
		if r, ok := s.applyRecord(r); ok {
			applied = append(applied, r)
		}
	}
	return applied
}

// applyRecord merges one record. It returns the record that was stored, which may
// be a tombstone in its place, and whether the snapshot changed.
func (s *Snapshot) applyRecord(r Record) (Record, bool) {
	prefix := prefixOf(r.Key)
	if prefix == "" || r.Revision == 0 {
		return r, false
	}
	state, known := s.states[r.Key]
	if !known && len(r.Raw) > 0 && r.Revision < s.listRevisions[prefix] {
		// A full list newer than the record did not have the key, so the record was
		// deleted in between. A peer that missed the deletion still sends the record.
		r = Record{Key: r.Key, Revision: s.listRevisions[prefix]}
	}
	if known && r.Revision <= state.latest.Revision {
		return r, s.applyFallback(state, r)
	}
	rec := decodeRecord(r)
	s.revision = max(s.revision, r.Revision)
	next := keyState{latest: rec, lastUsable: state.lastUsable}
	if rec.usable() {
		next.lastUsable = rec
	}
	s.setState(r.Key, next)
	return r, true
}

// setState replaces the state of a key and updates the digest.
func (s *Snapshot) setState(key string, next keyState) {
	s.digest ^= s.states[key].digest() ^ next.digest()
	s.states[key] = next
}

// applyFallback stores a record that is older than the newest one of its key, if
// the newest cannot be decoded and this one is newer than the known fallback.
func (s *Snapshot) applyFallback(state keyState, r Record) bool {
	if state.latest.usable() || r.Revision == state.latest.Revision || state.lastUsable != nil && r.Revision <= state.lastUsable.Revision {
		return false
	}
	rec := decodeRecord(r)
	if !rec.usable() {
		return false
	}
	state.lastUsable = rec
	s.setState(r.Key, state)
	return true
}

func decodeRecord(r Record) *decodedRecord {
	rec := &decodedRecord{Record: r}
	rec.envelope, rec.decodeErr = Decode(r.Key, r.Raw)
	return rec
}

// digest returns the key's contribution to the snapshot digest. It includes the
// fallback for a record that cannot be decoded, so that the digest of a process
// without the fallback differs.
func (k keyState) digest() uint64 {
	if k.latest == nil {
		return 0
	}
	d := k.latest.digest()
	if k.lastUsable != nil && k.lastUsable != k.latest {
		d ^= bits.RotateLeft64(k.lastUsable.digest(), 1)
	}
	return d
}

// digest returns the record's contribution to the digest of its key. It is 0 for a
// key that the store no longer has, because processes may have detected the
// removal at different list revisions.
func (rec *decodedRecord) digest() uint64 {
	if len(rec.Raw) == 0 {
		return 0
	}
	b := append([]byte(rec.Key), 0)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, rec.Revision))
}

// publish updates the view and notifies waiters if records were applied.
func (s *Snapshot) publish(applied []Record) []Record {
	if len(applied) == 0 {
		return nil
	}
	s.view.Store(buildView(s))
	close(s.changed)
	s.changed = make(chan struct{})
	return applied
}

// Revision returns the highest revision of the records. It ignores the revisions
// of lists, because writes to other keys of the store increase them.
func (s *Snapshot) Revision() uint64 { return s.View().Revision }

// Digest returns an order-independent digest of the records: equal digests mean
// equal keys and revisions, of the newest records and of the fallbacks.
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
	state, ok := s.states[key]
	if !ok {
		return Record{}, false
	}
	return state.latest.Record, true
}

// Records returns all records by revision, lowest first.
func (s *Snapshot) Records() []Record { return s.RecordsAfter(0) }

// RecordsAfter returns the records with a higher revision, lowest first, including
// fallbacks for records that cannot be decoded.
func (s *Snapshot) RecordsAfter(revision uint64) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Record
	for _, state := range s.states {
		if state.latest.Revision > revision {
			out = append(out, state.latest.Record)
		}
		if state.lastUsable != nil && state.lastUsable != state.latest && state.lastUsable.Revision > revision {
			out = append(out, state.lastUsable.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
	})
	return out
}
