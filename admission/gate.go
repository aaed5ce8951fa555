package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Codes of refusals by a Gate. In all of these cases the request has not been run.
const (
	// CodeNoRoom means that no backend server can serve the request before its deadline.
	CodeNoRoom = "no_room"
)

const (
	// reportAge is the age of the load reports: the interval at which they are sent between
	// regions and the time on the way.
	reportAge = 150 * time.Millisecond
	// trickleRate is the least work per time relative to what servers do. Reports that claim
	// full servers forever must not stop an entry.
	trickleRate = 0.1
	// maxWaiting limits the waiting requests of one entry and service: more than an entry
	// starts within the usual objectives.
	maxWaiting = 256
	// MaxPassed is how many requests that arrived later may start before a waiting one: as
	// many as can wait. With fewer, the backlog of a workspace that sends many times its
	// usual would start in the order of arrival, whatever its share.
	MaxPassed = maxWaiting
	// costSamples is the number of requests over which the mean cost is taken.
	costSamples = 16
	// maxAccrual is the longest time for which an entry takes its share afterwards: about
	// the age of the reports. An entry that was frozen longer has missed it.
	maxAccrual = 200 * time.Millisecond
	// accrualShare bounds that time by the work that is kept in front of a server, so that
	// entries which were idle do not fill a short queue at once.
	accrualShare = 0.5
	// rateTime is the time constant of the moving averages of rates.
	rateTime = time.Second
	// recheckInterval is the time between two estimates of whether a waiting request can
	// still be served.
	recheckInterval = 100 * time.Millisecond
	// recheckMargin is the part of the remaining time by which the estimate must exceed it
	// before a request that was queued is dropped.
	recheckMargin = 0.25
	// minWake and maxWake bound the time until the queue is looked at again.
	minWake, maxWake = 5 * time.Millisecond, 100 * time.Millisecond
	// maxCost bounds the work of one request: no prompt takes longer to read.
	maxCost = 20 * time.Second
	// minCost is the work of a request whose prompt is in the engine's cache.
	minCost = 2 * time.Millisecond
	// lowestPriority is the largest value of a priority; 0 is the highest priority.
	lowestPriority = 9
)

// Conditions describes the backend servers that can take a request, as an entry knows them.
type Conditions struct {
	// Servers is the number of engines, or of the slots of plain servers, and Free the sum of
	// their EngineRoom or PlainServer.Room.
	Servers, Free float64
	// Ahead is the work that the entries keep in front of each; 0 counts as MaxEngineAhead.
	Ahead time.Duration
	// Share is this entry's share of their work, from 0 to 1.
	Share float64
	// Demand is the work per time that clients ask of all entries.
	Demand float64
}

// calm reports whether there is room for all requests that arrive until it is known that
// there is not. Then none is held: idle room is not kept back.
func (c *Conditions) calm() bool { return c.Free > 0 && c.Demand <= c.fillRate()*c.Free }

// fillRate is the work per time, relative to the work of one server, that all entries
// together start per unit of free room: it is used within the age of a report. With a larger
// one, the work in front of the servers oscillates.
func (c *Conditions) fillRate() float64 {
	return float64(cmp.Or(c.Ahead, MaxEngineAhead)) / float64(reportAge)
}

// accrual returns the longest time for which an entry takes its share afterwards.
func (c *Conditions) accrual() time.Duration {
	return min(maxAccrual, time.Duration(accrualShare*float64(cmp.Or(c.Ahead, MaxEngineAhead))))
}

// rate returns the work per time that this entry may start.
func (c *Conditions) rate() float64 {
	return c.Share * max(c.fillRate()*c.Free, trickleRate*c.Servers)
}

// Gate admits the requests of one entry to the servers of a service. While the servers have
// room, each request runs at once. While they do not, the entry starts its share of the work
// that they get through, and the other requests wait here, where the order can still be
// chosen, or are refused. Ticket.Priority counts from 0, the highest, to 9, and Ticket.Cost
// is in nanoseconds of the work of one engine, or of one slot of a plain server.
//
// Of the waiting requests start first those that can still meet their objective; of these,
// those of the highest priority; of these, workspaces have shares by weight; of one
// workspace, those whose clients have returned when told, and then those with the earliest
// objective. A client that has returned when told goes before all others of its priority also
// once its objective has passed, as long as these can still meet theirs after it. A request
// that MaxPassed later ones have passed starts first.
type Gate struct {
	levels  [lowestPriority + 1]level
	waiting map[uint64]*waiter
	arrived uint64 // tickets that were queued
	// credit is the work that may start, in nanoseconds; requests start while it is not
	// negative.
	credit    float64
	accruedAt time.Duration
	// rate is the moving average of the work per time that may start.
	rate      float64
	known     bool
	meanCost  float64
	recheckAt time.Duration
}

// level holds the requests of one priority.
type level struct {
	// onTime holds the tickets that can still meet their objective, late the others.
	onTime, late queue
	// admitted is the work per time of the requests that were admitted.
	admitted decayed
}

// waiter is a waiting ticket.
type waiter struct {
	Ticket
	number uint64 // in order of arrival
	passed int    // later arrivals that have started
	late   bool
}

// NewGate returns a gate without waiting requests.
func NewGate() *Gate {
	g := &Gate{waiting: make(map[uint64]*waiter)}
	for i := range g.levels {
		g.levels[i].onTime = queue{flows: make(map[string]*flow), byFinish: true}
		g.levels[i].late = queue{flows: make(map[string]*flow), byFinish: true}
	}
	return g
}

// Verdict is the result of Gate.Arrive.
type Verdict struct {
	Decision
	// Wait is the expected wait if the request is queued or refused, and RetryAfter the time
	// until it would be admitted, if it is refused.
	Wait, RetryAfter time.Duration
}

// Arrive decides on a new request.
func (g *Gate) Arrive(now time.Duration, t Ticket, c Conditions) Verdict {
	t.Cost = min(max(t.Cost, float64(minCost)), float64(maxCost))
	t.Priority = min(max(t.Priority, 0), lowestPriority)
	g.accrue(now, &c)
	if g.meanCost == 0 {
		g.meanCost = t.Cost
	}
	g.meanCost += (t.Cost - g.meanCost) / costSamples
	if g.waiting[t.ID] != nil {
		return Verdict{Decision: Decision{Code: CodeDuplicate}}
	}
	if calm := c.calm(); len(g.waiting) == 0 && (calm || g.credit >= 0) {
		if !calm {
			g.credit -= t.Cost
		}
		g.levels[t.Priority].admitted.add(now, t.Cost)
		return Verdict{Decision: Decision{Outcome: Run}}
	}
	w := &waiter{Ticket: t, number: g.arrived}
	wait := g.expectedWait(now, w)
	if expired(t, now) || t.Deadline > 0 && wait > t.Deadline-now {
		return Verdict{Decision: Decision{Code: CodeNoRoom}, Wait: wait, RetryAfter: retryAfter(now, &t, wait)}
	}
	v := Verdict{Decision: Decision{Outcome: Queued}, Wait: wait}
	if len(g.waiting) >= maxWaiting {
		d, ok := g.displace(now, t)
		if !ok {
			return Verdict{Decision: Decision{Code: CodeQueueFull}, Wait: wait, RetryAfter: wait}
		}
		v.Drop = append(v.Drop, d)
	}
	g.arrived++
	g.waiting[t.ID] = w
	g.levels[t.Priority].onTime.push(t)
	g.levels[t.Priority].admitted.add(now, t.Cost)
	return v
}

// Dispatch starts the requests for which there is room, and drops those that can no longer
// be served. conditions is called with the id of a waiting request.
func (g *Gate) Dispatch(now time.Duration, conditions func(id uint64) Conditions) Changes {
	var ch Changes
	g.markLate(now)
	ch.Drop = g.dropUnservable(now)
	for {
		id, ok := g.next(now)
		if !ok {
			return ch
		}
		// A request without any server ends at once, when its turn comes.
		if c := conditions(id); c.Servers > 0 {
			if g.accrue(now, &c); g.credit < 0 {
				return ch
			}
		}
		g.start(now, id)
		ch.Start = append(ch.Start, id)
	}
}

// retryAfter returns the time until a request that is expected to wait would be expected to
// start within its objective.
func retryAfter(now time.Duration, t *Ticket, wait time.Duration) time.Duration {
	return max(wait-max(t.StartBy-now, 0), 0)
}

// Wake returns the time until Dispatch is to be called again, 0 if no request waits.
func (g *Gate) Wake() time.Duration {
	if len(g.waiting) == 0 {
		return 0
	}
	due := float64(maxWake)
	if g.rate > 0 {
		due = -g.credit / g.rate
	}
	return time.Duration(min(max(due, float64(minWake)), float64(maxWake)))
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return len(g.waiting) }

// Remove removes a waiting request, for example because its client has left.
func (g *Gate) Remove(id uint64) {
	if w := g.waiting[id]; w != nil {
		g.take(w)
	}
}

// RefuseAll removes all waiting requests.
func (g *Gate) RefuseAll(code string) []Dropped {
	var out []Dropped
	for id := range g.waiting {
		out = append(out, Dropped{ID: id, Code: code})
	}
	slices.SortFunc(out, func(a, b Dropped) int { return cmp.Compare(a.ID, b.ID) })
	for _, d := range out {
		g.Remove(d.ID)
	}
	return out
}

// accrue adds the work that this entry may start since the last call.
func (g *Gate) accrue(now time.Duration, c *Conditions) {
	rate := c.rate()
	if !g.known {
		g.known, g.rate, g.accruedAt = true, rate, now
	}
	elapsed := now - g.accruedAt
	if elapsed <= 0 {
		return
	}
	g.accruedAt = now
	g.rate += (rate - g.rate) * (1 - math.Exp(-elapsed.Seconds()/rateTime.Seconds()))
	longest := c.accrual()
	g.credit = min(g.credit+rate*float64(min(elapsed, longest)), rate*float64(longest))
}

// next returns the next request to start.
func (g *Gate) next(now time.Duration) (id uint64, ok bool) {
	var oldest *waiter
	for _, w := range g.waiting {
		if oldest == nil || w.number < oldest.number {
			oldest = w
		}
	}
	if oldest == nil {
		return 0, false
	}
	// No waiting request has been passed more often than the oldest.
	if oldest.passed >= MaxPassed {
		return oldest.ID, true
	}
	for i := range g.levels {
		if f := g.levels[i].onTime.next(); f != nil {
			if r := g.levels[i].late.nextReturned(); r != nil && g.hasSlack(now, i, r.waiting[0].Cost) {
				f = r
			}
			return f.waiting[0].ID, true
		}
	}
	for i := range g.levels {
		if f := g.levels[i].late.next(); f != nil {
			return f.waiting[0].ID, true
		}
	}
	return 0, false
}

// hasSlack reports whether all waiting requests down to a level that can still meet their
// objective can do so after other work.
func (g *Gate) hasSlack(now time.Duration, level int, work float64) bool {
	first := time.Duration(math.MaxInt64)
	for _, w := range g.waiting {
		if w.late || w.Priority > level {
			continue
		}
		work += w.Cost
		if w.StartBy > 0 {
			first = min(first, w.StartBy)
		}
	}
	return work <= g.rate*float64(first-now)
}

// start starts a waiting request.
func (g *Gate) start(now time.Duration, id uint64) {
	w := g.waiting[id]
	q := g.queue(w)
	f := q.flows[w.Workspace]
	g.take(w)
	q.charge(f, w.Cost)
	q.removeIdleFlows()
	g.credit -= w.Cost
	for _, other := range g.waiting {
		if other.number < w.number {
			other.passed++
		}
	}
}

// queue returns the queue in which a request waits.
func (g *Gate) queue(w *waiter) *queue {
	if w.late {
		return &g.levels[w.Priority].late
	}
	return &g.levels[w.Priority].onTime
}

// take removes a waiting request from its queue.
func (g *Gate) take(w *waiter) {
	delete(g.waiting, w.ID)
	g.queue(w).take(func(t Ticket) bool { return t.ID == w.ID })
}

// markLate moves the requests that can no longer meet their objective behind the others.
func (g *Gate) markLate(now time.Duration) {
	for i := range g.levels {
		l := &g.levels[i]
		if l.onTime.size == 0 {
			continue
		}
		for _, t := range l.onTime.take(func(t Ticket) bool { return t.StartBy > 0 && now > t.StartBy }) {
			g.waiting[t.ID].late = true
			l.late.push(t)
		}
	}
}

// dropUnservable drops the requests that cannot be served before their deadline.
func (g *Gate) dropUnservable(now time.Duration) []Dropped {
	recheck := now >= g.recheckAt
	if recheck {
		g.recheckAt = now + recheckInterval
	}
	var out []Dropped
	for _, w := range g.waiting {
		gone := w.Deadline > 0 && expired(w.Ticket, now)
		if w.Deadline <= 0 || !gone && !recheck {
			continue
		}
		if wait := g.expectedWait(now, w); gone || float64(wait) > (1+recheckMargin)*float64(w.Deadline-now) {
			out = append(out, Dropped{w.ID, CodeNoRoom, retryAfter(now, &w.Ticket, wait)})
		}
	}
	slices.SortFunc(out, func(a, b Dropped) int { return cmp.Compare(a.ID, b.ID) })
	for _, d := range out {
		g.Remove(d.ID)
	}
	return out
}

// displace drops a waiting request in favour of t: one of the lowest priority, or of a
// workspace with a longer queue.
func (g *Gate) displace(now time.Duration, t Ticket) (Dropped, bool) {
	for i := lowestPriority; i >= t.Priority; i-- {
		for _, q := range []*queue{&g.levels[i].late, &g.levels[i].onTime} {
			if q.size == 0 {
				continue
			}
			var d Dropped
			if i > t.Priority || q == &g.levels[i].late {
				d = q.dropLast(q.longest())
			} else if displaced, ok := q.displace(t); ok {
				d = displaced
			} else {
				return Dropped{}, false
			}
			w := g.waiting[d.ID]
			delete(g.waiting, d.ID)
			d.RetryAfter = retryAfter(now, &w.Ticket, g.expectedWait(now, w))
			return d, true
		}
	}
	return Dropped{}, false
}
