// Package health keeps the evidence about model versions in one process,
// spreads it to the linked processes, and raises quarantines.
package health

import (
	"sync"

	"github.com/oklog/ulid/v2"

	"hyssoploom/config"
	"hyssoploom/control"
	"hyssoploom/link"
	"hyssoploom/rollout"
	"hyssoploom/telemetry"
)

// Keeper is safe for concurrent use.
type Keeper struct {
	snapshot  *config.Snapshot
	broadcast func(link.Control)
	log       *telemetry.Logger

	mu          sync.Mutex
	evidence    *rollout.Evidence
	quarantines *rollout.QuarantineSet
	sent        uint64 // sequence number up to which evidence was broadcast
	passed      map[rollout.VersionKey]bool
}

// New returns a keeper. Origin is the boot id of the process; broadcast sends a
// control message to every linked process.
func New(origin string, snapshot *config.Snapshot, broadcast func(link.Control), log *telemetry.Logger) *Keeper {
	return &Keeper{
		snapshot:    snapshot,
		broadcast:   broadcast,
		log:         log,
		evidence:    rollout.NewEvidence(origin),
		quarantines: rollout.NewQuarantineSet(),
		passed:      make(map[rollout.VersionKey]bool),
	}
}

// Record adds one observation of this process and judges the version.
func (k *Keeper) Record(key rollout.VersionKey, o rollout.Observation) {
	k.mu.Lock()
	k.evidence.Record(key, o)
	raised := k.judge(key)
	k.mu.Unlock()
	k.announce(raised)
}

// Tick broadcasts what changed since the last tick and judges all versions
// under test.
func (k *Keeper) Tick() {
	k.mu.Lock()
	delta := k.evidence.Delta(k.sent)
	k.sent = k.evidence.Sequence()
	raised := k.judgeAll()
	k.mu.Unlock()
	if !delta.Empty() {
		k.broadcast(control.Encode(control.KindEvidence, delta))
	}
	k.announce(raised)
}

// Greeting returns the messages for a peer that has just connected.
func (k *Keeper) Greeting() []link.Control {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []link.Control
	if delta := k.evidence.Delta(0); !delta.Empty() {
		out = append(out, control.Encode(control.KindEvidence, delta))
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

func (k *Keeper) mergeEvidence(c link.Control) error {
	var delta rollout.Delta
	if err := control.Decode(c, &delta); err != nil {
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
	k.broadcast(control.Encode(control.KindQuarantine, quarantines))
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
	baseline := rollout.VersionKey{Model: key.Model, Version: version.Baseline}
	switch rollout.Judge(k.evidence.Totals(key), k.evidence.Totals(baseline), rollout.DefaultTestConfig()) {
	case rollout.Good:
		k.passed[key] = true
	case rollout.Bad:
		q := rollout.Quarantine{
			Model:        key.Model,
			Version:      key.Version,
			Reason:       "worse than " + version.Baseline,
			ID:           ulid.Make().String(),
			BaseRevision: view.QuarantineRevision(key.Model, key.Version),
		}
		if k.quarantines.Add(q) {
			return []rollout.Quarantine{q}
		}
	}
	return nil
}

// UnderTest reports whether a version still has to prove itself.
func (k *Keeper) UnderTest(key rollout.VersionKey) bool {
	version, ok := lookup(k.snapshot.View(), key)
	if !ok || version.Baseline == "" {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.passed[key]
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
	for _, key := range k.evidence.Keys() {
		if _, ok := lookup(view, key); !ok && len(view.Models) > 0 {
			k.evidence.Forget(key)
			delete(k.passed, key)
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
