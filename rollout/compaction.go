package rollout

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCompactedOrigins bounds Compaction.Members. At 240 restarts a day it covers
// two days. A process that was partitioned for longer may send the counters of an
// origin that is no longer in the list, and they are then counted twice.
const maxCompactedOrigins = 512

// Compaction sums the counters of origins that have left the fleet. These rules
// keep the merge correct:
//
//   - Of two compactions the one with the higher (Epoch, Compactor) is adopted as
//     a whole. This is a total order, and every compactor increments the epoch, so
//     the merge of compactions is commutative, associative and idempotent, like
//     the merge of the counters by origin.
//   - Totals are Sum plus the counters of the origins that are not in Members, so
//     an origin is counted once whether or not a peer still sends its counters.
//   - The counters of compacted origins are kept, without being counted, until the
//     next epoch. If two processes compact concurrently, the origins that are only
//     in the superseded compaction are counted individually again, and a later
//     compaction includes them.
//
// The compacting process should hold the platform's lease for cleanup. Concurrent
// compactions are safe; their only cost is that one has to be repeated.
type Compaction struct {
	Epoch     uint64
	Compactor string
	Members   []uint64         // hashes of origins, oldest first
	Sum       []OriginCounters // Origin is empty
}

func (c Compaction) supersedes(o Compaction) bool {
	if c.Epoch != o.Epoch {
		return c.Epoch > o.Epoch
	}
	return c.Compactor > o.Compactor
}

func originHash(origin string) uint64 { return xxhash.Sum64String(origin) }

func (e *Evidence) isCompacted(origin string) bool {
	return len(e.compacted) > 0 && e.compacted[originHash(origin)]
}

// isPruned reports whether an origin was compacted in an earlier epoch and its own
// counters were dropped. A late copy of them is then ignored.
func (e *Evidence) isPruned(origin string) bool {
	return e.pruned[originHash(origin)]
}

// CompactDeparted compacts the origins for which departed returns true and returns
// their number. An origin should have left the fleet some minutes ago, because
// counters of it that arrive after the compaction are ignored.
func (e *Evidence) CompactDeparted(departed func(origin string) bool) int {
	next := Compaction{Epoch: e.compaction.Epoch + 1, Compactor: e.origin(), Members: slices.Clone(e.compaction.Members)}
	sum := map[VersionKey]cells{}
	for _, p := range e.compaction.Sum {
		if !e.forgotten[p.Key] {
			sum[p.Key] = slices.Clone(p.Cells)
		}
	}
	added := map[string]bool{}
	for id, el := range e.byOrigin {
		if id.origin == e.origin() || e.isCompacted(id.origin) || !departed(id.origin) {
			continue
		}
		if !added[id.origin] {
			added[id.origin] = true
			next.Members = append(next.Members, originHash(id.origin))
		}
		for _, c := range el.Value.(*originState).cells {
			sum[id.key] = sum[id.key].withCounts(c.ID, sum[id.key].counts(c.ID).add(c.Counts))
		}
	}
	if len(added) == 0 {
		return 0
	}
	next.Members = next.Members[max(0, len(next.Members)-maxCompactedOrigins):]
	for k, c := range sum {
		next.Sum = append(next.Sum, OriginCounters{Key: k, Cells: c})
	}
	e.adoptCompaction(next)
	return len(added)
}

// adoptCompaction replaces the local compaction by c if c supersedes it, and
// reports whether it did.
func (e *Evidence) adoptCompaction(c Compaction) bool {
	if !c.supersedes(e.compaction) {
		return false
	}
	old := e.compacted
	newEpoch := c.Epoch > e.compaction.Epoch
	e.compaction, e.compacted, e.pruned = c, map[uint64]bool{}, map[uint64]bool{}
	for _, h := range c.Members {
		e.compacted[h] = true
		e.pruned[h] = newEpoch && old[h]
	}
	for id, el := range e.byOrigin {
		if e.isPruned(id.origin) {
			e.changeOrder.Remove(el)
			delete(e.byOrigin, id)
		}
	}
	// This process was compacted as departed although it is running. It continues
	// to count under a new origin.
	for e.isCompacted(e.origin()) {
		e.generation++
	}
	e.seq++
	e.compactionSeq = e.seq
	e.rebuildTotals()
	return true
}

func (e *Evidence) rebuildTotals() {
	e.totals = map[VersionKey]cells{}
	for _, p := range e.compaction.Sum {
		for _, c := range p.Cells {
			if !e.forgotten[p.Key] {
				e.addTotal(p.Key, c.ID, c.Counts)
			}
		}
	}
	for id, el := range e.byOrigin {
		if e.isCompacted(id.origin) {
			continue
		}
		for _, c := range el.Value.(*originState).cells {
			e.addTotal(id.key, c.ID, c.Counts)
		}
	}
}
