package crashcause

import (
	"slices"
	"time"
)

// Block makes entries reject the requests whose prompts contain all its parts. There is
// more than one part while it is not known which of them causes the crashes.
type Block struct {
	Parts []uint64
	// Workspaces are those whose requests have crashed engines. A block of one workspace
	// does not apply to the others, so that none can make the requests of another one
	// fail. A block of two applies to all.
	Workspaces []uint64
	// AnyPoint means that engines crash at any point of an answer, so that only a whole answer
	// lifts the block. Otherwise one that begins does.
	AnyPoint bool
	// Since is when the block was formed.
	Since time.Time
}

// appliesTo reports whether the block rejects a request.
func (b *Block) appliesTo(workspace uint64, parts []uint64) bool {
	return (len(b.Workspaces) >= maxWorkspaces || slices.Contains(b.Workspaces, workspace)) && containsAll(parts, b.Parts)
}

func (b *Block) addWorkspace(workspace uint64) {
	if len(b.Workspaces) < maxWorkspaces && !slices.Contains(b.Workspaces, workspace) {
		b.Workspaces = append(b.Workspaces, workspace)
	}
}

func (b *Block) clone() Block {
	return Block{Parts: slices.Clone(b.Parts), Workspaces: slices.Clone(b.Workspaces), AnyPoint: b.AnyPoint, Since: b.Since}
}

// insert adds a block, in place of the oldest one if there are too many.
func (t *Tracker) insert(b *Block) {
	if len(t.blocks) >= MaxBlocks {
		t.blocks = slices.Delete(t.blocks, 0, 1)
	}
	t.blocks = append(t.blocks, b)
}

// liftBlocks removes a part from the blocks that may be lifted, and reports whether it was in
// one.
func (t *Tracker) liftBlocks(part uint64, mayLift func(*Block) bool) (found bool) {
	if len(t.blocks) == 0 {
		return false
	}
	for _, b := range t.blocks {
		if i := slices.Index(b.Parts, part); i >= 0 && mayLift(b) {
			b.Parts = slices.Delete(b.Parts, i, i+1)
			found = true
		}
	}
	if found {
		t.blocks = slices.DeleteFunc(t.blocks, func(b *Block) bool {
			if len(b.Parts) == 0 {
				t.answers.replaceCause(b, nil) // the crashes have another cause
			}
			return len(b.Parts) == 0
		})
		t.dropImplied()
	}
	return found
}

// dropImplied drops the blocks that reject no more than another one. All entries with the
// same evidence thus keep the same blocks.
func (t *Tracker) dropImplied() {
	for i := 0; i < len(t.blocks); {
		b := t.blocks[i]
		other := slices.IndexFunc(t.blocks, func(o *Block) bool { return o != b && o.Implies(b) })
		if other < 0 {
			i++
			continue
		}
		t.starts.replaceCause(b, t.blocks[other])
		t.answers.replaceCause(b, t.blocks[other])
		t.blocks = slices.Delete(t.blocks, i, i+1)
	}
}

// Implies reports whether b rejects all requests that o rejects, and is lifted no earlier.
func (b *Block) Implies(o *Block) bool {
	return b.covers(o) && (len(b.Workspaces) >= maxWorkspaces || containsAll(b.Workspaces, o.Workspaces))
}

// covers reports whether b rejects all requests of its workspaces that o rejects, and is lifted
// no earlier.
func (b *Block) covers(o *Block) bool {
	return containsAll(o.Parts, b.Parts) && (b.AnyPoint || !o.AnyPoint)
}

// Blocked returns the block that rejects a request, if there is one.
func (t *Tracker) Blocked(now time.Time, workspace uint64, parts []uint64) (Block, bool) {
	if len(t.blocks) == 0 {
		return Block{}, false
	}
	for _, b := range t.blocks {
		if now.Sub(b.Since) <= Retention && b.appliesTo(workspace, parts) {
			return b.clone(), true
		}
	}
	return Block{}, false
}

// HasBlocks reports whether there is any block.
func (t *Tracker) HasBlocks() bool { return len(t.blocks) > 0 }

// Blocks returns the blocks in force.
func (t *Tracker) Blocks(now time.Time) []Block {
	var all []Block
	for _, b := range t.blocks {
		if now.Sub(b.Since) <= Retention {
			all = append(all, b.clone())
		}
	}
	return all
}

// Merge adds blocks that other entries have formed. Parts that have been found sound
// since then do not count. It reports whether anything changed.
func (t *Tracker) Merge(now time.Time, blocks []Block) (changed bool) {
	for _, received := range blocks {
		b := received.clone()
		b.Parts = slices.DeleteFunc(b.Parts[:min(len(b.Parts), MaxParts)], func(p uint64) bool {
			return t.soundSince(&b, p)
		})
		if len(b.Parts) == 0 || len(b.Workspaces) == 0 || now.Sub(b.Since) > Retention {
			continue
		}
		changed = t.mergeBlock(&b) || changed
	}
	return changed
}

// soundSince reports whether an answer has shown a part of a block to be sound since the block
// was formed.
func (t *Tracker) soundSince(b *Block, part uint64) bool {
	sound := t.starts.sound
	if b.AnyPoint {
		sound = t.answers.sound
	}
	return sound.lastAnswer(part).After(b.Since)
}

// mergeBlock adds a block unless another one implies it.
func (t *Tracker) mergeBlock(b *Block) (changed bool) {
	for _, known := range t.blocks {
		if known.Implies(b) {
			return false
		}
		if known.covers(b) { // and from another workspace
			for _, w := range b.Workspaces {
				known.addWorkspace(w)
			}
			t.dropImplied()
			return true
		}
	}
	t.insert(b)
	t.dropImplied()
	return true
}

// containsAll reports whether all elements of subset are in parts.
func containsAll(parts, subset []uint64) bool {
	for _, p := range subset {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// intersect returns the elements of a that are also in b.
func intersect(a, b []uint64) []uint64 {
	var common []uint64
	for _, p := range a {
		if slices.Contains(b, p) {
			common = append(common, p)
		}
	}
	return common
}
