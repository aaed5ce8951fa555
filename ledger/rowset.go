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

// RowSet is a set of rows with at most one row per key; rows with the same key
// are merged. The zero RowSet is empty. A RowSet is not safe for concurrent use.
type RowSet struct {
	rows map[RowKey]Row
}

// Add adds a row, merged with the present row of the same key.
func (s *RowSet) Add(r Row) {
	if s.rows == nil {
		s.rows = make(map[RowKey]Row)
	}
	r = r.normalized()
	if old, ok := s.rows[r.Key()]; ok {
		r = Merge(old, r)
	}
	s.rows[r.Key()] = r
}

// Merge adds all rows of another set.
func (s *RowSet) Merge(other *RowSet) {
	for _, r := range other.rows {
		s.Add(r)
	}
}

// Len returns the number of rows.
func (s *RowSet) Len() int { return len(s.rows) }

// Get returns the row with the key.
func (s *RowSet) Get(key RowKey) (Row, bool) {
	r, ok := s.rows[key]
	return r, ok
}

// Rows returns the rows ordered by key.
func (s *RowSet) Rows() []Row {
	rows := make([]Row, 0, len(s.rows))
	for _, r := range s.rows {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(x, y Row) int { return compareKeys(x.Key(), y.Key()) })
	return rows
}

// Total returns the sum in micro-units of the charges of a request id, over all
// its stages and bodies.
func (s *RowSet) Total(workspace, requestID string) int64 {
	var sum int64
	for _, r := range s.rows {
		if r.Workspace == workspace && r.RequestID == requestID {
			sum += r.Amount
		}
	}
	return sum
}

// Filter selects rows. An empty field matches every row.
type Filter struct {
	Workspace string
	From      time.Time // inclusive
	To        time.Time // exclusive
}

func (f Filter) matches(r Row) bool {
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

// Bill is the sum of a set of rows, in total and by line.
type Bill struct {
	Lines    []BillLine `json:"lines"`    // ordered by workspace, model, version, service
	Requests int        `json:"requests"` // a request id used with two bodies counts twice
	Amount   int64      `json:"amount"`   // micro-units
}

// Bill sums the rows that match the filter.
func (s *RowSet) Bill(f Filter) Bill {
	type subject struct{ workspace, model, version, service string }
	lines := make(map[subject]BillLine)
	requests := make(map[RowKey]bool)
	var bill Bill
	for _, r := range s.rows {
		if !f.matches(r) {
			continue
		}
		sub := subject{r.Workspace, r.Model, r.Version, r.Service}
		l := lines[sub]
		l.Workspace, l.Model, l.Version, l.Service = r.Workspace, r.Model, r.Version, r.Service
		l.Rows++
		l.TokensIn += r.TokensIn
		l.TokensOut += r.TokensOut
		l.Amount += r.Amount
		lines[sub] = l
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

// Prefix is the prefix of the store keys of all batches.
const Prefix = "ledger/"

// Read returns all rows in the store. If batches cannot be decoded, it returns
// the rows of the others together with an error that names the keys.
func Read(ctx context.Context, store dialect.Store) (*RowSet, error) {
	kvs, _, err := store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	set := new(RowSet)
	var errs []error
	for _, kv := range kvs {
		rows, err := decodeBatch(kv.Value)
		if err != nil {
			errs = append(errs, fmt.Errorf("ledger: batch %q cannot be decoded: %w", kv.Key, err))
			continue
		}
		for _, r := range rows {
			set.Add(r)
		}
	}
	return set, errors.Join(errs...)
}
