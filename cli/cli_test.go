package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/spf13/cobra"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/standin"
)

const records = `
[data_centre.dc1]
region = "Jylland"
state = "in"

[model.small]
schema_version = 1
versions = [{ version = "v1", withdrawn = false, weight = 1, price = 4 }]

[model.large]
versions = [{ version = "v1", state = "draining", weight = 1, price_in = 9, price_out = 10 }]
`

// fixture runs commands against a stand-in store over HTTP.
type fixture struct {
	t     *testing.T
	store *standin.Store
	url   string
	// beforeSwap is called once, before the store handles the next compare-and-swap.
	beforeSwap atomic.Pointer[func()]
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, store: standin.NewStore()}
	h := f.store.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/swap" {
			if hook := f.beforeSwap.Swap(nil); hook != nil {
				(*hook)()
			}
		}
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	f.url = srv.URL
	return f
}

// writeDir returns a new directory with one file of declarations.
func (f *fixture) writeDir(toml string) string {
	dir := f.t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "a.toml"), []byte(toml), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return dir
}

func (f *fixture) run(args ...string) (Code, string) {
	var out bytes.Buffer
	code := Run(f.t.Context(), New(), append(args, "--store", f.url), &out, &out)
	return code, out.String()
}

// mustRun runs a command, checks its exit code, and checks that its output contains
// all parts.
func (f *fixture) mustRun(code Code, args []string, parts ...string) string {
	f.t.Helper()
	got, out := f.run(args...)
	for _, p := range parts {
		if !strings.Contains(out, p) {
			f.t.Errorf("%v: output lacks %q", args, p)
		}
	}
	if got != code || f.t.Failed() {
		f.t.Fatalf("%v: exit code %d, want %d:\n%s", args, got, code, out)
	}
	return out
}

// envelope returns the decoded record of a key in the store.
func (f *fixture) envelope(key string) config.Envelope {
	f.t.Helper()
	kv, err := f.store.Get(f.t.Context(), key)
	if err != nil {
		f.t.Fatal(err)
	}
	e, err := config.Decode(key, kv.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return e
}

// Guards against an apply that does not write what it reports or rewrites unchanged
// records, and against a get that confuses schema versions.
func TestApplyAndGet(t *testing.T) {
	f := newFixture(t)
	dir := f.writeDir(records)
	f.mustRun(CodeOK, []string{"check", dir}, "3 records are valid")
	f.mustRun(CodeDiffers, []string{"diff", dir, "--exit-code"}, "create model/small")
	f.mustRun(CodeOK, []string{"apply", dir, "--writer", "ann"}, "written     create model/large at revision")
	f.mustRun(CodeOK, []string{"diff", dir, "--exit-code"}, "no differences")
	writes := f.store.Counts().Writes
	f.mustRun(CodeOK, []string{"apply", dir})
	if f.store.Counts().Writes != writes {
		t.Fatal("apply rewrote unchanged records")
	}
	f.mustRun(CodeOK, []string{"get", "model", "small"}, "schema_version = 1", "price = 4", "by ann")
	f.mustRun(CodeOK, []string{"get", "model", "small", "--schema", "2"}, `state = 'active'`, "price_in = 4")
	f.mustRun(CodeInvalid, []string{"get", "model", "large", "--schema", "1"}, "cannot be written as schema 1")
	f.mustRun(CodeOK, []string{"get", "model", "large", "-o", "json"}, `"change_id"`, `"draining"`)
	f.mustRun(CodeOK, []string{"get", "model"}, "small", "large")
	f.mustRun(CodeNotFound, []string{"get", "model", "huge"})
	f.mustRun(CodeInvalid, []string{"apply", f.writeDir("[cascade.c]\nstages = [\"huge\"]\nquality_target = 1")}, `a.toml: cascade/c: stages: unknown model "huge"`)
}

// Guards against a prune that removes the key instead of writing a tombstone, so that a
// process that was disconnected keeps the record, and against deleted records that
// stay visible.
func TestPrune(t *testing.T) {
	f := newFixture(t)
	f.mustRun(CodeOK, []string{"apply", f.writeDir(records), "--writer", "ann"})
	f.mustRun(CodeOK, []string{"quarantine", "large", "v1", "--reason", "r"})
	f.mustRun(CodeOK, []string{"apply", f.writeDir("[data_centre.dc1]\nregion = \"Fyn\"\nstate = \"out\""), "--prune", "--writer", "bob"},
		"update data_centre/dc1 (revision 1 by ann)", "state: in -> out", "written     delete model/small")
	if e := f.envelope("config/model/small"); !e.Deleted || e.Writer != "bob" {
		t.Fatalf("pruned record is %+v, want a tombstone written by bob", e)
	}
	f.mustRun(CodeNotFound, []string{"get", "model", "small"}, "deleted by bob")
	f.mustRun(CodeOK, []string{"quarantine", "list"}, "large")
	f.mustRun(CodeOK, []string{"apply", f.writeDir(records)}, "written     create model/small")
}

// Guards against a lost update: another operator writes the same record between
// this operator's read and write.
func TestConcurrentOperators(t *testing.T) {
	f := newFixture(t)
	f.mustRun(CodeOK, []string{"apply", f.writeDir(records), "--writer", "ann"})
	bobsRecords, annsRecords := strings.ReplaceAll(records, `"in"`, `"out"`), strings.ReplaceAll(records, "Jylland", "Fyn")
	annsRecords = strings.Replace(annsRecords, "price = 4", "price = 5", 1)
	writeAsBob := func() { f.mustRun(CodeOK, []string{"apply", f.writeDir(bobsRecords), "--writer", "bob"}) }
	f.beforeSwap.Store(&writeAsBob)
	f.mustRun(CodeConflict, []string{"apply", f.writeDir(annsRecords), "--writer", "ann"},
		"conflict    update data_centre/dc1 at revision 4 by bob", "written     update model/small at revision 5")
	if d := f.envelope("config/data_centre/dc1"); d.Writer != "bob" || d.Spec.(*config.DataCentre).Region != "Jylland" {
		t.Fatalf("the first write was overwritten: %+v", d)
	}
}

// Guards against a write that is repeated after its response was lost, and against a
// reported outcome that the store does not confirm.
func TestLostResponse(t *testing.T) {
	f := newFixture(t)
	dir := f.writeDir("[data_centre.dc1]\nregion = \"Fyn\"\nstate = \"in\"")
	f.store.DropRequests(1)
	f.mustRun(CodeUnknown, []string{"apply", dir}, "unknown     create data_centre/dc1", "run the command again")
	if c := f.store.Counts(); c.Writes != 1 {
		t.Fatalf("%d writes after a dropped request, want 1", c.Writes)
	}
	f.store.LoseResponses(1)
	f.mustRun(CodeOK, []string{"apply", dir, "--writer", "ann"}, "written     create data_centre/dc1 at revision 1")
	if c := f.store.Counts(); c.Writes != 2 {
		t.Fatalf("%d writes after a lost response, want 2", c.Writes)
	}
	// The response that reports a conflict is lost as well.
	bobsDir, annsDir := f.writeDir("[data_centre.dc1]\nregion = \"Fyn\"\nstate = \"out\""), f.writeDir("[data_centre.dc1]\nregion = \"Als\"\nstate = \"in\"")
	writeAsBobAndLoseResponse := func() {
		f.mustRun(CodeOK, []string{"apply", bobsDir, "--writer", "bob"})
		f.store.LoseResponses(1)
	}
	f.beforeSwap.Store(&writeAsBobAndLoseResponse)
	f.mustRun(CodeConflict, []string{"apply", annsDir, "--writer", "ann"}, "conflict    update data_centre/dc1 at revision 2 by bob")
}

// Guards against commands that hang or report success during a store outage.
func TestStoreDown(t *testing.T) {
	f := newFixture(t)
	dir := f.writeDir(records)
	takeStoreDown := func() { f.store.SetDown(true) }
	f.beforeSwap.Store(&takeStoreDown)
	f.mustRun(CodeUnavailable, []string{"apply", dir}, "unavailable create data_centre/dc1", "not attempted")
	f.mustRun(CodeUnavailable, []string{"apply", dir}, "store unavailable")
	f.mustRun(CodeUnavailable, []string{"status"}, "store: ")
}

// Guards against quarantines that apply removes, that are lifted although another
// writer has changed them, or that refer to versions which do not exist.
func TestQuarantine(t *testing.T) {
	f := newFixture(t)
	dir := f.writeDir(records)
	f.mustRun(CodeOK, []string{"apply", dir})
	f.mustRun(CodeUsage, []string{"quarantine", "small", "v1"}, "--reason")
	f.mustRun(CodeNotFound, []string{"quarantine", "small", "v2", "--reason", "r"}, `no version "v2"`)
	f.mustRun(CodeNotFound, []string{"quarantine", "lift", "small", "v1"}, "not quarantined")
	f.mustRun(CodeOK, []string{"quarantine", "small", "v1", "--reason", "wrong units"}, "written")
	f.mustRun(CodeOK, []string{"quarantine", "small", "v1", "--reason", "again"}, "already quarantined")
	f.mustRun(CodeOK, []string{"apply", dir, "--prune"}, "no differences")
	f.mustRun(CodeOK, []string{"quarantine", "list"}, "wrong units")
	changeReason := func() {
		kv, _ := f.store.Get(t.Context(), "state/quarantine/small/v1")
		_, _ = f.store.CompareAndSwap(t.Context(), dialect.Write{Key: kv.Key, ExpectedRevision: kv.Revision,
			Value: bytes.Replace(kv.Value, []byte("wrong units"), []byte("leaks"), 1)})
	}
	f.beforeSwap.Store(&changeReason)
	f.mustRun(CodeConflict, []string{"quarantine", "lift", "small", "v1"}, "conflict")
	f.mustRun(CodeOK, []string{"quarantine", "lift", "small", "v1"}, "written")
	f.mustRun(CodeOK, []string{"quarantine", "small", "v1", "--reason", "back"}, "written")
}

// Guards against a status that omits processes which are not current or records which
// are not in force.
func TestStatus(t *testing.T) {
	f := newFixture(t)
	f.mustRun(CodeOK, []string{"apply", f.writeDir(records)})
	var s status
	if err := json.Unmarshal([]byte(f.mustRun(CodeOK, []string{"status", "-o", "json"})), &s); err != nil {
		t.Fatal(err)
	}
	process := func(revision, digest uint64) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, `{"cmdline":[],"hyssoploom":{"revision":%d,"digest":%d,"config_age_seconds":12.2}}`, revision, digest)
		}))
		t.Cleanup(srv.Close)
		return srv.URL
	}
	current, behind, differs := process(s.ConfigRevision, s.Digest), process(1, 5), process(s.ConfigRevision, 5)
	f.mustRun(CodeOK, []string{"status", "--process", current}, "current", "12s", "2 model")
	out := f.mustRun(CodeDegraded, []string{"status", "-o", "json", "--process", current, "--process", behind, "--process", differs, "--process", f.url})
	if err := json.Unmarshal([]byte(out[:strings.LastIndex(out, "hyssoploom: ")]), &s); err != nil {
		t.Fatal(err)
	}
	var states []string
	for _, p := range s.Processes {
		states = append(states, p.State)
	}
	if d := cmp.Diff([]string{"current", "behind", "differs", "unreachable"}, states); d != "" {
		t.Fatal(d)
	}
	raw := []byte(`{"schema_version":9,"kind":"model","name":"new","writer":"w"}`)
	if _, err := f.store.CompareAndSwap(t.Context(), dialect.Write{Key: "config/model/new", Value: raw}); err != nil {
		t.Fatal(err)
	}
	f.mustRun(CodeDegraded, []string{"status"}, "unknown schema version 9", "in force: nothing")
	f.mustRun(CodeInvalid, []string{"apply", f.writeDir(records), "--prune"}, "use a newer hyssoploom")
}

// Guards against usage errors without the documented exit code, and against commands
// without an example or a description.
func TestUsage(t *testing.T) {
	t.Setenv(EnvStore, "")
	for _, args := range [][]string{{"unknown-command"}, {"apply"}, {"get", "unknown-kind", "--store", "http://127.0.0.1:1"}, {"diff", "--unknown-flag"},
		{"status", "-o", "yaml"}, {"status"}, {"get", "model", "--schema", "3", "--store", "http://127.0.0.1:1"}, {"version", "x"}} {
		var out bytes.Buffer
		if code := Run(t.Context(), New(), args, &out, &out); code != CodeUsage {
			t.Errorf("%v: exit code %d, want %d: %s", args, code, CodeUsage, out.String())
		}
	}
	var visit func(*cobra.Command)
	visit = func(c *cobra.Command) {
		if c.Example == "" || c.Short == "" {
			t.Errorf("%s has no example or description", c.CommandPath())
		}
		for _, sub := range c.Commands() {
			visit(sub)
		}
	}
	visit(New())
}
