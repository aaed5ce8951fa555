// Package room estimates the memory that requests take in model engines and decides which
// engines have room for a request. It does no I/O and takes the time as an argument.
//
// It answers load under which the memory of engines is short: an engine without room
// preempts requests, also in the middle of their streams, and reads their prompts again.
package room

import "time"

// SendWindow is the time for which this entry's sends to an engine count as not yet known
// to its peers. It is the time after which a silent peer is no longer considered live.
const SendWindow = 2 * time.Second

// Engine is the memory of one engine as an entry believes it, in tokens.
type Engine struct {
	// Capacity is the engine's memory.
	Capacity int64
	// Own is what the unfinished requests of this entry take, Others what its peers report.
	Own, Others int64
	// Recent is what this entry has sent within SendWindow.
	Recent int64
	// Entries is the number of entries including this one, and Missing how many of them are
	// not heard of. Active is the number of entries that may send to the engine now: those
	// that have reported work there and those in its data centre.
	Entries, Missing, Active int
}

// Free returns the memory that is free. Entries that are not heard of count with an even
// share of the engine.
func (e *Engine) Free() int64 {
	missing := e.Capacity / int64(max(e.Entries, 1)) * int64(max(e.Missing, 0))
	return e.Capacity - e.Own - e.Others - missing
}

// Fits reports whether this entry may place a request. All entries see the same free
// memory, some of them late: each takes its share of it within SendWindow. Where a share is
// too small for the request, the entries take turns; rank returns this entry's turn among those that are heard of, from 0.
func (e *Engine) Fits(need int64, rank func() int) bool {
	free := e.Free()
	if need > free {
		return false
	}
	if e.Recent+need <= free/int64(max(e.Active, 1)) {
		return true
	}
	entries := int64(max(e.Entries-e.Missing, 1))
	turns := (free/max(need, 1) + entries - 1 - int64(rank())) / entries
	return e.Recent+need <= turns*need
}

// Sends holds the recent sends of an entry to one engine, oldest first.
type Sends struct {
	times  []time.Time
	tokens []int64
	total  int64
}

// Add records a send.
func (s *Sends) Add(now time.Time, tokens int64) {
	s.times, s.tokens = append(s.times, now), append(s.tokens, tokens)
	s.total += tokens
}

// Recent returns the tokens that were sent within SendWindow.
func (s *Sends) Recent(now time.Time) int64 {
	n := 0
	for n < len(s.times) && now.Sub(s.times[n]) >= SendWindow {
		s.total -= s.tokens[n]
		n++
	}
	s.times, s.tokens = s.times[n:], s.tokens[n:]
	return s.total
}
