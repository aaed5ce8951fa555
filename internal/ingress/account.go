// Package ingress bounds what the clients of all listeners of a process can make it hold
// before a request has been decided: connections with their buffers, heads of requests that
// are being read, and messages of other entries. Clients need not keep the limits that the
// configuration names.
package ingress

import (
	"container/list"
	"time"
)

// group tells whom a listener serves. Each group has a part of the bounds that the others
// cannot take.
type group int

const (
	// clients are the callers of the process.
	clients group = iota
	// checks are readiness checks, metrics and other requests of operators.
	checks
	// links are connections between processes of the fleet.
	links
	groupCount
)

// phase is the phase of a connection. It decides whether the connection may be closed to
// make room for others.
type phase int

const (
	// undecided: no request has arrived yet, or a head or a first message is unfinished.
	undecided phase = iota
	// serving: a request is running, or the other side has sent a whole message.
	serving
	// idle: kept open between two requests.
	idle
	// stalled: a request is running whose client has taken nothing of its answer for
	// stallTime.
	stalled
)

// holder is the share of one connection in an account.
type holder struct {
	address string
	group   group
	phase   phase
	// since is when the phase began.
	since time.Duration
	// base is the memory of the connection itself, held that of the connection with its
	// head, in bytes.
	base, held int64
	// element is the place in list, that of the phase; both are nil while serving or after
	// removal.
	list    *list.List
	element *list.Element
	removed bool
	// close ends the connection, which was removed from the account to make room.
	close func()
}

// bucket holds the undecided connections of one address, the oldest first.
type bucket struct {
	holders list.List
	held    int64
}

// bounds are the bounds of an account: memory in bytes, and connections.
type bounds struct {
	bytes       int64
	connections int
}

// part returns 1/n of the bounds.
func (b bounds) part(n int) bounds { return bounds{b.bytes / int64(n), b.connections / n} }

// plus returns the sum.
func (b bounds) plus(other bounds) bounds {
	return bounds{b.bytes + other.bytes, b.connections + other.connections}
}

// atLeast returns the larger of each.
func (b bounds) atLeast(other bounds) bounds {
	return bounds{max(b.bytes, other.bytes), max(b.connections, other.connections)}
}

// within tells whether neither exceeds the limit.
func (b bounds) within(limit bounds) bool {
	return b.bytes <= limit.bytes && b.connections <= limit.connections
}

// reserves are the parts (1/n) of the bounds that are kept for each group. What no group has
// reserved is shared.
var reserves = [groupCount]int{clients: 4, checks: 16, links: 16}

const (
	// headReserve is the part (1/n) of the memory that is kept from unfinished and large heads
	// of clients, so that requests whose head arrives whole find room.
	headReserve = 4
	// crowdedPart is the part (1/n) of the bounds above which new connections get small kernel
	// buffers.
	crowdedPart = 2
	// smallHead is the memory in bytes of a usual head, of some 4 KiB.
	smallHead = 32 << 10
	// minUndecidedTime is how long a connection stays at least before it may be closed to make
	// room, so that one whose head has arrived is read first, also on a busy VM.
	minUndecidedTime = 500 * time.Millisecond
)

// tally is what the connections of one group hold.
type tally struct {
	reserve, used bounds
	buckets       map[string]*bucket // by client address
	// idle and stalled hold the connections of these phases, the longest first.
	idle, stalled list.List
}

// account is the sum of what all connections hold. It does no I/O and is not safe for
// concurrent use.
type account struct {
	bounds bounds
	groups [groupCount]tally
}

func newAccount(b bounds) *account {
	a := &account{bounds: b}
	for g := range a.groups {
		a.groups[g].reserve = b.part(reserves[g])
		a.groups[g].buckets = make(map[string]*bucket)
	}
	return a
}

// used returns what all connections hold.
func (a *account) used() (sum bounds) {
	for g := range a.groups {
		sum = sum.plus(a.groups[g].used)
	}
	return sum
}

// crowded tells whether connections hold more than 1/crowdedPart of the bounds.
func (a *account) crowded() bool { return !a.used().within(a.bounds.part(crowdedPart)) }

// fits tells whether a group may take more, so that all groups with their reserves stay within
// the limit. A group that stays within its own reserve always fits into the account's bounds.
func (a *account) fits(g group, more, limit bounds) bool {
	var sum bounds
	for i := range a.groups {
		used := a.groups[i].used
		if group(i) == g {
			used = used.plus(more)
		}
		sum = sum.plus(used.atLeast(a.groups[i].reserve))
	}
	return sum.within(limit)
}

// admit adds a connection that holds base bytes. It returns the connections that had to be
// removed for it, or false if there is no room for it now; wait is then the time after which
// there may be, 0 if that depends on others. now is a monotonic time.
func (a *account) admit(now time.Duration, h *holder) (removed []*holder, wait time.Duration, ok bool) {
	more := bounds{h.base, 1}
	for !a.fits(h.group, more, a.bounds) {
		victim, wait := a.oldestUndecided(now, h.group, more)
		if wait > 0 {
			return removed, wait, false
		}
		if victim == nil {
			victim = a.longest(h.group, more, func(t *tally) *list.List { return &t.idle })
		}
		if victim == nil {
			victim = a.longest(h.group, more, func(t *tally) *list.List { return &t.stalled })
		}
		if victim == nil {
			return removed, 0, false
		}
		a.remove(victim)
		removed = append(removed, victim)
	}
	h.held = h.base
	a.groups[h.group].used = a.groups[h.group].used.plus(more)
	a.enlist(now, h, undecided)
	return removed, 0, true
}

// grow adds n bytes to what a head or message holds. whole tells that it has arrived at once.
// It returns the connections that had to be removed for it, or false if there is no room.
// Then h, which may be among the removed ones, has to be closed.
func (a *account) grow(now time.Duration, h *holder, n int64, whole bool) (removed []*holder, ok bool) {
	if h.removed {
		return nil, false
	}
	limit, more := a.bounds, bounds{bytes: n}
	if h.group == clients && (!whole || n > smallHead) {
		limit.bytes -= limit.bytes / headReserve
	}
	for !a.fits(h.group, more, limit) {
		victim, _ := a.oldestUndecided(now, h.group, more)
		if victim == nil {
			return removed, false
		}
		a.remove(victim)
		removed = append(removed, victim)
		if victim == h {
			return removed, false
		}
	}
	t := &a.groups[h.group]
	t.used.bytes += n
	h.held += n
	if b := t.buckets[h.address]; b != nil && h.phase == undecided {
		b.held += n
	}
	return removed, true
}

// setPhase moves a connection to a phase. The memory of its head is
// released when the request has ended.
func (a *account) setPhase(now time.Duration, h *holder, p phase) {
	if h.removed {
		return
	}
	a.delist(h)
	if p == idle {
		a.groups[h.group].used.bytes -= h.held - h.base
		h.held = h.base
	}
	a.enlist(now, h, p)
}

// settle releases the memory of a whole message and keeps the connection as serving.
func (a *account) settle(now time.Duration, h *holder) {
	a.setPhase(now, h, idle)
	a.setPhase(now, h, serving)
}

// remove takes out a connection and what it holds. Further calls have no effect.
func (a *account) remove(h *holder) {
	if h.removed {
		return
	}
	a.delist(h)
	h.removed = true
	t := &a.groups[h.group]
	t.used = t.used.plus(bounds{-h.held, -1})
}

// mayYield tells whether closing connections of a group makes room for another that wants
// more: those within their reserve keep it.
func (a *account) mayYield(g, wants group, more bounds) bool {
	used := a.groups[g].used
	if g == wants {
		used = used.plus(more)
	}
	reserve := a.groups[g].reserve
	return used.bytes > reserve.bytes || used.connections > reserve.connections
}

// oldestUndecided returns the oldest undecided connection of the address whose undecided
// connections hold most, among the addresses whose oldest may be closed now to make room for a
// group that wants more. If there is none, it returns the time until there is one, 0 without
// undecided connections.
func (a *account) oldestUndecided(now time.Duration, wants group, more bounds) (h *holder, wait time.Duration) {
	var most *bucket
	for g := range a.groups {
		if !a.mayYield(group(g), wants, more) {
			continue
		}
		for _, b := range a.groups[g].buckets {
			oldest := first(&b.holders)
			if left := oldest.since + minUndecidedTime - now; left > 0 {
				if wait == 0 || left < wait {
					wait = left
				}
				continue
			}
			if most == nil || b.held > most.held || b.held == most.held && oldest.since < h.since {
				most, h = b, oldest
			}
		}
	}
	if h != nil {
		return h, 0
	}
	return nil, wait
}

// longest returns the connection that has been longest in one of the lists of the groups that
// may make room; nil if there is none.
func (a *account) longest(wants group, more bounds, of func(*tally) *list.List) (h *holder) {
	for g := range a.groups {
		if !a.mayYield(group(g), wants, more) {
			continue
		}
		if front := first(of(&a.groups[g])); front != nil && (h == nil || front.since < h.since) {
			h = front
		}
	}
	return h
}

// first returns the first connection of a list; nil if it is empty.
func first(l *list.List) *holder {
	if front := l.Front(); front != nil {
		return front.Value.(*holder)
	}
	return nil
}

func (a *account) enlist(now time.Duration, h *holder, p phase) {
	h.phase, h.since = p, now
	t := &a.groups[h.group]
	switch p {
	case undecided:
		b := t.buckets[h.address]
		if b == nil {
			b = &bucket{}
			t.buckets[h.address] = b
		}
		b.held += h.held
		h.list = &b.holders
	case idle:
		h.list = &t.idle
	case stalled:
		h.list = &t.stalled
	case serving:
		return
	}
	h.element = h.list.PushBack(h)
}

func (a *account) delist(h *holder) {
	if h.list == nil {
		return
	}
	h.list.Remove(h.element)
	h.list, h.element = nil, nil
	t := &a.groups[h.group]
	if b := t.buckets[h.address]; h.phase == undecided {
		if b.held -= h.held; b.holders.Len() == 0 {
			delete(t.buckets, h.address)
		}
	}
}
