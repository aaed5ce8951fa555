package crashcause

import "time"

// starts is the evidence for parts under which engines crash before an answer begins. An
// answer that begins refutes it.
type starts struct {
	*evidence
	blockPoints int
}

// candidates returns the suspects of a crash that may have caused it: those whose answers
// were about to begin, if there are any.
func (starts) candidates(c *crash, now time.Time) []Suspect {
	if c.cause != nil {
		return nil
	}
	var begun []Suspect
	for _, s := range c.suspects {
		if s.Phase == Begun {
			begun = append(begun, s)
		}
	}
	switch {
	case len(begun) > 0:
		return begun
	case !c.settled(now):
		return nil
	}
	return c.suspects
}

// extend looks for crashes that a block explains. A crash of another workspace widens the
// block, and a crash under only some of its parts narrows the parts down.
func (t starts) extend(now time.Time, b *Block) {
	for _, c := range t.crashes {
		for _, s := range t.candidates(c, now) {
			common := intersect(b.Parts, s.Parts)
			if len(common) == len(b.Parts) || s.Phase == Begun && len(common) > 0 {
				b.Parts = common
				b.addWorkspace(s.Workspace)
				c.cause = b
			}
		}
	}
}

// form returns a new block for the part with the most points, or nil if no part has
// enough.
func (t starts) form(now time.Time) *Block {
	points := make(map[uint64]int)
	best := uint64(0)
	for _, c := range t.crashes {
		seen := make(map[uint64]bool)
		candidates := t.candidates(c, now)
		for _, s := range candidates {
			value := waitingPoints
			if s.Phase == Begun || len(candidates) == 1 {
				value = begunPoints
			}
			for _, p := range s.Parts {
				if seen[p] {
					continue
				}
				seen[p] = true
				points[p] += value
				if points[p] > points[best] || points[p] == points[best] && p < best {
					best = p
				}
			}
		}
	}
	if points[best] < t.blockPoints {
		return nil
	}
	return t.block(now, best, func(c *crash) []Suspect { return t.candidates(c, now) })
}
