package hostload

import "time"

const (
	// shortBefore is how long a VM is short until it refuses requests: a moment's load is over
	// by then, and most neighbours that are short too have said so.
	shortBefore = time.Second
	// leaveBefore is how long it is short until it sends clients away, who do not come back at
	// once: all neighbours that are heard of have said so, as reports are 2 s old at most. For
	// each short neighbour that comes before it by name it waits leaveTurn more, so that
	// entries do not leave together.
	leaveBefore = 3 * time.Second
	leaveTurn   = awayTime
	// awayTime is how long a VM at most takes no new connections, and awayPause the least
	// time until it does so again: it is ready for over nine tenths of the time.
	awayTime  = 4 * time.Second
	awayPause = 40 * time.Second
	// moveAfter is how long a VM has not been ready until it closes connections, whose
	// clients would otherwise come back to it: the load balancer takes it out after two
	// failed checks, one in a second.
	moveAfter = 2500 * time.Millisecond
	// movedShare is the share of the open connections that are closed at a time. A small
	// one, so that the neighbours are not short next.
	movedShare = 0.3
	// maxAwayShare is the share of a data centre's entries that may be away. Load balancers
	// use all entries when fewer than half are ready.
	maxAwayShare = 1.0 / 3
	// maxRefused bounds the share of requests that are refused: those that run show when
	// there is room again.
	maxRefused = 0.9
)

// Neighbour is another entry of the same data centre, as last heard of. Without a report it is
// calm.
type Neighbour struct {
	Name  string
	Level Level
	Away  bool
}

// diversion is the state of sending clients away.
type diversion struct {
	away         bool
	since, ended time.Duration
	begun        bool // at least once
	moves        int  // connections that may still be closed
}

// Divert decides whether the VM is away, so that it gets no new connections. connections is
// the number of open ones.
func (m *Monitor) Divert(now time.Duration, self string, neighbours []Neighbour, connections int) (away bool) {
	d := &m.diversion
	switch {
	case d.away && (m.state.Level == Calm || now-d.since >= awayTime):
		d.away, d.ended = false, now
	case !d.away && (!d.begun || now-d.ended >= awayPause) && m.mayLeave(now, self, neighbours):
		d.away, d.begun, d.since = true, true, now
		d.moves = int(movedShare * float64(connections))
	}
	return d.away
}

// shortFor returns how long the VM has been short without a pause, 0 if it is not now.
func (m *Monitor) shortFor(now time.Duration) time.Duration {
	if !m.short {
		return 0
	}
	return now - m.shortSince
}

// mayLeave reports whether half of the neighbours can take clients, and it is the VM's turn.
func (m *Monitor) mayLeave(now time.Duration, self string, neighbours []Neighbour) bool {
	away, calm, before := 0, 0, 0
	for _, n := range neighbours {
		switch {
		case n.Away:
			away++
		case n.Level == Calm:
			calm++
		case n.Level == Short && n.Name < self:
			before++
		}
	}
	entries := float64(len(neighbours) + 1)
	return m.shortFor(now) >= leaveBefore+time.Duration(before)*leaveTurn &&
		calm > 0 && 2*calm >= len(neighbours) && float64(away+1) <= max(1, maxAwayShare*entries)
}

// TakeMove reports whether the connection of the request that is being answered is to be
// closed, so that its client opens the next one to a neighbour.
func (m *Monitor) TakeMove(now time.Duration) bool {
	d := &m.diversion
	if !d.away || now-d.since < moveAfter || d.moves <= 0 {
		return false
	}
	d.moves--
	return true
}

// Refuses reports whether a request is refused that no server has got yet, so that its client
// comes back to a neighbour at once. Below half of the latency target of its route, the client
// would lose more by that than here; from there on ever more requests are refused, so that the
// delay settles below the target. returned means that the client was refused before; draw is
// a random number in [0, 1).
func (m *Monitor) Refuses(now, target time.Duration, neighbours []Neighbour, returned bool, draw float64) bool {
	if m.state.Level < Short || now-m.levelSince < shortBefore || returned || target <= 0 {
		return false
	}
	excess := float64(m.state.Delay)/float64(target) - shortShare
	if draw >= min(excess/(1-shortShare), maxRefused) {
		return false
	}
	calm := 0
	for _, n := range neighbours {
		if n.Level == Calm && !n.Away {
			calm++
		}
	}
	return calm > 0 && 2*calm >= len(neighbours)
}
