package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// View is an immutable set of the records in force. Callers must not modify its
// maps or records.
type View struct {
	Workspaces     map[string]*Workspace
	Models         map[string]*Model
	Cascades       map[string]*Cascade
	DataCentres    map[string]*DataCentre
	BackendServers map[string]*BackendServer
	Services       map[string]*Service
	// Revision and Digest are those of the snapshot.
	Revision uint64
	Digest   uint64
	// Problems lists records that are not in force as written.
	Problems []Problem

	byKeyHash   map[string]*Workspace     // by hash of an API key
	revisions   map[string]uint64         // by key: revision of the record in force
	quarantines map[string]*decodedRecord // by key, including tombstones
	envelopes   map[string]Envelope       // by key: records in force
}

// Problem describes a record that is not in force as written.
type Problem struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
	// UnknownSchema reports that the record has a schema version that this build
	// does not know, so a newer build wrote it.
	UnknownSchema bool `json:"unknown_schema,omitempty"`
	// InForceRevision is the revision of the last known good record; 0 if there is none.
	InForceRevision uint64 `json:"in_force"`
}

func newView() *View {
	return &View{
		Workspaces: map[string]*Workspace{}, Models: map[string]*Model{}, Cascades: map[string]*Cascade{},
		DataCentres: map[string]*DataCentre{}, BackendServers: map[string]*BackendServer{}, Services: map[string]*Service{},
		byKeyHash: map[string]*Workspace{}, revisions: map[string]uint64{},
		quarantines: map[string]*decodedRecord{}, envelopes: map[string]Envelope{},
	}
}

// buildView builds the view from the states of the keys. The caller holds s.mu,
// unless no other goroutine has s yet.
func buildView(s *Snapshot) *View {
	v := newView()
	v.Revision, v.Digest = s.revision, s.digest
	for key, state := range s.states {
		if state.latest.decodeErr != nil {
			v.Problems = append(v.Problems, state.problem())
		}
		if state.lastUsable == nil {
			continue
		}
		if strings.HasPrefix(key, QuarantinePrefix) {
			v.quarantines[key] = state.lastUsable
		}
		if !state.lastUsable.envelope.Deleted {
			v.put(key, state.lastUsable.Revision, state.lastUsable.envelope)
		}
	}
	v.indexKeyHashes()
	slices.SortFunc(v.Problems, func(a, b Problem) int { return cmp.Compare(a.Key, b.Key) })
	return v
}

func (k keyState) problem() Problem {
	p := Problem{Key: k.latest.Key, Revision: k.latest.Revision, Reason: k.latest.decodeErr.Error()}
	var schema *SchemaError
	p.UnknownSchema = errors.As(k.latest.decodeErr, &schema)
	if k.lastUsable != nil {
		p.InForceRevision = k.lastUsable.Revision
	}
	return p
}

// put adds a record to the records in force.
func (v *View) put(key string, revision uint64, e Envelope) {
	v.revisions[key], v.envelopes[key] = revision, e
	switch s := e.Spec.(type) {
	case *Workspace:
		v.Workspaces[e.Name] = s
	case *Model:
		v.Models[e.Name] = s
	case *Cascade:
		v.Cascades[e.Name] = s
	case *DataCentre:
		v.DataCentres[e.Name] = s
	case *BackendServer:
		v.BackendServers[e.Name] = s
	case *Service:
		v.Services[e.Name] = s
	}
}

// indexKeyHashes maps key hashes to workspaces. A hash that two workspaces list
// identifies neither of them: choosing one would let the callers of the other use
// its models and budget.
func (v *View) indexKeyHashes() {
	ambiguous := map[string]bool{}
	for _, w := range v.Workspaces {
		for _, h := range w.KeyHashes {
			if other, ok := v.byKeyHash[h]; ok && other != w {
				ambiguous[h] = true
			}
			v.byKeyHash[h] = w
		}
	}
	for h := range ambiguous {
		delete(v.byKeyHash, h)
	}
	for name, w := range v.Workspaces {
		for _, h := range w.KeyHashes {
			if ambiguous[h] {
				key := Key(KindWorkspace, name)
				v.Problems = append(v.Problems, Problem{Key: key, Revision: v.revisions[key], InForceRevision: v.revisions[key],
					Reason: fmt.Sprintf("key hash %s… is also listed by another workspace and is rejected", h[:8])})
			}
		}
	}
}

// WorkspaceByKey returns the workspace that an API key identifies.
func (v *View) WorkspaceByKey(apiKey string) (*Workspace, bool) {
	sum := sha256.Sum256([]byte(apiKey))
	w, ok := v.byKeyHash[hex.EncodeToString(sum[:])]
	return w, ok
}

// RecordRevision returns the revision of the operator record in force, or 0 if
// there is none.
func (v *View) RecordRevision(kind Kind, name string) uint64 { return v.revisions[Key(kind, name)] }

// Envelope returns the envelope of the record in force under a key.
func (v *View) Envelope(key string) (Envelope, bool) {
	e, ok := v.envelopes[key]
	return e, ok
}

// Quarantined reports whether a model version is quarantined.
func (v *View) Quarantined(model, version string) bool {
	h := v.quarantines[QuarantineKey(model, version)]
	return h != nil && !h.envelope.Deleted
}

// QuarantineRevision returns the revision of the quarantine record or of its
// tombstone, or 0 if there is neither.
func (v *View) QuarantineRevision(model, version string) uint64 {
	if h := v.quarantines[QuarantineKey(model, version)]; h != nil {
		return h.Revision
	}
	return 0
}

// QuarantineEntry is a quarantine in force with the writer and revision of its
// record.
type QuarantineEntry struct {
	Quarantine
	Writer   string
	Revision uint64
}

// Quarantines returns the quarantines in force, sorted by model and version.
func (v *View) Quarantines() []QuarantineEntry {
	var out []QuarantineEntry
	for key, h := range v.quarantines {
		if h.envelope.Deleted {
			continue
		}
		e := QuarantineEntry{Writer: h.envelope.Writer, Revision: h.Revision}
		if q, ok := h.envelope.Spec.(*Quarantine); ok {
			e.Quarantine = *q
		}
		e.Model, e.Version = splitModelVersion(strings.TrimPrefix(key, QuarantinePrefix))
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b QuarantineEntry) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}

func splitModelVersion(name string) (model, version string) {
	model, version, _ = strings.Cut(name, "/")
	return model, version
}

// Allows reports whether the workspace may use a model version.
func (w *Workspace) Allows(model, version string) bool {
	for _, g := range w.Allow {
		if g.Model == model && (len(g.Versions) == 0 || slices.Contains(g.Versions, version)) {
			return true
		}
	}
	return false
}

// AllowsCascade reports whether the workspace may use a cascade.
func (w *Workspace) AllowsCascade(name string) bool { return slices.Contains(w.Cascades, name) }

// AllowsService reports whether the workspace may use a plain service.
func (w *Workspace) AllowsService(name string) bool { return slices.Contains(w.Services, name) }

// Version returns the version of the model with the given name.
func (m *Model) Version(version string) (*ModelVersion, bool) {
	for i := range m.Versions {
		if m.Versions[i].Version == version {
			return &m.Versions[i], true
		}
	}
	return nil, false
}

// IsRepeatable reports whether a call with this method may be sent again.
func (s *Service) IsRepeatable(method string) bool { return slices.Contains(s.Repeatable, method) }
