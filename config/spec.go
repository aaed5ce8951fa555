package config

import (
	"fmt"
	"time"
)

// Defaults of optional fields.
const (
	DefaultWeight         = 1.0
	DefaultExposureBudget = 20 // answers not yet rated
	DefaultRateWait       = 2 * time.Second
	DefaultGrace          = 30 * time.Second
	DefaultServiceTimeout = 30 * time.Second
)

// spec is implemented by the pointer types of all kinds.
type spec interface {
	setName(name string)
	setDefaults()
	check(c *checker)
}

// newSpec returns an empty spec of a known kind.
func newSpec(kind Kind) spec {
	switch kind {
	case KindWorkspace:
		return new(Workspace)
	case KindModel:
		return new(Model)
	case KindCascade:
		return new(Cascade)
	case KindDataCentre:
		return new(DataCentre)
	case KindBackendServer:
		return new(BackendServer)
	case KindService:
		return new(Service)
	case KindQuarantine:
		return new(Quarantine)
	}
	panic(fmt.Sprintf("config: kind %q has schema versions but no type", kind))
}

func (w *Workspace) setName(n string)     { w.Name = n }
func (m *Model) setName(n string)         { m.Name = n }
func (c *Cascade) setName(n string)       { c.Name = n }
func (d *DataCentre) setName(n string)    { d.Name = n }
func (b *BackendServer) setName(n string) { b.Name = n }
func (s *Service) setName(n string)       { s.Name = n }

func (q *Quarantine) setName(n string) { q.Model, q.Version = splitVersion(n) }

func (q *Quarantine) setDefaults()    {}
func (b *BackendServer) setDefaults() {}

func (w *Workspace) setDefaults() {
	if w.Weight == 0 {
		w.Weight = DefaultWeight
	}
}

func (m *Model) setDefaults() {
	for i := range m.Versions {
		v := &m.Versions[i]
		if v.OnWithdraw == "" {
			v.OnWithdraw = WithdrawRefuse
		}
		if v.Baseline != "" && v.ExposureBudget == 0 {
			v.ExposureBudget = DefaultExposureBudget
		}
	}
}

func (c *Cascade) setDefaults() {
	if c.RateWait == 0 {
		c.RateWait = Duration(DefaultRateWait)
	}
	if c.OnRaterDown == "" {
		c.OnRaterDown = RaterDownEscalate
	}
}

func (d *DataCentre) setDefaults() {
	if d.Grace == 0 {
		d.Grace = Duration(DefaultGrace)
	}
}

func (s *Service) setDefaults() {
	if s.Repeatable == nil {
		s.Repeatable = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}
	}
	if s.Timeout == 0 {
		s.Timeout = Duration(DefaultServiceTimeout)
	}
}

// modelV1 is schema 1 of a model.
type modelV1 struct {
	Versions []modelVersionV1 `json:"versions"`
}

type modelVersionV1 struct {
	Version        string  `json:"version"`
	Withdrawn      bool    `json:"withdrawn"`
	Weight         float64 `json:"weight"`
	Price          int64   `json:"price"` // per token, in and out
	Baseline       string  `json:"baseline,omitempty"`
	ExposureBudget int     `json:"exposure_budget,omitempty"`
}

func (o modelV1) model() *Model {
	m := &Model{Versions: make([]ModelVersion, 0, len(o.Versions))}
	for _, v := range o.Versions {
		state := VersionActive
		if v.Withdrawn {
			state = VersionWithdrawn
		}
		m.Versions = append(m.Versions, ModelVersion{Version: v.Version, State: state, OnWithdraw: WithdrawRefuse,
			Weight: v.Weight, PriceIn: v.Price, PriceOut: v.Price, Baseline: v.Baseline, ExposureBudget: v.ExposureBudget})
	}
	return m
}

// LossError reports that an older schema version cannot express a record.
type LossError struct {
	Kind   Kind
	Name   string
	Schema int
	Reason string
}

func (e *LossError) Error() string {
	return fmt.Sprintf("%s/%s cannot be written as schema %d: %s", e.Kind, e.Name, e.Schema, e.Reason)
}

// v1 returns the schema 1 form of the model.
func (m *Model) v1() (modelV1, error) {
	old := modelV1{Versions: make([]modelVersionV1, 0, len(m.Versions))}
	for _, v := range m.Versions {
		if reason := v.lossInV1(); reason != "" {
			return modelV1{}, &LossError{Kind: KindModel, Name: m.Name, Schema: 1, Reason: reason}
		}
		old.Versions = append(old.Versions, modelVersionV1{Version: v.Version, Withdrawn: v.State == VersionWithdrawn,
			Weight: v.Weight, Price: v.PriceIn, Baseline: v.Baseline, ExposureBudget: v.ExposureBudget})
	}
	return old, nil
}

// lossInV1 names what schema 1 cannot express about the version, or "".
func (v ModelVersion) lossInV1() string {
	switch {
	case v.State != VersionActive && v.State != VersionWithdrawn:
		return fmt.Sprintf("version %s has state %q", v.Version, v.State)
	case v.OnWithdraw != "" && v.OnWithdraw != WithdrawRefuse:
		return fmt.Sprintf("version %s has on_withdraw = %q", v.Version, v.OnWithdraw)
	case v.PriceIn != v.PriceOut:
		return fmt.Sprintf("version %s has different prices in and out", v.Version)
	}
	return ""
}
