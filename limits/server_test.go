package limits

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
	"unsafe"
)

const server = "s"

// maxReportDelay is the longest delay of a report in the simulation, beyond the usual one.
const maxReportDelay = 300 * time.Millisecond

// limitTolerance is the number of requests in serverLimitWindow that a server tolerates.
func limitTolerance(perSecond float64) int {
	return int(1.5*perSecond*serverLimitWindow.Seconds()) + 5
}

// limitedEntry is one entry of a simulation of entries that share the limit of a server.
type limitedEntry struct {
	limiter *ServerLimiter
	up      bool
	since   time.Time
	rank    int
	// demand is the probability with which it wants to send in a step.
	demand float64
}

// report is a message about a request of another entry.
type report struct {
	at time.Time
	to *limitedEntry
}

// limitedFleet simulates up to n entries that learn of each other's requests late, join,
// leave and restart, and do not always agree on their ranks.
type limitedFleet struct {
	rng       *rand.Rand
	perSecond float64
	entries   []*limitedEntry
	reports   []report
	sent      []time.Time
}

func newLimitedFleet(rng *rand.Rand, n int, perSecond float64) *limitedFleet {
	f := &limitedFleet{rng: rng, perSecond: perSecond}
	for i := range n {
		e := &limitedEntry{demand: rng.Float64() * rng.Float64(), rank: i}
		f.entries = append(f.entries, e)
		f.start(longAgo, e)
	}
	return f
}

// start starts a process that has learned the limit.
func (f *limitedFleet) start(now time.Time, e *limitedEntry) {
	e.limiter, e.up, e.since = NewServerLimiter(), true, now
	e.limiter.Name(now, server, f.perSecond)
	for _, other := range f.entries {
		if other.up && other != e { // the initial state that a peer sends
			e.limiter.RecordTotal(now, server, other.limiter.Total(now, server))
		}
	}
}

func (f *limitedFleet) up() int {
	n := 0
	for _, e := range f.entries {
		if e.up {
			n++
		}
	}
	return n
}

func (f *limitedFleet) advance(now time.Time) {
	if f.rng.IntN(60) == 0 {
		e := f.entries[f.rng.IntN(len(f.entries))]
		switch {
		case e.up && f.up() > 1:
			e.up, e.since = false, now
		case !e.up && now.Sub(e.since) > minDownTime:
			f.start(now, e)
		}
	}
	if f.rng.IntN(200) == 0 {
		for rank, i := range f.rng.Perm(len(f.entries)) {
			if f.rng.IntN(3) > 0 { // the others still have their old rank
				f.entries[i].rank = rank
			}
		}
	}
	f.reports = slices.DeleteFunc(f.reports, func(r report) bool {
		if r.at.After(now) {
			return false
		}
		if r.to.up {
			r.to.limiter.RecordReported(now, server, 1)
		}
		return true
	})
	entries := f.up()
	for _, e := range f.entries {
		if !e.up {
			continue
		}
		e.limiter.Name(now, server, f.perSecond)
		for f.rng.Float64() < e.demand && e.limiter.Allow(now, server, e.rank%entries, entries) {
			e.limiter.RecordSent(now, server)
			f.sent = append(f.sent, now)
			for _, other := range f.entries {
				if other != e {
					f.reports = append(f.reports, report{now.Add(time.Duration(f.rng.Int64N(int64(maxReportDelay)))), other})
				}
			}
		}
	}
}

// busiest returns the largest number of requests in serverLimitWindow.
func (f *limitedFleet) busiest() int {
	most := 0
	for i, from := range f.sent {
		n := 0
		for n < len(f.sent)-i && f.sent[i+n].Sub(from) < serverLimitWindow {
			n++
		}
		most = max(most, n)
	}
	return most
}

// Guards against entries that together send more than a server tolerates while entries
// join, leave, restart and learn of each other's requests late.
func TestServerLimitWhileEntriesChange(t *testing.T) {
	checkProperty(t, func(rng *rand.Rand) bool {
		perSecond := []float64{0.1, 0.5, 1.3, 2, 3.3, 8, 40}[rng.IntN(7)]
		f := newLimitedFleet(rng, 1+rng.IntN(30), perSecond)
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
			f.advance(now)
		}
		if most := f.busiest(); most > limitTolerance(perSecond) {
			t.Logf("%d entries sent %d requests in 4 s to a server that takes %.1f a second", len(f.entries), most, perSecond)
			return false
		}
		return true
	})
}

// Guards against limits that are left unused when the demand is at few of the entries.
func TestServerLimitIsUsed(t *testing.T) {
	const perSecond, seconds = 5, 20
	for _, entries := range []int{1, 2, 4, 12} {
		f := newLimitedFleet(rand.New(rand.NewPCG(uint64(entries), 5)), entries, perSecond)
		for i, e := range f.entries {
			e.demand = 0
			if i == 0 {
				e.demand = 0.9
			}
		}
		for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(step) {
			f.entries[0].limiter.Name(now, server, perSecond)
			if f.entries[0].limiter.Allow(now, server, 0, entries) {
				f.entries[0].limiter.RecordSent(now, server)
				f.sent = append(f.sent, now)
			}
		}
		if n := len(f.sent); n < perSecond*seconds*8/10 || n > perSecond*(seconds+4) {
			t.Errorf("%d entries: one with all the demand sent %d requests in %d s to a server that takes %d a second", entries, n, seconds, perSecond)
		}
	}
}

// Guards against limits that never end, that end by answers from before they were named,
// and state that is kept for removed servers.
func TestServerLimitEnds(t *testing.T) {
	l := NewServerLimiter()
	if !l.Allow(start, server, 9, 10) || l.RecordSent(start, server) {
		t.Error("a server that names no limit is limited")
	}
	if !l.Name(start, server, 2) || l.Name(start.Add(time.Second), server, 2) || !l.Name(start.Add(time.Second), server, 3) {
		t.Error("changes of the limit are not recognized")
	}
	if l.Lift(server, start.Add(time.Second)) {
		t.Error("lifted by an answer to a request from before the limit was named")
	}
	if !l.Lift(server, start.Add(1100*time.Millisecond)) || !l.Allow(start, server, 9, 10) {
		t.Error("not lifted")
	}
	l.Name(start, server, 0)
	if !l.Allow(start, server, 0, 4) {
		t.Error("a server that takes nothing is never asked again")
	}
	l.RecordSent(start, server)
	if l.Allow(start.Add(serverLimitWindow-time.Second), server, 0, 4) {
		t.Error("a server that takes nothing gets more than one request in a window")
	}
	if _, limited := l.PerSecond(start.Add(serverLimitRetention+time.Second), server); limited {
		t.Error("a limit that was not named for long still holds")
	}
	l.Name(start, "gone", 2)
	l.Retain(start, func(s string) bool { return s == server })
	l.Retain(start.Add(serverLimitRetention+time.Second), func(string) bool { return true })
	if len(l.servers) != 0 {
		t.Errorf("%d servers are kept", len(l.servers))
	}
}

// stepWallClock returns t with its time of day moved and its monotonic reading unchanged, as
// after a step of the clock.
func stepWallClock(t time.Time, by time.Duration) time.Time {
	const secondShift = 30 // of the seconds in the field wall of a time.Time with a monotonic reading
	fields := (*struct {
		wall uint64
		ext  int64
		loc  *time.Location
	})(unsafe.Pointer(&t))
	fields.wall += uint64(by/time.Second) << secondShift
	return t
}

// Guards against limits that are exceeded, or block everything, after a step of the time of
// day.
func TestWindowsIgnoreClockSteps(t *testing.T) {
	begun := time.Now()
	for _, by := range []time.Duration{5 * time.Second, -5 * time.Second} {
		if after := stepWallClock(begun, by); after.Unix() != begun.Unix()+int64(by/time.Second) || after.Sub(begun) != 0 {
			t.Fatalf("the clock is not stepped as intended: %v, %v", after, after.Sub(begun))
		}
		w := NewWindow(serverLimitWindow)
		w.Add(begun, 7)
		soon, late := begun.Add(time.Second), begun.Add(10*time.Second)
		if n := w.AtMost(stepWallClock(soon, by)); n != 7 {
			t.Errorf("step by %v: %d events in the window, want 7", by, n)
		}
		w.Add(stepWallClock(late, by), 1)
		if n := w.AtMost(stepWallClock(late.Add(time.Second), by)); n != 1 {
			t.Errorf("step by %v: %d events in the window after the first have left it, want 1", by, n)
		}
	}
}
