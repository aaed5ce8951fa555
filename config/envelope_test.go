package config

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	modelSchema1 = `{"schema_version":1,"kind":"model","name":"m","writer":"w","change_id":"c",` +
		`"spec":{"versions":[{"version":"1","withdrawn":true,"weight":0,"price":3},{"version":"2","withdrawn":false,"weight":1,"price":4,"baseline":"1","exposure_budget":20}]}}`
	modelSchema2 = `{"schema_version":2,"kind":"model","name":"m","writer":"w","change_id":"c",` +
		`"spec":{"versions":[{"version":"1","state":"withdrawn","on_withdraw":"refuse","weight":0,"price_in":3,"price_out":3},` +
		`{"version":"2","state":"active","on_withdraw":"refuse","weight":1,"price_in":4,"price_out":4,"baseline":"1","exposure_budget":20}]}}`
)

// Guards against equivalent records of schema versions 1 and 2 that decode to
// different models, and against a conversion that loses information.
func TestModelSchemas(t *testing.T) {
	key := Key(KindModel, "m")
	a, errA := Decode(key, []byte(modelSchema1))
	b, errB := Decode(key, []byte(modelSchema2))
	if err := errors.Join(errA, errB); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(a.Spec, b.Spec); d != "" {
		t.Fatalf("schemas 1 and 2 differ: %s", d)
	}
	for schema, want := range map[int]string{1: modelSchema1, 2: modelSchema2} {
		a.SchemaVersion = schema
		if got := string(mustEncode(t, a)); got != want {
			t.Errorf("schema %d:\n got %s\nwant %s", schema, got, want)
		}
	}
	for name, change := range map[string]func(*ModelVersion){
		"state":       func(v *ModelVersion) { v.State = VersionDraining },
		"on_withdraw": func(v *ModelVersion) { v.OnWithdraw = WithdrawRepin },
		"prices":      func(v *ModelVersion) { v.PriceOut++ },
	} {
		e, _ := Decode(key, []byte(modelSchema2))
		e.SchemaVersion = 1
		change(&e.Spec.(*Model).Versions[1])
		var loss *LossyConversionError
		if _, err := Encode(e); !errors.As(err, &loss) {
			t.Errorf("%s: Encode as schema 1 = %v, want LossyConversionError", name, err)
		}
	}
}

// Guards against invalid records that are decoded without an error.
func TestDecodeRejectsInvalidRecords(t *testing.T) {
	for name, c := range map[string]struct{ key, raw string }{
		"not JSON":          {"config/model/m", `{`},
		"other name":        {"config/model/n", modelSchema2},
		"foreign key":       {"once/a/b", modelSchema2},
		"unknown kind":      {"config/dragon/m", `{"schema_version":1,"kind":"dragon","name":"m"}`},
		"unknown field":     {"config/service/s", `{"schema_version":1,"kind":"service","name":"s","spec":{"deny":true}}`},
		"wrong type":        {"config/service/s", `{"schema_version":1,"kind":"service","name":"s","spec":{"price":"4"}}`},
		"out of range":      {"config/service/s", `{"schema_version":1,"kind":"service","name":"s","spec":{"price":-1}}`},
		"no spec":           {"config/service/s", `{"schema_version":1,"kind":"service","name":"s"}`},
		"schema 2 key in 1": {"config/model/m", `{"schema_version":1,"kind":"model","name":"m","spec":{"versions":[{"version":"1","state":"active"}]}}`},
	} {
		if e, err := Decode(c.key, []byte(c.raw)); err == nil {
			t.Errorf("%s: decoded to %+v", name, e)
		}
	}
}

// Guards against a decoder that panics, and against decoded records that change in
// a round trip, so that processes would use different records.
func FuzzDecode(f *testing.F) {
	f.Add("config/model/m", []byte(modelSchema1))
	f.Add("config/model/m", []byte(modelSchema2))
	f.Add("config/data_centre/a", dataCentre(f, "a", 1).Raw)
	f.Add("config/data_centre/a", tombstone(f, "a", 1).Raw)
	f.Add("config/data_centre/a", unknownSchema(f, "a", 1).Raw)
	f.Add("state/quarantine/m/1", []byte(`{"schema_version":1,"kind":"quarantine","name":"m/1","spec":{"reason":"r","since":"2026-01-01T00:00:00Z"}}`))
	f.Add("config/workspace/w", []byte(`{"schema_version":1,"kind":"workspace","name":"w","spec":{"key_hashes":[],"allow":[{"model":"m"}],"weight":1e3}}`))
	f.Add("config/backend_server/b", []byte(`{"schema_version":1,"kind":"backend_server","name":"b","spec":{"vm":"v","data_centre":"a","agent_addr":"[::1]:1","state":"in","cold_limit":1,"warm_limit":2}}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		NewSnapshot().Apply([]Record{{Key: key, Revision: 1, Raw: value}})
		e, err := Decode(key, value)
		if err != nil || len(value) == 0 {
			return
		}
		first, err := Encode(e)
		if err != nil {
			t.Fatalf("decoded record cannot be encoded: %v", err)
		}
		again, err := Decode(key, first)
		if err != nil {
			t.Fatalf("encoded record %s cannot be decoded: %v", first, err)
		}
		if second, err := Encode(again); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("round trip changes %s to %s (%v)", first, second, err)
		}
	})
}
