package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Processes take over changes from each other's copies of the store. A process that has
// listed the store knows which keys exist, but not which were removed before. It therefore
// records from which revision on it has followed all removals. A peer that asks for the
// changes after an earlier revision is told the keys that exist, and removes the others.

// maxTombstones limits the removed keys that a process remembers for its peers. A peer that
// misses more removals is told the keys that exist.
const maxTombstones = 512

// Changes are the changes of a process's copy of the store after a revision.
type Changes struct {
	// Since is the revision after which the changes are. Only a copy that is complete up
	// to it becomes complete by applying them.
	Since int64
	// Revision is the revision up to which all changes under all prefixes are known, 0 if
	// the store has not been read.
	Revision int64
	// Items holds the newest item of each key that has changed, tombstones included.
	Items []Item
	// Prefixes lists the keys that exist. It is empty if Items holds all removals after
	// Since; if Since is 0, it is empty only if nothing is known of removals.
	Prefixes []PrefixKeys
}

// PrefixKeys are the keys under a prefix.
type PrefixKeys struct {
	Prefix string
	// Revision is the revision up to which all changes under the prefix are known.
	Revision int64
	// Keys holds all keys that exist.
	Keys []string
}

// prefixCopy describes the copy of the keys under a prefix.
type prefixCopy struct {
	// complete is the revision up to which all changes are known.
	complete int64
	// removalsSince is the revision after which all removals are known.
	removalsSince int64
}

// prefixCopyOf returns the copy to which a key belongs, nil if there is none.
func (s *State) prefixCopyOf(key string) *prefixCopy {
	for prefix, p := range s.prefixes {
		if strings.HasPrefix(key, prefix) {
			return p
		}
	}
	return nil
}

// ChangesSince returns the changes after a revision.
func (s *State) ChangesSince(revision int64) Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Changes{Since: revision, Revision: s.completeRevision(), Items: s.itemsAfter(revision)}
	for _, p := range s.prefixes {
		if revision < p.removalsSince {
			c.Prefixes = s.prefixKeys()
			break
		}
	}
	return c
}

// prefixKeys returns the keys under all prefixes.
func (s *State) prefixKeys() []PrefixKeys {
	var all []PrefixKeys
	for _, prefix := range slices.Sorted(maps.Keys(s.prefixes)) {
		all = append(all, PrefixKeys{Prefix: prefix, Revision: s.prefixes[prefix].complete, Keys: s.keysUnder(prefix)})
	}
	return all
}

// itemsAfter returns the items that are newer than a revision. Of a key whose known item the
// store has lost it returns both that and, after it, the item of the store.
func (s *State) itemsAfter(revision int64) []Item {
	if revision >= s.view.Revision {
		return nil
	}
	var items []Item
	for _, item := range s.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	for _, d := range s.disputed {
		if d.item.Revision > revision {
			items = append(items, d.item)
		}
	}
	return items
}

// keysUnder returns the keys under a prefix that exist in the store.
func (s *State) keysUnder(prefix string) []string {
	var keys []string
	for key, item := range s.items {
		if d, ok := s.disputed[key]; ok {
			item = d.item
		}
		if !item.Deleted && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// RevisionsAfter returns the revisions of at most limit items that are newer than a
// revision, by key.
func (s *State) RevisionsAfter(revision int64, limit int) map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := s.itemsAfter(revision)
	if len(items) == 0 {
		return nil
	}
	revisions := make(map[string]int64)
	for _, item := range items[:min(len(items), limit)] {
		revisions[item.Key] = max(revisions[item.Key], item.Revision)
	}
	return revisions
}

// Merge applies changes of another process's copy. It returns the applied items and those
// that could not be decoded. complete reports whether this copy now contains all that the
// other one contains.
func (s *State) Merge(c Changes) (adopted []Item, rejected []Rejected, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(c.Prefixes) > 0:
		return s.mergeKeys(c)
	case c.Since == 0 || c.Revision == 0 || c.Since > s.completeRevision():
		adopted, rejected = s.apply(s.withoutOutdated(c.Items))
		return adopted, rejected, false
	}
	adopted, rejected = s.apply(s.withoutOutdated(c.Items))
	for _, p := range s.prefixes {
		p.complete = max(p.complete, c.Revision)
	}
	s.dropTombstones()
	return adopted, rejected, true
}

// mergeKeys is Merge for changes that list the keys.
func (s *State) mergeKeys(c Changes) (adopted []Item, rejected []Rejected, complete bool) {
	items := slices.Clip(c.Items)
	var covered []PrefixKeys
	for _, theirs := range c.Prefixes {
		own := s.prefixes[theirs.Prefix]
		if own == nil || theirs.Revision == 0 || c.Since > own.complete {
			continue
		}
		covered = append(covered, theirs)
		if theirs.Revision > own.complete {
			items = append(items, s.removals(theirs.Prefix, theirs.Keys, theirs.Revision)...)
		}
	}
	adopted, rejected = s.apply(s.withoutOutdated(items))
	for _, theirs := range covered {
		if own := s.prefixes[theirs.Prefix]; theirs.Revision > own.complete {
			own.complete, own.removalsSince = theirs.Revision, theirs.Revision
		}
	}
	s.dropTombstones()
	return adopted, rejected, len(covered) == len(s.prefixes)
}

// removals returns tombstones for the known keys under a prefix that did not exist at a
// revision. keys are those that existed.
func (s *State) removals(prefix string, keys []string, revision int64) []Item {
	exists := make(map[string]bool, len(keys))
	for _, key := range keys {
		exists[key] = true
	}
	var removed []Item
	for key, known := range s.items {
		if !strings.HasPrefix(key, prefix) || exists[key] {
			continue
		}
		if d, ok := s.disputed[key]; ok && known.Deleted && d.item.Revision <= revision {
			delete(s.disputed, key)
		}
		if !known.Deleted && known.Revision <= revision {
			removed = append(removed, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	return removed
}

// withoutOutdated returns the items that are newer than the revision up to which the copy is
// complete. Others say nothing new: their keys have changed again, or were removed.
func (s *State) withoutOutdated(items []Item) []Item {
	return slices.DeleteFunc(slices.Clone(items), func(item Item) bool {
		p := s.prefixCopyOf(item.Key)
		return p != nil && item.Revision <= p.complete
	})
}

// dropTombstones forgets the oldest removed keys if there are too many.
func (s *State) dropTombstones() {
	if s.tombstones <= maxTombstones {
		return
	}
	var removed []Item
	for key, item := range s.items {
		_, disputed := s.disputed[key]
		if p := s.prefixCopyOf(key); item.Deleted && !disputed && p != nil && item.Revision <= p.complete {
			removed = append(removed, item)
		}
	}
	slices.SortFunc(removed, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, item := range removed[:max(0, min(len(removed), s.tombstones-maxTombstones/2))] {
		delete(s.items, item.Key)
		s.tombstones--
		p := s.prefixCopyOf(item.Key)
		p.removalsSince = max(p.removalsSince, item.Revision)
	}
}

// CompleteRevision returns the revision up to which all changes under all prefixes are
// known.
func (s *State) CompleteRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completeRevision()
}

func (s *State) completeRevision() int64 {
	least, first := int64(0), true
	for _, p := range s.prefixes {
		if first || p.complete < least {
			least, first = p.complete, false
		}
	}
	return least
}

// CompleteRevisionUnder returns the revision up to which all changes under a prefix of
// the state are known.
func (s *State) CompleteRevisionUnder(prefix string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.prefixes[prefix]; p != nil {
		return p.complete
	}
	return 0
}
