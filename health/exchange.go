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
func (m *Monitor) records(key rollout.VersionKey) bool {
	if m.underTest(key) {
		return true
	}
	processes := m.cfg.Processes()
	if processes <= comparisonOrigins {
		return true
	}
	groups := uint64((processes + comparisonOrigins - 1) / comparisonOrigins)
	return xxhash.Sum64String(m.cfg.Origin+"/"+key.Model)%groups == 0
}

// underTest reports whether the key is that of a version that still has to
// prove itself against its baseline. It needs m.mu.
func (m *Monitor) underTest(key rollout.VersionKey) bool {
	version, ok := lookup(m.snapshot.View(), key)
	return ok && version.Baseline != "" && m.verdicts[key] != rollout.Good
}

// exchanged reports whether evidence under the key is sent to peers: that of
// versions under test, of their control groups and of their baselines.
func (m *Monitor) exchanged(key rollout.VersionKey) bool {
	if m.underTest(key) || strings.Contains(key.Version, "|") {
		return true
	}
	model, ok := m.snapshot.View().Models[key.Model]
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
func (m *Monitor) nextDelta() rollout.Delta {
	m.ticks++
	if m.cfg.Processes() <= comparisonOrigins || m.ticks%comparisonEvery == 0 {
		delta := m.evidence.DeltaFor(m.sent.all, m.exchanged)
		m.sent.all, m.sent.candidates = delta.Through, delta.Through
		return delta
	}
	delta := m.evidence.DeltaFor(m.sent.candidates, m.underTest)
	m.sent.candidates = delta.Through
	return delta
}
