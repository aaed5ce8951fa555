// Package peers connects the entries of a fleet. Each entry sends its peers what
// it knows first: the work it has placed, the sessions it serves, evidence about
// new versions, and how fresh its copy of the configuration is. Everything sent
// is an aid; an entry without peers serves on its own knowledge.
package peers

import (
	"hyssoploom/fleet"
	"hyssoploom/ledger"
)

// Message is a batch of news of one entry. Absent parts have not changed. Fields are
// encoded by position, without their names: new ones go to the end.
type Message struct {
	// From tells who sends. Only the first message of a connection carries it; the
	// hub fills it in for the others.
	From *fleet.Peer
	// SyncRequest is sent by an entry that cannot read the store itself.
	SyncRequest *SyncRequest
	// Reply answers a SyncRequest.
	Reply *Reply
	// Loads are the sender's own requests at backend servers.
	Loads []Load
	// PrefixUses are prompts that the sender has sent to engines.
	PrefixUses []PrefixUse
	// Sessions are uses of sessions during a roll-out.
	Sessions []SessionUse
	// Evidence is the sender's count of answers by version.
	Evidence []Evidence
	// Charges are rows that the sender has not written to the store yet, and
	// Durable those that it has. Boot identifies the sender's process.
	Boot    string
	Charges []ledger.Row
	Durable []ledger.RowRef
	// Relay is news for all entries of the receiver's region, which passes it on to
	// them, and Via such news of entries of other regions, each with the name of its
	// origin.
	Relay *Message
	Via   []Message
}

// SyncRequest asks a peer for what it knows of the store.
type SyncRequest struct {
	// SentAt is the time by the asker's own clock, in nanoseconds.
	SentAt int64
	// Revision is the revision up to which the asker's copy is complete, and Held
	// the revisions of later items that it has all the same.
	Revision       int64
	KnownRevisions map[string]int64
}

// Reply is a peer's copy of the store since the asker's.
type Reply struct {
	// RequestSentAt is the SentAt of the request, so that the time on the way only makes the copy
	// look older than it is; 0 when the sender passes on changes unasked.
	RequestSentAt int64
	// AgeMS is the time in milliseconds since the copy was known to be complete,
	// and Revision the store's revision that it then had.
	AgeMS    int64
	Revision int64
	Items    []fleet.Item
}

// Load is the work of one entry at one backend server.
type Load struct {
	Server    string
	PendingMS int64
	Running   int
}

// PrefixUse tells that an engine has been sent the leading parts of a prompt.
type PrefixUse struct {
	Server string
	Model  string
	Parts  []PrefixPart
}

// PrefixPart is a leading piece of a prompt.
type PrefixPart struct {
	// Key is a hash of all parts up to this one.
	Key uint64
	// Tokens is the length of this part alone.
	Tokens int
}

// SessionUse tells which version serves a session.
type SessionUse struct {
	Service string
	Session uint64
	Version string
	// Running tells that the use has begun; else it has ended.
	Running bool
}

// Evidence counts the answers that one entry got from a version since an order.
type Evidence struct {
	Service string
	// Order is the revision of the order of the roll-out.
	Order   int64
	Version string
	Sent    int
	Good    int
	Bad     int
	Timed   int
	Slow    int
	// ElapsedMS is the time since the order by the sender's steady clock, which never
	// runs ahead: an entry that learns of the order late, or is paused, counts less.
	ElapsedMS int64
	// Process identifies the sender's process. Counts of one process only grow: lower
	// ones are an older message that took another way.
	Process uint64
	// Steady and Odd are release.AnswerCounts.Steady and SteadyBad.
	Steady int
	Odd    int
}

// empty tells whether there is nothing to send.
func (m *Message) empty() bool {
	return m.SyncRequest == nil && m.Reply == nil && len(m.Loads) == 0 && len(m.PrefixUses) == 0 &&
		len(m.Sessions) == 0 && m.Boot == "" && len(m.Evidence) == 0 && m.Relay == nil && len(m.Via) == 0
}
