// Package control defines the control messages that entries and agents
// exchange over their links, outside any stream.
package control

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"hyssoploom/config"
	"hyssoploom/ledger"
	"hyssoploom/link"
	"hyssoploom/rollout"
)

// The kinds of control messages.
const (
	// KindRecords carries configuration records; see Records.
	KindRecords = "records"
	// KindRecordsRequest asks the peer for its records; see RecordsRequest.
	KindRecordsRequest = "wanted"
	// KindEvidence carries a rollout.Delta in its own encoding.
	KindEvidence = "evidence"
	// KindQuarantine carries quarantines that the store may not have yet.
	KindQuarantine = "quarantine"
	// KindRating tells an agent that an answer was rated; see Rating.
	KindRating = "rating"
	// KindDurableRows tells an agent which ledger rows are in the store; see DurableRows.
	KindDurableRows = "durable"
)

// maxRecordBytes bounds the records in one message, so that it fits a frame.
const maxRecordBytes = 512 << 10

// Records carries configuration records.
type Records struct {
	Records []config.Record `msgpack:"r"`
}

// RecordsRequest asks for all records above a revision.
type RecordsRequest struct {
	After uint64 `msgpack:"a"`
}

// Rating is the verdict on one answer, for the agent that ran it.
type Rating struct {
	RequestID string             `msgpack:"i"`
	Key       rollout.VersionKey `msgpack:"k"`
}

// DurableRows lists ledger rows that are in the store, or larger forms of them.
type DurableRows struct {
	Rows []ledger.RowRef `msgpack:"r"`
}

// Encode returns the control message of a kind. It panics when v cannot be
// encoded, because all message types are fixed.
func Encode(kind string, v any) link.Control {
	body, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("control: encode %s: %v", kind, err))
	}
	return link.Control{Kind: kind, Body: body}
}

// Decode reads the body of a control message into v.
func Decode(c link.Control, v any) error {
	if err := msgpack.Unmarshal(c.Body, v); err != nil {
		return eris.Wrapf(err, "decode control message %q", c.Kind)
	}
	return nil
}

// SplitRecords returns control messages that carry all records and each fit a
// frame.
func SplitRecords(records []config.Record) []link.Control {
	var out []link.Control
	var batch []config.Record
	size := 0
	flush := func() {
		if len(batch) > 0 {
			out = append(out, Encode(KindRecords, Records{Records: batch}))
		}
		batch, size = nil, 0
	}
	for _, r := range records {
		if size+len(r.Raw) > maxRecordBytes {
			flush()
		}
		batch = append(batch, r)
		size += len(r.Raw) + len(r.Key)
	}
	flush()
	return out
}

// MissingRecords returns what a peer with the given revision and digest lacks of the
// snapshot. Equal revisions with different digests mean that one side missed
// an older change, so everything is sent.
func MissingRecords(snap *config.Snapshot, revision, digest uint64) []config.Record {
	mine := snap.Revision()
	switch {
	case revision < mine:
		return snap.After(revision)
	case revision == mine && digest != snap.Digest():
		return snap.All()
	default:
		return nil
	}
}

// HandleRecords takes in a message about configuration records: it adopts what
// a peer sends, and answers a request for records through send. It reports
// whether the kind is one of these.
func HandleRecords(snap *config.Snapshot, c link.Control, send func(link.Control) error) (bool, error) {
	switch c.Kind {
	case KindRecords:
		var m Records
		if err := Decode(c, &m); err != nil {
			return true, err
		}
		snap.Adopt(m.Records)
		return true, nil
	case KindRecordsRequest:
		var m RecordsRequest
		if err := Decode(c, &m); err != nil {
			return true, err
		}
		for _, out := range SplitRecords(snap.After(m.After)) {
			if err := send(out); err != nil {
				return true, err
			}
		}
		return true, nil
	default:
		return false, nil
	}
}
