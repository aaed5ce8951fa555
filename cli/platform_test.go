package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"hyssoploom/platform/fake"
)

const platformConfig = `{"version":7,"routes":[
{"name":"look","host":"club.example","prefix":"/look/","kind":"idempotent","service":"app","maxAttempts":2}],
"services":[{"name":"app","healthPath":"/health"}],"tenants":[{"name":"club","apiKeys":["k"]}]}`

const platformSettings = `name = "e1"
data_centre = "fyn-a"
region = "fyn"
listen = "127.0.0.1:7001"
ready_listen = "127.0.0.1:7002"
peer_listen = "127.0.0.1:7003"
store_address = "127.0.0.1:7004"
[data_centres]
fyn-a = "fyn"
`

func runPlatform(t *testing.T, args ...string) (Code, string) {
	t.Helper()
	var out bytes.Buffer
	code := Run(t.Context(), New(), append([]string{"platform"}, args...), &out, &out)
	return code, out.String()
}

// Guards against a check that accepts files with which a gateway cannot run, or that
// does not report what is wrong with them.
func TestPlatformCheck(t *testing.T) {
	file := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	for _, c := range []struct {
		name, settings, config string
		code                   Code
		want                   string
	}{
		{"both valid", platformSettings, platformConfig, CodeOK, "version 7, 1 routes, 1 services"},
		{"settings without a name", strings.Replace(platformSettings, `"e1"`, `""`, 1), platformConfig, CodeInvalid, "name"},
		{"not JSON", platformSettings, "{", CodeInvalid, "configuration"},
		{"unknown kind", platformSettings, strings.Replace(platformConfig, "idempotent", "sometimes", 1), CodeInvalid, "sometimes"},
		{"unknown service", platformSettings, strings.Replace(platformConfig, `"service":"app"`, `"service":"web"`, 1), CodeInvalid, `"web" does not exist`},
		{"prefix without a slash", platformSettings, strings.Replace(platformConfig, `"/look/"`, `"/look"`, 1), CodeInvalid, "slash"},
	} {
		code, out := runPlatform(t, "check", "--settings", file("s.toml", c.settings), "--configuration", file("c.json", c.config))
		if code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%s: code %d, %s", c.name, code, out)
		}
	}
	if code, out := runPlatform(t, "check"); code != CodeUsage {
		t.Errorf("nothing to check: code %d, %s", code, out)
	}
}

// Guards against a status that omits items of the store, or that reports success when
// the store is unavailable.
func TestPlatformStatus(t *testing.T) {
	store := fake.NewStore(t)
	runner := fake.NewBackendServer(t, "i-1", fake.Close)
	status := func() (Code, string) { return runPlatform(t, "status", "--store", "kv://"+store.Address()) }
	if code, out := status(); code != CodeOK || !strings.Contains(out, "none") {
		t.Errorf("empty store: code %d, %s", code, out)
	}
	store.Put("op/config", []byte(platformConfig))
	store.Put("op/evacuate/sjaelland-a", map[string]any{"zone": "sjaelland-a"})
	store.Put("op/rollout/app", map[string]any{"service": "app", "target": "v2", "durationS": 20})
	store.Put("servers/i-1", runner.Record("app", "fyn-a"))
	leaving := runner.Record("app", "fyn-a")
	leaving["state"] = "draining"
	store.Put("servers/i-2", leaving)
	store.Put("servers/i-3", map[string]any{"service": 5})
	store.Put("state/hyssoploom/entries/e1", map[string]any{"name": "e1", "address": "10.0.0.1:8229", "data_centre": "fyn-a", "region": "fyn"})
	code, out := status()
	if code != CodeOK {
		t.Errorf("store with items: code %d", code)
	}
	text := strings.Join(strings.Fields(out), " ")
	for _, want := range []string{
		"configuration version 7 1 routes 1 services", "backend servers app fyn-a v1 draining 1", "backend servers app fyn-a v1 ready 1",
		"roll-out app to v2 in_progress", "out of service sjaelland-a", "entry e1 fyn-a 10.0.0.1:8229", "not understood servers/i-3",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("output lacks %q:\n%s", want, out)
		}
	}
	store.SetFaults(fake.StoreFaults{Status: 503})
	if code, out := status(); code != CodeUnavailable {
		t.Errorf("unavailable store: code %d, %s", code, out)
	}
	if code, _ := runPlatform(t, "status", "--store", "http://127.0.0.1:1"); code != CodeUsage {
		t.Errorf("store URL with another scheme: code %d", code)
	}
}
