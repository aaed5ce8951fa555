// Package ledger records the charge of each request. The entry and the agent
// both hold a row until it is in the platform's store. Merging rows is
// idempotent, so a row that is written twice is charged once.
//
// row.go holds the rows, their encoding and their merge order, without I/O.
// rowset.go and select.go aggregate rows, and rowset.go also reads them from the
// store. rowbuffer.go and expire.go hold copies for other processes, writer.go
// writes rows to the store, and compact.go merges batches in the store.
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
	Workspace string `msgpack:"w" json:"workspace"`
	RequestID string `msgpack:"r" json:"request_id"`
	BodyHash  string `msgpack:"b" json:"body_hash"`
	Stage     int    `msgpack:"s,omitempty" json:"stage"`
	// Attempt distinguishes the rows of one charge. An agent sets the id of its
	// attempt, an entry its boot id with a suffix, and a gateway its boot id.
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

// RowKey identifies a charge. Rows with the same key are variants of one charge.
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

// RowRef identifies one variant of a charge: the row of one attempt.
type RowRef struct {
	Key     RowKey `msgpack:"k" json:"key"`
	Attempt string `msgpack:"a" json:"attempt"`
}

// Ref returns the reference to this variant of the charge.
func (r Row) Ref() RowRef { return RowRef{Key: r.Key(), Attempt: r.Attempt} }

// normalized returns the row with its time in UTC and without a monotonic reading,
// so that equal rows compare equal after decoding.
func (r Row) normalized() Row {
	r.At = r.At.Round(0).UTC()
	return r
}

// Merge returns which of two rows with the same key is charged: the one with the
// larger amount, or for equal amounts the one with the larger attempt id. The
// remaining fields make the order total, so that Merge is commutative and
// associative.
func Merge(a, b Row) Row {
	if a, b = a.normalized(), b.normalized(); compareRows(a, b) < 0 {
		return b
	}
	return a
}

// compareRows orders rows for Merge.
func compareRows(a, b Row) int {
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

// EncodeRow returns the msgpack encoding of a row.
func EncodeRow(r Row) ([]byte, error) { return msgpack.Marshal(r.normalized()) }

// DecodeRow decodes a row that EncodeRow encoded.
func DecodeRow(b []byte) (Row, error) {
	var r Row
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return Row{}, fmt.Errorf("ledger: row cannot be decoded: %w", err)
	}
	return r.normalized(), nil
}

// MaxBatchBytes is the maximum size of a batch. The store's limit for one value
// is 1 MB.
const MaxBatchBytes = 512 << 10

// batchVersion is the first element of a batch; the second is the list of rows.
// A change of Row's fields needs a new version: an older compactor would drop
// fields that it does not know, but does not touch batches of an unknown version.
const batchVersion = 1

// batchHeaderBytes is an upper bound on the encoded size of a batch before its
// rows.
const batchHeaderBytes = 16

var errBatchVersion = errors.New("unknown batch version")

// encodeBatch returns a batch of encoded rows.
func encodeBatch(rows [][]byte) []byte {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	// Writes to a bytes.Buffer never fail.
	_ = enc.EncodeArrayLen(2)
	_ = enc.EncodeInt(batchVersion)
	_ = enc.EncodeArrayLen(len(rows))
	for _, r := range rows {
		buf.Write(r)
	}
	return buf.Bytes()
}

// decodeBatch returns the rows of a batch.
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
	// Rows are decoded one by one, because the decoder would allocate a slice of
	// the encoded length, which can be 4 billion in a corrupt batch.
	var rows []Row
	for range n {
		var r Row
		if err := dec.Decode(&r); err != nil {
			return nil, err
		}
		rows = append(rows, r.normalized())
	}
	return rows, nil
}
