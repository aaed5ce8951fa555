package settings

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssoploom/config"
)

const minimalEntry = `name = "entry-1"
data_centre = "jylland-1"
listen = "127.0.0.1:8080"
store_url = "http://127.0.0.1:2379"
vm_list_url = "http://127.0.0.1:2380"
fleet_key = "0123456789abcdef"
`

const minimalAgent = `name = "runner-1"
data_centre = "jylland-1"
listen = "127.0.0.1:7000"
backend_url = "http://127.0.0.1:8000"
store_url = "http://127.0.0.1:2379"
vm_list_url = "http://127.0.0.1:2380"
fleet_key = "0123456789abcdef"
`

// loadText writes the text to a file and loads it. It returns the settings or the
// text of the error.
func loadText[T any](t *testing.T, load func(string) (*T, error), text string) (*T, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := load(path)
	if err == nil {
		return s, ""
	}
	if s != nil {
		t.Errorf("settings are returned together with the error %v", err)
	}
	return nil, strings.ReplaceAll(err.Error(), path, "s.toml")
}

// Guards against defaults that differ from the documented ones.
func TestDefaults(t *testing.T) {
	entry, problem := loadText(t, LoadEntry, minimalEntry)
	want := &Entry{
		Name: "entry-1", VM: "entry-1", DataCentre: "jylland-1", Listen: "127.0.0.1:8080",
		StoreURL: "http://127.0.0.1:2379", VMListURL: "http://127.0.0.1:2380", FleetKey: "0123456789abcdef",
		DrainGrace: config.Duration(30 * time.Second), RequestTimeout: config.Duration(120 * time.Second),
		MaxBodyBytes: 524288, Log: Log{Level: "info"}, Trace: Trace{Exporter: ExporterNone},
	}
	if diff := cmp.Diff(want, entry); problem != "" || diff != "" {
		t.Errorf("entry: %s (-want +got):\n%s", problem, diff)
	}
	agent, problem := loadText(t, LoadAgent, minimalAgent)
	if problem != "" || agent.VM != "runner-1" || agent.BackendKind != BackendEngine || agent.QueueLimit != 64 ||
		agent.DrainGrace != config.Duration(30*time.Second) || agent.AdminListen != "" {
		t.Errorf("agent: %s %+v", problem, agent)
	}
}

// Guards against settings that are accepted although a process cannot run with
// them, and against errors that do not name the line and key.
func TestInvalidSettings(t *testing.T) {
	for _, c := range []struct{ key, line, want string }{
		{"", "nme = \"x\"", "s.toml:7: nme: unknown key"},
		{"", "[log]\nlevel = \"info\"\nfile = \"x\"", "s.toml:9: log.file: unknown key"},
		{"", "[log]\nlevel = \"loud\"", `s.toml:8: log.level: "loud" is not one of debug, info, warn, error`},
		{"", "log.level = \"loud\"", `s.toml:7: log.level: "loud" is not one of debug, info, warn, error`},
		{"", "[trace]\nexporter = \"file\"", `s.toml:8: trace.exporter: "file" is not one of none, stdout, otlp`},
		{"", "[trace]\nexporter = \"otlp\"", "s.toml: trace.endpoint: is required"},
		{"", "[trace]\nexporter = \"otlp\"\nendpoint = \"x:1\"", "s.toml:9: trace.endpoint: is not an http or https URL"},
		{"name", "", "s.toml: name: is required"},
		{"name", "name = 3", "s.toml:1: name: is of type integer, needs string"},
		{"name", "name = \"a", "s.toml:1: basic strings cannot have new lines"},
		{"name", "name = \"a\"\nname = \"b\"", "s.toml:2: name: key name is already defined"},
		{"data_centre", "", "s.toml: data_centre: is required"},
		{"listen", "", "s.toml: listen: is required"},
		{"listen", "listen = \"127.0.0.1\"", `s.toml:3: listen: "127.0.0.1" is not host:port`},
		{"listen", "listen = \"127.0.0.1:http\"", `s.toml:3: listen: "127.0.0.1:http" has no port between 0 and 65535`},
		{"listen", "listen = \"127.0.0.1:65536\"", `s.toml:3: listen: "127.0.0.1:65536" has no port between 0 and 65535`},
		{"store_url", "store_url = \"ftp://u:secret@x\"", "s.toml:4: store_url: is not an http or https URL"},
		{"vm_list_url", "vm_list_url = \"http://\"", "s.toml:5: vm_list_url: is not an http or https URL"},
		{"fleet_key", "fleet_key = \"0123456789abcde\"", "s.toml:6: fleet_key: has 15 bytes, needs at least 16"},
		{"", "drain_grace = \"soon\"", `s.toml:7: drain_grace: time: invalid duration "soon"`},
		{"", "drain_grace = 30", `s.toml:7: drain_grace: needs a unit, such as "30s"`},
		{"", "drain_grace = \"-1s\"", "s.toml:7: drain_grace: must be longer than 0"},
		{"entry", "rater_url = \"x\"", "s.toml:7: rater_url: is not an http or https URL"},
		{"entry", "previous_fleet_keys = [\"short\"]", "s.toml:7: previous_fleet_keys: has 5 bytes, needs at least 16"},
		{"entry", "request_timeout = \"0s\"", "s.toml:7: request_timeout: must be longer than 0"},
		{"entry", "max_body_bytes = 983041", "s.toml:7: max_body_bytes: 983041 is not between 1 and 983040"},
		{"agent", "admin_listen = \"x\"", `s.toml:8: admin_listen: "x" is not host:port`},
		{"agent", "backend_kind = \"db\"", `s.toml:8: backend_kind: "db" is not one of engine, service`},
		{"agent", "queue_limit = -1", "s.toml:8: queue_limit: -1 is not between 0 and 100000"},
	} {
		var got string
		if c.key == "agent" {
			_, got = loadText(t, LoadAgent, minimalAgent+c.line)
		} else if c.key == "" || c.key == "entry" {
			_, got = loadText(t, LoadEntry, minimalEntry+c.line)
		} else { // replace the line of the key
			text := regexp.MustCompile(`(?m)^`+c.key+` = .*$`).ReplaceAllLiteralString(minimalEntry, c.line)
			_, got = loadText(t, LoadEntry, text)
		}
		if got != c.want {
			t.Errorf("%q:\n got %s\nwant %s", c.line, got, c.want)
		}
	}
}

// Guards against an error that reports only the first problem, or several problems
// in one line.
func TestAllProblemsAreReported(t *testing.T) {
	_, got := loadText(t, LoadAgent, "name = \"a\"\nlisten = \"x\"\n")
	if lines := strings.Split(got, "\n"); len(lines) != 6 {
		t.Errorf("%d lines, want 6:\n%s", len(lines), got)
	}
	_, err := LoadEntry("absent.toml")
	var problem *Error
	if !errors.As(err, &problem) || err.Error() != "absent.toml: cannot be read: no such file or directory" {
		t.Errorf("absent file: %v", err)
	}
}

// Guards against examples in docs/settings.md that cannot be loaded, and against
// keys that the page does not describe.
func TestDocumentedSettings(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	examples := regexp.MustCompile("(?s)```toml\n(.*?)```").FindAllSubmatch(page, -1)
	if len(examples) != 2 {
		t.Fatalf("%d examples, want 2", len(examples))
	}
	if _, problem := loadText(t, LoadEntry, string(examples[0][1])); problem != "" {
		t.Errorf("example of an entry: %s", problem)
	}
	if _, problem := loadText(t, LoadAgent, string(examples[1][1])); problem != "" {
		t.Errorf("example of an agent: %s", problem)
	}
	for _, kind := range []any{Entry{}, Agent{}, Log{}, Trace{}} {
		for _, field := range reflect.VisibleFields(reflect.TypeOf(kind)) {
			if key := field.Tag.Get("toml"); field.Type.Kind() != reflect.Struct && !strings.Contains(string(page), key+"` |") {
				t.Errorf("%T: key %s is not described", kind, key)
			}
		}
	}
}
