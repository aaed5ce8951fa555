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

// Config describes the process that a keeper belongs to.
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

// Keeper is safe for concurrent use.
type Keeper struct {
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

// New returns a keeper without evidence.
func New(cfg Config) *Keeper {
	return &Keeper{
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
func (k *Keeper) Record(key rollout.VersionKey, o rollout.Observation) {
	o.DataCentre, o.Now = k.cfg.DataCentre, k.cfg.Clock()
	model, ok := k.snapshot.View().Models[key.Model]
	if !ok {
		return
	}
	k.mu.Lock()
	for _, recorded := range rollout.RecordKeys(model, key.Version) {
		if k.records(recorded) {
			k.evidence.Record(recorded, o)
		}
	}
	raised := k.judge(key)
	k.mu.Unlock()
	k.announce(raised)
}

// Tick broadcasts what changed since the last tick and judges all versions
// under test.
func (k *Keeper) Tick() {
	k.mu.Lock()
	delta := k.nextDelta()
	raised := k.judgeAll()
	k.mu.Unlock()
	if m, ok := k.encode(delta); ok {
		k.cfg.Broadcast(m)
	}
	k.announce(raised)
}

// encode returns the control message of a delta; ok is false when there is
// nothing to send.
func (k *Keeper) encode(delta rollout.Delta) (m link.Control, ok bool) {
	if delta.Empty() {
		return link.Control{}, false
	}
	body, err := delta.Encode()
	if err != nil {
		k.log.Error("Evidence cannot be encoded.", "error", err.Error())
		return link.Control{}, false
	}
	return link.Control{Kind: control.KindEvidence, Body: body}, true
}

// Greeting returns the messages for a peer that has just connected.
func (k *Keeper) Greeting() []link.Control {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []link.Control
	if m, ok := k.encode(k.evidence.DeltaFor(0, k.exchanged)); ok {
		out = append(out, m)
	}
	if all := k.quarantines.All(); len(all) > 0 {
		out = append(out, control.Encode(control.KindQuarantine, all))
	}
	return out
}

// Handle takes in a control message of another process. It reports whether
// the kind is one of its own.
func (k *Keeper) Handle(c link.Control) (bool, error) {
	switch c.Kind {
	case control.KindEvidence:
		return true, k.mergeEvidence(c)
	case control.KindQuarantine:
		return true, k.mergeQuarantines(c)
	default:
		return false, nil
	}
}

// Take is Handle for the last handler of a message: an unknown kind is an error.
func (k *Keeper) Take(c link.Control) error {
	handled, err := k.Handle(c)
	if err == nil && !handled {
		err = fmt.Errorf("unknown kind %q of control message", c.Kind)
	}
	return err
}

func (k *Keeper) mergeEvidence(c link.Control) error {
	delta, err := rollout.DecodeDelta(c.Body)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.evidence.Merge(delta)
	raised := k.judgeAll()
	k.mu.Unlock()
	k.announce(raised)
	return nil
}

// mergeQuarantines forwards only what is new here, so that a quarantine
// crosses each link a bounded number of times.
func (k *Keeper) mergeQuarantines(c link.Control) error {
	var received []rollout.Quarantine
	if err := control.Decode(c, &received); err != nil {
		return err
	}
	var fresh []rollout.Quarantine
	k.mu.Lock()
	for _, q := range received {
		if k.quarantines.Add(q) {
			fresh = append(fresh, q)
		}
	}
	k.mu.Unlock()
	k.announce(fresh)
	return nil
}

// announce spreads quarantines over the links before the store has them.
func (k *Keeper) announce(quarantines []rollout.Quarantine) {
	if len(quarantines) == 0 {
		return
	}
	for _, q := range quarantines {
		k.log.Warn("Version is in quarantine.", "model", q.Model, "version", q.Version, "reason", q.Reason)
	}
	k.cfg.Broadcast(control.Encode(control.KindQuarantine, quarantines))
}

// judgeAll tests every version that has a baseline.
func (k *Keeper) judgeAll() []rollout.Quarantine {
	var raised []rollout.Quarantine
	for name, model := range k.snapshot.View().Models {
		for _, v := range model.Versions {
			if v.Baseline != "" {
				raised = append(raised, k.judge(rollout.VersionKey{Model: name, Version: v.Version})...)
			}
		}
	}
	return raised
}

// judge compares one version with its baseline and raises a quarantine when
// it is bad.
func (k *Keeper) judge(key rollout.VersionKey) []rollout.Quarantine {
	view := k.snapshot.View()
	version, ok := lookup(view, key)
	if !ok || version.Baseline == "" || k.active(view, key) {
		return nil
	}
	revision := view.QuarantineRevision(key.Model, key.Version)
	finding := k.evidence.JudgeVersion(key, version.Baseline, rollout.TestConfig{})
	k.verdicts[key] = finding.Verdict
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
	if !k.quarantines.Add(q) {
		return nil
	}
	return []rollout.Quarantine{q}
}

// UnderTest reports whether a version still has to prove itself.
func (k *Keeper) UnderTest(key rollout.VersionKey) bool {
	view := k.snapshot.View()
	version, ok := lookup(view, key)
	if !ok || version.Baseline == "" {
		return false
	}
	if view.QuarantineRevision(key.Model, key.Version) > 0 && !view.Quarantined(key.Model, key.Version) {
		return false // an operator lifted the quarantine and vouches for the version
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.verdicts[key] != rollout.Good
}

// controlRatings is how many answers of a baseline are rated during the test of
// a version against it. More would hardly add evidence.
const controlRatings = 100

// NeedsRating reports whether an answer of the version is to be rated although
// nothing waits for the rating: it is under test, or it is the baseline of such
// a version. Without ratings of the baseline the test never ends.
func (k *Keeper) NeedsRating(key rollout.VersionKey) bool {
	if k.UnderTest(key) {
		return true
	}
	model, ok := k.snapshot.View().Models[key.Model]
	if !ok {
		return false
	}
	for _, v := range model.Versions {
		candidate := rollout.VersionKey{Model: key.Model, Version: v.Version}
		if v.Baseline != key.Version || v.State != config.VersionActive || !k.UnderTest(candidate) {
			continue
		}
		if k.recordsControl(rollout.ControlKey(candidate, key.Version)) {
			return true
		}
	}
	return false
}

// recordsControl reports whether this process records the control group and it
// needs more ratings.
func (k *Keeper) recordsControl(key rollout.VersionKey) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.records(key) && k.evidence.Totals(key).Rated < controlRatings
}

// Budget is the part of a version's exposure budget that is open to it now.
func (k *Keeper) Budget(key rollout.VersionKey, budget int) int {
	var baseline rollout.VersionKey
	if version, ok := lookup(k.snapshot.View(), key); ok {
		baseline = rollout.VersionKey{Model: key.Model, Version: version.Baseline}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return rollout.Budget(budget, k.evidence.Totals(key), k.evidence.Totals(baseline), k.verdicts[key])
}

// Quarantined reports whether the store or a process of the fleet has put the
// version in quarantine.
func (k *Keeper) Quarantined(model, version string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.active(k.snapshot.View(), rollout.VersionKey{Model: model, Version: version})
}

func (k *Keeper) active(view *config.View, key rollout.VersionKey) bool {
	return k.quarantines.Active(key,
		view.QuarantineRevision(key.Model, key.Version),
		view.Quarantined(key.Model, key.Version))
}

// Pending returns the quarantines that the store does not have yet.
func (k *Keeper) Pending() []rollout.Quarantine {
	view := k.snapshot.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []rollout.Quarantine
	for _, q := range k.quarantines.All() {
		if view.QuarantineRevision(q.Model, q.Version) <= q.BaseRevision {
			out = append(out, q)
		}
	}
	return out
}

// Reconcile drops what belongs to versions that left the configuration.
func (k *Keeper) Reconcile() {
	view := k.snapshot.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range k.evidence.Versions() {
		// The key of a control group is "baseline|candidate".
		tested := key
		if _, candidate, ok := strings.Cut(key.Version, "|"); ok {
			tested.Version = candidate
		}
		if _, ok := lookup(view, tested); !ok && len(view.Models) > 0 {
			k.evidence.Forget(key)
			delete(k.verdicts, key)
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

// Test is the state of a version under test, for operators.
type Test struct {
	Model    string         `json:"model"`
	Version  string         `json:"version"`
	Baseline string         `json:"baseline"`
	Verdict  string         `json:"verdict"`
	Counts   rollout.Counts `json:"counts"`
	Control  rollout.Counts `json:"control"`
}

// Tests returns the state of all versions with a baseline.
func (k *Keeper) Tests() []Test {
	out := []Test{}
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, model := range k.snapshot.View().Models {
		for _, v := range model.Versions {
			if v.Baseline == "" {
				continue
			}
			key := rollout.VersionKey{Model: name, Version: v.Version}
			out = append(out, Test{
				Model: name, Version: v.Version, Baseline: v.Baseline,
				Verdict: k.verdicts[key].String(),
				Counts:  k.evidence.Totals(key),
				Control: k.evidence.Totals(rollout.ControlKey(key, v.Baseline)),
			})
		}
	}
	slices.SortFunc(out, func(a, b Test) int { return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version)) })
	return out
}
