package rollout

import (
	"cmp"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// Quarantine stops a version. A process raises it before the store has it.
type Quarantine struct {
	Model        string
	Version      string
	Reason       string
	ID           string // unique, identifies a write whose response was lost
	BaseRevision uint64 // revision of the store's key when it was raised; 0 when absent
}

// Key names the version.
func (q Quarantine) Key() VersionKey { return VersionKey{q.Model, q.Version} }

func (q Quarantine) above(o Quarantine) bool {
	if q.BaseRevision != o.BaseRevision {
		return q.BaseRevision > o.BaseRevision
	}
	return q.ID < o.ID
}

// QuarantineSet holds raised quarantines, one for each version: the one with
// the highest BaseRevision, and among those the lowest ID. Merge is therefore
// commutative, associative and idempotent.
type QuarantineSet struct {
	raised  map[VersionKey]Quarantine
	settled map[VersionKey]uint64 // highest store revision seen
}

// NewQuarantineSet returns an empty set.
func NewQuarantineSet() *QuarantineSet {
	return &QuarantineSet{raised: map[VersionKey]Quarantine{}, settled: map[VersionKey]uint64{}}
}

// MayRaise reports whether a verdict may raise a quarantine. A key that the
// store has was decided by an operator or by an earlier quarantine; the
// evidence does not overrule an operator who lifted it.
func MayRaise(storeRevision uint64) bool { return storeRevision == 0 }

// Add adopts one quarantine and reports whether the set changed.
func (s *QuarantineSet) Add(q Quarantine) bool {
	old, ok := s.raised[q.Key()]
	if ok && !q.above(old) {
		return false
	}
	s.raised[q.Key()] = q
	return true
}

// Merge adopts the quarantines of another set and reports whether any is new.
func (s *QuarantineSet) Merge(list []Quarantine) bool {
	changed := false
	for _, q := range list {
		changed = s.Add(q) || changed
	}
	return changed
}

// Active reports whether a version is quarantined. A raised quarantine is in
// force until the store's key has a revision above its base; from then on the
// store's record decides.
func (s *QuarantineSet) Active(key VersionKey, storeRevision uint64, storeQuarantined bool) bool {
	if q, ok := s.raised[key]; ok && storeRevision <= q.BaseRevision {
		return true
	}
	return storeQuarantined
}

// Settle tells the set the store's revision of a key. A quarantine whose base
// is below it is no longer pending.
func (s *QuarantineSet) Settle(key VersionKey, storeRevision uint64) {
	if _, ok := s.raised[key]; ok {
		s.settled[key] = max(s.settled[key], storeRevision)
	}
}

// Pending lists the quarantines that are to be written to the store by
// compare-and-swap on BaseRevision, in a fixed order.
func (s *QuarantineSet) Pending() []Quarantine {
	return s.list(func(q Quarantine) bool { return s.settled[q.Key()] <= q.BaseRevision })
}

// All lists every raised quarantine, in a fixed order.
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

// Forget drops a version that has left the records.
func (s *QuarantineSet) Forget(key VersionKey) {
	delete(s.raised, key)
	delete(s.settled, key)
}

// Encode returns the msgpack form of every raised quarantine.
func (s *QuarantineSet) Encode() ([]byte, error) { return encode(s.All()) }

// DecodeQuarantines reads the msgpack form of a set, for Merge.
func DecodeQuarantines(b []byte) ([]Quarantine, error) {
	var out []Quarantine
	if err := msgpack.Unmarshal(b, &out); err != nil {
		return nil, &MalformedError{err.Error()}
	}
	return out, nil
}
