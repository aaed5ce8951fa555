package rollout

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// Quarantine stops a version. It takes effect when a process raises it, before it
// is written to the store.
type Quarantine struct {
	Model        string
	Version      string
	Reason       string
	ID           string // unique; identifies a write whose response was lost
	BaseRevision uint64 // revision of the key in the store when it was raised; 0 if absent
}

// Key returns the version that the quarantine stops.
func (q Quarantine) Key() VersionKey { return VersionKey{q.Model, q.Version} }

func (q Quarantine) supersedes(o Quarantine) bool {
	if q.BaseRevision != o.BaseRevision {
		return q.BaseRevision > o.BaseRevision
	}
	return q.ID < o.ID
}

// QuarantineSet holds one raised quarantine per version: the one with the highest
// BaseRevision and, among those, the lowest ID. Merge is therefore commutative,
// associative and idempotent.
type QuarantineSet struct {
	raised         map[VersionKey]Quarantine
	storeRevisions map[VersionKey]uint64 // highest observed revision of the key in the store
}

// NewQuarantineSet returns an empty set.
func NewQuarantineSet() *QuarantineSet {
	return &QuarantineSet{raised: map[VersionKey]Quarantine{}, storeRevisions: map[VersionKey]uint64{}}
}

// MayRaise reports whether a verdict may raise a quarantine. If the key exists in
// the store, an operator or an earlier quarantine has decided, and a verdict does
// not override an operator who lifted the quarantine.
func MayRaise(storeRevision uint64) bool { return storeRevision == 0 }

// Add adds one quarantine and reports whether the set changed.
func (s *QuarantineSet) Add(q Quarantine) bool {
	old, ok := s.raised[q.Key()]
	if ok && !q.supersedes(old) {
		return false
	}
	s.raised[q.Key()] = q
	return true
}

// Merge adds the quarantines of another set and reports whether the set changed.
func (s *QuarantineSet) Merge(list []Quarantine) bool {
	changed := false
	for _, q := range list {
		changed = s.Add(q) || changed
	}
	return changed
}

// Active reports whether a version is quarantined. A raised quarantine applies
// until the key in the store has a revision above BaseRevision. From then on the
// record in the store applies.
func (s *QuarantineSet) Active(key VersionKey, storeRevision uint64, storeQuarantined bool) bool {
	if q, ok := s.raised[key]; ok && storeRevision <= q.BaseRevision {
		return true
	}
	return storeQuarantined
}

// ObserveRevision records the revision of a key in the store. A quarantine whose
// BaseRevision is lower is no longer pending.
func (s *QuarantineSet) ObserveRevision(key VersionKey, storeRevision uint64) {
	if _, ok := s.raised[key]; ok {
		s.storeRevisions[key] = max(s.storeRevisions[key], storeRevision)
	}
}

// Pending returns the quarantines that have to be written to the store with a
// compare-and-swap on BaseRevision, sorted by version.
func (s *QuarantineSet) Pending() []Quarantine {
	return s.list(func(q Quarantine) bool { return s.storeRevisions[q.Key()] <= q.BaseRevision })
}

// All returns every raised quarantine, sorted by version.
func (s *QuarantineSet) All() []Quarantine {
	return s.list(func(Quarantine) bool { return true })
}

func (s *QuarantineSet) list(want func(Quarantine) bool) []Quarantine {
	var out []Quarantine
	for _, q := range s.raised {
		if want(q) {
			out = append(out, q)
		}
	}
	slices.SortFunc(out, func(a, b Quarantine) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// Forget drops a version that was deleted from the configuration.
func (s *QuarantineSet) Forget(key VersionKey) {
	delete(s.raised, key)
	delete(s.storeRevisions, key)
}

// Encode returns every raised quarantine in msgpack.
func (s *QuarantineSet) Encode() ([]byte, error) { return encode(s.All()) }

// DecodeQuarantines decodes the result of QuarantineSet.Encode. The error is a
// *MalformedError.
func DecodeQuarantines(b []byte) ([]Quarantine, error) {
	var out []Quarantine
	if err := msgpack.Unmarshal(b, &out); err != nil {
		return nil, &MalformedError{err.Error()}
	}
	return out, nil
}
