package fleet

import "time"

// BackendServer is the registration of a model engine or application server.
type BackendServer struct {
	ID      string
	Service string
	// Address is the server's IP:port.
	Address    string
	DataCentre string
	Region     string
	// Version is the version of the server's software.
	Version string
	// Slots is the number of requests that the server processes at the same time.
	Slots    int
	Draining bool
	// ColdRemaining is how long the server remains cold, counted from ReceivedAt.
	ColdRemaining time.Duration
	// ReceivedAt is when this process received the report of ColdRemaining.
	ReceivedAt time.Time
	// StartedAtMS is the server's start as a Unix time in milliseconds; 0 when unknown.
	StartedAtMS int64
	// Sequence numbers the records that the server has written since its start, and Revision
	// is the store revision of this one.
	Sequence, Revision int64
}

// ColdAt reports whether the server is cold at the given time.
func (b *BackendServer) ColdAt(now time.Time) bool { return now.Sub(b.ReceivedAt) < b.ColdRemaining }

// reportDelay is how much later than others a record may arrive that says the same: watches wait
// that long between two groups of changes.
const reportDelay = ServersRewatchDelay

// mergeColdness takes over what the known record of the server says of its coldness, if this one
// says nothing new: if it is an earlier one that was read again, or ends the cold time only
// later because it took longer to arrive.
func (b *BackendServer) mergeColdness(known *BackendServer, now time.Time) {
	left := known.ColdRemaining - now.Sub(known.ReceivedAt)
	switch {
	case !b.isLaterThan(known):
		b.ColdRemaining, b.ReceivedAt, b.Sequence = known.ColdRemaining, known.ReceivedAt, known.Sequence
	case b.StartedAtMS == known.StartedAtMS && left > 0 && b.ColdRemaining > left && b.ColdRemaining-left <= reportDelay:
		b.ColdRemaining = left
	}
}

// isLaterThan reports whether the server wrote a record after another one. A store that has
// gone back may hold earlier records, also of an earlier start. Within an era, a lower number
// is that of another start, if the server does not state its start.
func (b *BackendServer) isLaterThan(known *BackendServer) bool {
	sameEra := Era(b.Revision) == Era(known.Revision)
	switch {
	case b.StartedAtMS != known.StartedAtMS:
		return sameEra || b.StartedAtMS > known.StartedAtMS
	case b.StartedAtMS == 0 && b.Sequence < known.Sequence:
		return sameEra
	}
	return b.Sequence > known.Sequence
}

// Order is an operator's order to roll a service out to another version.
type Order struct {
	Service string
	// Target is the version to roll out.
	Target   string
	Duration time.Duration
	// Revision is the store revision of the order, which identifies it.
	Revision int64
}

// Outcome is the published state of a rollout.
type Outcome string

// The outcomes of a rollout.
const (
	InProgress Outcome = "in_progress"
	Completed  Outcome = "completed"
	RolledBack Outcome = "rolled_back"
)

// Final reports whether the rollout has ended.
func (o Outcome) Final() bool { return o == Completed || o == RolledBack }

// Status is the state of a rollout that the entries have published.
type Status struct {
	Service  string
	Target   string
	Outcome  Outcome
	Revision int64
}

// RolloutProgress is the published elapsed time of a rollout. Entries that start after
// the order take the time of the order from it.
type RolloutProgress struct {
	Service string `json:"service"`
	// Order is the store revision of the rollout's order.
	Order int64 `json:"order"`
	// ElapsedMS is the time in milliseconds from the order to the writing of this
	// record.
	ElapsedMS int64 `json:"elapsed_ms"`
	// ReceivedAt is when this process received the record.
	ReceivedAt time.Time `json:"-"`
}

// PromptBlock makes entries reject the requests whose prompts contain certain parts,
// because backend servers crash under them.
type PromptBlock struct {
	// Parts are hashes of the parts of the prompt, and Workspaces of the workspaces whose
	// requests have crashed servers.
	Parts      []uint64 `json:"parts"`
	Workspaces []uint64 `json:"workspaces"`
	// AnyPoint means that only a whole answer lifts the block, see crashcause.Block.
	AnyPoint bool `json:"any_point,omitempty"`
	// AgeMS is the time in milliseconds since the block was formed.
	AgeMS int64 `json:"age_ms"`
}

// PromptBlocks are the published blocks.
type PromptBlocks struct {
	Blocks []PromptBlock
	// Revision is the store revision of the record, and ReceivedAt when this process
	// received it.
	Revision   int64
	ReceivedAt time.Time
}

// Peer is another entry of the fleet.
type Peer struct {
	Name       string `json:"name"`
	Address    string `json:"address"` // of its peer listener
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
}

// Item is one key of the platform's store at a revision.
type Item struct {
	Key      string `msgpack:"k"`
	Value    []byte `msgpack:"v"`
	Revision int64  `msgpack:"r"`
	Deleted  bool   `msgpack:"d"`
}

// Update is the change of the state that an Item describes.
type Update interface{ update() }

// The updates.
type (
	// ConfigUpdate replaces the configuration.
	ConfigUpdate struct{ Config *Config }
	// ServerUpdate adds or changes a backend server.
	ServerUpdate struct{ Server BackendServer }
	// ServerRemoved removes a backend server.
	ServerRemoved struct{ ID string }
	// EvacuationUpdate takes a data centre out of service or puts it back into service.
	EvacuationUpdate struct {
		DataCentre   string
		OutOfService bool
	}
	// OrderUpdate starts a rollout.
	OrderUpdate struct{ Order Order }
	// OrderRemoved removes the order of a service.
	OrderRemoved struct{ Service string }
	// StatusUpdate sets the published state of a rollout; its outcome is empty when
	// the status was removed.
	StatusUpdate struct{ Status Status }
	// RolloutProgressUpdate sets the published elapsed time of a rollout.
	RolloutProgressUpdate struct{ Progress RolloutProgress }
	// PromptBlocksUpdate sets the published blocks.
	PromptBlocksUpdate struct{ Blocks PromptBlocks }
	// PeerUpdate adds or changes an entry.
	PeerUpdate struct{ Peer Peer }
	// PeerRemoved removes an entry.
	PeerRemoved struct{ Name string }
)

func (ConfigUpdate) update()          {}
func (ServerUpdate) update()          {}
func (ServerRemoved) update()         {}
func (EvacuationUpdate) update()      {}
func (OrderUpdate) update()           {}
func (OrderRemoved) update()          {}
func (StatusUpdate) update()          {}
func (RolloutProgressUpdate) update() {}
func (PromptBlocksUpdate) update()    {}
func (PeerUpdate) update()            {}
func (PeerRemoved) update()           {}
