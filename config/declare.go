package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// schemaKey is the optional key of a declaration that selects its schema version.
const schemaKey = "schema_version"

// Declaration is a record that an operator declares in a TOML file, in a table
// named [kind.name].
type Declaration struct {
	File          string
	Kind          Kind
	Name          string
	SchemaVersion int
	Spec          any // pointer to the kind's type, with defaults filled in
}

// Key returns the store key of the declared record.
func (d Declaration) Key() string { return Key(d.Kind, d.Name) }

// Issue describes a problem of a declaration or of a record in force.
type Issue struct {
	File   string `json:"file,omitempty"`
	Record string `json:"record,omitempty"` // "kind/name"
	Key    string `json:"key,omitempty"`
	Reason string `json:"reason"`
}

func (i Issue) Error() string {
	s := i.Reason
	for _, part := range []string{i.Key, i.Record, i.File} {
		if part != "" {
			s = part + ": " + s
		}
	}
	return s
}

// LoadFS reads the declarations in all *.toml files at the top level of a
// directory and sorts them by kind, in the order of Kinds, and by name. Invalid
// records are skipped and reported as issues.
func LoadFS(fsys fs.FS) ([]Declaration, []Issue) {
	files, err := fs.Glob(fsys, "*.toml")
	if err != nil {
		return nil, []Issue{{Reason: err.Error()}}
	}
	// Glob ignores I/O errors, so an unreadable directory is detected here.
	if _, err := fs.ReadDir(fsys, "."); err != nil {
		return nil, []Issue{{Reason: err.Error()}}
	}
	var decls []Declaration
	var issues []Issue
	for _, file := range files {
		d, i := loadFile(fsys, file)
		decls, issues = append(decls, d...), append(issues, i...)
	}
	issues = append(issues, duplicateIssues(decls)...)
	order := Kinds()
	slices.SortStableFunc(decls, func(a, b Declaration) int {
		if a.Kind != b.Kind {
			return slices.Index(order, a.Kind) - slices.Index(order, b.Kind)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return decls, issues
}

func loadFile(fsys fs.FS, file string) ([]Declaration, []Issue) {
	b, err := fs.ReadFile(fsys, file)
	if err != nil {
		return nil, []Issue{{File: file, Reason: err.Error()}}
	}
	var tables map[string]map[string]map[string]any
	if err := toml.Unmarshal(b, &tables); err != nil {
		return nil, []Issue{tomlIssue(file, err)}
	}
	var decls []Declaration
	var issues []Issue
	for _, kind := range slices.Sorted(maps.Keys(tables)) {
		if !slices.Contains(Kinds(), Kind(kind)) {
			issues = append(issues, Issue{File: file, Key: kind, Reason: fmt.Sprintf("is not a kind; use one of %q", Kinds())})
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(tables[kind])) {
			d, err := parseDeclaration(Kind(kind), name, tables[kind][name])
			if err != nil {
				issues = append(issues, recordIssues(file, Kind(kind), name, err)...)
				continue
			}
			d.File = file
			decls = append(decls, d)
		}
	}
	return decls, issues
}

// tomlIssue reports the position of a syntax error, or of a value where a table
// is expected.
func tomlIssue(file string, err error) Issue {
	var d *toml.DecodeError
	if !errors.As(err, &d) {
		return Issue{File: file, Reason: err.Error()}
	}
	row, column := d.Position()
	i := Issue{File: fmt.Sprintf("%s:%d:%d", file, row, column), Reason: err.Error()}
	if key := d.Key(); len(key) > 0 {
		i.Key = path.Join(key...)
	}
	return i
}

// parseDeclaration converts a TOML table to a declaration. It uses the decoder of
// stored records, so that declarations and stored records accept exactly the same
// specs.
func parseDeclaration(kind Kind, name string, table map[string]any) (Declaration, error) {
	d := Declaration{Kind: kind, Name: name, SchemaVersion: LatestSchema(kind)}
	if v, ok := table[schemaKey]; ok {
		n, isInt := v.(int64)
		if !isInt {
			return d, &FieldError{Key: schemaKey, Reason: "is not an integer"}
		}
		d.SchemaVersion = int(n)
		delete(table, schemaKey)
	}
	raw, err := json.Marshal(table)
	if err != nil {
		return d, err
	}
	d.Spec, err = decodeSpec(kind, d.SchemaVersion, name, raw)
	return d, err
}

// recordIssues returns an issue for each of the errors that err joins.
func recordIssues(file string, kind Kind, name string, err error) []Issue {
	errs := []error{err}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		errs = joined.Unwrap()
	}
	issues := make([]Issue, 0, len(errs))
	for _, err := range errs {
		i := Issue{File: file, Record: recordName(kind, name), Reason: err.Error()}
		var field *FieldError
		var schema *SchemaError
		switch {
		case errors.As(err, &field):
			i.Key, i.Reason = field.Key, field.Reason
		case errors.As(err, &schema):
			i.Key = schemaKey
		}
		issues = append(issues, i)
	}
	return issues
}

func recordName(kind Kind, name string) string { return string(kind) + "/" + name }

// duplicateIssues reports records that several files declare.
func duplicateIssues(decls []Declaration) []Issue {
	first := map[string]string{}
	var issues []Issue
	for _, d := range decls {
		if file, ok := first[d.Key()]; ok {
			issues = append(issues, Issue{File: d.File, Record: recordName(d.Kind, d.Name),
				Reason: "is declared in " + file + " too"})
			continue
		}
		first[d.Key()] = d.File
	}
	return issues
}

// EncodeTOML returns the TOML declaration of a record in a schema version. It
// fails with *LossyConversionError if that schema version cannot represent the
// record.
func EncodeTOML(kind Kind, name string, schema int, spec any) ([]byte, error) {
	wire, err := wireSpec(schema, spec)
	if err != nil {
		return nil, err
	}
	table, ok := tomlTree(jsonTree(wire)).(map[string]any)
	if !ok {
		return nil, fmt.Errorf("%s/%s has no spec", kind, name)
	}
	table[schemaKey] = schema
	return toml.Marshal(map[Kind]map[string]any{kind: {name: table}})
}

// tomlTree prepares a JSON tree for the TOML encoder: it replaces json.Number,
// which would be written as a string, and removes null, which TOML does not have.
func tomlTree(t any) any {
	switch t := t.(type) {
	case map[string]any:
		for k, v := range t {
			t[k] = tomlTree(v)
			if v == nil {
				delete(t, k)
			}
		}
	case []any:
		for i, v := range t {
			t[i] = tomlTree(v)
		}
	case json.Number:
		if n, err := t.Int64(); err == nil {
			return n
		}
		f, _ := t.Float64() // the JSON decoder has checked the syntax
		return f
	}
	return t
}
