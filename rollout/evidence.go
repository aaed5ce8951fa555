// Package rollout selects the version that serves a session, limits the unrated
// answers of a version under test, and tests versions against their baselines.
// It is deterministic: time and randomness are arguments. Its types are not safe
// for concurrent use.
package rollout

import (
	"container/list"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// VersionKey identifies one version of one model.
type VersionKey struct{ Model, Version string }

// Counts are monotonic counters of answers.
type Counts struct {
	Answers, Rated, Passed uint64
	Errors                 uint64 // engine failures after the answer started
}

func (c Counts) add(o Counts) Counts {
	return Counts{c.Answers + o.Answers, c.Rated + o.Rated, c.Passed + o.Passed, c.Errors + o.Errors}
}

func (c Counts) max(o Counts) Counts {
	return Counts{max(c.Answers, o.Answers), max(c.Rated, o.Rated), max(c.Passed, o.Passed), max(c.Errors, o.Errors)}
}

// Observation is one event of one answer. An answer yields one observation with
// Started, and later one with either Rated or Failed.
type Observation struct {
	TaskClass  string
	DataCentre string
	// Now is the time of the event on the monotonic clock of the recording process.
	Now time.Duration
	// Started is set when the answer has started.
	Started bool
	// Rated is set when a rating has arrived, and Passed when it is positive.
	Rated, Passed bool
	// Failed is set when the engine failed after the start.
	Failed bool
}

// Ratings are stratified by task class and errors by data centre. Names are
// hashed into a fixed number of cells because callers choose the names of task
// classes and the state has to stay bounded. Names that share a cell are
// evaluated together.
const (
	taskClassCells  = 16
	dataCentreCells = 16
	cellCount       = taskClassCells + dataCentreCells
)

// errorBurstWindow is the time after a counted failure in which further failures
// of the version at this process are not counted: an engine that crashes breaks
// all of its streams at once.
const errorBurstWindow = time.Second

// maxForgotten bounds the number of deleted versions whose late counters are
// ignored.
const maxForgotten = 256

// Cell holds the counters of one stratum.
type Cell struct {
	ID uint8
	Counts
}

// cells are ordered by ID. There are at most cellCount, so a linear scan is faster
// than a map.
type cells []Cell

func (c cells) counts(id uint8) Counts {
	for i := range c {
		if c[i].ID == id {
			return c[i].Counts
		}
	}
	return Counts{}
}

// withCounts sets the counters of one cell and returns the result, which may
// share memory with c.
func (c cells) withCounts(id uint8, n Counts) cells {
	i := 0
	for i < len(c) && c[i].ID < id {
		i++
	}
	if i == len(c) || c[i].ID != id {
		c = slices.Insert(c, i, Cell{ID: id})
	}
	c[i].Counts = n
	return c
}

// originState holds the counters of one version at one origin.
type originState struct {
	origin string
	key    VersionKey
	cells  cells
	seq    uint64 // local sequence number of the last change
}

type originKey struct {
	origin string
	key    VersionKey
}

// Evidence holds counters by version and origin. The origin is the boot ID of the
// process that counted. Merge takes the maximum of each field, so deltas may
// arrive late, repeatedly and in any order.
type Evidence struct {
	bootID         string
	generation     int
	seq            uint64
	byOrigin       map[originKey]*list.Element
	changeOrder    *list.List // of *originState, least recently changed first
	totals         map[VersionKey]cells
	compaction     Compaction
	compactionSeq  uint64
	compacted      map[uint64]bool // hashes of the origins in compaction.Members
	pruned         map[uint64]bool // compacted origins whose own counters were dropped
	forgotten      map[VersionKey]bool
	forgottenOrder []VersionKey                 // oldest first
	lastError      map[VersionKey]time.Duration // last failure that was counted
}

// NewEvidence returns empty evidence of the process whose boot ID is origin.
func NewEvidence(origin string) *Evidence {
	return &Evidence{
		bootID:      origin,
		byOrigin:    map[originKey]*list.Element{},
		changeOrder: list.New(),
		totals:      map[VersionKey]cells{},
		compacted:   map[uint64]bool{},
		forgotten:   map[VersionKey]bool{},
		lastError:   map[VersionKey]time.Duration{},
	}
}

// origin is the boot ID, with a suffix once the origin was compacted while this
// process was still running.
func (e *Evidence) origin() string {
	if e.generation == 0 {
		return e.bootID
	}
	return e.bootID + "+" + strconv.Itoa(e.generation)
}

func taskClassCell(name string) uint8 { return uint8(xxhash.Sum64String(name) % taskClassCells) }
func dataCentreCell(name string) uint8 {
	return taskClassCells + uint8(xxhash.Sum64String(name)%dataCentreCells)
}

func isTaskClassCell(id uint8) bool { return id < taskClassCells }

// Record counts one event at this process. A forgotten version is tracked again
// from then on.
func (e *Evidence) Record(k VersionKey, o Observation) {
	delete(e.forgotten, k)
	var byTaskClass, byDataCentre Counts
	if o.Started {
		byTaskClass.Answers, byDataCentre.Answers = 1, 1
	}
	if o.Rated {
		byTaskClass.Rated = 1
		if o.Passed {
			byTaskClass.Passed = 1
		}
	}
	if o.Failed && e.startsErrorBurst(k, o.Now) {
		byDataCentre.Errors = 1
	}
	id := originKey{e.origin(), k}
	var own cells
	if el := e.byOrigin[id]; el != nil {
		own = el.Value.(*originState).cells
	}
	c, s := taskClassCell(o.TaskClass), dataCentreCell(o.DataCentre)
	e.raiseCounters(id, []Cell{{c, own.counts(c).add(byTaskClass)}, {s, own.counts(s).add(byDataCentre)}})
}

// startsErrorBurst reports whether a failure at now is outside the window of the
// last counted one, and if so starts a new window.
func (e *Evidence) startsErrorBurst(k VersionKey, now time.Duration) bool {
	last, seen := e.lastError[k]
	if seen && now-last < errorBurstWindow {
		return false
	}
	e.lastError[k] = now
	return true
}

// raiseCounters raises the counters of one version at one origin to at least the
// given values and reports whether any changed.
func (e *Evidence) raiseCounters(id originKey, atLeast []Cell) bool {
	el := e.byOrigin[id]
	var state *originState
	if el != nil {
		state = el.Value.(*originState)
	}
	changed := false
	for _, n := range atLeast {
		var old Counts
		if state != nil {
			old = state.cells.counts(n.ID)
		}
		raised := old.max(n.Counts)
		if raised == old {
			continue
		}
		if state == nil {
			state = &originState{origin: id.origin, key: id.key}
			el = e.changeOrder.PushBack(state)
			e.byOrigin[id] = el
		}
		state.cells = state.cells.withCounts(n.ID, raised)
		changed = true
		if !e.isCompacted(id.origin) {
			e.addTotal(id.key, n.ID, Counts{raised.Answers - old.Answers, raised.Rated - old.Rated,
				raised.Passed - old.Passed, raised.Errors - old.Errors})
		}
	}
	if changed {
		e.seq++
		state.seq = e.seq
		e.changeOrder.MoveToBack(el)
	}
	return changed
}

func (e *Evidence) addTotal(k VersionKey, cell uint8, n Counts) {
	t := e.totals[k]
	e.totals[k] = t.withCounts(cell, t.counts(cell).add(n))
}

// Merge adopts every counter of d that is higher than the local one and
// reports whether anything changed.
func (e *Evidence) Merge(d Delta) bool {
	changed := d.Compaction != nil && e.adoptCompaction(*d.Compaction)
	for _, o := range d.Counters {
		if !e.forgotten[o.Key] && !e.isPruned(o.Origin) {
			changed = e.raiseCounters(originKey{o.Origin, o.Key}, o.Cells) || changed
		}
	}
	return changed
}

// Delta returns the changes after the local sequence number since. Pass Through of
// the result as since in the next call; it has no meaning in other processes.
func (e *Evidence) Delta(since uint64) Delta {
	return e.DeltaFor(since, func(VersionKey) bool { return true })
}

// DeltaFor is like Delta, limited to the versions for which keep returns true.
func (e *Evidence) DeltaFor(since uint64, keep func(VersionKey) bool) Delta {
	d := Delta{Through: e.seq}
	if e.compactionSeq > since {
		c := e.compaction
		d.Compaction = &c
	}
	for el := e.changeOrder.Back(); el != nil; el = el.Prev() {
		s := el.Value.(*originState)
		if s.seq <= since {
			break
		}
		if keep(s.key) {
			d.Counters = append(d.Counters, OriginCounters{Origin: s.origin, Key: s.key, Cells: slices.Clone(s.cells)})
		}
	}
	return d
}

// Totals sums the counters of a version over all origins.
func (e *Evidence) Totals(k VersionKey) Counts {
	var sum Counts
	for _, c := range e.totals[k] {
		if !isTaskClassCell(c.ID) {
			c.Counts = Counts{Errors: c.Errors} // the task class cells already count the answers
		}
		sum = sum.add(c.Counts)
	}
	return sum
}

// Forget drops a version that was deleted from the configuration. Counters of it
// from peers that have not dropped it yet are ignored.
func (e *Evidence) Forget(k VersionKey) {
	for id, el := range e.byOrigin {
		if id.key == k {
			e.changeOrder.Remove(el)
			delete(e.byOrigin, id)
		}
	}
	delete(e.totals, k)
	delete(e.lastError, k)
	if e.forgotten[k] {
		return
	}
	e.forgotten[k] = true
	e.forgottenOrder = append(e.forgottenOrder, k)
	if len(e.forgottenOrder) > maxForgotten {
		delete(e.forgotten, e.forgottenOrder[0])
		e.forgottenOrder = e.forgottenOrder[1:]
	}
}

// Versions returns the versions that have counters, in no particular order.
func (e *Evidence) Versions() []VersionKey {
	out := make([]VersionKey, 0, len(e.totals))
	for k := range e.totals {
		out = append(out, k)
	}
	return out
}
