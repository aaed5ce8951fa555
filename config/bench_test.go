package config

import (
	"fmt"
	"testing"
)

// fleetRecords returns the records of a fleet of the size expected in two years:
// 650 backend servers, 9 versions of 3 models, 6 data centres, 40 workspaces.
func fleetRecords(tb testing.TB) []Record {
	var specs []Envelope
	for i := range 6 {
		specs = append(specs, Envelope{Kind: KindDataCentre, Name: fmt.Sprintf("dc-%d", i), Spec: &DataCentre{Region: "region-1", State: DataCentreIn}})
	}
	for i := range 3 {
		m := &Model{}
		for v := range 3 {
			m.Versions = append(m.Versions, ModelVersion{Version: fmt.Sprintf("v%d", v), State: VersionActive, Weight: 1, PriceIn: 10, PriceOut: 20})
		}
		specs = append(specs, Envelope{Kind: KindModel, Name: fmt.Sprintf("model-%d", i), Spec: m})
	}
	for i := range 650 {
		specs = append(specs, Envelope{Kind: KindBackendServer, Name: fmt.Sprintf("backend-%03d", i), Spec: &BackendServer{
			VM: fmt.Sprintf("vm-%04d", i), DataCentre: fmt.Sprintf("dc-%d", i%6), AgentAddr: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250+1),
			State: BackendServerIn, ColdLimit: 4, WarmLimit: 64, ChecksFencing: true, Serves: []Placement{{fmt.Sprintf("model-%d", i%3), "v1"}}}})
	}
	for i := range 40 {
		specs = append(specs, Envelope{Kind: KindWorkspace, Name: fmt.Sprintf("workspace-%02d", i), Spec: &Workspace{Weight: 1,
			KeyHashes: []string{fmt.Sprintf("%064x", i)}, Allow: []ModelGrant{{Model: "model-0"}, {Model: "model-1"}}}})
	}
	records := make([]Record, 0, len(specs))
	for i, e := range specs {
		e.SchemaVersion, e.Writer, e.ChangeID = LatestSchema(e.Kind), "operator@console-1", "01JZZZZZZZZZZZZZZZZZZZZZZZ"
		records = append(records, Record{Key: Key(e.Kind, e.Name), Revision: uint64(i + 1), Raw: mustEncode(tb, e)})
	}
	return records
}

// BenchmarkApplyFirstList measures the first full list after a process starts.
func BenchmarkApplyFirstList(b *testing.B) {
	records, bytes := fleetRecords(b), 0
	for _, r := range records {
		bytes += len(r.Key) + len(r.Raw)
	}
	for b.Loop() {
		NewSnapshot().ApplyList(records, 10_000)
	}
	b.ReportMetric(float64(bytes), "list-bytes")
}

// BenchmarkApplyUnchangedList measures a periodic full list without changes.
func BenchmarkApplyUnchangedList(b *testing.B) {
	records, s := fleetRecords(b), NewSnapshot()
	s.ApplyList(records, 10_000)
	for b.Loop() {
		s.ApplyList(records, 10_000)
	}
}

// BenchmarkApplyOneRecord measures the update of a single record.
func BenchmarkApplyOneRecord(b *testing.B) {
	records, s := fleetRecords(b), NewSnapshot()
	s.ApplyList(records, 10_000)
	r := records[100]
	r.Revision = 20_000
	for b.Loop() {
		r.Revision++
		s.Apply([]Record{r})
	}
}
