// Package health keeps the evidence about model versions in one process,
// spreads it to the linked processes, and raises quarantines.
package health

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"hyssoploom/config"
	"hyssoploom/control"
	"hyssoploom/link"
	"hyssoploom/rollout"
	"hyssoploom/telemetry"
)

// Config describes the process that a monitor belongs to.
type Config struct {
	Origin     string // boot id
	DataCentre string
	Snapshot   *config.Snapshot
	// Broadcast sends a control message to every linked process.
	Broadcast func(link.Control)
	// Processes returns the number of processes of this role in the fleet.
	Processes func() int
	Clock     func() time.Duration // monotonic
	Log       *telemetry.Logger
}

// Monitor is safe for concurrent use.
type Monitor struct {
	cfg      Config
	snapshot *config.Snapshot
	log      *telemetry.Logger

	mu          sync.Mutex
	evidence    *rollout.Evidence
	quarantines *rollout.QuarantineSet
	ticks       int
	sent        sentMarks
	verdicts    map[rollout.VersionKey]rollout.Verdict
}

// New returns a Monitor without evidence.
func New(cfg Config) *Monitor {
	return &Monitor{
		cfg:         cfg,
		snapshot:    cfg.Snapshot,
		log:         cfg.Log,
		evidence:    rollout.NewEvidence(cfg.Origin),
		quarantines: rollout.NewQuarantineSet(),
		verdicts:    make(map[rollout.VersionKey]rollout.Verdict),
	}
}

// Record adds one observation of this process and judges the versions that it
// bears on.
func (m *Monitor) Record(key rollout.VersionKey, o rollout.Observation) {
	o.DataCentre, o.Now = m.cfg.DataCentre, m.cfg.Clock()
	model, ok := m.snapshot.View().Models[key.Model]
	if !ok {
		return
	}
	m.mu.Lock()
	for _, recorded := range rollout.RecordKeys(model, key.Version) {
		if m.records(recorded) {
			m.evidence.Record(recorded, o)
		}
	}
	raised := m.judge(key)
	m.mu.Unlock()
	m.announce(raised)
}

// Tick broadcasts what changed since the last tick and judges all versions
// under test.
func (m *Monitor) Tick() {
	m.mu.Lock()
	delta := m.nextDelta()
	raised := m.judgeAll()
	m.mu.Unlock()
	if message, ok := m.encode(delta); ok {
		m.cfg.Broadcast(message)
	}
	m.announce(raised)
}

// encode returns the control message of a delta; ok is false when there is
// nothing to send.
func (m *Monitor) encode(delta rollout.Delta) (message link.Control, ok bool) {
	if delta.Empty() {
		return link.Control{}, false
	}
	body, err := delta.Encode()
	if err != nil {
		m.log.Error("Evidence cannot be encoded.", "error", err.Error())
		return link.Control{}, false
	}
	return link.Control{Kind: control.KindEvidence, Body: body}, true
}

// InitialMessages returns the messages for a peer that has just connected.
func (m *Monitor) InitialMessages() []link.Control {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []link.Control
	if message, ok := m.encode(m.evidence.DeltaFor(0, m.exchanged)); ok {
		out = append(out, message)
	}
	if all := m.quarantines.All(); len(all) > 0 {
		out = append(out, control.Encode(control.KindQuarantine, all))
	}
	return out
}

// Handle takes in a control message of another process. It reports whether
// the kind is one of its own.
func (m *Monitor) Handle(c link.Control) (bool, error) {
	switch c.Kind {
	case control.KindEvidence:
		return true, m.mergeEvidence(c)
	case control.KindQuarantine:
		return true, m.mergeQuarantines(c)
	default:
		return false, nil
	}
}

// HandleOrReject is Handle for the last handler of a message: an unknown kind is an error.
func (m *Monitor) HandleOrReject(c link.Control) error {
	handled, err := m.Handle(c)
	if err == nil && !handled {
		err = fmt.Errorf("unknown kind %q of control message", c.Kind)
	}
	return err
}

func (m *Monitor) mergeEvidence(c link.Control) error {
	delta, err := rollout.DecodeDelta(c.Body)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.evidence.Merge(delta)
	raised := m.judgeAll()
	m.mu.Unlock()
	m.announce(raised)
	return nil
}

// mergeQuarantines forwards only what is new here, so that a quarantine
// crosses each link a bounded number of times.
func (m *Monitor) mergeQuarantines(c link.Control) error {
	var received []rollout.Quarantine
	if err := control.Decode(c, &received); err != nil {
		return err
	}
	var fresh []rollout.Quarantine
	m.mu.Lock()
	for _, q := range received {
		if m.quarantines.Add(q) {
			fresh = append(fresh, q)
		}
	}
	m.mu.Unlock()
	m.announce(fresh)
	return nil
}

// announce spreads quarantines over the links before the store has them.
func (m *Monitor) announce(quarantines []rollout.Quarantine) {
	if len(quarantines) == 0 {
		return
	}
	for _, q := range quarantines {
		m.log.Warn("Version is in quarantine.", "model", q.Model, "version", q.Version, "reason", q.Reason)
	}
	m.cfg.Broadcast(control.Encode(control.KindQuarantine, quarantines))
}

// judgeAll tests every version that has a baseline.
func (m *Monitor) judgeAll() []rollout.Quarantine {
	var raised []rollout.Quarantine
	for name, model := range m.snapshot.View().Models {
		for _, v := range model.Versions {
			if v.Baseline != "" {
				raised = append(raised, m.judge(rollout.VersionKey{Model: name, Version: v.Version})...)
			}
		}
	}
	return raised
}

// judge compares one version with its baseline and raises a quarantine when
// it is bad.
func (m *Monitor) judge(key rollout.VersionKey) []rollout.Quarantine {
	view := m.snapshot.View()
	version, ok := lookup(view, key)
	if !ok || version.Baseline == "" || m.active(view, key) {
		return nil
	}
	revision := view.QuarantineRevision(key.Model, key.Version)
	finding := m.evidence.EvaluateVersion(key, version.Baseline, rollout.TestConfig{})
	m.verdicts[key] = finding.Verdict
	if finding.Verdict != rollout.Bad || !rollout.MayRaise(revision) {
		return nil
	}
	q := rollout.Quarantine{
		Model:        key.Model,
		Version:      key.Version,
		Reason:       fmt.Sprintf("worse than %s by %s", version.Baseline, finding.Reason),
		ID:           ulid.Make().String(),
		BaseRevision: revision,
	}
	if !m.quarantines.Add(q) {
		return nil
	}
	return []rollout.Quarantine{q}
}

// UnderTest reports whether a version still has to prove itself.
func (m *Monitor) UnderTest(key rollout.VersionKey) bool {
	view := m.snapshot.View()
	version, ok := lookup(view, key)
	if !ok || version.Baseline == "" {
		return false
	}
	if view.QuarantineRevision(key.Model, key.Version) > 0 && !view.Quarantined(key.Model, key.Version) {
		return false // an operator lifted the quarantine and vouches for the version
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.verdicts[key] != rollout.Good
}

// controlRatings is how many answers of a baseline are rated during the test of
// a version against it. More would hardly add evidence.
const controlRatings = 100

// NeedsRating reports whether an answer of the version is to be rated although
// nothing waits for the rating: it is under test, or it is the baseline of such
// a version. Without ratings of the baseline the test never ends.
func (m *Monitor) NeedsRating(key rollout.VersionKey) bool {
	if m.UnderTest(key) {
		return true
	}
	model, ok := m.snapshot.View().Models[key.Model]
	if !ok {
		return false
	}
	for _, v := range model.Versions {
		candidate := rollout.VersionKey{Model: key.Model, Version: v.Version}
		if v.Baseline != key.Version || v.State != config.VersionActive || !m.UnderTest(candidate) {
			continue
		}
		if m.recordsControl(rollout.ControlKey(candidate, key.Version)) {
			return true
		}
	}
	return false
}

// recordsControl reports whether this process records the control group and it
// needs more ratings.
func (m *Monitor) recordsControl(key rollout.VersionKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.records(key) && m.evidence.Totals(key).Rated < controlRatings
}

// EffectiveBudget is the part of a version's exposure budget that is open to it now.
func (m *Monitor) EffectiveBudget(key rollout.VersionKey, budget int) int {
	var baseline rollout.VersionKey
	if version, ok := lookup(m.snapshot.View(), key); ok {
		baseline = rollout.VersionKey{Model: key.Model, Version: version.Baseline}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return rollout.EffectiveBudget(budget, m.evidence.Totals(key), m.evidence.Totals(baseline), m.verdicts[key])
}

// Quarantined reports whether the store or a process of the fleet has put the
// version in quarantine.
func (m *Monitor) Quarantined(model, version string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active(m.snapshot.View(), rollout.VersionKey{Model: model, Version: version})
}

func (m *Monitor) active(view *config.View, key rollout.VersionKey) bool {
	return m.quarantines.Active(key,
		view.QuarantineRevision(key.Model, key.Version),
		view.Quarantined(key.Model, key.Version))
}

// Pending returns the quarantines that the store does not have yet.
func (m *Monitor) Pending() []rollout.Quarantine {
	view := m.snapshot.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []rollout.Quarantine
	for _, q := range m.quarantines.All() {
		if view.QuarantineRevision(q.Model, q.Version) <= q.BaseRevision {
			out = append(out, q)
		}
	}
	return out
}

// Reconcile drops what belongs to versions that left the configuration.
func (m *Monitor) Reconcile() {
	view := m.snapshot.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, key := range m.evidence.Versions() {
		// The key of a control group is "baseline|candidate".
		tested := key
		if _, candidate, ok := strings.Cut(key.Version, "|"); ok {
			tested.Version = candidate
		}
		if _, ok := lookup(view, tested); !ok && len(view.Models) > 0 {
			m.evidence.Forget(key)
			delete(m.verdicts, key)
		}
	}
}

func lookup(view *config.View, key rollout.VersionKey) (*config.ModelVersion, bool) {
	model, ok := view.Models[key.Model]
	if !ok {
		return nil, false
	}
	return model.Version(key.Version)
}

// VersionTest is the state of a version under test, for operators.
type VersionTest struct {
	Model    string         `json:"model"`
	Version  string         `json:"version"`
	Baseline string         `json:"baseline"`
	Verdict  string         `json:"verdict"`
	Counts   rollout.Counts `json:"counts"`
	Control  rollout.Counts `json:"control"`
}

// VersionTests returns the state of all versions with a baseline.
func (m *Monitor) VersionTests() []VersionTest {
	out := []VersionTest{}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, model := range m.snapshot.View().Models {
		for _, v := range model.Versions {
			if v.Baseline == "" {
				continue
			}
			key := rollout.VersionKey{Model: name, Version: v.Version}
			out = append(out, VersionTest{
				Model: name, Version: v.Version, Baseline: v.Baseline,
				Verdict: m.verdicts[key].String(),
				Counts:  m.evidence.Totals(key),
				Control: m.evidence.Totals(rollout.ControlKey(key, v.Baseline)),
			})
		}
	}
	slices.SortFunc(out, func(a, b VersionTest) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return out
}
