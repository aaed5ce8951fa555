package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
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

// Grace returns the time between SIGTERM and SIGKILL.
func (b *Bounds) Grace() time.Duration { return seconds(b.GraceS) }

// RetryWindow returns the window of the retry budget.
func (b *Bounds) RetryWindow() time.Duration { return seconds(b.RetryWindowS) }

// Session returns the pause that ends a session.
func (b *Bounds) Session() time.Duration { return seconds(b.SessionS) }

// Revoke returns the time within which a removed key has to stop working.
func (b *Bounds) Revoke() time.Duration { return seconds(b.RevokeMS / 1000) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Bounds that apply when the deployment does not name them.
var defaultBounds = Bounds{
	GraceS: 8, RevokeMS: 5000, RetryRatio: 0.2, RetrySlack: 10, RetryWindowS: 10,
	ExposureShare: 0.1, ExposureSlack: 10, RollbackMS: 5000, ColdOvershoot: 1, SessionS: 10,
}

// LoadGateway reads and checks the settings of a gateway. Unknown keys are
// ignored.
func LoadGateway(path string) (*Gateway, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	g := &Gateway{Bounds: defaultBounds}
	if err := toml.Unmarshal(content, g); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := g.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return g, nil
}

func (g *Gateway) check() error {
	for _, required := range []struct{ key, value string }{
		{"name", g.Name}, {"data_centre", g.DataCentre}, {"region", g.Region},
	} {
		if required.value == "" {
			return fmt.Errorf("%s is required", required.key)
		}
	}
	for _, address := range []struct{ key, value string }{
		{"listen", g.Listen}, {"ready_listen", g.ReadyListen},
		{"peer_listen", g.PeerListen}, {"store_address", g.StoreAddress},
	} {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return fmt.Errorf("%s: %w", address.key, err)
		}
	}
	if g.DataCentres[g.DataCentre] != g.Region {
		return fmt.Errorf("data_centres: %s is not in region %s", g.DataCentre, g.Region)
	}
	b := &g.Bounds
	if b.GraceS <= 0 || b.RevokeMS <= 0 || b.RetryWindowS <= 0 || b.SessionS < 0 {
		return errors.New("bounds: a time is not positive")
	}
	return nil
}
