package fleet

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CopySummary identifies what a copy of the store contains under a prefix. Copies that are
// complete up to the same revision, and hold no later items, have the same keys and digest.
type CopySummary struct {
	// Era and Revision are those up to which all changes are known.
	Era      int64 `json:"era"`
	Revision int64 `json:"revision"`
	// Keys is the number of keys that exist, and Digest the sum of their KeyDigests.
	Keys   int    `json:"keys"`
	Digest uint64 `json:"digest,string"`
}

// Summaries returns a summary for each prefix. Keys that the store has lost are counted as
// they are in the store.
func (s *State) Summaries() map[string]CopySummary {
	s.mu.Lock()
	defer s.mu.Unlock()
	summaries := make(map[string]CopySummary)
	for prefix, p := range s.prefixes {
		summary := CopySummary{Era: Era(p.complete), Revision: StoreRevision(p.complete)}
		for key, item := range s.items {
			if d, ok := s.disputed[key]; ok {
				item = d.item
			}
			if !item.Deleted && strings.HasPrefix(key, prefix) {
				summary.Keys++
				summary.Digest += KeyDigest(key, item.Revision)
			}
		}
		summaries[prefix] = summary
	}
	return summaries
}

// KeyDigest returns the digest of a key at a revision.
func KeyDigest(key string, revision int64) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64(append([]byte(key), 0), uint64(revision)))
}
