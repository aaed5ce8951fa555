// Package admission decides at the agent which requests its backend server runs
// now, later or not at all. It is pure: time is an argument, and the caller
// serialises the calls.
package admission

import "time"

// Codes of refusals and drops. The request has not been run in any of them.
const (
	CodeQueueFull = "queue_full"
	CodeDeadline  = "deadline"
	CodeDraining  = "draining"
	CodeCancelled = "cancelled"
	CodeDuplicate = "duplicate" // the id is already running or queued
)

// Ticket is one request that asks for admission.
type Ticket struct {
	ID        uint64
	Workspace string
	// Weight is the workspace's share; 1 when not positive.
	Weight float64
	// Priority orders the requests of one workspace; larger starts earlier.
	Priority int
	// Deadline is the latest start, in the clock of the now arguments; none
	// when 0.
	Deadline time.Duration
}

// Outcome is the decision on a ticket.
type Outcome int

// The outcomes of an arrival.
const (
	Refused Outcome = iota
	Run
	Queued
)

// Decision answers an arrival.
type Decision struct {
	Outcome Outcome
	Code    string // set when Refused
	// Drop lists queued tickets that lost their place to this one, or whose
	// deadline has passed.
	Drop []Dropped
}

// Dropped is a queued ticket that will not run.
type Dropped struct {
	ID   uint64
	Code string
}

// Changes lists the tickets that an event lets start or drops. Each ticket
// starts or is dropped at most once.
type Changes struct {
	Start []uint64
	Drop  []Dropped
}

// Result is the end of a running ticket.
type Result struct {
	ID uint64
	// FirstToken is the time from start to first token; 0 when there was none or
	// when Controller.FirstToken has reported it.
	FirstToken time.Duration
	// OK tells that the backend server gave a complete answer.
	OK bool
	// RefusedConnection tells that the backend server was not reached.
	RefusedConnection bool
	// Overloaded tells that the backend server rejected the request.
	Overloaded bool
}

// Report is the load report that the agent sends in its heartbeats.
type Report struct {
	Running, Queued, Limit int
	// Cold tells that the limit is below the warm limit.
	Cold bool
	// FirstToken is a moving average; 0 before the first sample.
	FirstToken time.Duration
	Draining   bool
	// Resets counts the drops to the cold limit.
	Resets int
}

// Config holds the constants of a controller.
type Config struct {
	// ColdLimit and WarmLimit bound the concurrent requests; at least 1 each.
	ColdLimit, WarmLimit int
	// QueueLimit bounds the waiting requests at the warm limit; it shrinks in
	// proportion to the limit. 0 means no queue.
	QueueLimit int
	// WarmAfter is the number of good completions before the first growth; 20
	// when 0. It should not be below what the backend server needs to warm up.
	WarmAfter int
	// SlowFactor is the first-token time, in multiples of its baseline, that
	// counts as cold; 4 when 0.
	SlowFactor float64
}

const (
	defaultWarmAfter  = 20
	defaultSlowFactor = 4.0
	// growthStep is the relative growth of the limit per step, at least 1.
	growthStep = 0.25
	// overloadFactor is applied to the limit when the backend server rejects a
	// request as overloaded.
	overloadFactor = 0.75
	// maxBackoff bounds the factor on WarmAfter after resets during growth.
	maxBackoff = 8
)
