// Package once makes a call that may not be repeated run at most once. It
// keeps one record per idempotency key in the platform's store; every change
// of a record is a compare-and-swap.
//
// record.go is the state machine and has no I/O; log.go applies it to the
// store.
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
	StateFinished  State = "finished"  // the answer is stored
	StateCancelled State = "cancelled" // the call was not made; the key can be reserved again
)

// Record is the JSON value at once/<workspace>/<key>.
type Record struct {
	State     State  `json:"state"`
	Nonce     string `json:"nonce"` // unique per reservation
	BodyHash  string `json:"body_hash"`
	RequestID string `json:"request_id"`
	Owner     string `json:"owner"`      // boot id of the entry that reserved
	TimeoutMS int64  `json:"timeout_ms"` // how long the request may take, in milliseconds
	// StartID is unique per call of Start; Agent is the boot id of its caller.
	StartID string  `json:"start_id,omitempty"`
	Agent   string  `json:"agent,omitempty"`
	Answer  *Answer `json:"answer,omitempty"`
	// At is the writer's clock at the last change.
	At time.Time `json:"at"`
}

// MaxAnswerBytes bounds the headers and body of a stored answer. Base64 in
// JSON adds a third, which keeps a record below the store's limit of 1 MB.
const MaxAnswerBytes = 256 << 10

// Answer is the response of a finished call.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// TooLarge tells that headers and body exceeded MaxAnswerBytes and were not
	// stored; only the status is known.
	TooLarge bool `json:"too_large,omitempty"`
}

// stored returns the form of the answer that goes into a record.
func (a Answer) stored() *Answer {
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

// Reservation describes the request that wants to run.
type Reservation struct {
	Workspace string
	Key       string
	RequestID string
	BodyHash  string
	Owner     string        // boot id of the entry
	Timeout   time.Duration // how long the request may take; at least 1 ms
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
	// Unknown means that an agent started the call and has not stored its answer
	// in time.
	Unknown Outcome = "unknown"
	// Mismatch means that the key was used with another body.
	Mismatch Outcome = "mismatch"
)

// Result is what Reserve found.
type Result struct {
	Outcome Outcome
	Nonce   string  // set when Reserved
	Answer  *Answer // set when Finished
	// RequestID is the id of the request that holds the key, when it is not the
	// caller's.
	RequestID string
}

// CancelOutcome is the result of Cancel.
type CancelOutcome string

// The outcomes of Cancel. Only Cancelled allows "not run" to be reported.
const (
	// Cancelled means that the call has not run and cannot run any more under
	// this nonce.
	Cancelled CancelOutcome = "cancelled"
	// AlreadyStarted means that an agent may have made the call.
	AlreadyStarted CancelOutcome = "already_started"
	// AlreadyFinished means that the call has run.
	AlreadyFinished CancelOutcome = "finished"
	// CancelSuperseded means that the record is gone or belongs to a newer
	// reservation, under which the call may have run.
	CancelSuperseded CancelOutcome = "superseded"
)

// CancelResult is what Cancel found.
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
	// StartedElsewhere means that another call of Start has this reservation.
	StartedElsewhere StartResult = "started_elsewhere"
	// StartFinished means that the call has run already.
	StartFinished StartResult = "finished"
)

// reserve decides for a reservation whose record would be want. cur is nil when
// the key is absent. observed is how long the caller has seen the nonce of cur;
// age is the time since cur.At by unsynchronized clocks.
func reserve(cur *Record, want Record, observed, age time.Duration) (Result, *Record) {
	if cur == nil {
		return Result{Outcome: Reserved, Nonce: want.Nonce}, &want
	}
	if cur.BodyHash != want.BodyHash {
		return Result{Outcome: Mismatch, RequestID: cur.RequestID}, nil
	}
	held := Result{Outcome: InProgress, RequestID: cur.RequestID}
	timeout := time.Duration(cur.TimeoutMS) * time.Millisecond
	switch cur.State {
	case StateReserved:
		if cur.Nonce == want.Nonce { // our own write, read back
			return Result{Outcome: Reserved, Nonce: want.Nonce}, nil
		}
		// Only the caller's own observation counts: a wrong clock must not take
		// over a reservation whose request is still running.
		if observed < timeout {
			return held, nil
		}
	case StateStarted:
		// Neither outcome causes a run, so the writer's clock is good enough here.
		if max(observed, age) >= timeout {
			held.Outcome = Unknown
		}
		return held, nil
	case StateFinished:
		held.Outcome, held.Answer = Finished, cur.Answer
		return held, nil
	case StateCancelled:
	default:
		return held, nil // written by a newer version
	}
	return Result{Outcome: Reserved, Nonce: want.Nonce}, &want
}

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
		if cur.StartID == startID { // our own write, read back
			return Started, nil
		}
		return StartedElsewhere, nil
	case StateFinished:
		return StartFinished, nil
	}
	return NotReserved, nil
}

// finish decides for storing the answer of a started call.
func finish(cur *Record, nonce string, a Answer) (refusal, *Record) {
	return end(cur, nonce, StateFinished, a.stored())
}

// abandon decides for giving up a call that the agent started and did not make.
func abandon(cur *Record, nonce, agent string) (refusal, *Record) {
	if cur != nil && cur.Nonce == nonce && cur.State == StateStarted && cur.Agent != agent {
		return refusal{ErrOtherAgent}, nil
	}
	return end(cur, nonce, StateCancelled, nil)
}

// end moves a started record to its last state.
func end(cur *Record, nonce string, last State, a *Answer) (refusal, *Record) {
	switch {
	case cur == nil:
		return refusal{ErrNoRecord}, nil
	case cur.Nonce != nonce:
		return refusal{ErrOtherNonce}, nil
	case cur.State == last: // done before
		return refusal{}, nil
	case cur.State != StateStarted:
		return refusal{ErrNotStarted}, nil
	}
	next := *cur
	next.State, next.Answer = last, a
	return refusal{}, &next
}

// refusal holds nil when the step is done.
type refusal struct{ reason error }

func decode(key string, value []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, fmt.Errorf("once: record %q cannot be decoded: %w", key, err)
	}
	return &r, nil
}
