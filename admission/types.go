// Package admission decides whether a request runs now, later or not at all: a Controller
// at the agent of one backend server, a Gate at an entry in front of all backend servers of
// a service. It does no I/O and takes the time as an argument. The caller serialises the
// calls.
package admission

import "time"

// Codes of refusals and drops. In all of these cases the request has not been run.
const (
	CodeQueueFull = "queue_full"
	CodeDeadline  = "deadline"
	CodeDraining  = "draining"
	CodeCancelled = "cancelled"
	CodeDuplicate = "duplicate" // the id is already running or queued
)

// Ticket is a request for admission.
type Ticket struct {
	ID        uint64
	Workspace string
	// Weight is the workspace's share; values that are not positive count as 1.
	Weight float64
	// Priority orders the requests of one workspace; higher values start earlier.
	Priority int
	// Deadline is the latest start time, on the clock of the now arguments; 0 means
	// none.
	Deadline time.Duration
	// Cost is the work of the request relative to the others, in any unit; values that are
	// not positive count as 1.
	Cost float64
	// StartBy is the latest start time with which the request is still answered within its
	// objective; 0 means none. Of one workspace's requests of the same priority, the one
	// with the earliest starts first.
	StartBy time.Duration
	// Returned means that the client was refused and has returned when it was told to. Such
	// requests start before others of the same workspace and priority.
	Returned bool
}

// cost returns the work of the request.
func (t *Ticket) cost() float64 {
	if t.Cost <= 0 {
		return 1
	}
	return t.Cost
}

// before reports whether a ticket starts before another one of the same workspace that was
// inserted earlier.
func (t *Ticket) before(o *Ticket) bool {
	switch {
	case t.Priority != o.Priority:
		return t.Priority > o.Priority
	case t.Returned != o.Returned:
		return t.Returned
	case t.StartBy > 0 && o.StartBy > 0:
		return t.StartBy < o.StartBy
	}
	return false
}

// Outcome is the decision on a ticket.
type Outcome int

// The outcomes of an arrival.
const (
	Refused Outcome = iota
	Run
	Queued
)

// Decision is the result of Controller.Arrive.
type Decision struct {
	Outcome Outcome
	Code    string // set when Refused
	// Drop lists the queued tickets that were displaced by this one, or whose
	// deadline has passed.
	Drop []Dropped
}

// Dropped is a queued ticket that will not run.
type Dropped struct {
	ID   uint64
	Code string
	// RetryAfter is the time until the request would be admitted, as the Gate expects.
	RetryAfter time.Duration
}

// Changes lists the tickets that an event starts or drops. Each ticket starts or is
// dropped at most once.
type Changes struct {
	Start []uint64
	Drop  []Dropped
}

// Result describes how a running ticket ended.
type Result struct {
	ID uint64
	// FirstToken is the time from start to first token, or 0 if there was none or
	// Controller.FirstToken has reported it.
	FirstToken time.Duration
	// OK means that the backend server gave a complete answer.
	OK bool
	// RefusedConnection means that the backend server could not be reached.
	RefusedConnection bool
	// Overloaded means that the backend server rejected the request as overloaded.
	Overloaded bool
}

// Report is the load report that the agent sends in its heartbeats.
type Report struct {
	Running, Queued, Limit int
	// Cold means that the limit is below the warm limit.
	Cold bool
	// FirstToken is the moving average of the first-token time, or 0 before the
	// first sample.
	FirstToken time.Duration
	Draining   bool
	// Resets counts the resets to the cold limit.
	Resets int
}

// Config holds the parameters of a Controller.
type Config struct {
	// ColdLimit and WarmLimit bound the concurrent requests. Each is at least 1.
	ColdLimit, WarmLimit int
	// QueueLimit bounds the waiting requests at the warm limit, and scales down
	// with the limit. 0 means no queue.
	QueueLimit int
	// WarmAfter is the number of successful requests before the limit grows from
	// the cold limit; 0 means 20. It should not be lower than what the backend
	// server needs to warm up.
	WarmAfter int
	// SlowFactor is the first-token time, as a multiple of its baseline, above
	// which the server counts as cold; 0 means 4.
	SlowFactor float64
}

const (
	defaultWarmAfter  = 20
	defaultSlowFactor = 4.0
	// growthStep is the relative growth of the limit per step, which is at least 1.
	growthStep = 0.25
	// overloadFactor multiplies the limit when the backend server rejects a request
	// as overloaded.
	overloadFactor = 0.75
	// maxBackoff bounds the factor by which resets during growth increase
	// WarmAfter.
	maxBackoff = 8
)
