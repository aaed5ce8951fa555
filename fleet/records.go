package fleet

import "time"

// BackendServer is a model engine or application server as it registered itself.
type BackendServer struct {
	ID      string
	Service string
	// Address is its IP:port.
	Address    string
	DataCentre string
	Region     string
	// Version is the version of its software.
	Version  string
	Slots    int
	Draining bool
	// ColdRemaining is how long it stays cold, counted from ReceivedAt.
	ColdRemaining time.Duration
	// StartedAtMS is the Unix time in milliseconds of its start; 0 when unknown.
	StartedAtMS int64
	// ReceivedAt is when this process learned of the entry.
	ReceivedAt time.Time
}

// ColdAt tells whether the server is cold at the given time.
func (b *BackendServer) ColdAt(now time.Time) bool { return now.Sub(b.ReceivedAt) < b.ColdRemaining }

// Order asks to move a service to another version.
type Order struct {
	Service string
	// Target is the version to move to.
	Target   string
	Duration time.Duration
	// Revision is the store's revision of the order and tells two orders apart.
	Revision int64
}

// Outcome is the published state of a roll-out.
type Outcome string

// The outcomes of a roll-out.
const (
	InProgress Outcome = "in_progress"
	Completed  Outcome = "completed"
	RolledBack Outcome = "rolled_back"
)

// Status is what the fleet published about a roll-out.
type Status struct {
	Service  string
	Target   string
	Outcome  Outcome
	Revision int64
}

// Plan is how far a roll-out has come, for entries that did not see the order.
type Plan struct {
	Service string `json:"service"`
	// Order is the revision of the order that the plan carries out.
	Order int64 `json:"order"`
	// ElapsedMS is the time since the order at which the plan was written.
	ElapsedMS int64 `json:"elapsed_ms"`
	// ReceivedAt is when this process learned of the plan.
	ReceivedAt time.Time `json:"-"`
}

// Peer is another entry of the fleet.
type Peer struct {
	Name       string `json:"name"`
	Address    string `json:"address"` // of its peer listener
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
}

// Item is one key of the platform's store as it was read.
type Item struct {
	Key      string `msgpack:"k"`
	Value    []byte `msgpack:"v"`
	Revision int64  `msgpack:"r"`
	Deleted  bool   `msgpack:"d"`
}

// Update is the decoded meaning of an Item.
type Update interface{ update() }

// The updates.
type (
	// ConfigUpdate replaces the configuration.
	ConfigUpdate struct{ Config *Config }
	// ServerUpdate adds or changes a backend server.
	ServerUpdate struct{ Server BackendServer }
	// ServerRemoved tells that a backend server is no longer registered.
	ServerRemoved struct{ ID string }
	// EvacuationUpdate takes a data centre out of service or back.
	EvacuationUpdate struct {
		DataCentre   string
		OutOfService bool
	}
	// OrderUpdate starts a roll-out.
	OrderUpdate struct{ Order Order }
	// OrderRemoved ends the interest in a service's roll-out.
	OrderRemoved struct{ Service string }
	// StatusUpdate is the published state of a roll-out; its outcome is empty when
	// it was removed.
	StatusUpdate struct{ Status Status }
	// PlanUpdate is the progress of a roll-out.
	PlanUpdate struct{ Plan Plan }
	// PeerUpdate adds an entry.
	PeerUpdate struct{ Peer Peer }
	// PeerRemoved tells that an entry has left.
	PeerRemoved struct{ Name string }
)

func (ConfigUpdate) update()     {}
func (ServerUpdate) update()     {}
func (ServerRemoved) update()    {}
func (EvacuationUpdate) update() {}
func (OrderUpdate) update()      {}
func (OrderRemoved) update()     {}
func (StatusUpdate) update()     {}
func (PlanUpdate) update()       {}
func (PeerUpdate) update()       {}
func (PeerRemoved) update()      {}
