package rollout

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Part holds the counters of one version at one origin.
type Part struct {
	Origin string
	Key    VersionKey
	Cells  []Cell // by ID
}

// Delta is evidence on its way to a peer.
type Delta struct {
	Parts []Part
	Fold  *Fold
	// Through is the sender's sequence number; it is not transmitted.
	Through uint64
}

// Empty reports whether there is nothing to send.
func (d Delta) Empty() bool { return len(d.Parts) == 0 && d.Fold == nil }

// wireDelta names each string once and refers to it by index, because origins,
// models and versions repeat.
type wireDelta struct {
	Strings []string
	Parts   [][]uint64 // origin, model, version, then the cells
	Epoch   uint64
	Folder  uint64
	Members []uint64
	Sum     [][]uint64
}

// cellWidth is the length of one cell on the wire: id and four counters.
const cellWidth = 5

type stringTable struct {
	index map[string]uint64
	list  []string
}

func (t *stringTable) id(s string) uint64 {
	if i, ok := t.index[s]; ok {
		return i
	}
	i := uint64(len(t.list))
	t.index[s] = i
	t.list = append(t.list, s)
	return i
}

// Encode returns the msgpack form of d.
func (d Delta) Encode() ([]byte, error) {
	t := &stringTable{index: map[string]uint64{}}
	var w wireDelta
	w.Parts = flatten(t, d.Parts)
	if d.Fold != nil {
		w.Epoch, w.Folder, w.Members = d.Fold.Epoch, t.id(d.Fold.Folder), d.Fold.Members
		w.Sum = flatten(t, d.Fold.Sum)
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

func flatten(t *stringTable, parts []Part) [][]uint64 {
	out := make([][]uint64, 0, len(parts))
	for _, p := range parts {
		row := append(make([]uint64, 0, 3+cellWidth*len(p.Cells)), t.id(p.Origin), t.id(p.Key.Model), t.id(p.Key.Version))
		for _, c := range p.Cells {
			row = append(row, uint64(c.ID), c.Answers, c.Rated, c.Passed, c.Errors)
		}
		out = append(out, row)
	}
	return out
}

// MalformedError reports evidence that cannot be decoded.
type MalformedError struct{ Reason string }

func (e *MalformedError) Error() string { return "malformed evidence: " + e.Reason }

// DecodeDelta reads the msgpack form of a delta. It fails with *MalformedError.
func DecodeDelta(b []byte) (Delta, error) {
	var w wireDelta
	if err := msgpack.Unmarshal(b, &w); err != nil {
		return Delta{}, &MalformedError{err.Error()}
	}
	parts, err := unflatten(w.Strings, w.Parts)
	if err != nil {
		return Delta{}, err
	}
	d := Delta{Parts: parts}
	if w.Epoch == 0 {
		return d, nil
	}
	if w.Folder >= uint64(len(w.Strings)) || len(w.Members) > maxFolded {
		return Delta{}, &MalformedError{"fold"}
	}
	sum, err := unflatten(w.Strings, w.Sum)
	if err != nil {
		return Delta{}, err
	}
	d.Fold = &Fold{Epoch: w.Epoch, Folder: w.Strings[w.Folder], Members: w.Members, Sum: sum}
	return d, nil
}

func unflatten(table []string, rows [][]uint64) ([]Part, error) {
	out := make([]Part, 0, len(rows))
	for _, row := range rows {
		if len(row) < 3 || (len(row)-3)%cellWidth != 0 {
			return nil, &MalformedError{fmt.Sprintf("row of %d numbers", len(row))}
		}
		for _, i := range row[:3] {
			if i >= uint64(len(table)) {
				return nil, &MalformedError{fmt.Sprintf("string %d of %d", i, len(table))}
			}
		}
		p := Part{Origin: table[row[0]], Key: VersionKey{table[row[1]], table[row[2]]}}
		for c := row[3:]; len(c) > 0; c = c[cellWidth:] {
			if c[0] >= cellCount {
				return nil, &MalformedError{fmt.Sprintf("cell %d", c[0])}
			}
			p.Cells = cells(p.Cells).with(uint8(c[0]), Counts{c[1], c[2], c[3], c[4]})
		}
		out = append(out, p)
	}
	return out, nil
}
