// Package ledger records what each request costs. A row is held by the entry
// and by the agent until it is in the platform's store; rows merge, so that
// writing one twice never charges twice.
//
// row.go and book.go are free of I/O; writer.go, holder.go and compact.go move
// rows to and within the store.
package ledger

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Row is the charge of one stage of one request.
type Row struct {
	Workspace string    `msgpack:"w" json:"workspace"`
	RequestID string    `msgpack:"r" json:"request_id"`
	BodyHash  string    `msgpack:"b" json:"body_hash"`
	Stage     int       `msgpack:"s,omitempty" json:"stage"`
	Attempt   string    `msgpack:"a,omitempty" json:"attempt,omitempty"`
	Model     string    `msgpack:"m,omitempty" json:"model,omitempty"`
	Version   string    `msgpack:"v,omitempty" json:"version,omitempty"`
	Service   string    `msgpack:"c,omitempty" json:"service,omitempty"`
	TokensIn  int64     `msgpack:"i,omitempty" json:"tokens_in"`
	TokensOut int64     `msgpack:"o,omitempty" json:"tokens_out"`
	Amount    int64     `msgpack:"p,omitempty" json:"amount"` // micro-units of currency
	Outcome   string    `msgpack:"u,omitempty" json:"outcome,omitempty"`
	At        time.Time `msgpack:"t" json:"at"`
}

// RowKey identifies a charge. Rows with the same key are forms of one charge.
type RowKey struct {
	Workspace string `msgpack:"w" json:"workspace"`
	RequestID string `msgpack:"r" json:"request_id"`
	BodyHash  string `msgpack:"b" json:"body_hash"`
	Stage     int    `msgpack:"s,omitempty" json:"stage"`
}

// Key returns the key of the row.
func (r Row) Key() RowKey {
	return RowKey{Workspace: r.Workspace, RequestID: r.RequestID, BodyHash: r.BodyHash, Stage: r.Stage}
}

// RowRef identifies one form of a charge: the row that one attempt made.
type RowRef struct {
	Key     RowKey `msgpack:"k" json:"key"`
	Attempt string `msgpack:"a" json:"attempt"`
}

// Ref identifies this form of the charge.
func (r Row) Ref() RowRef { return RowRef{Key: r.Key(), Attempt: r.Attempt} }

// normal returns the row with its time in UTC and without a monotonic reading,
// so that equal rows compare equal after decoding.
func (r Row) normal() Row {
	r.At = r.At.Round(0).UTC()
	return r
}

// Merge returns the row that counts of two rows with the same key: the one with
// the larger amount, then the one with the larger attempt id. The remaining
// fields make the order total, which makes Merge commutative and associative.
func Merge(a, b Row) Row {
	if a, b = a.normal(), b.normal(); compare(a, b) < 0 {
		return b
	}
	return a
}

func compare(a, b Row) int {
	return cmp.Or(
		cmp.Compare(a.Amount, b.Amount),
		strings.Compare(a.Attempt, b.Attempt),
		cmp.Compare(a.TokensOut, b.TokensOut),
		cmp.Compare(a.TokensIn, b.TokensIn),
		strings.Compare(a.Model, b.Model),
		strings.Compare(a.Version, b.Version),
		strings.Compare(a.Service, b.Service),
		strings.Compare(a.Outcome, b.Outcome),
		a.At.Compare(b.At),
		compareKeys(a.Key(), b.Key()),
	)
}

func compareKeys(a, b RowKey) int {
	return cmp.Or(
		strings.Compare(a.Workspace, b.Workspace),
		strings.Compare(a.RequestID, b.RequestID),
		strings.Compare(a.BodyHash, b.BodyHash),
		cmp.Compare(a.Stage, b.Stage),
	)
}

// EncodeRow returns the msgpack form of a row.
func EncodeRow(r Row) ([]byte, error) { return msgpack.Marshal(r.normal()) }

// DecodeRow reads what EncodeRow wrote.
func DecodeRow(b []byte) (Row, error) {
	var r Row
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return Row{}, fmt.Errorf("ledger: row cannot be decoded: %w", err)
	}
	return r.normal(), nil
}

// MaxBatchBytes bounds one value in the store, which takes at most 1 MB.
const MaxBatchBytes = 512 << 10

// batchVersion is the first element of a batch; the second is the list of rows.
// A change of Row's fields needs a new version: a compactor of an older version
// would drop fields that it does not know, and leaves unknown versions alone.
const batchVersion = 1

// batchHeaderBytes is the largest size of what precedes the rows of a batch.
const batchHeaderBytes = 16

var errBatchVersion = errors.New("unknown batch version")

// encodeBatch joins encoded rows.
func encodeBatch(rows [][]byte) []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	// A bytes.Buffer never fails to write.
	_ = enc.EncodeArrayLen(2)
	_ = enc.EncodeInt(batchVersion)
	_ = enc.EncodeArrayLen(len(rows))
	for _, r := range rows {
		buf.Write(r)
	}
	return buf.Bytes()
}

func decodeBatch(value []byte) ([]Row, error) {
	dec := msgpack.NewDecoder(bytes.NewReader(value))
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	version, err := dec.DecodeInt()
	if err != nil {
		return nil, err
	}
	if n != 2 || version != batchVersion {
		return nil, errBatchVersion
	}
	if n, err = dec.DecodeArrayLen(); err != nil {
		return nil, err
	}
	// The rows are decoded one by one: the decoder would allocate a whole list by
	// its stated length, which in a damaged batch may be 4 billion.
	var rows []Row
	for range n {
		var r Row
		if err := dec.Decode(&r); err != nil {
			return nil, err
		}
		rows = append(rows, r.normal())
	}
	return rows, nil
}
