package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Op is the operation of a change.
type Op string

// The operations of a change.
const (
	OpCreate Op = "create"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	// OpBlocked marks a record that this build must not overwrite: its schema
	// version is unknown and may hold data that this build cannot read.
	OpBlocked Op = "blocked"
)

// FieldChange holds the old and new value of a field that differs.
type FieldChange struct {
	Path string `json:"path"`
	Old  any    `json:"old,omitempty"`
	New  any    `json:"new,omitempty"`
}

// Change is the difference between a declaration and the store's record.
type Change struct {
	Op   Op     `json:"op"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Revision is the store revision that the change is based on; 0 if the
	// store does not have the key.
	Revision uint64 `json:"revision"`
	// Writer wrote that revision.
	Writer string        `json:"writer,omitempty"`
	Fields []FieldChange `json:"fields,omitempty"`
	Reason string        `json:"reason,omitempty"` // with OpBlocked
	// Declaration is nil with OpDelete.
	Declaration *Declaration `json:"-"`
}

// Record returns "kind/name".
func (c Change) Record() string { return recordName(c.Kind, c.Name) }

// Diff returns the changes that make the store's records equal to the
// declarations, in the order in which they can be written: creations and
// updates as sorted by LoadFS, then deletions, each record before those that it
// refers to. Records that are not declared are deleted only with prune.
func Diff(s *Snapshot, decls []Declaration, prune bool) []Change {
	var changes []Change
	declared := map[string]bool{}
	for i := range decls {
		declared[decls[i].Key()] = true
		if c, differs := diffRecord(s, &decls[i]); differs {
			changes = append(changes, c)
		}
	}
	if prune {
		changes = append(changes, deletions(s, declared)...)
	}
	return changes
}

// diffRecord returns the change that a declaration makes to its record, and
// whether there is one.
func diffRecord(s *Snapshot, d *Declaration) (Change, bool) {
	c := Change{Op: OpCreate, Kind: d.Kind, Name: d.Name, Declaration: d}
	var old any
	if r, ok := s.Get(d.Key()); ok && len(r.Raw) > 0 {
		e, err := Decode(r.Key, r.Raw)
		c.Revision, c.Writer = r.Revision, e.Writer
		var schema *SchemaError
		switch {
		case errors.As(err, &schema):
			c.Op, c.Reason = OpBlocked, err.Error()
			return c, true
		case err != nil || !e.Deleted:
			c.Op, old = OpUpdate, e.Spec
		}
		if c.Op == OpUpdate && e.SchemaVersion != d.SchemaVersion {
			c.Fields = append(c.Fields, FieldChange{Path: schemaKey, Old: e.SchemaVersion, New: d.SchemaVersion})
		}
	}
	c.Fields = append(c.Fields, diffFields(old, d.Spec)...)
	return c, c.Op == OpCreate || len(c.Fields) > 0
}

// deletions returns the deletion of each operator record that is not declared.
func deletions(s *Snapshot, declared map[string]bool) []Change {
	var changes []Change
	for _, r := range s.Records() {
		newest, _ := s.Get(r.Key)
		if !strings.HasPrefix(r.Key, RecordPrefix) || declared[r.Key] || len(r.Raw) == 0 || newest.Revision != r.Revision {
			continue
		}
		e, err := Decode(r.Key, r.Raw)
		if e.Deleted {
			continue
		}
		kind, name, keyErr := ParseKey(r.Key)
		c := Change{Op: OpDelete, Kind: kind, Name: name, Revision: r.Revision, Writer: e.Writer}
		var schema *SchemaError
		if errors.As(err, &schema) || keyErr != nil {
			c.Op, c.Reason = OpBlocked, err.Error()
		}
		changes = append(changes, c)
	}
	order := Kinds()
	slices.SortStableFunc(changes, func(a, b Change) int {
		if a.Kind != b.Kind {
			return slices.Index(order, b.Kind) - slices.Index(order, a.Kind)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return changes
}

// diffFields compares the JSON forms of two specs. A nil spec has no fields.
func diffFields(old, new any) []FieldChange {
	a, b := map[string]any{}, map[string]any{}
	flatten("", jsonTree(old), a)
	flatten("", jsonTree(new), b)
	paths := map[string]bool{}
	for p := range a {
		paths[p] = true
	}
	for p := range b {
		paths[p] = true
	}
	var out []FieldChange
	for _, p := range slices.Sorted(maps.Keys(paths)) {
		if a[p] != b[p] {
			out = append(out, FieldChange{Path: p, Old: a[p], New: b[p]})
		}
	}
	return out
}

// jsonTree returns the JSON form of a spec as maps, slices and scalars.
func jsonTree(spec any) any {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(fmt.Sprintf("config: encode spec %T as JSON: %v", spec, err))
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var t any
	if err := d.Decode(&t); err != nil {
		panic(fmt.Sprintf("config: decode JSON form of spec %T: %v", spec, err))
	}
	return t
}

// flatten stores the scalars of a JSON tree under their paths.
func flatten(path string, t any, into map[string]any) {
	switch t := t.(type) {
	case map[string]any:
		for k, v := range t {
			flatten(strings.TrimPrefix(path+"."+k, "."), v, into)
		}
	case []any:
		for i, v := range t {
			flatten(fmt.Sprintf("%s[%d]", path, i), v, into)
		}
	case nil:
	default:
		into[path] = t
	}
}
