// Package health tests model versions against their baselines. It collects evidence
// in each process, exchanges it with linked processes, and raises quarantines.
package health

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"hyssoploom/config"
	"hyssoploom/control"
	"hyssoploom/internal/uniqueid"
	"hyssoploom/link"
	"hyssoploom/rollout"
	"hyssoploom/telemetry"
)

// Config holds the dependencies of a Monitor and describes its process.
type Config struct {
	Origin     string // boot ID of the process
	DataCentre string
	Snapshot   *config.Snapshot
	// Broadcast sends a control message to every linked process.
	Broadcast func(link.Control)
	// Processes returns the number of processes of this role in the fleet.
	Processes func() int
	Clock     func() time.Duration // monotonic
	Log       *telemetry.Logger
}

// Monitor holds the evidence and quarantines that one process knows. It is safe for
// concurrent use.
type Monitor struct {
	cfg      Config
	snapshot *config.Snapshot
	log      *telemetry.Logger

	mu          sync.Mutex
	evidence    *rollout.Evidence
	quarantines *rollout.QuarantineSet
	ticks       int
	sent        sentSequences
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

// Record adds an observation of this process and evaluates the observed version. It
// sets the data centre and the time of the observation.
func (m *Monitor) Record(key rollout.VersionKey, o rollout.Observation) {
	o.DataCentre, o.Now = m.cfg.DataCentre, m.cfg.Clock()
	model, ok := m.snapshot.View().Models[key.Model]
	if !ok {
		return
	}
	m.mu.Lock()
	for _, recorded := range rollout.RecordKeys(model, key.Version) {
		if m.shouldRecord(recorded) {
			m.evidence.Record(recorded, o)
		}
	}
	raised := m.evaluate(key)
	m.mu.Unlock()
	m.broadcastQuarantines(raised)
}

// Tick broadcasts the evidence that has changed since it was last sent, and evaluates
// all versions that have a baseline.
func (m *Monitor) Tick() {
	m.mu.Lock()
	delta := m.nextDelta()
	raised := m.evaluateAll()
	m.mu.Unlock()
	if message, ok := m.encodeDelta(delta); ok {
		m.cfg.Broadcast(message)
	}
	m.broadcastQuarantines(raised)
}

// encodeDelta returns the control message for a delta. ok is false if there is
// nothing to send or the delta cannot be encoded.
func (m *Monitor) encodeDelta(delta rollout.Delta) (message link.Control, ok bool) {
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
	if message, ok := m.encodeDelta(m.evidence.DeltaFor(0, m.shouldSend)); ok {
		out = append(out, message)
	}
	if all := m.quarantines.All(); len(all) > 0 {
		out = append(out, control.Encode(control.KindQuarantine, all))
	}
	return out
}

// Handle processes a control message from another process. It reports whether the
// message is of a kind that it handles.
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

// HandleOrReject is like Handle, but returns an error for an unknown kind. It is for
// the last handler of a message.
func (m *Monitor) HandleOrReject(c link.Control) error {
	handled, err := m.Handle(c)
	if err == nil && !handled {
		err = fmt.Errorf("unknown control message kind %q", c.Kind)
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
	raised := m.evaluateAll()
	m.mu.Unlock()
	m.broadcastQuarantines(raised)
	return nil
}

// mergeQuarantines forwards only quarantines that are new to this process, which
// bounds the number of times that a quarantine is sent over each link.
func (m *Monitor) mergeQuarantines(c link.Control) error {
	var received []rollout.Quarantine
	if err := control.Decode(c, &received); err != nil {
		return err
	}
	var added []rollout.Quarantine
	m.mu.Lock()
	for _, q := range received {
		if m.quarantines.Add(q) {
			added = append(added, q)
		}
	}
	m.mu.Unlock()
	m.broadcastQuarantines(added)
	return nil
}

// broadcastQuarantines logs quarantines and sends them to all linked processes,
// without waiting for the store.
func (m *Monitor) broadcastQuarantines(quarantines []rollout.Quarantine) {
	if len(quarantines) == 0 {
		return
	}
	for _, q := range quarantines {
		m.log.Warn("Version is in quarantine.", "model", q.Model, "version", q.Version, "reason", q.Reason)
	}
	m.cfg.Broadcast(control.Encode(control.KindQuarantine, quarantines))
}

// evaluateAll evaluates every version that has a baseline and returns the quarantines
// that this raised. The caller must hold m.mu.
func (m *Monitor) evaluateAll() []rollout.Quarantine {
	var raised []rollout.Quarantine
	for name, model := range m.snapshot.View().Models {
		for _, v := range model.Versions {
			if v.Baseline != "" {
				raised = append(raised, m.evaluate(rollout.VersionKey{Model: name, Version: v.Version})...)
			}
		}
	}
	return raised
}

// evaluate compares one version with its baseline, raises a quarantine if the verdict
// is Bad, and returns it. The caller must hold m.mu.
func (m *Monitor) evaluate(key rollout.VersionKey) []rollout.Quarantine {
	view := m.snapshot.View()
	version, ok := findVersion(view, key)
	if !ok || version.Baseline == "" || m.isQuarantined(view, key) {
		return nil
	}
	revision := view.QuarantineRevision(key.Model, key.Version)
	result := m.evidence.EvaluateVersion(key, version.Baseline, rollout.ComparisonConfig{})
	m.verdicts[key] = result.Verdict
	if result.Verdict != rollout.Bad || !rollout.MayRaise(revision) {
		return nil
	}
	q := rollout.Quarantine{
		Model:        key.Model,
		Version:      key.Version,
		Reason:       fmt.Sprintf("worse than %s by %s", version.Baseline, result.Reason),
		ID:           uniqueid.New(),
		BaseRevision: revision,
	}
	if !m.quarantines.Add(q) {
		return nil
	}
	return []rollout.Quarantine{q}
}

// UnderTest reports whether a version has a baseline, its verdict is not Good, and no
// operator has lifted a quarantine of it.
func (m *Monitor) UnderTest(key rollout.VersionKey) bool {
	view := m.snapshot.View()
	version, ok := findVersion(view, key)
	if !ok || version.Baseline == "" {
		return false
	}
	if view.QuarantineRevision(key.Model, key.Version) > 0 && !view.Quarantined(key.Model, key.Version) {
		return false // an operator lifted the quarantine, which overrides the test
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.verdicts[key] != rollout.Good
}

// targetControlRatings is the number of ratings of the control group from which
// answers of the baseline no longer need a rating. More would add little to the test.
const targetControlRatings = 100

// NeedsRating reports whether an answer of the version has to be rated for a test:
// the version is under test, or it is the baseline of such a version and its control
// group needs more ratings. Without ratings of the baseline the test never ends.
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
		if m.needsControlRatings(rollout.ControlKey(candidate, key.Version)) {
			return true
		}
	}
	return false
}

// needsControlRatings reports whether this process records the control group and the
// group needs more ratings.
func (m *Monitor) needsControlRatings(key rollout.VersionKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shouldRecord(key) && m.evidence.Totals(key).Rated < targetControlRatings
}

// EffectiveBudget returns the part of a version's exposure budget that is available
// now.
func (m *Monitor) EffectiveBudget(key rollout.VersionKey, budget int) int {
	var baseline rollout.VersionKey
	if version, ok := findVersion(m.snapshot.View(), key); ok {
		baseline = rollout.VersionKey{Model: key.Model, Version: version.Baseline}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return rollout.EffectiveBudget(budget, m.evidence.Totals(key), m.evidence.Totals(baseline), m.verdicts[key])
}

// Quarantined reports whether the version is in quarantine, by the record in the
// store or by a quarantine that a process raised.
func (m *Monitor) Quarantined(model, version string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isQuarantined(m.snapshot.View(), rollout.VersionKey{Model: model, Version: version})
}

// isQuarantined is Quarantined for callers that hold m.mu.
func (m *Monitor) isQuarantined(view *config.View, key rollout.VersionKey) bool {
	return m.quarantines.Active(key,
		view.QuarantineRevision(key.Model, key.Version),
		view.Quarantined(key.Model, key.Version))
}

// Pending returns the quarantines that are not in the store yet.
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

// Reconcile drops the evidence and verdicts of versions that were deleted from the
// configuration. It does nothing while the configuration has no models.
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
		if _, ok := findVersion(view, tested); !ok && len(view.Models) > 0 {
			m.evidence.Forget(key)
			delete(m.verdicts, key)
		}
	}
}

func findVersion(view *config.View, key rollout.VersionKey) (*config.ModelVersion, bool) {
	model, ok := view.Models[key.Model]
	if !ok {
		return nil, false
	}
	return model.Version(key.Version)
}

// VersionTest is the state of the test of one version, for operators.
type VersionTest struct {
	Model    string         `json:"model"`
	Version  string         `json:"version"`
	Baseline string         `json:"baseline"`
	Verdict  string         `json:"verdict"`
	Counts   rollout.Counts `json:"counts"`
	Control  rollout.Counts `json:"control"`
}

// VersionTests returns the tests of all versions with a baseline, sorted by version.
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
