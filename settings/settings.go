// Package settings loads the TOML settings file of a process. Apart from some
// settings of a gateway, they are fixed while the process runs. Configuration that
// operators change at run time is in package config.
package settings

import (
	"time"

	"hyssoploom/config"
)

// Entry holds the settings of the command entry, whose requests are forwarded to
// agents. Gateway holds those of an entry without agents.
type Entry struct {
	// Name identifies the entry; required.
	Name string `toml:"name"`
	// VM is the name in the platform's VM list; Name when absent.
	VM string `toml:"vm"`
	// DataCentre is the data centre of the process; required.
	DataCentre string `toml:"data_centre"`
	// Listen is the host:port of the callers' HTTP API; required.
	Listen string `toml:"listen"`
	// StoreURL and VMListURL are the URLs of the platform's services; required.
	StoreURL  string `toml:"store_url"`
	VMListURL string `toml:"vm_list_url"`
	// RaterURL is the URL of the platform's rating service. When absent, every
	// rating is treated as late.
	RaterURL string `toml:"rater_url"`
	// FleetKey is shared by all entries and agents; required, at least
	// MinFleetKeyBytes bytes.
	FleetKey string `toml:"fleet_key"`
	// PreviousFleetKeys are former fleet keys whose session tokens are still
	// accepted.
	PreviousFleetKeys []string `toml:"previous_fleet_keys"`
	// DrainGrace is how long running requests may continue after a stop was
	// requested; 30 s when absent.
	DrainGrace config.Duration `toml:"drain_grace"`
	// RequestTimeout is the timeout of one request; 120 s when absent.
	RequestTimeout config.Duration `toml:"request_timeout"`
	// MaxBodyBytes is the maximum size of a request body; 512 KiB when absent, at
	// most MaxBodyBytesLimit.
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
	// Listen is the host:port on which the agent accepts links of entries;
	// required.
	Listen string `toml:"listen"`
	// AdminListen is the host:port of health checks and counters; none when
	// absent.
	AdminListen string `toml:"admin_listen"`
	// BackendURL is the URL of the backend server; required.
	BackendURL string `toml:"backend_url"`
	// BackendKind is the kind of the backend server; engine when absent.
	BackendKind BackendKind `toml:"backend_kind"`
	// StoreURL and VMListURL are the URLs of the platform's services; required.
	StoreURL  string `toml:"store_url"`
	VMListURL string `toml:"vm_list_url"`
	// FleetKey is shared by all entries and agents; required, at least
	// MinFleetKeyBytes bytes.
	FleetKey string `toml:"fleet_key"`
	// DrainGrace is how long running requests may continue after a stop was
	// requested; 30 s when absent.
	DrainGrace config.Duration `toml:"drain_grace"`
	// QueueLimit is the maximum number of requests that wait for the backend server;
	// 64 when absent.
	QueueLimit int   `toml:"queue_limit"`
	Log        Log   `toml:"log"`
	Trace      Trace `toml:"trace"`
}

// BackendKind distinguishes model engines from plain services.
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

// Trace configures the export of trace spans.
type Trace struct {
	// Exporter is none, stdout or otlp; none when absent.
	Exporter Exporter `toml:"exporter"`
	// Endpoint is the URL of the OTLP receiver; required for otlp.
	Endpoint string `toml:"endpoint"`
}

// Exporter is the destination of trace spans.
type Exporter string

// The exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout"
	ExporterOTLP   Exporter = "otlp"
)

const (
	// MinFleetKeyBytes is the minimum length of a fleet key.
	MinFleetKeyBytes = 16
	// MaxBodyBytesLimit is the largest value of max_body_bytes. It leaves 64 KiB of
	// a 1 MiB link frame for the headers of a request.
	MaxBodyBytesLimit = 960 << 10

	defaultDrainGrace     = config.Duration(30 * time.Second)
	defaultRequestTimeout = config.Duration(120 * time.Second)
	defaultMaxBodyBytes   = 512 << 10
	defaultQueueLimit     = 64
	defaultLogLevel       = "info"
)

// entryDefaults returns the values of the keys that are absent in a file.
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

// LoadEntry loads the settings of an entry. Its error joins an *Error for each
// problem.
func LoadEntry(path string) (*Entry, error) {
	s := entryDefaults()
	f, err := decodeFile(path, s)
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
	f.inRange("max_body_bytes", s.MaxBodyBytes, 1, MaxBodyBytesLimit)
	f.logAndTrace(s.Log, s.Trace)
	if err := f.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadAgent loads the settings of an agent. Its error joins an *Error for each
// problem.
func LoadAgent(path string) (*Agent, error) {
	s := agentDefaults()
	f, err := decodeFile(path, s)
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
	f.inRange("queue_limit", int64(s.QueueLimit), 0, maxQueueLimit)
	f.logAndTrace(s.Log, s.Trace)
	if err := f.err(); err != nil {
		return nil, err
	}
	return s, nil
}
