package health

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/rollout"
)

const (
	// baselineRecorders is the approximate number of processes of each role that
	// record answers of versions that are not under test. A test needs a few hundred
	// such answers. If all 420 entries recorded them, each entry would receive
	// several hundred changed counters per second over each link.
	baselineRecorders = 8
	// baselineSendTicks is the interval, in ticks, at which a fleet of more than
	// baselineRecorders processes sends evidence about baselines. Evidence about a
	// version under test is sent at every tick.
	baselineSendTicks = 10
)

// sentSequences holds the local sequence numbers of the latest changes that were
// broadcast.
type sentSequences struct {
	candidatesThrough uint64 // versions under test
	allThrough        uint64 // all versions
}

// shouldRecord reports whether this process records answers under the key. The
// caller must hold m.mu.
func (m *Monitor) shouldRecord(key rollout.VersionKey) bool {
	if m.underTest(key) {
		return true
	}
	processes := m.cfg.Processes()
	if processes <= baselineRecorders {
		return true
	}
	groups := uint64((processes + baselineRecorders - 1) / baselineRecorders)
	return xxhash.Sum64String(m.cfg.Origin+"/"+key.Model)%groups == 0
}

// underTest reports whether the version has a baseline and its verdict is not Good.
// The caller must hold m.mu.
func (m *Monitor) underTest(key rollout.VersionKey) bool {
	version, ok := findVersion(m.snapshot.View(), key)
	return ok && version.Baseline != "" && m.verdicts[key] != rollout.Good
}

// shouldSend reports whether evidence under the key is sent to peers. This applies
// to versions under test, control groups and baselines. The caller must hold m.mu.
func (m *Monitor) shouldSend(key rollout.VersionKey) bool {
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

// nextDelta returns the evidence to broadcast at this tick. The caller must hold
// m.mu.
func (m *Monitor) nextDelta() rollout.Delta {
	m.ticks++
	if m.cfg.Processes() <= baselineRecorders || m.ticks%baselineSendTicks == 0 {
		delta := m.evidence.DeltaFor(m.sent.allThrough, m.shouldSend)
		m.sent.allThrough, m.sent.candidatesThrough = delta.Through, delta.Through
		return delta
	}
	delta := m.evidence.DeltaFor(m.sent.candidatesThrough, m.underTest)
	m.sent.candidatesThrough = delta.Through
	return delta
}
