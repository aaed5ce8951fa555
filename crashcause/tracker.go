// Package crashcause finds the parts of prompts under which model engines crash, so that
// no further request with such a part is sent. It does no I/O and takes the time as an
// argument. Its types are not safe for concurrent use.
//
// A crash has one cause, but breaks the answers of all requests at the engine: they are its
// suspects. A part that is in an answer elsewhere is not the cause; what remains is the part
// that the suspects of several crashes have in common.
//
// An engine may crash when it begins an answer or at any later point of it, and what shows a
// part to be sound differs. The tracker therefore follows both assumptions: few crashes under
// requests whose answers were about to begin are enough if none with the part begins, and
// more crashes under requests at any point if no answer with the part is given whole.
package crashcause

import (
	"slices"
	"time"
)

const (
	// Retention is how long crashes and blocks are kept.
	Retention = 10 * time.Minute
	// soundWindow is how long before a crash an answer has to begin, or to end, to show that
	// the parts of its prompt did not cause the crash. It is short, because a part may become
	// harmful with a new version of a model.
	soundWindow = 2 * time.Second
	// SettleTime is the time after a crash in which suspects whose answers have begun
	// arrive from other entries. Only after it do requests without any sign of an answer
	// count as suspects, and those whose answers were running.
	SettleTime = 300 * time.Millisecond
	// begunPoints are the points of a part for a crash in which it is in a prompt whose
	// answer had begun or that is the only suspect, and waitingPoints those for other
	// crashes in which it is a suspect.
	begunPoints, waitingPoints = 2, 1
	// PartPoints are the points from which a part of prompts is blocked. A whole request
	// needs RequestPoints: it is sent again when its server crashes, like the others there.
	// A crash at any point of an answer is worth one.
	PartPoints    = 2 * begunPoints
	RequestPoints = 3 * begunPoints
	// maxCrashes, maxStartSuspects and maxAnswerSuspects (per crash), MaxBlocks, MaxParts (per
	// prompt, without the parts that are known to be sound), maxWorkspaces (per block),
	// maxSound, maxOutlasted (parts) and maxOutlasting (servers per part) bound the memory.
	// maxAnswerSuspects is the largest number of slots of an engine.
	maxCrashes        = 64
	maxStartSuspects  = 32
	maxAnswerSuspects = 128
	MaxBlocks         = 32
	MaxParts          = 16
	maxWorkspaces     = 2
	maxSound          = 4096
	maxOutlasted      = 1024
	maxOutlasting     = 64
)

// Phase is how far the answer to a request had come when its server crashed.
type Phase int

const (
	// Waiting means that nothing of the answer had arrived.
	Waiting Phase = iota
	// Begun means that the head of the answer had arrived, and nothing of its body.
	Begun
	// Running means that a part of the body had arrived.
	Running
)

// Suspect is a request that was at an engine when it crashed.
type Suspect struct {
	// Server identifies the process that crashed.
	Server string
	Phase  Phase
	// SentFor is the time since the request was sent to the server.
	SentFor time.Duration
	// Workspace is a hash of the workspace of the request.
	Workspace uint64
	// Age is the time since the first part of the body had arrived, 0 before.
	Age time.Duration
	// Parts are hashes of the parts of the prompt that other requests may share.
	Parts []uint64
}

// equal reports whether a suspect adds nothing to another one, apart from its times.
func (s Suspect) equal(o Suspect) bool {
	return s.Server == o.Server && s.Phase == o.Phase && s.Workspace == o.Workspace && slices.Equal(s.Parts, o.Parts)
}

// Tracker holds the evidence and the blocks of one entry.
type Tracker struct {
	starts  starts
	answers answers
	blocks  []*Block // oldest first
}

// New returns a tracker without evidence that blocks parts with blockPoints.
func New(blockPoints int) *Tracker {
	return &Tracker{
		starts:  starts{newEvidence(maxStartSuspects), blockPoints},
		answers: answers{newEvidence(maxAnswerSuspects), blockPoints, make(map[uint64]map[string]struct{})},
	}
}

// RecordBegun records that an answer to a prompt has begun, here or at another entry. It
// returns the parts that were under suspicion: the other entries have to learn of them.
func (t *Tracker) RecordBegun(now time.Time, parts []uint64) (cleared []uint64) {
	for _, p := range parts {
		suspected := t.starts.record(now, p)
		if t.liftBlocks(p, func(b *Block) bool { return !b.AnyPoint }) || suspected {
			cleared = append(cleared, p)
		}
	}
	return cleared
}

// RecordWhole records that one server has given the whole answer to a prompt, here or at
// another entry. It returns the parts that were under suspicion.
func (t *Tracker) RecordWhole(now time.Time, parts []uint64) (cleared []uint64) {
	for _, p := range parts {
		suspected := t.starts.record(now, p)
		suspected = t.answers.record(now, p) || suspected
		delete(t.answers.outlasting, p)
		if t.liftBlocks(p, func(*Block) bool { return true }) || suspected {
			cleared = append(cleared, p)
		}
	}
	return cleared
}

// Sound holds parts that are known to be sound.
type Sound struct {
	// Begun are parts of prompts whose answers have begun, and Whole those of prompts to
	// which one server has given the whole answer.
	Begun, Whole []uint64
}

// Add records a suspect that this entry or another one has observed. It returns the
// suspect without the parts of whole answers, and the parts that are known to be sound;
// without any parts left, the suspect is of no interest.
func (t *Tracker) Add(now time.Time, s Suspect) (remaining Suspect, sound Sound) {
	remaining = s
	remaining.Parts, sound.Whole = t.answers.add(now, s)
	if s.Phase != Running {
		_, sound.Begun = t.starts.add(now, s)
	}
	return remaining, sound
}

// Suspects returns the suspects of the crashes that no block explains.
func (t *Tracker) Suspects() []Suspect {
	var all []Suspect
	for _, c := range t.starts.crashes {
		if c.cause != nil {
			continue
		}
		for _, s := range c.suspects {
			s.Parts = slices.Clone(s.Parts)
			all = append(all, s)
		}
	}
	for _, c := range t.answers.crashes {
		if c.cause != nil {
			continue
		}
		for _, s := range c.suspects {
			// Begun answers may have shown its parts not to be the cause at the start.
			s.Phase = Running
			s.Parts = slices.Clone(s.Parts)
			all = append(all, s)
		}
	}
	return all
}

// Evaluate forms and changes blocks by the evidence and drops what is too old. It returns
// the blocks that are new or have changed.
func (t *Tracker) Evaluate(now time.Time) (changed []Block) {
	t.starts.dropOld(now)
	t.answers.dropOld(now)
	t.blocks = slices.DeleteFunc(t.blocks, func(b *Block) bool { return now.Sub(b.Since) > Retention })
	for _, b := range t.blocks {
		workspaces, parts := len(b.Workspaces), len(b.Parts)
		if b.AnyPoint {
			t.answers.extend(now, b)
		} else {
			t.starts.extend(now, b)
		}
		if len(b.Workspaces) > workspaces || len(b.Parts) < parts {
			changed = append(changed, b.clone())
		}
	}
	for _, form := range []func(time.Time) *Block{t.starts.form, t.answers.form} {
		for b := form(now); b != nil; b = form(now) {
			t.insert(b)
			changed = append(changed, b.clone())
		}
	}
	t.dropImplied()
	return changed
}
