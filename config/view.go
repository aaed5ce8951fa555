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

// View is the set of records in force. It is immutable: neither the maps nor
// the records may be changed.
type View struct {
	Workspaces     map[string]*Workspace
	Models         map[string]*Model
	Cascades       map[string]*Cascade
	DataCentres    map[string]*DataCentre
	BackendServers map[string]*BackendServer
	Services       map[string]*Service
	// Revision is the highest revision of any record of the snapshot.
	Revision uint64
	Digest   uint64
	// Problems lists records that are not in force as written.
	Problems []Problem

	byKeyHash   map[string]*Workspace
	revisions   map[string]uint64   // by key: revision of the record in force
	quarantines map[string]*held    // by key, including tombstones
	envelopes   map[string]Envelope // by key: records in force
}

// Problem describes a record that is not in force as written.
type Problem struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Reason   string `json:"reason"`
	// UnknownSchema tells that a newer build wrote the record.
	UnknownSchema bool `json:"unknown_schema,omitempty"`
	// InForceRevision is the revision of the last known good record; 0 if there is none.
	InForceRevision uint64 `json:"in_force"`
}

func newView() *View {
	return &View{
		Workspaces: map[string]*Workspace{}, Models: map[string]*Model{}, Cascades: map[string]*Cascade{},
		DataCentres: map[string]*DataCentre{}, BackendServers: map[string]*BackendServer{}, Services: map[string]*Service{},
		byKeyHash: map[string]*Workspace{}, revisions: map[string]uint64{},
		quarantines: map[string]*held{}, envelopes: map[string]Envelope{},
	}
}

// buildView derives the view from the slots; the caller holds the lock.
func buildView(s *Snapshot) *View {
	v := newView()
	v.Revision, v.Digest = s.revision, s.digest
	for key, sl := range s.slots {
		if sl.latest.err != nil {
			v.Problems = append(v.Problems, sl.problem())
		}
		if sl.good == nil {
			continue
		}
		if strings.HasPrefix(key, QuarantinePrefix) {
			v.quarantines[key] = sl.good
		}
		if !sl.good.env.Deleted {
			v.put(key, sl.good.Revision, sl.good.env)
		}
	}
	v.indexKeyHashes()
	slices.SortFunc(v.Problems, func(a, b Problem) int { return cmp.Compare(a.Key, b.Key) })
	return v
}

func (sl slot) problem() Problem {
	p := Problem{Key: sl.latest.Key, Revision: sl.latest.Revision, Reason: sl.latest.err.Error()}
	var schema *SchemaError
	p.UnknownSchema = errors.As(sl.latest.err, &schema)
	if sl.good != nil {
		p.InForceRevision = sl.good.Revision
	}
	return p
}

// put adds one record in force.
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

// indexKeyHashes maps key hashes to workspaces. A hash that two workspaces
// claim identifies neither: choosing one would let its callers use the other's
// models and budget.
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
					Reason: fmt.Sprintf("key hash %s… is claimed by another workspace too and is refused", h[:8])})
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

// RecordRevision returns the revision of the operator record in force, or 0.
func (v *View) RecordRevision(kind Kind, name string) uint64 { return v.revisions[Key(kind, name)] }

// Envelope returns the envelope of the record in force under a key.
func (v *View) Envelope(key string) (Envelope, bool) {
	e, ok := v.envelopes[key]
	return e, ok
}

// Quarantined tells whether a model version is quarantined.
func (v *View) Quarantined(model, version string) bool {
	h := v.quarantines[QuarantineKey(model, version)]
	return h != nil && !h.env.Deleted
}

// QuarantineRevision returns the revision of the quarantine's key, also of a
// tombstone, and 0 if it was never written.
func (v *View) QuarantineRevision(model, version string) uint64 {
	if h := v.quarantines[QuarantineKey(model, version)]; h != nil {
		return h.Revision
	}
	return 0
}

// QuarantineEntry is one quarantine in force.
type QuarantineEntry struct {
	Quarantine
	Writer   string
	Revision uint64
}

// Quarantines lists the quarantines in force by model and version.
func (v *View) Quarantines() []QuarantineEntry {
	var out []QuarantineEntry
	for key, h := range v.quarantines {
		if h.env.Deleted {
			continue
		}
		e := QuarantineEntry{Writer: h.env.Writer, Revision: h.Revision}
		if q, ok := h.env.Spec.(*Quarantine); ok {
			e.Quarantine = *q
		}
		e.Model, e.Version = splitVersion(strings.TrimPrefix(key, QuarantinePrefix))
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b QuarantineEntry) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}

func splitVersion(name string) (model, version string) {
	model, version, _ = strings.Cut(name, "/")
	return model, version
}

// Allows tells whether the workspace may use a model version.
func (w *Workspace) Allows(model, version string) bool {
	for _, g := range w.Allow {
		if g.Model == model && (len(g.Versions) == 0 || slices.Contains(g.Versions, version)) {
			return true
		}
	}
	return false
}

// AllowsCascade tells whether the workspace may use a cascade.
func (w *Workspace) AllowsCascade(name string) bool { return slices.Contains(w.Cascades, name) }

// AllowsService tells whether the workspace may use a plain service.
func (w *Workspace) AllowsService(name string) bool { return slices.Contains(w.Services, name) }

// Version returns one version of the model.
func (m *Model) Version(version string) (*ModelVersion, bool) {
	for i := range m.Versions {
		if m.Versions[i].Version == version {
			return &m.Versions[i], true
		}
	}
	return nil, false
}

// IsRepeatable tells whether a call with this method may be sent again.
func (s *Service) IsRepeatable(method string) bool { return slices.Contains(s.Repeatable, method) }
