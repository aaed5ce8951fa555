// Package settings reads the TOML settings of one process. They are fixed while
// the process runs; what operators change at run time is in package config.
package settings

import (
	"time"

	"hyssoploom/config"
)

// Entry holds the settings of an entry.
type Entry struct {
	// Name identifies the entry; required.
	Name string `toml:"name"`
	// VM is the name in the platform's VM list; Name when absent.
	VM string `toml:"vm"`
	// DataCentre is the data centre of the process; required.
	DataCentre string `toml:"data_centre"`
	// Listen is the host:port of the callers' HTTP API; required.
	Listen string `toml:"listen"`
	// StoreURL and VMListURL are the platform's services; required.
	StoreURL  string `toml:"store_url"`
	VMListURL string `toml:"vm_list_url"`
	// RaterURL is the platform's rating service. When absent, every rating is
	// treated as late.
	RaterURL string `toml:"rater_url"`
	// FleetKey is shared by all entries and agents; required, at least
	// MinFleetKeyBytes bytes.
	FleetKey string `toml:"fleet_key"`
	// PreviousFleetKeys are still accepted in session tokens.
	PreviousFleetKeys []string `toml:"previous_fleet_keys"`
	// DrainGrace is how long running requests may go on after a stop was
	// ordered; 30 s when absent.
	DrainGrace config.Duration `toml:"drain_grace"`
	// RequestTimeout bounds one request; 120 s when absent.
	RequestTimeout config.Duration `toml:"request_timeout"`
	// MaxBodyBytes bounds the body of a request; 512 KiB when absent, at most
	// MaxMaxBodyBytes.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	Log          Log   `toml:"log"`
	Trace        Trace `toml:"trace"`
}

// Agent holds the settings of an agent.
type Agent struct {
	// Name is the name of the backend server's record; required.
	Name string `toml:"name"`
	// VM is the name in the platform's VM list; Name when absent.
	VM string `toml:"vm"`
	// DataCentre is the data centre of the process; required.
	DataCentre string `toml:"data_centre"`
	// Listen is the host:port for links of entries; required.
	Listen string `toml:"listen"`
	// AdminListen is the host:port of health checks and counters; none when
	// absent.
	AdminListen string `toml:"admin_listen"`
	// BackendURL is the backend server; required.
	BackendURL string `toml:"backend_url"`
	// BackendKind tells engines from plain services; engine when absent.
	BackendKind BackendKind `toml:"backend_kind"`
	// StoreURL and VMListURL are the platform's services; required.
	StoreURL  string `toml:"store_url"`
	VMListURL string `toml:"vm_list_url"`
	// FleetKey is shared by all entries and agents; required, at least
	// MinFleetKeyBytes bytes.
	FleetKey string `toml:"fleet_key"`
	// DrainGrace is how long running requests may go on after a stop was
	// ordered; 30 s when absent.
	DrainGrace config.Duration `toml:"drain_grace"`
	// QueueLimit bounds the requests that wait for the backend server; 64 when
	// absent.
	QueueLimit int   `toml:"queue_limit"`
	Log        Log   `toml:"log"`
	Trace      Trace `toml:"trace"`
}

// BackendKind tells engines from plain services.
type BackendKind string

// The kinds of backend servers.
const (
	BackendEngine  BackendKind = "engine"
	BackendService BackendKind = "service"
)

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error; info when absent.
	Level string `toml:"level"`
}

// Trace configures the export of spans.
type Trace struct {
	// Exporter is none, stdout or otlp; none when absent.
	Exporter Exporter `toml:"exporter"`
	// Endpoint is the URL of the OTLP receiver; required for otlp.
	Endpoint string `toml:"endpoint"`
}

// Exporter says where spans go.
type Exporter string

// The exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp"
)

const (
	// MinFleetKeyBytes is the least length of a fleet key.
	MinFleetKeyBytes = 16
	// MaxMaxBodyBytes leaves 64 KiB of a link frame of 1 MiB for the headers of a
	// request.
	MaxMaxBodyBytes = 960 << 10

	defaultDrainGrace     = config.Duration(30 * time.Second)
	defaultRequestTimeout = config.Duration(120 * time.Second)
	defaultMaxBodyBytes   = 512 << 10
	defaultQueueLimit     = 64
	defaultLogLevel       = "info"
)

// entryDefaults is what a file is decoded over.
func entryDefaults() *Entry {
	return &Entry{
		DrainGrace: defaultDrainGrace, RequestTimeout: defaultRequestTimeout, MaxBodyBytes: defaultMaxBodyBytes,
		Log: Log{Level: defaultLogLevel}, Trace: Trace{Exporter: ExporterNone},
	}
}

func agentDefaults() *Agent {
	return &Agent{
		BackendKind: BackendEngine, DrainGrace: defaultDrainGrace, QueueLimit: defaultQueueLimit,
		Log: Log{Level: defaultLogLevel}, Trace: Trace{Exporter: ExporterNone},
	}
}

// LoadEntry reads the settings of an entry. Its error joins one *Error for each
// problem.
func LoadEntry(path string) (*Entry, error) {
	s := entryDefaults()
	f, err := load(path, s)
	if err != nil {
		return nil, err
	}
	if s.VM == "" {
		s.VM = s.Name
	}
	f.required("name", s.Name)
	f.required("data_centre", s.DataCentre)
	f.hostPort("listen", s.Listen)
	f.url("store_url", s.StoreURL)
	f.url("vm_list_url", s.VMListURL)
	if s.RaterURL != "" {
		f.url("rater_url", s.RaterURL)
	}
	f.fleetKey("fleet_key", s.FleetKey)
	for _, k := range s.PreviousFleetKeys {
		f.fleetKey("previous_fleet_keys", k)
	}
	f.duration("drain_grace", s.DrainGrace)
	f.duration("request_timeout", s.RequestTimeout)
	f.between("max_body_bytes", s.MaxBodyBytes, 1, MaxMaxBodyBytes)
	f.common(s.Log, s.Trace)
	if err := f.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadAgent reads the settings of an agent. Its error joins one *Error for each
// problem.
func LoadAgent(path string) (*Agent, error) {
	s := agentDefaults()
	f, err := load(path, s)
	if err != nil {
		return nil, err
	}
	if s.VM == "" {
		s.VM = s.Name
	}
	f.required("name", s.Name)
	f.required("data_centre", s.DataCentre)
	f.hostPort("listen", s.Listen)
	if s.AdminListen != "" {
		f.hostPort("admin_listen", s.AdminListen)
	}
	f.url("backend_url", s.BackendURL)
	f.oneOf("backend_kind", string(s.BackendKind), string(BackendEngine), string(BackendService))
	f.url("store_url", s.StoreURL)
	f.url("vm_list_url", s.VMListURL)
	f.fleetKey("fleet_key", s.FleetKey)
	f.duration("drain_grace", s.DrainGrace)
	f.between("queue_limit", int64(s.QueueLimit), 0, maxQueueLimit)
	f.common(s.Log, s.Trace)
	if err := f.err(); err != nil {
		return nil, err
	}
	return s, nil
}
