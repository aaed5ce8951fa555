package cli

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/internal/uniqueid"
)

// Only reads and calls that certainly had no effect are retried.
const (
	initialRetryInterval = 100 * time.Millisecond
	writeRetryTimeout    = 3 * time.Second  // for a write that was not applied
	readBackTimeout      = 10 * time.Second // for the reads that resolve a lost response
	readBackAttempts     = 3                // reads without a change before the outcome is reported as unknown
	readBackInterval     = 200 * time.Millisecond
)

// Outcome is the result of writing one record.
type Outcome string

// The outcomes of a write.
const (
	Written     Outcome = "written"
	Conflict    Outcome = "conflict"    // another writer changed the record first
	Unavailable Outcome = "unavailable" // certainly not written
	Unknown     Outcome = "unknown"     // may or may not have been written
	Failed      Outcome = "failed"      // rejected by the store, not written
)

// Result reports the write of one record.
type Result struct {
	Record  string  `json:"record"`
	Op      string  `json:"op"`
	Outcome Outcome `json:"outcome"`
	// Revision is the new revision of the record, or the other writer's revision if the
	// outcome is Conflict.
	Revision uint64 `json:"revision,omitempty"`
	// OtherWriter is set only if the outcome is Conflict.
	OtherWriter string `json:"other_writer,omitempty"`
	Detail      string `json:"detail,omitempty"`
}

// pendingWrite is one record to be written.
type pendingWrite struct {
	key              string
	record           string // "kind/name"
	op               string
	value            []byte
	changeID         string
	expectedRevision uint64
}

// newPendingWrite encodes an envelope with the writer's name and a new change id.
func (g *globalFlags) newPendingWrite(key, op string, expect uint64, e config.Envelope) (pendingWrite, error) {
	e.Writer, e.ChangeID = g.writer, uniqueid.New()
	raw, err := config.Encode(e)
	if err != nil {
		return pendingWrite{}, err
	}
	return pendingWrite{key: key, record: string(e.Kind) + "/" + e.Name, op: op, value: raw, changeID: e.ChangeID, expectedRevision: expect}, nil
}

// write performs one compare-and-swap. It retries only after ErrUnavailable, which
// means that the write was not applied. If the response is lost, it reads the record
// back to find out whether the write took effect.
func (p pendingWrite) write(ctx context.Context, store dialect.Store) Result {
	var rev uint64
	var err error
	// The error of Retry is ignored: if the command is interrupted, only the error of
	// the last call tells whether the write took effect.
	_, _ = backoff.Retry(ctx, func() (struct{}, error) {
		rev, err = store.CompareAndSwap(ctx, dialect.Write{Key: p.key, Value: p.value, ExpectedRevision: p.expectedRevision})
		if err != nil && !errors.Is(err, dialect.ErrUnavailable) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, retryOptions(writeRetryTimeout)...)
	var conflict *dialect.ConflictError
	switch {
	case err == nil:
		return p.result(Written, rev, "")
	case errors.As(err, &conflict):
		return p.compareWithStored(conflict.Current)
	case errors.Is(err, dialect.ErrUnavailable):
		return p.result(Unavailable, 0, err.Error())
	case errors.Is(err, dialect.ErrValueTooLarge):
		return p.result(Failed, 0, err.Error())
	}
	return p.readBack(ctx, store, err)
}

func retryOptions(maxElapsed time.Duration) []backoff.RetryOption {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialRetryInterval
	return []backoff.RetryOption{backoff.WithBackOff(b), backoff.WithMaxElapsedTime(maxElapsed)}
}

// readBack finds out whether a write whose response was lost took effect. It continues
// if the operator interrupts the command, so that the reported outcome is correct.
func (p pendingWrite) readBack(ctx context.Context, store dialect.Store, swapErr error) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackTimeout)
	defer cancel()
	for range readBackAttempts {
		kv, err := backoff.Retry(ctx, func() (dialect.KV, error) { return getOrZero(ctx, store, p.key) }, retryOptions(readBackTimeout)...)
		if err != nil {
			return p.result(Unknown, 0, fmt.Sprintf("%v; reading back failed: %v", swapErr, err))
		}
		if kv.Revision != p.expectedRevision {
			r := p.compareWithStored(kv)
			if r.Outcome == Conflict && r.Detail == "" {
				r.Detail = "the response was lost, so this change may have been in force before the other writer's"
			}
			return r
		}
		time.Sleep(readBackInterval)
	}
	return p.result(Unknown, 0, fmt.Sprintf("%v; the store still has revision %d, but the request may still arrive", swapErr, p.expectedRevision))
}

// getOrZero reads a key. For a key that does not exist it returns revision 0 and no
// error.
func getOrZero(ctx context.Context, store dialect.Store, key string) (dialect.KV, error) {
	kv, err := store.Get(ctx, key)
	if errors.Is(err, dialect.ErrNotFound) {
		return dialect.KV{Key: key}, nil
	}
	return kv, err
}

// compareWithStored returns Written if the change id of the stored record shows that it
// is the one written, and otherwise Conflict.
func (p pendingWrite) compareWithStored(current dialect.KV) Result {
	e, _ := config.Decode(current.Key, current.Value)
	if e.ChangeID == p.changeID {
		return p.result(Written, current.Revision, "")
	}
	r := p.result(Conflict, current.Revision, "")
	switch {
	case current.Revision == 0:
		r.Detail = "the key was removed"
	case e.Writer == "":
		r.Detail = "the other writer is not named in the record"
	case e.Deleted:
		r.Detail = "the record was deleted"
	}
	r.OtherWriter = e.Writer
	return r
}

func (p pendingWrite) result(o Outcome, revision uint64, detail string) Result {
	return Result{Record: p.record, Op: p.op, Outcome: o, Revision: revision, Detail: detail}
}

// String returns the line that reports the result in text output.
func (r Result) String() string {
	s := fmt.Sprintf("%-11s %-6s %s", r.Outcome, r.Op, r.Record)
	if r.Revision > 0 {
		s += fmt.Sprintf(" at revision %d", r.Revision)
	}
	if r.OtherWriter != "" {
		s += " by " + r.OtherWriter
	}
	if r.Detail != "" {
		s += ": " + r.Detail
	}
	return s
}

// resultsError returns the error of a batch of writes, nil if all were written. If they
// ended differently, an unknown outcome has precedence, because it needs the operator's
// attention most.
func resultsError(results []Result) error {
	count := map[Outcome]int{}
	for _, r := range results {
		count[r.Outcome]++
	}
	for _, c := range []struct {
		outcome Outcome
		code    Code
		text    string
	}{
		{Unknown, CodeUnknown, "it is unknown whether %d of %d records were written; run the command again"},
		{Conflict, CodeConflict, "another writer changed %d of %d records first; look at the difference and run the command again"},
		{Unavailable, CodeUnavailable, "the store was not available for %d of %d records"},
		{Failed, CodeFailure, "the store refused %d of %d records"},
	} {
		if n := count[c.outcome]; n > 0 {
			return ExitErrorf(c.code, c.text, n, len(results))
		}
	}
	return nil
}
