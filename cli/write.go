package cli

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/oklog/ulid/v2"

	"hyssoploom/config"
	"hyssoploom/dialect"
)

// Bounds of retries. Only calls that certainly had no effect, and reads, are
// repeated.
const (
	retryInterval  = 100 * time.Millisecond
	retryFor       = 3 * time.Second  // for a write that was not applied
	readBackFor    = 10 * time.Second // for the read that resolves a lost response
	settleReads    = 3                // reads that see no change before giving up
	settleInterval = 200 * time.Millisecond
)

// Outcome says how the write of one record ended.
type Outcome string

// The outcomes of a write.
const (
	Written     Outcome = "written"
	Conflict    Outcome = "conflict"    // another writer was faster
	Unavailable Outcome = "unavailable" // certainly not written
	Unknown     Outcome = "unknown"     // may or may not have been written
	Failed      Outcome = "failed"      // refused by the store, not written
)

// Result is the report on one record.
type Result struct {
	Record  string  `json:"record"`
	Op      string  `json:"op"`
	Outcome Outcome `json:"outcome"`
	// Revision is the new revision, or with Conflict that of the other writer.
	Revision uint64 `json:"revision,omitempty"`
	// OtherWriter is set with Conflict.
	OtherWriter string `json:"other_writer,omitempty"`
	Detail      string `json:"detail,omitempty"`
}

// pending is one record to be written.
type pending struct {
	key    string
	record string // "kind/name"
	op     string
	raw    []byte
	id     string // change id
	expect uint64
}

// newPending encodes an envelope with a fresh change id.
func (g *globals) newPending(key, op string, expect uint64, e config.Envelope) (pending, error) {
	e.Writer, e.ChangeID = g.writer, ulid.Make().String()
	raw, err := config.Encode(e)
	if err != nil {
		return pending{}, err
	}
	return pending{key: key, record: string(e.Kind) + "/" + e.Name, op: op, raw: raw, id: e.ChangeID, expect: expect}, nil
}

// write performs one compare-and-swap. It repeats it only after ErrUnavailable,
// which says that it was not applied, and resolves a lost response by reading.
func (p pending) write(ctx context.Context, store dialect.Store) Result {
	var rev uint64
	var err error
	// The error of Retry itself is ignored: when the command is interrupted, the
	// error of the last call still tells whether the write took effect.
	_, _ = backoff.Retry(ctx, func() (struct{}, error) {
		rev, err = store.CompareAndSwap(ctx, dialect.Write{Key: p.key, Value: p.raw, ExpectedRevision: p.expect})
		if err != nil && !errors.Is(err, dialect.ErrUnavailable) {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, retryOptions(retryFor)...)
	var conflict *dialect.ConflictError
	switch {
	case err == nil:
		return p.result(Written, rev, "")
	case errors.As(err, &conflict):
		return p.resolve(conflict.Current)
	case errors.Is(err, dialect.ErrUnavailable):
		return p.result(Unavailable, 0, err.Error())
	case errors.Is(err, dialect.ErrValueTooLarge):
		return p.result(Failed, 0, err.Error())
	}
	return p.readBack(ctx, store, err)
}

func retryOptions(total time.Duration) []backoff.RetryOption {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryInterval
	return []backoff.RetryOption{backoff.WithBackOff(b), backoff.WithMaxElapsedTime(total)}
}

// readBack finds out whether a write whose response was lost took effect. It
// goes on when the operator interrupts the command, so that the report is right.
func (p pending) readBack(ctx context.Context, store dialect.Store, lost error) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readBackFor)
	defer cancel()
	for range settleReads {
		kv, err := backoff.Retry(ctx, func() (dialect.KV, error) { return get(ctx, store, p.key) }, retryOptions(readBackFor)...)
		if err != nil {
			return p.result(Unknown, 0, fmt.Sprintf("%v; reading back failed: %v", lost, err))
		}
		if kv.Revision != p.expect {
			r := p.resolve(kv)
			if r.Outcome == Conflict && r.Detail == "" {
				r.Detail = "the response was lost, so this change may have been in force before that"
			}
			return r
		}
		time.Sleep(settleInterval)
	}
	return p.result(Unknown, 0, fmt.Sprintf("%v; the store still has revision %d, but the request may be on its way", lost, p.expect))
}

// get reads a key; a key that does not exist has revision 0.
func get(ctx context.Context, store dialect.Store, key string) (dialect.KV, error) {
	kv, err := store.Get(ctx, key)
	if errors.Is(err, dialect.ErrNotFound) {
		return dialect.KV{Key: key}, nil
	}
	return kv, err
}

// resolve decides by the change id whether the store's record is the one written.
func (p pending) resolve(current dialect.KV) Result {
	e, _ := config.Decode(current.Key, current.Value)
	if e.ChangeID == p.id {
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

func (p pending) result(o Outcome, revision uint64, detail string) Result {
	return Result{Record: p.record, Op: p.op, Outcome: o, Revision: revision, Detail: detail}
}

// String is the report line of one record.
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

// exitOf returns the error of a batch of writes. Unknown outcomes come first,
// because they need the operator's attention most.
func exitOf(results []Result) error {
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
			return Exit(c.code, c.text, n, len(results))
		}
	}
	return nil
}
