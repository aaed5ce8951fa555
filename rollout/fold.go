package rollout

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxFolded bounds the list of folded origins. At 240 restarts a day it covers
// two days; a process that was cut off for longer than that may bring back the
// counters of an origin that has left the list, which are then counted twice.
const maxFolded = 512

// Fold sums the counters of origins that are gone. It keeps the merge correct
// in this way:
//
//   - Of two folds the one with the higher (Epoch, Folder) is adopted as a
//     whole. That is a total order, and every folder raises the epoch, so the
//     merge of folds is commutative, associative and idempotent, like the merge
//     of the parts beside it.
//   - Totals are Sum plus the parts whose origin is not in Members, so an origin
//     counts once whether a peer still sends its part or not.
//   - Parts of folded origins are kept, uncounted, until the next epoch. If two
//     processes folded at once, the origins that only the losing fold named are
//     counted by their parts again, and a later fold takes them up.
//
// The process that folds should hold the platform's lease for cleanup; two
// folders at once cost nothing but a repeated fold.
type Fold struct {
	Epoch   uint64
	Folder  string
	Members []uint64 // hashes of origins, oldest first
	Sum     []Part   // Origin is empty
}

func (f Fold) above(o Fold) bool {
	if f.Epoch != o.Epoch {
		return f.Epoch > o.Epoch
	}
	return f.Folder > o.Folder
}

func originHash(origin string) uint64 { return xxhash.Sum64String(origin) }

func (e *Evidence) isFolded(origin string) bool {
	return len(e.folded) > 0 && e.folded[originHash(origin)]
}

// isPruned reports whether a part is folded and no longer kept, so that a late
// copy does not bring it back.
func (e *Evidence) isPruned(origin string) bool {
	return e.pruned[originHash(origin)]
}

// FoldGone folds the origins for which gone is true and returns their number.
// An origin should have been gone for some minutes, because counters that
// arrive after the fold are ignored.
func (e *Evidence) FoldGone(gone func(origin string) bool) int {
	f := Fold{Epoch: e.fold.Epoch + 1, Folder: e.origin(), Members: slices.Clone(e.fold.Members)}
	sum := map[VersionKey]cells{}
	for _, p := range e.fold.Sum {
		if !e.forgotten[p.Key] {
			sum[p.Key] = slices.Clone(p.Cells)
		}
	}
	added := map[string]bool{}
	for id, el := range e.parts {
		if id.origin == e.origin() || e.isFolded(id.origin) || !gone(id.origin) {
			continue
		}
		if !added[id.origin] {
			added[id.origin] = true
			f.Members = append(f.Members, originHash(id.origin))
		}
		for _, c := range el.Value.(*part).cells {
			sum[id.key] = sum[id.key].with(c.ID, sum[id.key].at(c.ID).add(c.Counts))
		}
	}
	if len(added) == 0 {
		return 0
	}
	f.Members = f.Members[max(0, len(f.Members)-maxFolded):]
	for k, c := range sum {
		f.Sum = append(f.Sum, Part{Key: k, Cells: c})
	}
	e.adoptFold(f)
	return len(added)
}

func (e *Evidence) adoptFold(f Fold) bool {
	if !f.above(e.fold) {
		return false
	}
	old := e.folded
	newEpoch := f.Epoch > e.fold.Epoch
	e.fold, e.folded, e.pruned = f, map[uint64]bool{}, map[uint64]bool{}
	for _, h := range f.Members {
		e.folded[h] = true
		e.pruned[h] = newEpoch && old[h]
	}
	for id, el := range e.parts {
		if e.isPruned(id.origin) {
			e.order.Remove(el)
			delete(e.parts, id)
		}
	}
	// A process that was taken for gone goes on counting under a new origin.
	for e.isFolded(e.origin()) {
		e.generation++
	}
	e.seq++
	e.foldSeq = e.seq
	e.rebuildTotals()
	return true
}

func (e *Evidence) rebuildTotals() {
	e.totals = map[VersionKey]cells{}
	for _, p := range e.fold.Sum {
		for _, c := range p.Cells {
			if !e.forgotten[p.Key] {
				e.addTotal(p.Key, c.ID, c.Counts)
			}
		}
	}
	for id, el := range e.parts {
		if e.isFolded(id.origin) {
			continue
		}
		for _, c := range el.Value.(*part).cells {
			e.addTotal(id.key, c.ID, c.Counts)
		}
	}
}
