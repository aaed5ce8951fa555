package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Quarantine is the spec of a quarantine record.
type Quarantine struct {
	Model   string    `json:"-" toml:"-"`
	Version string    `json:"-" toml:"-"`
	Reason  string    `json:"reason"`
	Since   time.Time `json:"since"`
}

// SchemaError reports a schema version that this build does not know.
type SchemaError struct {
	Kind    Kind
	Version int
}

func (e *SchemaError) Error() string {
	return fmt.Sprintf("unknown schema version %d of kind %q", e.Version, e.Kind)
}

// wireEnvelope is an Envelope whose spec is not decoded yet.
type wireEnvelope struct {
	SchemaVersion int             `json:"schema_version"`
	Kind          Kind            `json:"kind"`
	Name          string          `json:"name"`
	Writer        string          `json:"writer"`
	ChangeID      string          `json:"change_id"`
	Deleted       bool            `json:"deleted,omitempty"`
	Spec          json.RawMessage `json:"spec,omitempty"`
}

func (w wireEnvelope) envelope() Envelope {
	return Envelope{SchemaVersion: w.SchemaVersion, Kind: w.Kind, Name: w.Name,
		Writer: w.Writer, ChangeID: w.ChangeID, Deleted: w.Deleted}
}

// SchemaVersions lists the schema versions of a kind that this build reads and
// writes, oldest first.
func SchemaVersions(kind Kind) []int {
	switch kind {
	case KindModel:
		return []int{1, 2}
	case KindWorkspace, KindCascade, KindDataCentre, KindBackendServer, KindService, KindQuarantine:
		return []int{1}
	}
	return nil
}

// LatestSchema returns the newest schema version of a kind, 0 for an unknown kind.
func LatestSchema(kind Kind) int {
	v := SchemaVersions(kind)
	if len(v) == 0 {
		return 0
	}
	return v[len(v)-1]
}

// Decode decodes the value of a key. Spec is set to a pointer to the kind's
// type, with defaults filled in. An empty value means that the store no longer
// has the key. On error, the returned envelope has the fields that could be
// decoded.
func Decode(key string, raw []byte) (Envelope, error) {
	kind, name, err := ParseKey(key)
	if err != nil {
		return Envelope{}, err
	}
	if len(raw) == 0 {
		return Envelope{Kind: kind, Name: name, Deleted: true}, nil
	}
	var w wireEnvelope
	if err := json.Unmarshal(raw, &w); err != nil {
		return Envelope{Kind: kind, Name: name}, fmt.Errorf("envelope: %w", err)
	}
	e := w.envelope()
	if e.Kind != kind || e.Name != name {
		return e, fmt.Errorf("envelope is for %s/%s, which does not match its key", e.Kind, e.Name)
	}
	if e.Deleted {
		return e, nil
	}
	e.Spec, err = decodeSpec(kind, e.SchemaVersion, name, w.Spec)
	return e, err
}

// decodeSpec decodes a spec, fills in its defaults and checks it.
func decodeSpec(kind Kind, schema int, name string, raw []byte) (any, error) {
	if !slices.Contains(SchemaVersions(kind), schema) {
		return nil, &SchemaError{Kind: kind, Version: schema}
	}
	s, err := parseSpec(kind, schema, raw)
	if err != nil {
		return nil, err
	}
	s.setName(name)
	s.setDefaults()
	var c checker
	s.check(&c)
	if len(c.errs) > 0 {
		return nil, errors.Join(c.errs...)
	}
	return s, nil
}

func parseSpec(kind Kind, schema int, raw []byte) (spec, error) {
	if kind == KindModel && schema == 1 {
		var v1 modelV1
		if err := strictJSON(raw, &v1); err != nil {
			return nil, err
		}
		return v1.toModel(), nil
	}
	s := newSpec(kind)
	return s, strictJSON(raw, s)
}

// strictJSON decodes JSON and rejects unknown keys, because a key that this build
// does not know may restrict what the record permits.
func strictJSON(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fieldError(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("spec is followed by more data")
	}
	return nil
}

// fieldError converts an error of encoding/json that names a key to a *FieldError.
func fieldError(err error) error {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return &FieldError{Key: t.Field, Reason: fmt.Sprintf("a %s cannot be used as %s", t.Value, t.Type)}
	}
	if key, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &FieldError{Key: strings.Trim(key, `"`), Reason: "unknown key"}
	}
	return err
}

// Encode returns the JSON form of an envelope in its schema version. It fails
// with *LossyConversionError if that schema version cannot represent the spec.
func Encode(e Envelope) ([]byte, error) {
	if e.Deleted {
		e.Spec = nil
		return json.Marshal(e)
	}
	if !slices.Contains(SchemaVersions(e.Kind), e.SchemaVersion) {
		return nil, &SchemaError{Kind: e.Kind, Version: e.SchemaVersion}
	}
	wire, err := wireSpec(e.SchemaVersion, e.Spec)
	if err != nil {
		return nil, err
	}
	e.Spec = wire
	return json.Marshal(e)
}

// wireSpec returns the value whose JSON form is the spec in a schema version.
func wireSpec(schema int, s any) (any, error) {
	if m, ok := s.(*Model); ok && schema == 1 {
		return m.toV1()
	}
	return s, nil
}
