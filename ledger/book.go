package ledger

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"hyssoploom/dialect"
)

// RowSet is a set of merged rows. The zero RowSet is empty. It is not safe for
// concurrent use.
type RowSet struct {
	rows map[RowKey]Row
}

// Add merges a row into the book.
func (b *RowSet) Add(r Row) {
	if b.rows == nil {
		b.rows = make(map[RowKey]Row)
	}
	r = r.normal()
	if old, ok := b.rows[r.Key()]; ok {
		r = Merge(old, r)
	}
	b.rows[r.Key()] = r
}

// Merge adds all rows of another book.
func (b *RowSet) Merge(other *RowSet) {
	for _, r := range other.rows {
		b.Add(r)
	}
}

// Len returns the number of rows.
func (b *RowSet) Len() int { return len(b.rows) }

// Get returns the row with the key.
func (b *RowSet) Get(key RowKey) (Row, bool) {
	r, ok := b.rows[key]
	return r, ok
}

// Rows returns the rows in the order of their keys.
func (b *RowSet) Rows() []Row {
	rows := make([]Row, 0, len(b.rows))
	for _, r := range b.rows {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(x, y Row) int { return compareKeys(x.Key(), y.Key()) })
	return rows
}

// Total returns the charge in micro-units of all stages and bodies of a request
// id.
func (b *RowSet) Total(workspace, requestID string) int64 {
	var sum int64
	for _, r := range b.rows {
		if r.Workspace == workspace && r.RequestID == requestID {
			sum += r.Amount
		}
	}
	return sum
}

// Filter selects rows for a bill. Empty fields select everything.
type Filter struct {
	Workspace string
	From      time.Time // inclusive
	To        time.Time // exclusive
}

func (f Filter) selects(r Row) bool {
	return (f.Workspace == "" || f.Workspace == r.Workspace) &&
		(f.From.IsZero() || !r.At.Before(f.From)) &&
		(f.To.IsZero() || r.At.Before(f.To))
}

// BillLine sums the rows of one workspace on one model version or service.
type BillLine struct {
	Workspace string `json:"workspace"`
	Model     string `json:"model,omitempty"`
	Version   string `json:"version,omitempty"`
	Service   string `json:"service,omitempty"`
	Rows      int    `json:"rows"`
	TokensIn  int64  `json:"tokens_in"`
	TokensOut int64  `json:"tokens_out"`
	Amount    int64  `json:"amount"` // micro-units
}

// Bill is a sum of rows.
type Bill struct {
	Lines    []BillLine `json:"lines"`    // ordered by workspace, model, version, service
	Requests int        `json:"requests"` // a request id with two bodies counts twice
	Amount   int64      `json:"amount"`   // micro-units
}

// Bill sums the rows that the filter selects.
func (b *RowSet) Bill(f Filter) Bill {
	type subject struct{ workspace, model, version, service string }
	lines := make(map[subject]BillLine)
	requests := make(map[RowKey]bool)
	var bill Bill
	for _, r := range b.rows {
		if !f.selects(r) {
			continue
		}
		s := subject{r.Workspace, r.Model, r.Version, r.Service}
		l := lines[s]
		l.Workspace, l.Model, l.Version, l.Service = r.Workspace, r.Model, r.Version, r.Service
		l.Rows++
		l.TokensIn += r.TokensIn
		l.TokensOut += r.TokensOut
		l.Amount += r.Amount
		lines[s] = l
		bill.Amount += r.Amount
		key := r.Key()
		key.Stage = 0
		requests[key] = true
	}
	bill.Requests = len(requests)
	for _, l := range lines {
		bill.Lines = append(bill.Lines, l)
	}
	slices.SortFunc(bill.Lines, func(x, y BillLine) int {
		return cmp.Or(strings.Compare(x.Workspace, y.Workspace), strings.Compare(x.Model, y.Model),
			strings.Compare(x.Version, y.Version), strings.Compare(x.Service, y.Service))
	})
	return bill
}

// Prefix is the store's key prefix of all batches.
const Prefix = "ledger/"

// Read returns all rows in the store. When a batch cannot be decoded, it
// returns the rows of the others together with an error that names the key.
func Read(ctx context.Context, store dialect.Store) (*RowSet, error) {
	kvs, _, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	book := new(RowSet)
	var failed []error
	for _, kv := range kvs {
		rows, err := decodeBatch(kv.Value)
		if err != nil {
			failed = append(failed, fmt.Errorf("ledger: batch %q cannot be decoded: %w", kv.Key, err))
			continue
		}
		for _, r := range rows {
			book.Add(r)
		}
	}
	return book, errors.Join(failed...)
}
