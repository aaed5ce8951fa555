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

// Kinds of control messages.
const (
	// KindRecords carries configuration records. The body is Records.
	KindRecords = "records"
	// KindRecordsRequest requests configuration records. The body is RecordsRequest.
	KindRecordsRequest = "wanted"
	// KindEvidence carries evidence. The body is the result of rollout.Delta.Encode.
	KindEvidence = "evidence"
	// KindQuarantine carries quarantines that may not be in the store yet. The body
	// is []rollout.Quarantine.
	KindQuarantine = "quarantine"
	// KindAnswerRated tells an agent that an answer was rated. The body is
	// AnswerRated.
	KindAnswerRated = "rating"
	// KindDurableRows tells an agent which ledger rows are in the store. The body is
	// DurableRows.
	KindDurableRows = "durable"
)

// maxRecordBytes bounds the records in one message, so that it fits in a frame.
const maxRecordBytes = 512 << 10

// Records carries configuration records.
type Records struct {
	Records []config.Record `msgpack:"r"`
}

// RecordsRequest requests all records above a revision.
type RecordsRequest struct {
	After uint64 `msgpack:"a"`
}

// AnswerRated tells the agent that an answer of its backend server was rated. It does
// not contain the rating.
type AnswerRated struct {
	RequestID string             `msgpack:"i"`
	Key       rollout.VersionKey `msgpack:"k"`
}

// DurableRows identifies ledger rows that are in the store or that a larger row of
// the same charge has superseded there.
type DurableRows struct {
	Rows []ledger.RowRef `msgpack:"r"`
}

// Encode returns a control message of the given kind with v as its body. It panics if
// v cannot be encoded, which would be a programming error: the message types are
// fixed.
func Encode(kind string, v any) link.Control {
	body, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("control: encode %s: %v", kind, err))
	}
	return link.Control{Kind: kind, Body: body}
}

// Decode decodes the body of a control message into v.
func Decode(c link.Control, v any) error {
	if err := msgpack.Unmarshal(c.Body, v); err != nil {
		return eris.Wrapf(err, "decode control message of kind %q", c.Kind)
	}
	return nil
}

// SplitRecords distributes records over control messages that each fit in a frame.
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

// MissingRecords returns the records of the snapshot that a peer with the given
// revision and digest lacks. If the revisions are equal but the digests differ, one
// side missed an older change, so all records are returned.
func MissingRecords(snap *config.Snapshot, revision, digest uint64) []config.Record {
	local := snap.Revision()
	switch {
	case revision < local:
		return snap.RecordsAfter(revision)
	case revision == local && digest != snap.Digest():
		return snap.Records()
	default:
		return nil
	}
}

// HandleRecords processes a message about configuration records: it adopts records
// from a peer and answers a request for records with send. It reports whether the
// message is of one of these kinds.
func HandleRecords(snap *config.Snapshot, c link.Control, send func(link.Control) error) (bool, error) {
	switch c.Kind {
	case KindRecords:
		var m Records
		if err := Decode(c, &m); err != nil {
			return true, err
		}
		snap.Apply(m.Records)
		return true, nil
	case KindRecordsRequest:
		var m RecordsRequest
		if err := Decode(c, &m); err != nil {
			return true, err
		}
		for _, reply := range SplitRecords(snap.RecordsAfter(m.After)) {
			if err := send(reply); err != nil {
				return true, err
			}
		}
		return true, nil
	default:
		return false, nil
	}
}
