package crashcause

import (
	"maps"
	"slices"
	"time"
)

const (
	// contestedIncidents is the number of incidents from which entries look for answers that
	// outlast those of the suspects with a part.
	contestedIncidents = 2
	// outlastingMargin is how much longer than the answers of the suspects an answer has to
	// run to outlast them, because the end of a server is noticed late.
	outlastingMargin = 500 * time.Millisecond
	// outlastingPerIncident is the number of servers with outlasting answers that weigh as
	// much as an incident. An engine that crashes anywhere in an answer outlasts half of the
	// others.
	outlastingPerIncident = 2
	// narrowingIncidents is the number of incidents that show which of the parts of a block is
	// the cause. It is low because one of them is.
	narrowingIncidents = 2
)

// answers is the evidence for parts under which engines crash at any point of an answer. All
// requests that were at an engine when it crashed are suspects alike. An answer that one
// server has given whole refutes it. Long answers do so late; until then, answers that run
// longer than those of the suspects weigh against it.
type answers struct {
	*evidence
	blockIncidents int
	// outlasting holds, by part, the servers at which an answer has outlasted those of the
	// suspects.
	outlasting map[uint64]map[string]struct{}
}

// incidents are the crashes under which a part was a suspect.
type incidents struct {
	count       int
	first, last *crash
	// ages are the times for which the answers of the suspects had run.
	ages []time.Duration
}

// incidents returns the incidents of each part. Crashes whose suspects may still arrive from
// other entries do not count yet.
func (t answers) incidents(now time.Time) map[uint64]*incidents {
	all := make(map[uint64]*incidents)
	for _, c := range t.crashes {
		if c.cause != nil || !c.settled(now) {
			continue
		}
		for i := range c.suspects {
			s := &c.suspects[i]
			for _, p := range s.Parts {
				n := all[p]
				if n == nil {
					n = &incidents{first: c}
					all[p] = n
				}
				n.ages = append(n.ages, s.Age)
				if !c.sameIncident(n.last, s) {
					n.count++
					n.last = c
				}
			}
		}
	}
	return all
}

// sameIncident reports whether a crash is one incident with the one that was last counted for
// a part of a suspect. Crashes at the same moment may have another cause in common, unless
// the request was sent after the first of them.
func (c *crash) sameIncident(last *crash, s *Suspect) bool {
	return last == c || last != nil && c.at.Sub(last.at) < SettleTime && c.at.Sub(last.at) <= s.SentFor
}

// crashesWithout returns the number of crashes since a given one, apart from those at the same
// moment, of which a part was no suspect.
func (t answers) crashesWithout(part uint64, since *crash) int {
	n := 0
	var last time.Time
	for _, c := range t.crashes[slices.Index(t.crashes, since):] {
		has := func(s Suspect) bool { return slices.Contains(s.Parts, part) }
		if c.cause == nil && c.at.Sub(last) >= SettleTime && !slices.ContainsFunc(c.suspects, has) {
			n++
			last = c.at
		}
	}
	return n
}

// form returns a new block for the part that explains the crashes best, or nil if none has
// enough incidents. Of several such parts, it is the one with the fewest crashes without it,
// and the rarest.
func (t answers) form(now time.Time) *Block {
	all := t.incidents(now)
	var best uint64
	surplus := 0
	for p, n := range all {
		count := n.count - len(t.outlasting[p])/outlastingPerIncident
		if count < t.blockIncidents {
			continue
		}
		s := count - t.crashesWithout(p, n.first)
		rarer := best == 0 || len(n.ages) < len(all[best].ages) || len(n.ages) == len(all[best].ages) && p < best
		if best == 0 || s > surplus || s == surplus && rarer {
			best, surplus = p, s
		}
	}
	if best == 0 {
		return nil
	}
	b := t.block(now, best, func(c *crash) []Suspect {
		if c.cause != nil || !c.settled(now) {
			return nil
		}
		return c.suspects
	})
	b.AnyPoint = true
	return b
}

// extend looks for crashes that a block explains. A crash of another workspace widens the
// block, and incidents under only some of its parts narrow the parts down.
func (t answers) extend(now time.Time, b *Block) {
	t.explain(b)
	if len(b.Parts) == 1 {
		return
	}
	all := t.incidents(now)
	count := func(p uint64) int {
		if n := all[p]; n != nil {
			return n.count
		}
		return 0
	}
	most := 0
	for _, p := range b.Parts {
		most = max(most, count(p))
	}
	if most >= narrowingIncidents {
		b.Parts = slices.DeleteFunc(b.Parts, func(p uint64) bool { return count(p) < most })
		t.explain(b)
	}
}

// explain marks the crashes that a block explains.
func (t answers) explain(b *Block) {
	for _, c := range t.crashes {
		if c.cause != nil && c.cause != b {
			continue
		}
		for _, s := range c.suspects {
			if containsAll(s.Parts, b.Parts) {
				b.addWorkspace(s.Workspace)
				c.cause = b
			}
		}
	}
}

// Contested returns the parts that may soon be blocked, each with the time after which a
// running answer outlasts those of its suspects: more than half of them.
func (t *Tracker) Contested(now time.Time) map[uint64]time.Duration {
	contested := make(map[uint64]time.Duration)
	for p, n := range t.answers.incidents(now) {
		if n.count >= contestedIncidents {
			slices.Sort(n.ages)
			contested[p] = n.ages[len(n.ages)/2] + outlastingMargin
		}
	}
	return contested
}

// RecordOutlasting records that an answer to a prompt with a part has outlasted those of the
// suspects at a server. It reports whether that is new: the other entries have to learn of it.
func (t *Tracker) RecordOutlasting(part uint64, server string) bool {
	if _, suspected := t.answers.suspected[part]; !suspected {
		return false
	}
	servers := t.answers.outlasting[part]
	if servers == nil {
		if len(t.answers.outlasting) >= maxOutlasted {
			maps.DeleteFunc(t.answers.outlasting, func(p uint64, _ map[string]struct{}) bool { return !t.answers.isSuspect(p) })
		}
		servers = make(map[string]struct{})
		t.answers.outlasting[part] = servers
	}
	if _, known := servers[server]; known || len(servers) >= maxOutlasting {
		return false
	}
	servers[server] = struct{}{}
	return true
}

// Outlasting calls report with all parts and servers that RecordOutlasting has recorded.
func (t *Tracker) Outlasting(report func(part uint64, server string)) {
	for part, servers := range t.answers.outlasting {
		for server := range servers {
			report(part, server)
		}
	}
}
