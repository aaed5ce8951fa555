// Package rollout decides which version serves a session, how many unrated
// answers a version under test may have, and when a version is bad. It is pure:
// time and randomness are arguments. Its types are not safe for concurrent use.
package rollout

import (
	"container/list"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// VersionKey names one version of one model.
type VersionKey struct{ Model, Version string }

// Counts are monotonic counters of answers.
type Counts struct {
	Answers, Rated, Passed uint64
	Errors                 uint64 // engine failures of started answers
}

func (c Counts) add(o Counts) Counts {
	return Counts{c.Answers + o.Answers, c.Rated + o.Rated, c.Passed + o.Passed, c.Errors + o.Errors}
}

func (c Counts) max(o Counts) Counts {
	return Counts{max(c.Answers, o.Answers), max(c.Rated, o.Rated), max(c.Passed, o.Passed), max(c.Errors, o.Errors)}
}

// Observation is one event of one answer. An answer gives one observation with
// Started, and later one with either Rated or Failed.
type Observation struct {
	TaskClass  string
	DataCentre string
	// Now is the monotonic clock of the process that records.
	Now time.Duration
	// Started counts the answer.
	Started bool
	// Rated counts a rating, and Passed its result.
	Rated, Passed bool
	// Failed counts an engine failure after the start.
	Failed bool
}

// Strata: ratings are counted by task class and errors by data centre, each
// hashed into a fixed number of cells, because callers choose the names of task
// classes and the state has to stay bounded. Names that share a cell are judged
// together.
const (
	classCells = 16
	siteCells  = 16
	cellCount  = classCells + siteCells
)

// errorBurst is the time within which failures at one process count as one:
// an engine that dies takes all of its streams with it.
const errorBurst = time.Second

// maxForgotten bounds the memory of versions that have left the records.
const maxForgotten = 256

// Cell holds the counters of one stratum.
type Cell struct {
	ID uint8
	Counts
}

// cells are ordered by ID. There are few, so a scan is faster than a map.
type cells []Cell

func (c cells) at(id uint8) Counts {
	for i := range c {
		if c[i].ID == id {
			return c[i].Counts
		}
	}
	return Counts{}
}

func (c cells) with(id uint8, n Counts) cells {
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

type part struct {
	origin string
	key    VersionKey
	cells  cells
	seq    uint64
}

type partKey struct {
	origin string
	key    VersionKey
}

// Evidence holds counters per version and origin, an origin being the boot id
// of the process that counted. Merge takes the maximum of each field, so deltas
// may arrive late, repeatedly and in any order.
type Evidence struct {
	boot       string
	generation int
	seq        uint64
	parts      map[partKey]*list.Element
	order      *list.List // of *part, oldest change first
	totals     map[VersionKey]cells
	fold       Fold
	foldSeq    uint64
	folded     map[uint64]bool // members of fold
	pruned     map[uint64]bool // members whose parts are no longer kept
	forgotten  map[VersionKey]bool
	forgetList []VersionKey
	lastError  map[VersionKey]time.Duration
}

// NewEvidence returns empty evidence of the process with boot id origin.
func NewEvidence(origin string) *Evidence {
	return &Evidence{
		boot:      origin,
		parts:     map[partKey]*list.Element{},
		order:     list.New(),
		totals:    map[VersionKey]cells{},
		folded:    map[uint64]bool{},
		forgotten: map[VersionKey]bool{},
		lastError: map[VersionKey]time.Duration{},
	}
}

func (e *Evidence) origin() string {
	if e.generation == 0 {
		return e.boot
	}
	return e.boot + "+" + strconv.Itoa(e.generation)
}

func classCell(name string) uint8 { return uint8(xxhash.Sum64String(name) % classCells) }
func siteCell(name string) uint8  { return classCells + uint8(xxhash.Sum64String(name)%siteCells) }

func isClass(id uint8) bool { return id < classCells }

// Record counts one event at this process. Recording a forgotten version
// starts it again.
func (e *Evidence) Record(k VersionKey, o Observation) {
	delete(e.forgotten, k)
	var byClass, bySite Counts
	if o.Started {
		byClass.Answers, bySite.Answers = 1, 1
	}
	if o.Rated {
		byClass.Rated = 1
		if o.Passed {
			byClass.Passed = 1
		}
	}
	if o.Failed && e.countError(k, o.Now) {
		bySite.Errors = 1
	}
	id := partKey{e.origin(), k}
	var own cells
	if el := e.parts[id]; el != nil {
		own = el.Value.(*part).cells
	}
	c, s := classCell(o.TaskClass), siteCell(o.DataCentre)
	e.raise(id, []Cell{{c, own.at(c).add(byClass)}, {s, own.at(s).add(bySite)}})
}

func (e *Evidence) countError(k VersionKey, now time.Duration) bool {
	last, seen := e.lastError[k]
	if seen && now-last < errorBurst {
		return false
	}
	e.lastError[k] = now
	return true
}

// raise lifts the counters of one part to at least those given and reports
// whether any rose.
func (e *Evidence) raise(id partKey, to []Cell) bool {
	el := e.parts[id]
	var p *part
	if el != nil {
		p = el.Value.(*part)
	}
	changed := false
	for _, n := range to {
		var old Counts
		if p != nil {
			old = p.cells.at(n.ID)
		}
		high := old.max(n.Counts)
		if high == old {
			continue
		}
		if p == nil {
			p = &part{origin: id.origin, key: id.key}
			el = e.order.PushBack(p)
			e.parts[id] = el
		}
		p.cells = p.cells.with(n.ID, high)
		changed = true
		if !e.isFolded(id.origin) {
			e.addTotal(id.key, n.ID, Counts{high.Answers - old.Answers, high.Rated - old.Rated,
				high.Passed - old.Passed, high.Errors - old.Errors})
		}
	}
	if changed {
		e.seq++
		p.seq = e.seq
		e.order.MoveToBack(el)
	}
	return changed
}

func (e *Evidence) addTotal(k VersionKey, cell uint8, n Counts) {
	t := e.totals[k]
	e.totals[k] = t.with(cell, t.at(cell).add(n))
}

// Merge adopts every counter of d that is higher than the local one and
// reports whether anything changed.
func (e *Evidence) Merge(d Delta) bool {
	changed := d.Fold != nil && e.adoptFold(*d.Fold)
	for _, p := range d.Parts {
		if !e.forgotten[p.Key] && !e.isPruned(p.Origin) {
			changed = e.raise(partKey{p.Origin, p.Key}, p.Cells) || changed
		}
	}
	return changed
}

// Delta returns what changed after the local sequence number since. Its
// Through is the number to pass next; it is meaningful for this process only.
func (e *Evidence) Delta(since uint64) Delta {
	return e.DeltaFor(since, func(VersionKey) bool { return true })
}

// DeltaFor is Delta for the versions that the receiver needs.
func (e *Evidence) DeltaFor(since uint64, keep func(VersionKey) bool) Delta {
	d := Delta{Through: e.seq}
	if e.foldSeq > since {
		f := e.fold
		d.Fold = &f
	}
	for el := e.order.Back(); el != nil; el = el.Prev() {
		p := el.Value.(*part)
		if p.seq <= since {
			break
		}
		if keep(p.key) {
			d.Parts = append(d.Parts, Part{Origin: p.origin, Key: p.key, Cells: slices.Clone(p.cells)})
		}
	}
	return d
}

// Totals sums the counters of a version over all origins.
func (e *Evidence) Totals(k VersionKey) Counts {
	var sum Counts
	for _, c := range e.totals[k] {
		if !isClass(c.ID) {
			c.Counts = Counts{Errors: c.Errors} // the class cells already count the answers
		}
		sum = sum.add(c.Counts)
	}
	return sum
}

// Forget drops a version that has left the records, and ignores what peers
// that have not dropped it yet send about it.
func (e *Evidence) Forget(k VersionKey) {
	for id, el := range e.parts {
		if id.key == k {
			e.order.Remove(el)
			delete(e.parts, id)
		}
	}
	delete(e.totals, k)
	delete(e.lastError, k)
	if e.forgotten[k] {
		return
	}
	e.forgotten[k] = true
	e.forgetList = append(e.forgetList, k)
	if len(e.forgetList) > maxForgotten {
		delete(e.forgotten, e.forgetList[0])
		e.forgetList = e.forgetList[1:]
	}
}

// Versions lists the versions with evidence, in no particular order.
func (e *Evidence) Versions() []VersionKey {
	out := make([]VersionKey, 0, len(e.totals))
	for k := range e.totals {
		out = append(out, k)
	}
	return out
}
