package crashcause

import (
	"slices"
	"time"
)

// evidence holds the suspects of crashes and the parts that answers have shown to be sound,
// under one assumption of where in an answer engines crash.
type evidence struct {
	// maxSuspects limits the suspects of one crash.
	maxSuspects int
	crashes     []*crash // oldest first
	// suspected holds the parts of the suspects, and may hold parts that are not among them
	// any more. Most answers have none of them.
	suspected map[uint64]struct{}
	sound     *soundParts
}

// crash holds the suspects of one crash, without the parts that are known to be sound.
type crash struct {
	server   string
	at       time.Time
	suspects []Suspect
	// cause is the block that explains the crash; nil if none does. The suspects of such a
	// crash do not count.
	cause *Block
}

// settled reports whether the suspects of other entries have arrived.
func (c *crash) settled(now time.Time) bool { return now.Sub(c.at) >= SettleTime }

func newEvidence(maxSuspects int) *evidence {
	return &evidence{maxSuspects: maxSuspects, suspected: make(map[uint64]struct{}), sound: newSoundParts()}
}

// record records that an answer has shown a part to be sound, and reports whether it was
// under suspicion.
func (e *evidence) record(now time.Time, part uint64) (cleared bool) {
	e.sound.record(now, part)
	if _, ok := e.suspected[part]; !ok {
		return false
	}
	delete(e.suspected, part)
	for _, c := range e.crashes {
		for i := range c.suspects {
			s := &c.suspects[i]
			before := len(s.Parts)
			s.Parts = slices.DeleteFunc(s.Parts, func(p uint64) bool { return p == part })
			cleared = cleared || len(s.Parts) < before
		}
		c.suspects = slices.DeleteFunc(c.suspects, func(s Suspect) bool { return len(s.Parts) == 0 })
	}
	return cleared
}

// add records a suspect. It returns the parts that may be the cause and those that are known
// to be sound.
func (e *evidence) add(now time.Time, s Suspect) (remaining, sound []uint64) {
	for _, p := range s.Parts {
		switch {
		case now.Sub(e.sound.lastAnswer(p)) < soundWindow:
			sound = append(sound, p)
		case len(remaining) < MaxParts && !slices.Contains(remaining, p):
			remaining = append(remaining, p)
		}
	}
	c := e.crashOf(now, s.Server)
	if len(remaining) == 0 {
		return remaining, sound
	}
	stored := s
	stored.Parts = slices.Clone(remaining)
	if slices.ContainsFunc(c.suspects, stored.equal) {
		return remaining, sound
	}
	e.suspect(remaining)
	if len(c.suspects) < e.maxSuspects {
		c.suspects = append(c.suspects, stored)
	} else if s.Phase == Begun {
		if i := slices.IndexFunc(c.suspects, func(o Suspect) bool { return o.Phase != Begun }); i >= 0 {
			c.suspects[i] = stored
		}
	}
	return remaining, sound
}

func (e *evidence) suspect(parts []uint64) {
	for _, p := range parts {
		e.suspected[p] = struct{}{}
	}
	if len(e.suspected) <= 2*maxCrashes*e.maxSuspects*MaxParts {
		return
	}
	clear(e.suspected)
	for _, c := range e.crashes {
		for _, s := range c.suspects {
			for _, p := range s.Parts {
				e.suspected[p] = struct{}{}
			}
		}
	}
	for _, p := range parts {
		e.suspected[p] = struct{}{}
	}
}

// crashOf returns the crash of a server, adding it if it is new.
func (e *evidence) crashOf(now time.Time, server string) *crash {
	for _, c := range e.crashes {
		if c.server == server {
			return c
		}
	}
	if len(e.crashes) >= maxCrashes {
		drop := max(slices.IndexFunc(e.crashes, func(c *crash) bool { return c.cause != nil || len(c.suspects) == 0 }), 0)
		e.crashes = slices.Delete(e.crashes, drop, drop+1)
	}
	c := &crash{server: server, at: now}
	e.crashes = append(e.crashes, c)
	return c
}

// isSuspect reports whether a part is in the prompt of a suspect.
func (e *evidence) isSuspect(part uint64) bool {
	return slices.ContainsFunc(e.crashes, func(c *crash) bool {
		return slices.ContainsFunc(c.suspects, func(s Suspect) bool { return slices.Contains(s.Parts, part) })
	})
}

// dropOld drops the crashes that are too old.
func (e *evidence) dropOld(now time.Time) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c *crash) bool { return now.Sub(c.at) > Retention })
}

// block returns a block of the parts that all suspects with a part have in common, and marks
// the crashes that it explains. suspects returns the suspects of a crash that count.
func (e *evidence) block(now time.Time, part uint64, suspects func(*crash) []Suspect) *Block {
	b := &Block{Since: now}
	for _, c := range e.crashes {
		for _, s := range suspects(c) {
			if !slices.Contains(s.Parts, part) {
				continue
			}
			if b.Parts == nil {
				b.Parts = slices.Clone(s.Parts)
			}
			b.Parts = intersect(b.Parts, s.Parts)
			b.addWorkspace(s.Workspace)
			c.cause = b
		}
	}
	return b
}

// replaceCause makes the crashes that a block has explained explained by another one, or by
// none.
func (e *evidence) replaceCause(old, b *Block) {
	for _, c := range e.crashes {
		if c.cause == old {
			c.cause = b
		}
	}
}
