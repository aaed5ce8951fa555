package embedded

import (
	"time"

	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/standin"
)

// DefaultSpec describes a small fleet of two data centres, each with one entry,
// one engine for each of the models small, medium and large, and one booking
// runner.
func DefaultSpec() Spec {
	var spec Spec
	for _, centre := range []string{"jylland", "sjaelland"} {
		spec.Entries = append(spec.Entries, EntrySpec{Name: "entry-" + centre, DataCentre: centre})
		for _, model := range []string{"small", "medium", "large"} {
			spec.Backends = append(spec.Backends, EngineSpec(model+"-"+centre, centre, model, "1"))
		}
		spec.Backends = append(spec.Backends, BackendSpec{
			Name: "booking-" + centre, DataCentre: centre, Service: "booking", ColdLimit: 4, WarmLimit: 16,
		})
	}
	return spec
}

// EngineSpec describes a backend server with an engine that serves one model
// version.
func EngineSpec(name, dataCentre, model, version string) BackendSpec {
	return BackendSpec{
		Name: name, DataCentre: dataCentre, ColdLimit: 4, WarmLimit: 16,
		Serves: []config.Placement{{Model: model, Version: version}},
		Engine: standin.EngineConfig{
			Loaded:     []dialect.ModelRef{{Model: model, Version: version}},
			TokenDelay: time.Millisecond, Tokens: 12, Resumes: true, ChecksFencing: true,
		},
	}
}
