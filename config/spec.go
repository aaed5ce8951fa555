package config

import (
	"fmt"
	"time"
)

// Defaults of optional fields.
const (
	DefaultWeight         = 1.0
	DefaultExposureBudget = 20 // unrated answers
	DefaultRatingWait     = 2 * time.Second
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

func (q *Quarantine) setName(n string) { q.Model, q.Version = splitModelVersion(n) }

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
	if c.RatingWait == 0 {
		c.RatingWait = Duration(DefaultRatingWait)
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

// modelV1 is the spec of a model in schema version 1.
type modelV1 struct {
	Versions []modelVersionV1 `json:"versions"`
}

type modelVersionV1 struct {
	Version        string  `json:"version"`
	Withdrawn      bool    `json:"withdrawn"`
	Weight         float64 `json:"weight"`
	Price          int64   `json:"price"` // micro-units per input and output token
	Baseline       string  `json:"baseline,omitempty"`
	ExposureBudget int     `json:"exposure_budget,omitempty"`
}

func (o modelV1) toModel() *Model {
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

// LossyConversionError reports that an older schema version cannot represent a
// record.
type LossyConversionError struct {
	Kind   Kind
	Name   string
	Schema int
	Reason string
}

func (e *LossyConversionError) Error() string {
	return fmt.Sprintf("%s/%s cannot be written as schema %d: %s", e.Kind, e.Name, e.Schema, e.Reason)
}

// toV1 converts the model to schema version 1.
func (m *Model) toV1() (modelV1, error) {
	v1 := modelV1{Versions: make([]modelVersionV1, 0, len(m.Versions))}
	for _, v := range m.Versions {
		if reason := v.unsupportedInV1(); reason != "" {
			return modelV1{}, &LossyConversionError{Kind: KindModel, Name: m.Name, Schema: 1, Reason: reason}
		}
		v1.Versions = append(v1.Versions, modelVersionV1{Version: v.Version, Withdrawn: v.State == VersionWithdrawn,
			Weight: v.Weight, Price: v.PriceIn, Baseline: v.Baseline, ExposureBudget: v.ExposureBudget})
	}
	return v1, nil
}

// unsupportedInV1 describes what schema version 1 cannot represent of the model
// version; it returns "" if the conversion is lossless.
func (v ModelVersion) unsupportedInV1() string {
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
