package config

import (
	"strings"
	"testing"
	"testing/fstest"

	"github.com/google/go-cmp/cmp"
)

const validTOML = `
[data_centre.dc1]
region = "Sjælland"
state = "in"

[model.small]
schema_version = 1
versions = [{ version = "v1", withdrawn = false, weight = 1, price = 4 }]

[model.large]
versions = [
  { version = "v1", state = "active", weight = 0.5, price_in = 10, price_out = 12 },
  { version = "v2", state = "active", weight = 0.5, price_in = 10, price_out = 12, baseline = "v1" },
]

[cascade.auto]
stages = ["small", "large"]
quality_target = 0.9
rate_wait = "1.5s"

[service.booking]
price = 100

[backend_server.gpu-1]
vm = "vm-1"
data_centre = "dc1"
agent_addr = "127.0.0.1:7101"
state = "in"
cold_limit = 2
warm_limit = 16
serves = [{ model = "small", version = "v1" }, { model = "large", version = "v2" }]

[workspace.acme]
key_hashes = ["2bd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90"]
allow = [{ model = "small" }, { model = "large", versions = ["v1"] }]
cascades = ["auto"]
services = ["booking"]
`

// declarationFS returns a directory with the given TOML files, named a.toml, b.toml
// and so on, and a file of another type.
func declarationFS(files ...string) fstest.MapFS {
	d := fstest.MapFS{"README.md": {Data: []byte("not TOML")}}
	for i, f := range files {
		d[string(rune('a'+i))+".toml"] = &fstest.MapFile{Data: []byte(f)}
	}
	return d
}

// issuesOf returns the issues of a directory: first those of single files, then
// those of the resulting view.
func issuesOf(files ...string) []Issue {
	decls, issues := LoadFS(declarationFS(files...))
	return append(issues, ValidateChange(NewSnapshot().View(), decls, false)...)
}

// Guards against invalid declarations that the apply command would write, and
// against issues that do not name the file, record, key and reason.
func TestIssues(t *testing.T) {
	if issues := issuesOf(validTOML); len(issues) > 0 {
		t.Fatalf("valid directory has issues: %v", issues)
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"syntax":            {`[service.booking]`, `[service.booking`, `a.toml:21:17: toml: expected`},
		"not a kind":        {`[service.booking]`, `[servise.booking]`, `a.toml: servise: is not a kind`},
		"not a table":       {`[service.booking]`, `[service]`, `a.toml:22:9: service/price: toml:`},
		"unknown key":       {`price = 100`, `prise = 100`, `a.toml: service/booking: prise: unknown key`},
		"wrong type":        {`price = 100`, `price = "100"`, `a.toml: service/booking: price: a string cannot be used as int64`},
		"not a number":      {`quality_target = 0.9`, `quality_target = nan`, `a.toml: cascade/auto: json: unsupported value: NaN`},
		"duration":          {`"1.5s"`, `"soon"`, `a.toml: cascade/auto: time: invalid duration`},
		"unknown schema":    {`schema_version = 1`, `schema_version = 3`, `a.toml: model/small: schema_version: unknown schema version 3`},
		"key of schema 2":   {`withdrawn = false`, `state = "active"`, `a.toml: model/small: state: unknown key`},
		"record name":       {`[service.booking]`, `[service."a/b"]`, `a.toml: service/a/b: name: "a/b" is not a valid name`},
		"missing state":     {"Sjælland\"\nstate = \"in\"", "Sjælland\"", `a.toml: data_centre/dc1: state: is missing; use one of ["in" "out"]`},
		"bad state":         {"Sjælland\"\nstate = \"in\"", "Sjælland\"\nstate = \"off\"", `a.toml: data_centre/dc1: state: "off" is not one of`},
		"limits":            {`cold_limit = 2`, `cold_limit = 17`, `a.toml: backend_server/gpu-1: cold_limit: 17 is not between 1 and 16`},
		"weight":            {`weight = 1,`, `weight = -1,`, `a.toml: model/small: versions[0].weight: -1 is not between 0 and 1000`},
		"target":            {`quality_target = 0.9`, `quality_target = 1.1`, `a.toml: cascade/auto: quality_target: 1.1 is not above 0`},
		"agent address":     {`127.0.0.1:7101`, `localhost:7101`, `a.toml: backend_server/gpu-1: agent_addr: "localhost:7101" is not an IP address`},
		"key hash":          {`"2bd8`, `"2BD8`, `a.toml: workspace/acme: key_hashes: "2BD8`},
		"baseline":          {`baseline = "v1"`, `baseline = "v3"`, `a.toml: model/large: versions[1].baseline: "v3" is not another version`},
		"repeated version":  {`version = "v2", state`, `version = "v1", state`, `a.toml: model/large: versions: v1 is listed twice`},
		"unknown centre":    {`data_centre = "dc1"`, `data_centre = "dc2"`, `a.toml: backend_server/gpu-1: data_centre: unknown data_centre "dc2"`},
		"unknown model":     {`["small", "large"]`, `["small", "huge"]`, `a.toml: cascade/auto: stages: unknown model "huge"`},
		"unknown version":   {`versions = ["v1"]`, `versions = ["v9"]`, `a.toml: workspace/acme: allow[1].versions: model "large" has no version "v9"`},
		"unplaced version":  {`version = "v2" }]`, `version = "v8" }]`, `a.toml: backend_server/gpu-1: serves[1]: model "large" has no version "v8"`},
		"name of a model":   {`[cascade.auto]`, `[cascade.small]`, `a.toml: cascade/small: name: is also the name of a model`},
		"unknown cascade":   {`cascades = ["auto"]`, `cascades = ["x"]`, `a.toml: workspace/acme: cascades: unknown cascade "x"`},
		"stage not allowed": {`allow = [{ model = "small" }, `, `allow = [`, `a.toml: workspace/acme: cascades: cascade "auto" uses model "small"`},
	} {
		text := strings.Replace(validTOML, c.old, c.new, 1)
		issues := issuesOf(text)
		if text == validTOML || len(issues) == 0 || !strings.HasPrefix(issues[0].Error(), c.want) {
			t.Errorf("%s: issues are %q, want %q first", name, issues, c.want)
		}
	}
}

// Guards against a record that two files declare, and against a key hash or agent
// address that two records share.
func TestDuplicates(t *testing.T) {
	for want, file := range map[string]string{
		"b.toml: service/booking: is declared in a.toml too": "[service.booking]\n",
		"b.toml: workspace/b: key_hashes: 2bd806c9… also belongs to workspace \"acme\"": "[workspace.b]\nallow = []\n" +
			`key_hashes = ["2bd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90"]`,
		"b.toml: backend_server/gpu-2: agent_addr: 127.0.0.1:7101 also belongs to backend server \"gpu-1\"": "[backend_server.gpu-2]\n" +
			"vm = \"v\"\ndata_centre = \"dc1\"\nagent_addr = \"127.0.0.1:7101\"\nstate = \"out\"\ncold_limit = 1\nwarm_limit = 1",
	} {
		issues := issuesOf(validTOML, file)
		if len(issues) != 1 || issues[0].Error() != want {
			t.Errorf("issues are %q, want %q", issues, want)
		}
	}
}

// snapshotOf returns a snapshot that holds the declarations.
func snapshotOf(t *testing.T, decls []Declaration) *Snapshot {
	s := NewSnapshot()
	for i, d := range decls {
		s.Apply([]Record{{Key: d.Key(), Revision: uint64(i + 1), Raw: mustEncode(t, Envelope{SchemaVersion: d.SchemaVersion,
			Kind: d.Kind, Name: d.Name, Writer: "w", Spec: d.Spec})}})
	}
	return s
}

// Guards against changes that are reported for equal records or missed for
// different ones, and against overwriting a record that a newer build wrote.
func TestDiff(t *testing.T) {
	decls, _ := LoadFS(declarationFS(validTOML))
	s := snapshotOf(t, decls)
	if c := Diff(s, decls, true); len(c) > 0 {
		t.Fatalf("equal records differ: %+v", c)
	}
	changed := strings.NewReplacer("schema_version = 1\n", "", "withdrawn = false", `state = "draining"`, "price = 4", "price_in = 4, price_out = 4",
		"[service.booking]\nprice = 100", "", "services = [\"booking\"]", "").Replace(validTOML) + "[data_centre.dc2]\nregion = \"r\"\nstate = \"in\""
	next, issues := LoadFS(declarationFS(changed))
	if len(issues) > 0 {
		t.Fatal(issues)
	}
	s.Apply([]Record{unknownSchema(t, "dc1", 50)})
	var got []string
	for _, c := range Diff(s, next, true) {
		line := string(c.Op) + " " + c.Record()
		for _, f := range c.Fields {
			line += " " + f.Path
		}
		got = append(got, line)
	}
	want := []string{"blocked data_centre/dc1", "create data_centre/dc2 grace region state",
		"update model/small schema_version versions[0].state", "update workspace/acme services[0]", "delete service/booking"}
	if d := cmp.Diff(want, got); d != "" {
		t.Fatalf("changes differ: %s", d)
	}
	if i := ValidateChange(s.View(), next[:1], true); len(i) != 0 {
		t.Fatalf("a directory without references to other records has issues: %v", i)
	}
}

// Guards against TOML that the get command prints but the apply command does not
// accept or decodes differently.
func TestEncodeTOML(t *testing.T) {
	decls, _ := LoadFS(declarationFS(validTOML + "[workspace.empty]\n"))
	for _, d := range decls {
		b, err := EncodeTOML(d.Kind, d.Name, d.SchemaVersion, d.Spec)
		if err != nil {
			t.Fatal(err)
		}
		again, issues := LoadFS(declarationFS(string(b)))
		if len(issues) > 0 || len(again) != 1 || !cmp.Equal(again[0], Declaration{File: "a.toml", Kind: d.Kind, Name: d.Name,
			SchemaVersion: d.SchemaVersion, Spec: d.Spec}) {
			t.Errorf("%s\nis decoded as %+v, %v", b, again, issues)
		}
	}
}
