// Package config defines the configuration records of the operators: their types,
// schema versions and validation, and the snapshot that every process keeps.
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

// Record is a stored value with the store revision that wrote it. Raw is the JSON
// envelope exactly as the store holds it; it is empty if the store no longer has
// the key.
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
	// ChangeID is unique per write; it identifies a write whose response was lost.
	ChangeID string `json:"change_id"`
	Deleted  bool   `json:"deleted,omitempty"`
	Spec     any    `json:"spec,omitempty"`
}

// Workspace holds the API keys, permissions and scheduling weight of one customer.
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
	// Priority is passed to engines; requests with a larger value run earlier. 0
	// when absent.
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
	VersionDraining  VersionState = "draining"  // pinned sessions continue, no new sessions
	VersionWithdrawn VersionState = "withdrawn" // no new requests
)

// WithdrawPolicy determines what happens to a session that is pinned to a
// withdrawn version.
type WithdrawPolicy string

// The policies for sessions pinned to a withdrawn version.
const (
	WithdrawRefuse WithdrawPolicy = "refuse"
	WithdrawRepin  WithdrawPolicy = "repin"
)

// Model lists the versions of a model.
type Model struct {
	Name     string         `json:"-" toml:"-"`
	Versions []ModelVersion `json:"versions" toml:"versions"`
}

// ModelVersion holds the state, traffic share and prices of a model version.
type ModelVersion struct {
	Version    string         `json:"version" toml:"version"`
	State      VersionState   `json:"state" toml:"state"`
	OnWithdraw WithdrawPolicy `json:"on_withdraw,omitempty" toml:"on_withdraw,omitempty"`
	// Weight is the relative share of new sessions among the active versions; a
	// version with weight 0 gets none.
	Weight float64 `json:"weight" toml:"weight"`
	// PriceIn and PriceOut are in micro-units of currency per token.
	PriceIn  int64 `json:"price_in" toml:"price_in"`
	PriceOut int64 `json:"price_out" toml:"price_out"`
	// Baseline is the version that ratings are compared with; empty for a
	// version that needs no test.
	Baseline string `json:"baseline,omitempty" toml:"baseline,omitempty"`
	// ExposureBudget is the maximum number of unrated answers of a version under
	// test in the whole fleet; 20 when absent and Baseline is set.
	ExposureBudget int `json:"exposure_budget,omitempty" toml:"exposure_budget,omitempty"`
}

// RaterDownPolicy determines the result that is assumed when the rater does not
// respond in time.
type RaterDownPolicy string

// The results assumed for a missing rating.
const (
	RaterDownPass     RaterDownPolicy = "pass"
	RaterDownEscalate RaterDownPolicy = "escalate"
)

// Cascade is a list of models that a request escalates through.
type Cascade struct {
	Name   string   `json:"-" toml:"-"`
	Stages []string `json:"stages" toml:"stages"` // model names, cheapest first
	// QualityTarget is the fraction of answers that must pass, above 0 and at most 1.
	QualityTarget float64 `json:"quality_target" toml:"quality_target"`
	// RatingWait is the timeout for one rating; 2 s when absent.
	RatingWait  Duration        `json:"rate_wait,omitempty" toml:"rate_wait,omitempty"`
	OnRaterDown RaterDownPolicy `json:"on_rater_down,omitempty" toml:"on_rater_down,omitempty"`
}

// DataCentreState determines whether a data centre accepts requests.
type DataCentreState string

// The states of a data centre.
const (
	DataCentreIn  DataCentreState = "in"
	DataCentreOut DataCentreState = "out"
)

// DataCentre holds the region and state of a data centre.
type DataCentre struct {
	Name   string          `json:"-" toml:"-"`
	Region string          `json:"region" toml:"region"`
	State  DataCentreState `json:"state" toml:"state"`
	// Grace is how long running requests may continue after the data centre was
	// taken out; 30 s when absent.
	Grace Duration `json:"grace,omitempty" toml:"grace,omitempty"`
}

// BackendServerState determines whether a backend server accepts requests.
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
	// Serves lists the model versions to load. Mutually exclusive with Service.
	Serves []Placement `json:"serves,omitempty" toml:"serves,omitempty"`
	// Service names the plain service that runs here.
	Service string `json:"service,omitempty" toml:"service,omitempty"`
	// ColdLimit and WarmLimit are the maximum numbers of concurrent requests, while
	// the backend server is cold after a start and when it is warm.
	ColdLimit int `json:"cold_limit" toml:"cold_limit"`
	WarmLimit int `json:"warm_limit" toml:"warm_limit"`
	// ChecksFencing reports whether the engine rejects orders with an outdated
	// fencing number.
	ChecksFencing bool `json:"checks_fencing" toml:"checks_fencing"`
}

// Placement is a model version that a backend server loads.
type Placement struct {
	Model   string `json:"model" toml:"model"`
	Version string `json:"version" toml:"version"`
}

// Service holds the retry rules, price and timeout of a plain service.
type Service struct {
	Name string `json:"-" toml:"-"`
	// Repeatable lists the HTTP methods whose calls may be sent again; GET, HEAD,
	// OPTIONS, PUT and DELETE when absent. Calls with other methods run at most once.
	Repeatable []string `json:"repeatable,omitempty" toml:"repeatable,omitempty"`
	// Price is the charge per call in micro-units.
	Price int64 `json:"price,omitempty" toml:"price,omitempty"`
	// Timeout is the timeout of one call; 30 s when absent.
	Timeout Duration `json:"timeout,omitempty" toml:"timeout,omitempty"`
}

// Duration is a time.Duration that is encoded as text such as "2s".
type Duration time.Duration

// AsDuration converts d to a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// MarshalText formats d like time.Duration.String.
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
