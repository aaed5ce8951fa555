package settings

import (
	"maps"
	"math"
	"time"
)

// Gateway holds the settings of an entry on the users' platform. The platform
// writes the file from deploy/gateway.toml.
type Gateway struct {
	// Name identifies the process; required.
	Name string `toml:"name"`
	// DataCentre and Region are those of the VM; required.
	DataCentre string `toml:"data_centre"`
	Region     string `toml:"region"`
	// Listen is the host:port for callers, ReadyListen that of the readiness check;
	// both required.
	Listen      string `toml:"listen"`
	ReadyListen string `toml:"ready_listen"`
	// PeerListen is the host:port for the other entries; required.
	PeerListen string `toml:"peer_listen"`
	// PeerAddress is the host:port at which the other entries reach this one;
	// PeerListen when absent.
	PeerAddress string `toml:"peer_address"`
	// MetricsListen is the host:port of the metrics; none when absent.
	MetricsListen string `toml:"metrics_listen"`
	// Seeds are peer addresses of other entries, which may be stale.
	Seeds []string `toml:"seeds"`
	// StoreAddress is the host:port of the platform's store; required.
	StoreAddress string `toml:"store_address"`
	// DataCentres maps each data centre to its region; required.
	DataCentres map[string]string `toml:"data_centres"`
	MemoryMB    int               `toml:"memory_mb"`
	Bounds      Bounds            `toml:"bounds"`
	Log         Log               `toml:"log"`
	Trace       Trace             `toml:"trace"`
}

// Bounds are the limits that the deployment promises to keep. Times are in the
// unit that the key names.
type Bounds struct {
	// GraceS is the time between SIGTERM and SIGKILL.
	GraceS float64 `toml:"grace_s"`
	// RevokeMS is the time within which a removed key has to stop working;
	// StrictRevocation tells that this also binds entries that are cut off.
	RevokeMS         float64 `toml:"revoke_ms"`
	StrictRevocation bool    `toml:"strict_revocation"`
	// RetryRatio, RetrySlack and RetryWindowS bound repeated sends per service.
	RetryRatio   float64 `toml:"retry_ratio"`
	RetrySlack   int     `toml:"retry_slack"`
	RetryWindowS float64 `toml:"retry_window_s"`
	// ExposureShare and ExposureSlack bound the requests that a new version gets
	// before it is known to be good.
	ExposureShare float64 `toml:"exposure_share"`
	ExposureSlack int     `toml:"exposure_slack"`
	// RollbackMS is the time within which a bad version has to be left.
	RollbackMS float64 `toml:"rollback_ms"`
	// ColdOvershoot and ColdSlack bound the requests to a cold backend server.
	ColdOvershoot float64 `toml:"cold_overshoot"`
	ColdSlack     float64 `toml:"cold_slack"`
	// SessionS is the pause after which a session's next request is independent.
	SessionS float64 `toml:"session_s"`
}

// ShutdownGrace returns the time between SIGTERM and SIGKILL.
func (b *Bounds) ShutdownGrace() time.Duration { return seconds(b.GraceS) }

// RetryWindow returns the window of the retry budget.
func (b *Bounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

// SessionIdleTimeout returns the pause that ends a session.
func (b *Bounds) SessionIdleTimeout() time.Duration { return seconds(b.SessionS) }

// RevocationDeadline returns the time within which a removed key has to stop working.
func (b *Bounds) RevocationDeadline() time.Duration { return seconds(b.RevokeMS / 1000) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Bounds that apply when the deployment does not name them.
var defaultBounds = Bounds{
	GraceS: 8, RevokeMS: 5000, RetryRatio: 0.2, RetrySlack: 10, RetryWindowS: 10,
	ExposureShare: 0.1, ExposureSlack: 10, RollbackMS: 5000, ColdOvershoot: 1, SessionS: 10,
}

// LoadGateway reads the settings of a gateway. Its error joins one *Error for
// each problem.
func LoadGateway(path string) (*Gateway, error) {
	g := &Gateway{Bounds: defaultBounds, Log: Log{Level: defaultLogLevel}, Trace: Trace{Exporter: ExporterNone}}
	f, err := load(path, g)
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
		f.fail("data_centres", "%q is in region %q, not in %q", g.DataCentre, region, g.Region)
	}
	f.common(g.Log, g.Trace)
	f.bounds(&g.Bounds)
	if err := f.err(); err != nil {
		return nil, err
	}
	return g, nil
}

// RestartRequired names the settings that differ in changed and cannot be applied
// while the process runs. The bounds, seeds and the log level can.
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
		{"trace", g.Trace != changed.Trace},
	} {
		if s.different {
			names = append(names, s.name)
		}
	}
	return names
}

// longest bounds the times of the settings; a longer one is a mistake in its unit.
const longest = 24 * time.Hour

func (f *file) bounds(b *Bounds) {
	for key, value := range map[string]float64{
		"bounds.grace_s": b.GraceS, "bounds.revoke_ms": b.RevokeMS / 1000, "bounds.retry_window_s": b.RetryWindowS,
	} {
		if !(value > 0) {
			f.fail(key, "must be greater than 0")
		}
		f.notLongerThan(key, value)
	}
	f.notLongerThan("bounds.session_s", b.SessionS)
	f.notLongerThan("bounds.rollback_ms", b.RollbackMS/1000)
	for key, value := range map[string]float64{
		"bounds.retry_ratio": b.RetryRatio, "bounds.retry_slack": float64(b.RetrySlack),
		"bounds.exposure_share": b.ExposureShare, "bounds.exposure_slack": float64(b.ExposureSlack),
		"bounds.cold_overshoot": b.ColdOvershoot, "bounds.cold_slack": b.ColdSlack, "bounds.session_s": b.SessionS,
		"bounds.rollback_ms": b.RollbackMS,
	} {
		if !(value >= 0) || math.IsInf(value, 0) {
			f.fail(key, "must be a number that is not negative")
		}
	}
}

func (f *file) notLongerThan(key string, seconds float64) {
	if seconds > longest.Seconds() {
		f.fail(key, "must not be longer than %v", longest)
	}
}
