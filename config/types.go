// Package config holds the operators' records: their types, schema versions,
// validation, and the snapshot that every process keeps.
package config

import "time"

// Kind names a kind of operator record.
type Kind string

// The kinds of operator records.
const (
	KindWorkspace     Kind = "workspace"
	KindModel         Kind = "model"
	KindCascade       Kind = "cascade"
	KindDataCentre    Kind = "data_centre"
	KindBackendServer Kind = "backend_server"
	KindService       Kind = "service"
)

// Record is one stored value with the store revision that wrote it. Raw is
// the JSON envelope exactly as the store holds it.
type Record struct {
	Key      string `msgpack:"k"`
	Revision uint64 `msgpack:"r"`
	Raw      []byte `msgpack:"v"`
}

// Envelope is the JSON form of a record in the store.
type Envelope struct {
	SchemaVersion int    `json:"schema_version"`
	Kind          Kind   `json:"kind"`
	Name          string `json:"name"`
	// Writer names the operator or process that wrote the record.
	Writer string `json:"writer"`
	// ChangeID is unique per write; it identifies a write whose answer was lost.
	ChangeID string `json:"change_id"`
	Deleted  bool   `json:"deleted,omitempty"`
	Spec     any    `json:"spec,omitempty"`
}

// Workspace says what one customer may use.
type Workspace struct {
	Name string `json:"-" toml:"-"`
	// KeyHashes are lower-case hex SHA-256 digests of the accepted API keys.
	KeyHashes []string `json:"key_hashes" toml:"key_hashes"`
	// Allow lists the permitted models. A model that is absent is forbidden.
	Allow []ModelGrant `json:"allow" toml:"allow"`
	// Cascades lists the permitted cascades by name.
	Cascades []string `json:"cascades,omitempty" toml:"cascades,omitempty"`
	// Services lists the permitted plain services by name.
	Services []string `json:"services,omitempty" toml:"services,omitempty"`
	// Weight is the share in fair queues; 1 when absent.
	Weight float64 `json:"weight,omitempty" toml:"weight,omitempty"`
	// Priority is passed to engines; larger runs earlier. 0 when absent.
	Priority int `json:"priority,omitempty" toml:"priority,omitempty"`
}

// ModelGrant permits a model, either all of its versions or only those listed.
type ModelGrant struct {
	Model    string   `json:"model" toml:"model"`
	Versions []string `json:"versions,omitempty" toml:"versions,omitempty"`
}

// VersionState is the life-cycle state of a model version.
type VersionState string

// The states of a model version.
const (
	VersionActive    VersionState = "active"
	VersionDraining  VersionState = "draining"  // pinned sessions go on, no new sessions
	VersionWithdrawn VersionState = "withdrawn" // no new work at all
)

// WithdrawPolicy says what happens to a session pinned to a withdrawn version.
type WithdrawPolicy string

// The policies for sessions pinned to a withdrawn version.
const (
	WithdrawRefuse WithdrawPolicy = "refuse"
	WithdrawRepin  WithdrawPolicy = "repin"
)

// Model describes one model and its versions.
type Model struct {
	Name     string         `json:"-" toml:"-"`
	Versions []ModelVersion `json:"versions" toml:"versions"`
}

// ModelVersion describes one version of a model.
type ModelVersion struct {
	Version    string         `json:"version" toml:"version"`
	State      VersionState   `json:"state" toml:"state"`
	OnWithdraw WithdrawPolicy `json:"on_withdraw,omitempty" toml:"on_withdraw,omitempty"`
	// Weight is the share of new sessions among active versions; 0 takes none.
	Weight float64 `json:"weight" toml:"weight"`
	// PriceIn and PriceOut are in micro-units of currency per token.
	PriceIn  int64 `json:"price_in" toml:"price_in"`
	PriceOut int64 `json:"price_out" toml:"price_out"`
	// Baseline is the version that ratings are compared with; empty for a
	// version that is trusted without a test.
	Baseline string `json:"baseline,omitempty" toml:"baseline,omitempty"`
	// ExposureBudget is the number of answers not yet rated that a version
	// under test may have in the whole fleet; 20 when absent and Baseline is set.
	ExposureBudget int `json:"exposure_budget,omitempty" toml:"exposure_budget,omitempty"`
}

// RaterDownPolicy says what counts when the rater does not answer in time.
type RaterDownPolicy string

// The defaults for an absent rating.
const (
	RaterDownPass     RaterDownPolicy = "pass"
	RaterDownEscalate RaterDownPolicy = "escalate"
)

// Cascade lists models from cheap to costly.
type Cascade struct {
	Name   string   `json:"-" toml:"-"`
	Stages []string `json:"stages" toml:"stages"` // model names, cheapest first
	// QualityTarget is the share of answers that must pass, 0 to 1.
	QualityTarget float64 `json:"quality_target" toml:"quality_target"`
	// RateWait bounds the wait for one rating; 2 s when absent.
	RateWait    Duration        `json:"rate_wait,omitempty" toml:"rate_wait,omitempty"`
	OnRaterDown RaterDownPolicy `json:"on_rater_down,omitempty" toml:"on_rater_down,omitempty"`
}

// DataCentreState says whether a data centre takes work.
type DataCentreState string

// The states of a data centre.
const (
	DataCentreIn  DataCentreState = "in"
	DataCentreOut DataCentreState = "out"
)

// DataCentre describes one data centre.
type DataCentre struct {
	Name   string          `json:"-" toml:"-"`
	Region string          `json:"region" toml:"region"`
	State  DataCentreState `json:"state" toml:"state"`
	// Grace is how long running work may go on after the data centre was taken
	// out; 30 s when absent.
	Grace Duration `json:"grace,omitempty" toml:"grace,omitempty"`
}

// BackendServerState says whether a backend server takes work.
type BackendServerState string

// The states of a backend server.
const (
	BackendServerIn      BackendServerState = "in"
	BackendServerLeaving BackendServerState = "leaving"
	BackendServerOut     BackendServerState = "out"
)

// BackendServer describes one model engine or plain service instance and the
// agent in front of it.
type BackendServer struct {
	Name       string             `json:"-" toml:"-"`
	VM         string             `json:"vm" toml:"vm"`
	DataCentre string             `json:"data_centre" toml:"data_centre"`
	AgentAddr  string             `json:"agent_addr" toml:"agent_addr"` // host:port of the agent's link listener
	State      BackendServerState `json:"state" toml:"state"`
	// Serves lists the model versions to load. Exclusive with Service.
	Serves []Placement `json:"serves,omitempty" toml:"serves,omitempty"`
	// Service names the plain service that runs here.
	Service string `json:"service,omitempty" toml:"service,omitempty"`
	// ColdLimit and WarmLimit bound concurrent requests after a start and when warm.
	ColdLimit int `json:"cold_limit" toml:"cold_limit"`
	WarmLimit int `json:"warm_limit" toml:"warm_limit"`
	// ChecksFencing says whether the engine refuses orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing" toml:"checks_fencing"`
}

// Placement is one model version on a backend server.
type Placement struct {
	Model   string `json:"model" toml:"model"`
	Version string `json:"version" toml:"version"`
}

// Service describes a plain service.
type Service struct {
	Name string `json:"-" toml:"-"`
	// Repeatable lists methods that may be sent again; GET, HEAD, OPTIONS, PUT and
	// DELETE when absent. Every other method runs at most once.
	Repeatable []string `json:"repeatable,omitempty" toml:"repeatable,omitempty"`
	// Price is the charge per call in micro-units.
	Price int64 `json:"price,omitempty" toml:"price,omitempty"`
	// Timeout bounds one call; 30 s when absent.
	Timeout Duration `json:"timeout,omitempty" toml:"timeout,omitempty"`
}

// Duration is a time.Duration that reads and writes as text such as "2s".
type Duration time.Duration

// AsDuration returns the duration as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// MarshalText returns the duration in the notation of time.Duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the notation of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
