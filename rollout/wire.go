package rollout

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// OriginCounters holds the counters of one version at one origin.
type OriginCounters struct {
	Origin string
	Key    VersionKey
	Cells  []Cell // sorted by ID
}

// Delta holds changes of the evidence for a peer.
type Delta struct {
	Counters   []OriginCounters
	Compaction *Compaction
	// Through is the sender's sequence number of the latest change. It is not sent.
	Through uint64
}

// Empty reports whether there is nothing to send.
func (d Delta) Empty() bool { return len(d.Counters) == 0 && d.Compaction == nil }

// wireDelta is the encoded form of a Delta. Each string is stored once and referred
// to by index, because origins, models and versions repeat.
type wireDelta struct {
	Strings           []string
	Counters          [][]uint64 // origin, model, version, then the cells
	Epoch             uint64
	Compactor         uint64     // index into Strings
	Members           []uint64   // hashes of origins
	CompactedCounters [][]uint64 // sums over Members, in the layout of Counters with an empty origin
}

// numbersPerCell is the encoded length of a cell: its ID and four counters.
const numbersPerCell = 5

// stringTable assigns an index to each distinct string.
type stringTable struct {
	index map[string]uint64
	list  []string
}

func (t *stringTable) intern(s string) uint64 {
	if i, ok := t.index[s]; ok {
		return i
	}
	i := uint64(len(t.list))
	t.index[s] = i
	t.list = append(t.list, s)
	return i
}

// Encode returns d in msgpack.
func (d Delta) Encode() ([]byte, error) {
	t := &stringTable{index: map[string]uint64{}}
	var w wireDelta
	w.Counters = encodeRows(t, d.Counters)
	if d.Compaction != nil {
		w.Epoch, w.Compactor, w.Members = d.Compaction.Epoch, t.intern(d.Compaction.Compactor), d.Compaction.Members
		w.CompactedCounters = encodeRows(t, d.Compaction.Sum)
	}
	w.Strings = t.list
	return encode(&w)
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	enc.UseArrayEncodedStructs(true)
	err := enc.Encode(v)
	return buf.Bytes(), err
}

func encodeRows(t *stringTable, counters []OriginCounters) [][]uint64 {
	out := make([][]uint64, 0, len(counters))
	for _, o := range counters {
		row := append(make([]uint64, 0, 3+numbersPerCell*len(o.Cells)), t.intern(o.Origin), t.intern(o.Key.Model), t.intern(o.Key.Version))
		for _, c := range o.Cells {
			row = append(row, uint64(c.ID), c.Answers, c.Rated, c.Passed, c.Errors)
		}
		out = append(out, row)
	}
	return out
}

// MalformedError reports evidence or quarantines that cannot be decoded.
type MalformedError struct{ Reason string }

func (e *MalformedError) Error() string { return "malformed evidence: " + e.Reason }

// DecodeDelta decodes the result of Delta.Encode. The error is a *MalformedError.
func DecodeDelta(b []byte) (Delta, error) {
	var w wireDelta
	if err := msgpack.Unmarshal(b, &w); err != nil {
		return Delta{}, &MalformedError{err.Error()}
	}
	counters, err := decodeRows(w.Strings, w.Counters)
	if err != nil {
		return Delta{}, err
	}
	d := Delta{Counters: counters}
	if w.Epoch == 0 {
		return d, nil
	}
	if w.Compactor >= uint64(len(w.Strings)) || len(w.Members) > maxCompactedOrigins {
		return Delta{}, &MalformedError{"fold"}
	}
	sum, err := decodeRows(w.Strings, w.CompactedCounters)
	if err != nil {
		return Delta{}, err
	}
	d.Compaction = &Compaction{Epoch: w.Epoch, Compactor: w.Strings[w.Compactor], Members: w.Members, Sum: sum}
	return d, nil
}

func decodeRows(table []string, rows [][]uint64) ([]OriginCounters, error) {
	out := make([]OriginCounters, 0, len(rows))
	for _, row := range rows {
		if len(row) < 3 || (len(row)-3)%numbersPerCell != 0 {
			return nil, &MalformedError{fmt.Sprintf("row has an invalid length of %d numbers", len(row))}
		}
		for _, i := range row[:3] {
			if i >= uint64(len(table)) {
				return nil, &MalformedError{fmt.Sprintf("string index %d out of range for a table of %d strings", i, len(table))}
			}
		}
		o := OriginCounters{Origin: table[row[0]], Key: VersionKey{table[row[1]], table[row[2]]}}
		for c := row[3:]; len(c) > 0; c = c[numbersPerCell:] {
			if c[0] >= cellCount {
				return nil, &MalformedError{fmt.Sprintf("cell ID %d out of range", c[0])}
			}
			o.Cells = cells(o.Cells).withCounts(uint8(c[0]), Counts{c[1], c[2], c[3], c[4]})
		}
		out = append(out, o)
	}
	return out, nil
}
