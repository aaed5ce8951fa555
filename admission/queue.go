package admission

import (
	"cmp"
	"slices"
	"time"
)

// burstCredit is the number of requests that a workspace may start ahead of the
// others after it has used less than its share. Without it, a small burst would
// alternate with the requests of a workspace that always has some waiting.
const burstCredit = 4

// queue schedules the waiting requests fairly between workspaces by start-time fair
// queueing: the next request is that of the workspace whose previous request has
// the smallest virtual finish time. A request counts with its cost.
type queue struct {
	limit   int // set by the controller
	size    int
	virtual float64 // virtual start time of the last started request
	flows   map[string]*flow
	// byFinish orders workspaces by the virtual finish time of their next request instead of
	// its start time, so that of requests that differ in cost the cheap ones start first.
	byFinish bool
}

// flow holds the waiting tickets of one workspace, in start order.
type flow struct {
	name   string
	weight float64
	// start is the virtual start time of the next request. It is fixed when the
	// request becomes the next one: if it advanced with the virtual time, a
	// workspace with a larger weight could overtake it repeatedly.
	start   float64
	finish  float64 // virtual finish time of the last started request
	waiting []Ticket
}

func (q *queue) flow(t Ticket) *flow {
	f := q.flows[t.Workspace]
	if f == nil {
		f = &flow{name: t.Workspace}
		q.flows[t.Workspace] = f
	}
	if len(f.waiting) == 0 {
		f.start = max(q.virtual-f.credit(), f.finish)
	}
	f.weight = t.Weight
	if t.Weight <= 0 {
		f.weight = 1
	}
	return f
}

// charge advances the virtual time for a request that starts.
func (q *queue) charge(f *flow, cost float64) {
	q.virtual = max(q.virtual, f.start)
	f.finish = f.start + cost/f.weight
	f.start = f.finish
}

// removeIdleFlows removes flows without waiting tickets that no longer affect the
// order.
func (q *queue) removeIdleFlows() {
	for name, f := range q.flows {
		if len(f.waiting) == 0 && f.finish <= q.virtual-f.credit() {
			delete(q.flows, name)
		}
	}
}

// credit returns the burst credit in virtual time.
func (f *flow) credit() float64 { return burstCredit / f.weight }

// push inserts a ticket in the order of its workspace.
func (q *queue) push(t Ticket) {
	f := q.flow(t)
	at := len(f.waiting)
	for at > 0 && t.before(&f.waiting[at-1]) {
		at--
	}
	f.waiting = slices.Insert(f.waiting, at, t)
	q.size++
}

// before orders workspaces by virtual start time, or by the virtual finish time of their
// next request. The larger weight wins a tie.
func (f *flow) before(o *flow, byFinish bool) bool {
	a, b := f.start, o.start
	if byFinish {
		a += f.waiting[0].cost() / f.weight
		b += o.waiting[0].cost() / o.weight
	}
	return cmp.Or(cmp.Compare(a, b), cmp.Compare(o.weight, f.weight), cmp.Compare(f.name, o.name)) < 0
}

// next returns the workspace whose first ticket is the next to start, or nil.
func (q *queue) next() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiting) > 0 && (best == nil || f.before(best, q.byFinish)) {
			best = f
		}
	}
	return best
}

// nextReturned returns the workspace that is the next to start of those whose first ticket
// is that of a client which has returned, or nil.
func (q *queue) nextReturned() *flow {
	var best *flow
	for _, f := range q.flows {
		if len(f.waiting) > 0 && f.waiting[0].Returned && (best == nil || f.before(best, q.byFinish)) {
			best = f
		}
	}
	return best
}

// pop removes and returns the next ticket to start and charges its workspace.
func (q *queue) pop() Ticket {
	best := q.next()
	t := best.waiting[0]
	best.waiting = best.waiting[1:]
	q.size--
	q.charge(best, t.cost())
	return t
}

// longest returns the workspace with the longest queue relative to its weight, or
// nil.
func (q *queue) longest() *flow {
	var longest *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if longest == nil || cmp.Or(cmp.Compare(f.relativeLength(0), longest.relativeLength(0)), cmp.Compare(f.name, longest.name)) > 0 {
			longest = f
		}
	}
	return longest
}

// displace drops a ticket from a full queue in favour of t. The victim is the last
// ticket of the workspace with the longest queue relative to its weight, so that a
// workspace that sends too much does not block the others. Within one workspace, a
// ticket displaces only one of lower priority.
func (q *queue) displace(t Ticket) (Dropped, bool) {
	longest := q.longest()
	if longest == nil {
		return Dropped{}, false
	}
	last := longest.waiting[len(longest.waiting)-1]
	if own := q.flow(t); own == longest && t.Priority <= last.Priority ||
		own != longest && own.relativeLength(1) >= longest.relativeLength(0) {
		return Dropped{}, false
	}
	return q.dropLast(longest), true
}

func (q *queue) dropLast(f *flow) Dropped {
	n := len(f.waiting) - 1
	d := Dropped{ID: f.waiting[n].ID, Code: CodeQueueFull}
	f.waiting = f.waiting[:n]
	q.size--
	return d
}

// dropExcess drops the tickets above the limit after the limit has fallen.
func (q *queue) dropExcess() []Dropped {
	var out []Dropped
	for q.size > q.limit {
		out = append(out, q.dropLast(q.longest()))
	}
	return out
}

// relativeLength returns the queue length, plus more tickets, divided by the
// weight.
func (f *flow) relativeLength(more int) float64 { return float64(len(f.waiting)+more) / f.weight }

// remove removes the matching tickets and returns them ordered by id.
func (q *queue) remove(code string, match func(Ticket) bool) []Dropped {
	var out []Dropped
	for _, t := range q.take(match) {
		out = append(out, Dropped{ID: t.ID, Code: code})
	}
	return out
}

// take removes the matching tickets and returns them ordered by id.
func (q *queue) take(match func(Ticket) bool) []Ticket {
	var out []Ticket
	for _, f := range q.flows {
		f.waiting = slices.DeleteFunc(f.waiting, func(t Ticket) bool {
			if !match(t) {
				return false
			}
			out = append(out, t)
			return true
		})
	}
	q.size -= len(out)
	slices.SortFunc(out, func(a, b Ticket) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func expired(t Ticket, now time.Duration) bool { return t.Deadline > 0 && now >= t.Deadline }
