package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const minimalGateway = `name = "e1"
data_centre = "fyn-a"
region = "fyn"
listen = "127.0.0.1:7001"
ready_listen = "127.0.0.1:7002"
peer_listen = "127.0.0.1:7003"
store_address = "127.0.0.1:7004"
[data_centres]
fyn-a = "fyn"
`

// Guards against settings files that crash the loader, and against settings that
// are accepted although a process cannot run with them.
func FuzzLoadGateway(f *testing.F) {
	for _, seed := range []string{
		minimalGateway, "", "name = 3", minimalGateway + "[bounds]\ngrace_s = -1", minimalGateway + "[bounds]\ngrace_s = nan",
		minimalGateway + "[bounds]\nretry_ratio = inf", minimalGateway + "unknown = 1", strings.Replace(minimalGateway, "7001", "x", 1),
		minimalGateway + "[log]\nlevel = \"loud\"", minimalGateway + "[trace]\nexporter = \"otlp\"", "\x00\xff", "[[", minimalGateway + minimalGateway,
		minimalGateway + "[bounds]\nrevoke_ms = 1e300",
	} {
		f.Add(seed)
	}
	path := filepath.Join(f.TempDir(), "settings.toml")
	f.Fuzz(func(t *testing.T, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		g, err := LoadGateway(path)
		if err != nil {
			if err.Error() == "" {
				t.Error("the error has no text")
			}
			return
		}
		b := &g.Bounds
		if g.Name == "" || g.DataCentres[g.DataCentre] != g.Region || b.ShutdownGrace() <= 0 || b.RevocationDeadline() <= 0 || b.RetryWindow() <= 0 ||
			!(b.RetryRatio >= 0) || !(b.ExposureShare >= 0) || !(b.ColdOvershoot >= 0) || !(b.ColdSlack >= 0) || b.SessionIdleTimeout() < 0 {
			t.Errorf("accepted: %+v", g)
		}
	})
}
