// Package peers connects the entries of a fleet. Each entry sends its peers what
// it knows first: the work it has placed, the sessions it serves, evidence about
// new versions, and how fresh its copy of the configuration is. Everything sent
// is an aid; an entry without peers serves on its own knowledge.
package peers

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"hyssoploom/fleet"
	"hyssoploom/ledger"
)

// maxFrame bounds one message in bytes; a snapshot of the store is the largest.
const maxFrame = 16 << 20

// Message is a batch of news of one entry. Absent parts have not changed.
type Message struct {
	// From tells who sends. Only the first message of a connection carries it; the
	// hub fills it in for the others.
	From fleet.Peer `msgpack:"f,omitempty"`
	// Ask is sent by an entry that cannot read the store itself.
	Ask *Ask `msgpack:"a,omitempty"`
	// Reply answers an Ask.
	Reply *Reply `msgpack:"y,omitempty"`
	// Loads are the sender's own requests at backend servers.
	Loads []Load `msgpack:"w,omitempty"`
	// Reads are prompts that the sender has sent to engines.
	Reads []Read `msgpack:"r,omitempty"`
	// Sessions are uses of sessions during a roll-out.
	Sessions []SessionUse `msgpack:"s,omitempty"`
	// Evidence is the sender's count of answers by version.
	Evidence []Evidence `msgpack:"e,omitempty"`
	// Charges are rows that the sender has not written to the store yet, and
	// Durable those that it has. Boot identifies the sender's process.
	Boot    string          `msgpack:"b,omitempty"`
	Charges []ledger.Row    `msgpack:"c,omitempty"`
	Durable []ledger.RowRef `msgpack:"d,omitempty"`
}

// Ask asks a peer for what it knows of the store.
type Ask struct {
	// At is the time by the asker's own clock, in nanoseconds.
	At int64 `msgpack:"t"`
	// Revision is the revision up to which the asker's copy is complete, and Held
	// the revisions of later items that it has all the same.
	Revision int64            `msgpack:"r"`
	Held     map[string]int64 `msgpack:"h,omitempty"`
}

// Reply is a peer's copy of the store since the asker's.
type Reply struct {
	// Asked is the At of the Ask, so that the time on the way only makes the copy
	// look older than it is; 0 when the sender passes on changes unasked.
	Asked int64 `msgpack:"t"`
	// AgeMS is the time in milliseconds since the copy was known to be complete,
	// and Revision the store's revision that it then had.
	AgeMS    int64        `msgpack:"a"`
	Revision int64        `msgpack:"r"`
	Items    []fleet.Item `msgpack:"i"`
}

// Load is the work of one entry at one backend server.
type Load struct {
	Server    string `msgpack:"s"`
	PendingMS int64  `msgpack:"p"`
	Running   int    `msgpack:"n"`
}

// Read tells that an engine has been sent the leading parts of a prompt.
type Read struct {
	Server string `msgpack:"s"`
	Model  string `msgpack:"m"`
	Parts  []Part `msgpack:"p"`
}

// Part is a leading piece of a prompt.
type Part struct {
	// Key is a hash of all parts up to this one.
	Key uint64 `msgpack:"k"`
	// Tokens is the length of this part alone.
	Tokens int `msgpack:"t"`
}

// SessionUse tells which version serves a session.
type SessionUse struct {
	Service string `msgpack:"v"`
	Session uint64 `msgpack:"s"`
	Version string `msgpack:"r"`
	// Running tells that the use has begun; else it has ended.
	Running bool `msgpack:"n"`
}

// Evidence counts the answers that one entry got from a version since an order.
type Evidence struct {
	Service string `msgpack:"s"`
	// Order is the revision of the order of the roll-out.
	Order   int64  `msgpack:"o"`
	Version string `msgpack:"v"`
	Sent    int    `msgpack:"n"`
	Good    int    `msgpack:"g"`
	Bad     int    `msgpack:"b"`
	Timed   int    `msgpack:"t"`
	Slow    int    `msgpack:"l"`
	// ElapsedMS is the time since the order by the sender's steady clock, which never
	// runs ahead: an entry that learns of the order late, or is paused, counts less.
	ElapsedMS int64 `msgpack:"e"`
}

// empty tells whether there is nothing to send.
func (m *Message) empty() bool {
	return m.Ask == nil && m.Reply == nil && len(m.Loads) == 0 && len(m.Reads) == 0 &&
		len(m.Sessions) == 0 && m.Boot == "" && len(m.Evidence) == 0
}

// writeMessage writes a length-prefixed message.
func writeMessage(w io.Writer, m *Message) error {
	body, err := msgpack.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(body)), uint32(len(body)))
	_, err = w.Write(append(frame, body...))
	return err
}

// readMessage reads one message.
func readMessage(r *bufio.Reader) (*Message, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrame {
		return nil, errors.New("message is too large")
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	m := &Message{}
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("decode message: %w", err)
	}
	return m, nil
}
