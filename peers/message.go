// Package peers connects the entries of a fleet. Entries exchange the state that
// each of them observes first: its requests at backend servers, the sessions it
// serves, evidence about new versions, and how up to date its copy of the
// configuration is. The exchange is best effort: an entry without peers serves
// requests with its own state.
package peers

import (
	"hyssoploom/fleet"
	"hyssoploom/ledger"
)

// Message is a batch of updates from one entry. Absent fields have not changed. The
// fields are encoded by position, without their names, so new ones go to the end.
type Message struct {
	// From is the sender. Only the first message of a connection carries it; the
	// receiving hub sets it on the others.
	From *fleet.Peer
	// SyncRequest is sent by an entry that does not read the store itself or whose
	// copy is old.
	SyncRequest *SyncRequest
	// Reply answers a SyncRequest or carries changes of the store that the sender read.
	Reply *Reply
	// Loads holds the sender's own load on backend servers.
	Loads []Load
	// PrefixUses holds the prompt prefixes that the sender has sent to engines.
	PrefixUses []PrefixUse
	// Sessions holds the uses of sessions during a rollout.
	Sessions []SessionUse
	// Evidence holds the sender's counts of answers by version.
	Evidence []Evidence
	// Boot identifies the sender's process. Charges holds ledger rows that the sender
	// has not written to the store yet, and Durable refers to those that it has.
	Boot    string
	Charges []ledger.Row
	Durable []ledger.RowRef
	// ToRelay holds updates that the receiver relays to all entries of its region.
	// Relayed holds such updates from entries of other regions, each with the name of
	// its origin in From.
	ToRelay *Message
	Relayed []Message
	// CrashSuspects holds requests that were at a backend server when it crashed.
	// SoundParts holds parts of prompts whose answers have begun. Blocks holds the parts
	// that are rejected.
	CrashSuspects []CrashSuspect
	SoundParts    []uint64
	Blocks        []fleet.PromptBlock
	// ServerLimits holds the limits that backend servers name. ServerSends holds the
	// requests that the sender has sent to limited servers since its last message.
	ServerLimits []ServerLimit
	ServerSends  []ServerSends
	// RequestSuspects holds the same requests as CrashSuspects, each as a whole.
	RequestSuspects []CrashSuspect
	// WorkspaceUses holds the work that the sender has given to backend servers for each
	// workspace since its last message.
	WorkspaceUses []WorkspaceUse
	// ModelUses holds the work that the sender's requests have asked of the largest models
	// since its last message.
	ModelUses []ModelUse
	// ReadTimes holds what the sender knows of the reading times of models.
	ReadTimes []ReadTime
	// ServerSpeeds holds the times of answers that the sender has observed.
	ServerSpeeds []ServerSpeed
	// Refusals holds the requests that the sender has refused for lack of room. They are
	// sent to the entries of the same region.
	Refusals []Refusal
	// HostLoad is the load of the sender's VM, if it is or was short of processor time or
	// bandwidth. It is sent to the entries of the same data centre.
	HostLoad *HostLoad
	// WholeParts holds parts of prompts to which a backend server has given the whole answer.
	// Outlasting holds the parts whose answers run longer at a server than those of
	// CrashSuspects did.
	WholeParts []uint64
	Outlasting []OutlastingPart
	// ColdServers holds what the sender has observed of the coldness of backend servers.
	ColdServers []ColdServer

	// Initial is set by the receiving hub on the first message of a connection, which holds
	// the whole state of the sender. It is not sent.
	Initial bool `msgpack:"-"`
}

// HostLoad is the load of a VM, as package hostload describes it.
type HostLoad struct {
	Level int
	// Away means that clients are to open no new connections to the sender.
	Away bool
}

// ServerLimit is the limit that a backend server named in its last answer.
type ServerLimit struct {
	Server string
	// PerSecond is the number of requests per second from all entries together. Lifted
	// means that the server names no limit any more.
	PerSecond float64
	Lifted    bool
	// Sent is the number of requests of all entries that the sender counts against the
	// limit.
	Sent int
}

// ServerSends counts the requests of one entry to one server.
type ServerSends struct {
	Server string
	Count  int
}

// CrashSuspect is the message form of crashcause.Suspect.
type CrashSuspect struct {
	Server    string
	Begun     bool
	Workspace uint64
	Parts     []uint64
	// Running means that a part of the answer had arrived, AgeMS milliseconds before the
	// crash. SentForMS is the time in milliseconds since the request was sent.
	Running          bool
	SentForMS, AgeMS int64
}

// OutlastingPart is a part of prompts with a server at which an answer outlasts those of
// suspects.
type OutlastingPart struct {
	Part   uint64
	Server string
}

// ColdServer is an observation of the coldness of a backend server.
type ColdServer struct {
	Server string
	// StartedAtMS is the start of the server that its record states, as a Unix time in
	// milliseconds.
	StartedAtMS int64
	// Ended means that the process has ended. RemainingMS is how long the server remains cold
	// otherwise, in milliseconds.
	Ended       bool
	RemainingMS int64
}

// SyncRequest asks a peer for the items of the store that the sender lacks.
type SyncRequest struct {
	// SentAt is the time of the request by the sender's clock, in nanoseconds.
	SentAt int64
	// Revision is the revision up to which the sender's copy is complete.
	// KnownRevisions holds the revisions, by key, of later items that the sender has.
	Revision       int64
	KnownRevisions map[string]int64
}

// Reply holds the items of the store that changed since the revision of a
// SyncRequest, or changes of the store that the sender has read.
type Reply struct {
	// RequestSentAt is the SentAt of the request, so that the network delay can only
	// make the copy look older than it is. It is 0 for unsolicited changes.
	RequestSentAt int64
	// AgeMS is the time in milliseconds since the copy of the configuration was last
	// known to be complete, and Revision the revision of the store up to which the whole
	// copy was complete.
	AgeMS    int64
	Revision int64
	Items    []fleet.Item
	// ServersAgeMS is the time in milliseconds since the copy of the backend servers was
	// last known to be complete, 0 if it never was.
	ServersAgeMS int64
	// Since and Prefixes are the fields of fleet.Changes of the same names. Both are zero
	// in unsolicited changes and in the replies of entries that do not know which removals
	// they have seen.
	Since    int64
	Prefixes []fleet.PrefixKeys
	// ServersLost means that the sender cannot compare its copy of the backend servers with
	// the store.
	ServersLost bool
}

// Changes returns the changes of the store that the reply holds.
func (r *Reply) Changes() fleet.Changes {
	return fleet.Changes{Since: r.Since, Revision: r.Revision, Items: r.Items, Prefixes: r.Prefixes}
}

// HeldBlockTokens is the number of tokens in which memory is reported: most reports then take
// one byte for it.
const HeldBlockTokens = 256

// Load is the load of one entry on one backend server.
type Load struct {
	Server string
	// PendingMS is the estimated time in milliseconds of the sender's requests whose
	// answers have not begun.
	PendingMS int64
	// Running is the number of the sender's unfinished requests.
	Running int
	// HeldBlocks is the memory, in blocks of HeldBlockTokens, that the sender expects its
	// unfinished requests to take in the engine.
	HeldBlocks int64
}

// WorkspaceUse is the work of one workspace's requests at the servers of one service.
type WorkspaceUse struct {
	Service   string
	Workspace uint64 // hash of the name
	// Requests is the number of requests, and WorkMS the expected time in milliseconds that
	// they take from the servers.
	Requests int
	WorkMS   int64
	// UsualMS is the usual work in milliseconds per second over all entries; it is only set
	// in the initial state.
	UsualMS float64
}

// Refusal is a request whose client was told when to return.
type Refusal struct {
	Key uint64 // identifies the request
	// InMS is the time in milliseconds until the client may return, and AgeMS the time since
	// the request first arrived.
	InMS, AgeMS int64
}

// ModelUse is work that requests have asked of the largest model of a service.
type ModelUse struct {
	Service string
	// Key identifies a class of requests or a workspace.
	Key uint64
	// WorkMS is the expected time in milliseconds that the work takes from the engines.
	WorkMS int64
}

// ReadTime is the message form of placing.ReadSums for one model.
type ReadTime struct {
	Model           string
	N, X, Y, XX, XY float64
}

// ServerSpeed is the message form of a speed.Report of one server.
type ServerSpeed struct {
	Server string
	Last   int64
	Kinds  []uint8
	Steps  []int16
}

// PrefixUse reports that the leading parts of a prompt were sent to an engine.
type PrefixUse struct {
	Server string
	Model  string
	Parts  []PrefixPart
}

// PrefixPart is one of the leading parts of a prompt.
type PrefixPart struct {
	// Key is a hash over all parts up to and including this one.
	Key uint64
	// Tokens is the length of this part.
	Tokens int
}

// SessionUse reports which version serves a session.
type SessionUse struct {
	Service string
	Session uint64
	Version string
	// Running is set when the use begins and unset when it ends.
	Running bool
}

// Evidence counts the answers that one entry received from a version since the
// rollout order.
type Evidence struct {
	Service string
	// Order is the store revision of the rollout order.
	Order   int64
	Version string
	Sent    int
	Good    int
	Bad     int
	Timed   int
	Slow    int
	// ElapsedMS is the time in milliseconds since the order by the sender's monotonic
	// clock. It is never too long: an entry that learned of the order late or was
	// paused reports less.
	ElapsedMS int64
	// Process identifies the sender's process. The counts of a process only grow, so
	// lower ones come from an older message that took another path.
	Process uint64
	// Steady and SteadyBad are the fields of release.AnswerCounts of the same names.
	Steady    int
	SteadyBad int
	// Paced and Fast are the fields of release.AnswerCounts of the same names.
	Paced int
	Fast  int
	// Rejected means that the sender has found Version bad.
	Rejected bool
	// Routes holds the answers of Version by route.
	Routes []RouteCounts
}

// RouteCounts is the message form of one version's part of a release.RouteRecord.
type RouteCounts struct {
	Route string
	// Counts holds the fields of release.RouteAnswers for each time slice. For the old
	// version, an element for the time before the order precedes them.
	Counts [][4]int
}

// empty reports whether the message carries no updates.
func (m *Message) empty() bool {
	return m.SyncRequest == nil && m.Reply == nil && len(m.Loads) == 0 && len(m.PrefixUses) == 0 &&
		len(m.Sessions) == 0 && m.Boot == "" && len(m.Evidence) == 0 && m.ToRelay == nil && len(m.Relayed) == 0 &&
		len(m.CrashSuspects) == 0 && len(m.RequestSuspects) == 0 && len(m.SoundParts) == 0 && len(m.Blocks) == 0 &&
		len(m.ServerLimits) == 0 && len(m.ServerSends) == 0 && len(m.WorkspaceUses) == 0 && len(m.ModelUses) == 0 &&
		len(m.ReadTimes) == 0 && len(m.ServerSpeeds) == 0 &&
		len(m.Refusals) == 0 && m.HostLoad == nil && len(m.WholeParts) == 0 && len(m.Outlasting) == 0 &&
		len(m.ColdServers) == 0
}
