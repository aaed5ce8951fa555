// Package once provides at-most-once execution of non-idempotent calls. It
// keeps one record per idempotency key in the platform's store; every change
// of a record is a compare-and-swap.
//
// record.go holds the state machine, which does no I/O; recordstore.go applies
// its transitions to the store.
package once

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// State is the state of a record.
type State string

// The states of a record.
const (
	StateReserved  State = "reserved"  // an entry may dispatch the call
	StateStarted   State = "started"   // an agent may have made the call
	StateFinished  State = "finished"  // the response is stored
	StateCancelled State = "cancelled" // the call was not made; the key can be reserved again
)

// Record is the JSON value at once/<workspace>/<key>.
type Record struct {
	State     State  `json:"state"`
	Nonce     string `json:"nonce"` // unique per reservation
	BodyHash  string `json:"body_hash"`
	RequestID string `json:"request_id"`
	Owner     string `json:"owner"`      // boot id of the entry that made the reservation
	TimeoutMS int64  `json:"timeout_ms"` // request timeout
	// StartID is unique per call of Start; Agent is the boot id of its caller.
	StartID string  `json:"start_id,omitempty"`
	Agent   string  `json:"agent,omitempty"`
	Answer  *Answer `json:"answer,omitempty"`
	// At is the time of the last change by the writer's clock.
	At time.Time `json:"at"`
}

// MaxAnswerBytes limits the total size of headers and body of a stored answer.
// Base64 encoding in JSON adds a third, which keeps a record below the store's
// limit of 1 MB.
const MaxAnswerBytes = 256 << 10

// Answer is the response of a finished call.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// TooLarge reports that headers and body exceeded MaxAnswerBytes and were
	// not stored; only the status is known.
	TooLarge bool `json:"too_large,omitempty"`
}

// storedForm returns the answer as it is written to a record: without headers
// and body if they exceed MaxAnswerBytes.
func (a Answer) storedForm() *Answer {
	size := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	if size > MaxAnswerBytes {
		return &Answer{Status: a.Status, TooLarge: true}
	}
	return &a
}

// Reservation describes the request for which a key is reserved.
type Reservation struct {
	Workspace string
	Key       string
	RequestID string
	BodyHash  string
	Owner     string        // boot id of the entry
	Timeout   time.Duration // request timeout, at least 1 ms
}

// Outcome is the result of Reserve.
type Outcome string

// The outcomes of Reserve.
const (
	// Reserved means that the caller may dispatch the call with Result.Nonce.
	Reserved Outcome = "reserved"
	// Finished means that the call has run; Result.Answer is its answer.
	Finished Outcome = "finished"
	// InProgress means that another request with the key may be running.
	InProgress Outcome = "in_progress"
	// Unknown means that an agent started the call and did not store its answer
	// within the request timeout.
	Unknown Outcome = "unknown"
	// Mismatch means that the key was used with a different body.
	Mismatch Outcome = "mismatch"
)

// Result is the result of Reserve.
type Result struct {
	Outcome Outcome
	Nonce   string  // set when Reserved
	Answer  *Answer // set when Finished
	// RequestID is the id of the request that holds the key, set unless that
	// request is the caller's.
	RequestID string
}

// CancelOutcome is the outcome of Cancel.
type CancelOutcome string

// The outcomes of Cancel. Only Cancelled allows "not run" to be reported.
const (
	// Cancelled means that the call has not run and can no longer run under this
	// nonce.
	Cancelled CancelOutcome = "cancelled"
	// AlreadyStarted means that an agent may have made the call.
	AlreadyStarted CancelOutcome = "already_started"
	// AlreadyFinished means that the call has run.
	AlreadyFinished CancelOutcome = "finished"
	// CancelSuperseded means that the record is absent or belongs to a newer
	// reservation, under which the call may have run.
	CancelSuperseded CancelOutcome = "superseded"
)

// CancelResult is the result of Cancel.
type CancelResult struct {
	Outcome CancelOutcome
	Answer  *Answer // set when AlreadyFinished
}

// StartResult is the result of Start. Only Started allows the call to be made.
type StartResult string

// The results of Start.
const (
	// Started means that this call of Start, and no other, may make the call.
	Started StartResult = "started"
	// NotReserved means that there is no reservation: the record is absent or
	// cancelled.
	NotReserved StartResult = "not_reserved"
	// StartSuperseded means that the reservation has another nonce.
	StartSuperseded StartResult = "superseded"
	// StartedElsewhere means that another call of Start claimed this reservation.
	StartedElsewhere StartResult = "started_elsewhere"
	// StartFinished means that the call has already run.
	StartFinished StartResult = "finished"
)

// reserve computes the transition for a reservation that would write want. cur
// is the current record, nil if the key is absent. observed is the time since
// this process first saw the nonce of cur. age is the time since cur.At, which
// compares the clocks of two processes and is only as exact as they agree. The
// returned record is nil if nothing has to be written.
func reserve(cur *Record, want Record, observed, age time.Duration) (Result, *Record) {
	if cur == nil {
		return Result{Outcome: Reserved, Nonce: want.Nonce}, &want
	}
	if cur.BodyHash != want.BodyHash {
		return Result{Outcome: Mismatch, RequestID: cur.RequestID}, nil
	}
	busy := Result{Outcome: InProgress, RequestID: cur.RequestID}
	timeout := time.Duration(cur.TimeoutMS) * time.Millisecond
	switch cur.State {
	case StateReserved:
		if cur.Nonce == want.Nonce { // read back after this call's own write
			return Result{Outcome: Reserved, Nonce: want.Nonce}, nil
		}
		// age is not used here: with a wrong clock, a reservation whose request is
		// still running would be taken over.
		if observed < timeout {
			return busy, nil
		}
	case StateStarted:
		// Neither outcome runs the call, so age may be used although it depends on
		// the writer's clock.
		if max(observed, age) >= timeout {
			busy.Outcome = Unknown
		}
		return busy, nil
	case StateFinished:
		busy.Outcome, busy.Answer = Finished, cur.Answer
		return busy, nil
	case StateCancelled:
	default:
		return busy, nil // a state of a newer version of this package
	}
	return Result{Outcome: Reserved, Nonce: want.Nonce}, &want
}

// cancel computes the transition that gives up a reservation.
func cancel(cur *Record, nonce string) (CancelResult, *Record) {
	if cur == nil || cur.Nonce != nonce {
		return CancelResult{Outcome: CancelSuperseded}, nil
	}
	switch cur.State {
	case StateReserved:
		next := *cur
		next.State = StateCancelled
		return CancelResult{Outcome: Cancelled}, &next
	case StateCancelled:
		return CancelResult{Outcome: Cancelled}, nil
	case StateFinished:
		return CancelResult{Outcome: AlreadyFinished, Answer: cur.Answer}, nil
	}
	return CancelResult{Outcome: AlreadyStarted}, nil
}

// start computes the transition that claims the run of a reserved call.
func start(cur *Record, nonce, startID, agent string) (StartResult, *Record) {
	switch {
	case cur == nil:
		return NotReserved, nil
	case cur.Nonce != nonce:
		return StartSuperseded, nil
	}
	switch cur.State {
	case StateReserved:
		next := *cur
		next.State, next.StartID, next.Agent = StateStarted, startID, agent
		return Started, &next
	case StateStarted:
		if cur.StartID == startID { // read back after this call's own write
			return Started, nil
		}
		return StartedElsewhere, nil
	case StateFinished:
		return StartFinished, nil
	}
	return NotReserved, nil
}

// finish computes the transition that stores the answer of a started call.
func finish(cur *Record, nonce string, a Answer) (transitionError, *Record) {
	return endStarted(cur, nonce, StateFinished, a.storedForm())
}

// abandon computes the transition that cancels a call that the agent started
// but did not make.
func abandon(cur *Record, nonce, agent string) (transitionError, *Record) {
	if cur != nil && cur.Nonce == nonce && cur.State == StateStarted && cur.Agent != agent {
		return transitionError{ErrOtherAgent}, nil
	}
	return endStarted(cur, nonce, StateCancelled, nil)
}

// endStarted computes the transition from StateStarted to a final state. It
// succeeds without a write if the record is already in that state.
func endStarted(cur *Record, nonce string, final State, a *Answer) (transitionError, *Record) {
	switch {
	case cur == nil:
		return transitionError{ErrNoRecord}, nil
	case cur.Nonce != nonce:
		return transitionError{ErrOtherNonce}, nil
	case cur.State == final: // already applied
		return transitionError{}, nil
	case cur.State != StateStarted:
		return transitionError{ErrNotStarted}, nil
	}
	next := *cur
	next.State, next.Answer = final, a
	return transitionError{}, &next
}

// transitionError holds the reason for which a transition is not allowed, or
// nil.
type transitionError struct{ reason error }

func decodeRecord(key string, value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("once: record %q cannot be decoded: %w", key, err)
	}
	return &r, nil
}
