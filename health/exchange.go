package health

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/rollout"
)

const (
	// comparisonOrigins is the number of processes of each role that record the
	// answers of versions that are not under test. A test needs some hundred of
	// them; with all 420 entries recording, each entry would receive several
	// hundred changed counters a second over each link.
	comparisonOrigins = 8
	// comparisonEvery is the interval, in ticks, at which evidence about
	// baselines is sent in a large fleet. Evidence about a version under test is
	// sent at every tick.
	comparisonEvery = 10
)

// sentMarks are the sequence numbers up to which evidence was broadcast.
type sentMarks struct {
	candidates uint64
	all        uint64
}

// records reports whether this process records answers under the key.
func (k *Keeper) records(key rollout.VersionKey) bool {
	if k.underTest(key) {
		return true
	}
	processes := k.cfg.Processes()
	if processes <= comparisonOrigins {
		return true
	}
	groups := uint64((processes + comparisonOrigins - 1) / comparisonOrigins)
	return xxhash.Sum64String(k.cfg.Origin+"/"+key.Model)%groups == 0
}

// underTest reports whether the key is that of a version that still has to
// prove itself against its baseline. It needs k.mu.
func (k *Keeper) underTest(key rollout.VersionKey) bool {
	version, ok := lookup(k.snapshot.View(), key)
	return ok && version.Baseline != "" && k.verdicts[key] != rollout.Good
}

// exchanged reports whether evidence under the key is sent to peers: that of
// versions under test, of their control groups and of their baselines.
func (k *Keeper) exchanged(key rollout.VersionKey) bool {
	if k.underTest(key) || strings.Contains(key.Version, "|") {
		return true
	}
	model, ok := k.snapshot.View().Models[key.Model]
	if !ok {
		return false
	}
	for _, v := range model.Versions {
		if v.Baseline == key.Version {
			return true
		}
	}
	return false
}

// nextDelta returns what this tick broadcasts.
func (k *Keeper) nextDelta() rollout.Delta {
	k.ticks++
	if k.cfg.Processes() <= comparisonOrigins || k.ticks%comparisonEvery == 0 {
		delta := k.evidence.DeltaFor(k.sent.all, k.exchanged)
		k.sent.all, k.sent.candidates = delta.Through, delta.Through
		return delta
	}
	delta := k.evidence.DeltaFor(k.sent.candidates, k.underTest)
	k.sent.candidates = delta.Through
	return delta
}
