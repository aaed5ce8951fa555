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

// fixture is a stand-in store and a directory of declarations.
type fixture struct {
	t     *testing.T
	store *standin.Store
	url   string
	// beforeSwap is called once, before the next compare-and-swap is served.
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

func (f *fixture) dir(toml string) string {
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

// expect runs a command and checks its exit code and parts of its output.
func (f *fixture) expect(code Code, args []string, parts ...string) string {
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

// Guards against an apply that does not write what it reports, writes equal
// records again, or mixes up old and new schema.
func TestApplyAndGet(t *testing.T) {
	f := newFixture(t)
	dir := f.dir(records)
	f.expect(CodeOK, []string{"check", dir}, "3 records are valid")
	f.expect(CodeDiffers, []string{"diff", dir, "--exit-code"}, "create model/small")
	f.expect(CodeOK, []string{"apply", dir, "--writer", "ann"}, "written     create model/large at revision")
	f.expect(CodeOK, []string{"diff", dir, "--exit-code"}, "no differences")
	writes := f.store.Counts().Writes
	f.expect(CodeOK, []string{"apply", dir})
	if f.store.Counts().Writes != writes {
		t.Fatal("apply wrote equal records")
	}
	f.expect(CodeOK, []string{"get", "model", "small"}, "schema_version = 1", "price = 4", "by ann")
	f.expect(CodeOK, []string{"get", "model", "small", "--schema", "2"}, `state = 'active'`, "price_in = 4")
	f.expect(CodeInvalid, []string{"get", "model", "large", "--schema", "1"}, "cannot be written as schema 1")
	f.expect(CodeOK, []string{"get", "model", "large", "-o", "json"}, `"change_id"`, `"draining"`)
	f.expect(CodeOK, []string{"get", "model"}, "small", "large")
	f.expect(CodeNotFound, []string{"get", "model", "huge"})
	f.expect(CodeInvalid, []string{"apply", f.dir("[cascade.c]\nstages = [\"huge\"]\nquality_target = 1")}, `a.toml: cascade/c: stages: unknown model "huge"`)
}

// Guards against a prune that removes the key, so that a process that was cut
// off would keep the record, and against a deleted record that stays visible.
func TestPrune(t *testing.T) {
	f := newFixture(t)
	f.expect(CodeOK, []string{"apply", f.dir(records), "--writer", "ann"})
	f.expect(CodeOK, []string{"quarantine", "large", "v1", "--reason", "r"})
	f.expect(CodeOK, []string{"apply", f.dir("[data_centre.dc1]\nregion = \"Fyn\"\nstate = \"out\""), "--prune", "--writer", "bob"},
		"update data_centre/dc1 (revision 1 by ann)", "state: in -> out", "written     delete model/small")
	if e := f.envelope("config/model/small"); !e.Deleted || e.Writer != "bob" {
		t.Fatalf("pruned record is %+v", e)
	}
	f.expect(CodeNotFound, []string{"get", "model", "small"}, "deleted by bob")
	f.expect(CodeOK, []string{"quarantine", "list"}, "large")
	f.expect(CodeOK, []string{"apply", f.dir(records)}, "written     create model/small")
}

// Guards against a lost update: another operator writes the same record between
// this operator's read and write.
func TestOperatorsRace(t *testing.T) {
	f := newFixture(t)
	f.expect(CodeOK, []string{"apply", f.dir(records), "--writer", "ann"})
	out, back := strings.ReplaceAll(records, `"in"`, `"out"`), strings.ReplaceAll(records, "Jylland", "Fyn")
	back = strings.Replace(back, "price = 4", "price = 5", 1)
	bob := func() { f.expect(CodeOK, []string{"apply", f.dir(out), "--writer", "bob"}) }
	f.beforeSwap.Store(&bob)
	f.expect(CodeConflict, []string{"apply", f.dir(back), "--writer", "ann"},
		"conflict    update data_centre/dc1 at revision 4 by bob", "written     update model/small at revision 5")
	if d := f.envelope("config/data_centre/dc1"); d.Writer != "bob" || d.Spec.(*config.DataCentre).Region != "Jylland" {
		t.Fatalf("the faster write is lost: %+v", d)
	}
}

// Guards against a second write after a lost response, and against a report
// that claims more than the store shows.
func TestLostResponse(t *testing.T) {
	f := newFixture(t)
	dc := f.dir("[data_centre.dc1]\nregion = \"Fyn\"\nstate = \"in\"")
	f.store.DropRequests(1)
	f.expect(CodeUnknown, []string{"apply", dc}, "unknown     create data_centre/dc1", "run the command again")
	if c := f.store.Counts(); c.Writes != 1 {
		t.Fatalf("%d writes after a dropped request, want 1", c.Writes)
	}
	f.store.LoseResponses(1)
	f.expect(CodeOK, []string{"apply", dc, "--writer", "ann"}, "written     create data_centre/dc1 at revision 1")
	if c := f.store.Counts(); c.Writes != 2 {
		t.Fatalf("%d writes after a lost response, want 2", c.Writes)
	}
	// The response of a write that loses a race is lost too.
	out, gone := f.dir("[data_centre.dc1]\nregion = \"Fyn\"\nstate = \"out\""), f.dir("[data_centre.dc1]\nregion = \"Als\"\nstate = \"in\"")
	bob := func() {
		f.expect(CodeOK, []string{"apply", out, "--writer", "bob"})
		f.store.LoseResponses(1)
	}
	f.beforeSwap.Store(&bob)
	f.expect(CodeConflict, []string{"apply", gone, "--writer", "ann"}, "conflict    update data_centre/dc1 at revision 2 by bob")
}

// Guards against commands that hang or claim success in a store outage.
func TestStoreDown(t *testing.T) {
	f := newFixture(t)
	dir := f.dir(records)
	down := func() { f.store.SetDown(true) }
	f.beforeSwap.Store(&down)
	f.expect(CodeUnavailable, []string{"apply", dir}, "unavailable create data_centre/dc1", "not attempted")
	f.expect(CodeUnavailable, []string{"apply", dir}, "store unavailable")
	f.expect(CodeUnavailable, []string{"status"}, "store: ")
}

// Guards against quarantines that re-applying clears, that are lifted by mistake
// or that name versions which do not exist.
func TestQuarantine(t *testing.T) {
	f := newFixture(t)
	dir := f.dir(records)
	f.expect(CodeOK, []string{"apply", dir})
	f.expect(CodeUsage, []string{"quarantine", "small", "v1"}, "--reason")
	f.expect(CodeNotFound, []string{"quarantine", "small", "v2", "--reason", "r"}, `no version "v2"`)
	f.expect(CodeNotFound, []string{"quarantine", "lift", "small", "v1"}, "not quarantined")
	f.expect(CodeOK, []string{"quarantine", "small", "v1", "--reason", "wrong units"}, "written")
	f.expect(CodeOK, []string{"quarantine", "small", "v1", "--reason", "again"}, "already quarantined")
	f.expect(CodeOK, []string{"apply", dir, "--prune"}, "no differences")
	f.expect(CodeOK, []string{"quarantine", "list"}, "wrong units")
	carl := func() {
		kv, _ := f.store.Get(t.Context(), "state/quarantine/small/v1")
		_, _ = f.store.CompareAndSwap(t.Context(), dialect.Write{Key: kv.Key, ExpectedRevision: kv.Revision,
			Value: bytes.Replace(kv.Value, []byte("wrong units"), []byte("leaks"), 1)})
	}
	f.beforeSwap.Store(&carl)
	f.expect(CodeConflict, []string{"quarantine", "lift", "small", "v1"}, "conflict")
	f.expect(CodeOK, []string{"quarantine", "lift", "small", "v1"}, "written")
	f.expect(CodeOK, []string{"quarantine", "small", "v1", "--reason", "back"}, "written")
}

// Guards against a status that hides processes that are behind and records that
// are not in force.
func TestStatus(t *testing.T) {
	f := newFixture(t)
	f.expect(CodeOK, []string{"apply", f.dir(records)})
	var s status
	if err := json.Unmarshal([]byte(f.expect(CodeOK, []string{"status", "-o", "json"})), &s); err != nil {
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
	f.expect(CodeOK, []string{"status", "--process", current}, "current", "12s", "2 model")
	out := f.expect(CodeDegraded, []string{"status", "-o", "json", "--process", current, "--process", behind, "--process", differs, "--process", f.url})
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
	f.expect(CodeDegraded, []string{"status"}, "unknown schema version 9", "in force: nothing")
	f.expect(CodeInvalid, []string{"apply", f.dir(records), "--prune"}, "use a newer hyssoploom")
}

// Guards against usage errors without the documented exit code, and commands
// without an example.
func TestUsage(t *testing.T) {
	t.Setenv(EnvStore, "")
	for _, args := range [][]string{{"frobnicate"}, {"apply"}, {"get", "dragon", "--store", "http://127.0.0.1:1"}, {"diff", "--frob"},
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
