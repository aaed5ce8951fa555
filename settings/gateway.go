package settings

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Gateway holds the settings of the command gateway: an entry on the users' platform
// that forwards requests to backend servers itself. Entry holds those of an entry
// that forwards requests to agents. The platform generates the file from the
// template deploy/gateway.toml.
type Gateway struct {
	// Name identifies the process; required.
	Name string `toml:"name"`
	// DataCentre and Region are the location of the VM; required.
	DataCentre string `toml:"data_centre"`
	Region     string `toml:"region"`
	// Listen is the host:port for callers, ReadyListen the host:port of the readiness
	// check; both required.
	Listen      string `toml:"listen"`
	ReadyListen string `toml:"ready_listen"`
	// PeerListen is the host:port for the other entries; required.
	PeerListen string `toml:"peer_listen"`
	// PeerAddress is the host:port at which the other entries reach this one;
	// PeerListen when absent.
	PeerAddress string `toml:"peer_address"`
	// MetricsListen is the host:port of the metrics; none when absent.
	MetricsListen string `toml:"metrics_listen"`
	// Seeds are peer addresses of other entries; they may be outdated.
	Seeds []string `toml:"seeds"`
	// StoreAddress is the host:port of the platform's store; required.
	StoreAddress string `toml:"store_address"`
	// DataCentres maps each data centre to its region; required.
	DataCentres map[string]string `toml:"data_centres"`
	// MemoryMB is the memory available to the process, in MiB; no Go memory limit is
	// set when absent.
	MemoryMB float64 `toml:"memory_mb"`
	// CPUShare is the processor time per time that the VM has, in cores; 0 when unknown.
	CPUShare float64 `toml:"cpu_share"`
	// MaxDescriptors is the number of file descriptors that the process may open, and
	// LinkMbps the bandwidth of the VM's link in Mbit/s; 0 when unknown.
	MaxDescriptors int     `toml:"max_descriptors"`
	LinkMbps       float64 `toml:"link_mbps"`
	// Features names the optional parts of the product that the deployment calls for.
	// Names that this version does not know are ignored.
	Features       []string       `toml:"features"`
	Clients        Clients        `toml:"clients"`
	SecondAttempts SecondAttempts `toml:"second_attempts"`
	Bounds         Bounds         `toml:"bounds"`
	Log            Log            `toml:"log"`
	Trace          Trace          `toml:"trace"`
}

// FeaturePressure is the feature of deployments whose callers compete for room: larger
// models, engine memory and entry memory are shared out by workspace, kind and size.
const FeaturePressure = "pressure"

// HasFeature reports whether the deployment calls for a feature.
func (g *Gateway) HasFeature(name string) bool { return slices.Contains(g.Features, name) }

// Bounds are the limits that the deployment guarantees. The key of a time ends
// with its unit.
type Bounds struct {
	// GraceS is the time between SIGTERM and SIGKILL.
	GraceS float64 `toml:"grace_s"`
	// RevokeMS is the time within which a removed API key has to be rejected. With
	// StrictRevocation, this also applies to entries without contact to the store.
	RevokeMS         float64 `toml:"revoke_ms"`
	StrictRevocation bool    `toml:"strict_revocation"`
	// RetryRatio, RetrySlack and RetryWindowS limit the retries per service.
	RetryRatio   float64 `toml:"retry_ratio"`
	RetrySlack   float64 `toml:"retry_slack"`
	RetryWindowS float64 `toml:"retry_window_s"`
	// ExposureShare and ExposureSlack limit the requests that a new version receives
	// before it is known to be good.
	ExposureShare float64 `toml:"exposure_share"`
	ExposureSlack float64 `toml:"exposure_slack"`
	// RollbackMS is the time within which a bad version has to be rolled back.
	RollbackMS float64 `toml:"rollback_ms"`
	// ColdOvershoot and ColdSlack limit the requests to a cold backend server.
	ColdOvershoot float64 `toml:"cold_overshoot"`
	ColdSlack     float64 `toml:"cold_slack"`
	// SessionS is the idle time after which the next request of a session is
	// independent of the earlier ones.
	SessionS float64 `toml:"session_s"`
}

// ShutdownGrace returns the time between SIGTERM and SIGKILL.
func (b *Bounds) ShutdownGrace() time.Duration { return seconds(b.GraceS) }

// RetryWindow returns the time window of the retry budget.
func (b *Bounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

// SessionIdleTimeout returns the idle time that ends a session.
func (b *Bounds) SessionIdleTimeout() time.Duration { return seconds(b.SessionS) }

// RevocationDeadline returns the time within which a removed API key has to be
// rejected.
func (b *Bounds) RevocationDeadline() time.Duration { return seconds(b.RevokeMS / 1000) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// defaultBounds are the bounds that apply when the deployment does not set them.
var defaultBounds = Bounds{
	GraceS: 8, RevokeMS: 5000, RetryRatio: 0.2, RetrySlack: 10, RetryWindowS: 10,
	ExposureShare: 0.1, ExposureSlack: 10, RollbackMS: 5000, ColdOvershoot: 1, SessionS: 10,
}

// LoadGateway loads the settings of a gateway. Its error joins an *Error for each
// problem.
func LoadGateway(path string) (*Gateway, error) {
	g := &Gateway{Clients: DefaultClients, Bounds: defaultBounds, Log: Log{Level: defaultLogLevel}, Trace: Trace{Exporter: ExporterNone}}
	f, err := decodeFile(path, g)
	if err != nil {
		return nil, err
	}
	f.required("name", g.Name)
	f.required("data_centre", g.DataCentre)
	f.required("region", g.Region)
	f.hostPort("listen", g.Listen)
	f.hostPort("ready_listen", g.ReadyListen)
	f.hostPort("peer_listen", g.PeerListen)
	f.hostPort("store_address", g.StoreAddress)
	if g.PeerAddress == "" {
		g.PeerAddress = g.PeerListen
	}
	f.hostPort("peer_address", g.PeerAddress)
	if g.MetricsListen != "" {
		f.hostPort("metrics_listen", g.MetricsListen)
	}
	if region := g.DataCentres[g.DataCentre]; region != g.Region {
		f.addError("data_centres", "%q is in region %q, not in %q", g.DataCentre, region, g.Region)
	}
	f.logAndTrace(g.Log, g.Trace)
	f.bounds(&g.Bounds)
	f.clients(&g.Clients)
	f.secondAttempts(&g.SecondAttempts)
	if err := f.err(); err != nil {
		return nil, err
	}
	return g, nil
}

// RestartRequired returns the keys of the settings that differ in changed and take
// effect only after a restart. The bounds, the seeds and the log level can change
// while the process runs.
func (g *Gateway) RestartRequired(changed *Gateway) []string {
	var names []string
	for _, s := range []struct {
		name      string
		different bool
	}{
		{"name", g.Name != changed.Name},
		{"data_centre", g.DataCentre != changed.DataCentre},
		{"region", g.Region != changed.Region},
		{"listen", g.Listen != changed.Listen},
		{"ready_listen", g.ReadyListen != changed.ReadyListen},
		{"peer_listen", g.PeerListen != changed.PeerListen},
		{"peer_address", g.PeerAddress != changed.PeerAddress},
		{"metrics_listen", g.MetricsListen != changed.MetricsListen},
		{"store_address", g.StoreAddress != changed.StoreAddress},
		{"data_centres", !maps.Equal(g.DataCentres, changed.DataCentres)},
		{"memory_mb", g.MemoryMB != changed.MemoryMB},
		{"cpu_share", g.CPUShare != changed.CPUShare},
		{"max_descriptors", g.MaxDescriptors != changed.MaxDescriptors},
		{"link_mbps", g.LinkMbps != changed.LinkMbps},
		{"features", !slices.Equal(g.Features, changed.Features)},
		{"clients", g.Clients != changed.Clients},
		{"trace", g.Trace != changed.Trace},
	} {
		if s.different {
			names = append(names, s.name)
		}
	}
	return names
}

// maxDuration limits the times in the settings; a longer time is most likely given
// in the wrong unit.
const maxDuration = 24 * time.Hour

func (f *settingsFile) bounds(b *Bounds) {
	for key, value := range map[string]float64{
		"bounds.grace_s": b.GraceS, "bounds.revoke_ms": b.RevokeMS / 1000, "bounds.retry_window_s": b.RetryWindowS,
	} {
		if !(value > 0) {
			f.addError(key, "must be greater than 0")
		}
		f.atMostMaxDuration(key, value)
	}
	f.atMostMaxDuration("bounds.session_s", b.SessionS)
	f.atMostMaxDuration("bounds.rollback_ms", b.RollbackMS/1000)
	for key, value := range map[string]float64{
		"bounds.retry_ratio": b.RetryRatio, "bounds.retry_slack": b.RetrySlack,
		"bounds.exposure_share": b.ExposureShare, "bounds.exposure_slack": b.ExposureSlack,
		"bounds.cold_overshoot": b.ColdOvershoot, "bounds.cold_slack": b.ColdSlack, "bounds.session_s": b.SessionS,
		"bounds.rollback_ms": b.RollbackMS,
	} {
		if !(value >= 0) || math.IsInf(value, 0) {
			f.addError(key, "must be a finite number of at least 0")
		}
	}
}

func (f *settingsFile) atMostMaxDuration(key string, seconds float64) {
	if seconds > maxDuration.Seconds() {
		f.addError(key, "must not be longer than %v", maxDuration)
	}
}
