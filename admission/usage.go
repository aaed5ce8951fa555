package admission

import (
	"maps"
	"slices"
	"time"
)

const (
	// usualTime is the time in which what counts as usual for a workspace follows a lasting
	// change: longer than a burst.
	usualTime = time.Minute
	// usualLearning is how long after its first request a workspace's usual work is the mean
	// of what it has sent so far.
	usualLearning = 5 * time.Second
	// maxUsualRise bounds the work that counts, relative to the usual: a burst must not
	// become usual while it lasts.
	maxUsualRise = 2.0
	// idleDemand is the work per time below which a workspace is idle: a millisecond a second.
	idleDemand = 1e-3
	// minUsualShare is the least weight of a workspace relative to the mean, so that new ones
	// get a share.
	minUsualShare = 0.25
	// equalPart is the part of the work that is shared out equally between the entries; the
	// rest follows their demand. An entry that has just started has only that.
	equalPart = 0.2
	// silence is how long after its last message a peer's demand goes on to fall: half of the
	// interval of its reports. From then on it is kept as it was, for as long as the peer is
	// registered: an entry that is cut off must not take the shares of all others.
	silence = 250 * time.Millisecond
	// usageRefresh is the interval at which sums over entries are updated.
	usageRefresh = 50 * time.Millisecond
	// maxWorkspaces bounds the workspaces of one service whose work is kept. Those that were
	// used least recently give way, unless they have work now: the work of more counts as
	// that of one.
	maxWorkspaces = 1024
	// maxReportedRequests and maxReportedWork bound what one report can claim of a workspace.
	maxReportedRequests = 10_000
	maxReportedWork     = time.Minute
)

// Use is the work that the requests of a workspace ask of a service.
type Use struct {
	Workspace uint64 // hash of the name
	Requests  int
	Work      time.Duration
	// Usual is the usual work per time over all entries, 0 if the sender does not know.
	Usual float64
}

// bounded returns the use within the bounds on reports, and whether it was beyond them.
func (u Use) bounded() (Use, bool) {
	b := u
	b.Requests = min(max(u.Requests, 0), maxReportedRequests)
	b.Work = min(max(u.Work, 0), maxReportedWork)
	if !(u.Usual >= 0 && u.Usual <= maxReportedWork.Seconds()) {
		b.Usual = 0
	}
	return b, b != u
}

// Usage holds the recent work that each workspace asks of a service, by entry, and what is
// usual for it. All entries keep the same sums, within the delay of their reports.
type Usage struct {
	own   *entryUse
	peers map[string]*entryUse
	usual map[uint64]*usualUse

	refreshedAt   time.Duration
	demand        map[uint64]float64 // work per time, over all entries
	ownFair, fair float64
	total         float64 // of demand
	meanUsual     float64
}

// entryUse is the work that one entry was asked for.
type entryUse struct {
	work  map[uint64]*decayed
	heard time.Duration
}

// usualUse is what is usual for a workspace.
type usualUse struct {
	rate    float64 // work per time
	first   time.Duration
	used    time.Duration // when it last had work
	learned float64       // integral of the demand while it is learned, in work
}

// NewUsage returns a Usage without any work.
func NewUsage() *Usage {
	return &Usage{own: newEntryUse(), peers: make(map[string]*entryUse), usual: make(map[uint64]*usualUse), refreshedAt: -1}
}

func newEntryUse() *entryUse { return &entryUse{work: make(map[uint64]*decayed)} }

func (e *entryUse) add(now time.Duration, workspace uint64, work time.Duration) {
	if e.work[workspace] == nil && len(e.work) >= maxWorkspaces {
		if e.removeIdle(now); len(e.work) >= maxWorkspaces {
			workspace = 0
		}
	}
	if e.work[workspace] == nil {
		e.work[workspace] = &decayed{at: now}
	}
	e.work[workspace].add(now, float64(work))
}

// removeIdle drops the workspaces that have no work now.
func (e *entryUse) removeIdle(now time.Duration) {
	maps.DeleteFunc(e.work, func(_ uint64, d *decayed) bool { return d.rate(now) < idleDemand })
}

// Record counts work that a client of this entry asks for.
func (u *Usage) Record(now time.Duration, workspace uint64, work time.Duration) {
	use, _ := Use{Workspace: workspace, Work: work}.bounded()
	u.own.add(now, workspace, use.Work)
}

// Report counts work that a peer has reported. It reports whether the claim was within the
// bounds.
func (u *Usage) Report(now time.Duration, peer string, use Use) bool {
	e := u.peer(peer)
	e.heard = max(e.heard, now)
	bounded, excess := use.bounded()
	e.add(now, use.Workspace, bounded.Work)
	if bounded.Usual > 0 && u.usual[use.Workspace] == nil && u.roomForUsual(now) {
		u.usual[use.Workspace] = &usualUse{rate: bounded.Usual, first: now - usualLearning, used: now}
	}
	return !excess
}

// roomForUsual drops the workspace that was used least recently if there is no room for
// another one. It reports whether there is room: workspaces that have work now are kept.
func (u *Usage) roomForUsual(now time.Duration) bool {
	if len(u.usual) < maxWorkspaces {
		return true
	}
	oldest, used := uint64(0), now
	for workspace, w := range u.usual {
		if w.used < used || w.used == used && workspace < oldest {
			oldest, used = workspace, w.used
		}
	}
	if used >= now {
		return false
	}
	delete(u.usual, oldest)
	return true
}

// Heard records that a message of a peer has arrived.
func (u *Usage) Heard(now time.Duration, peer string) { u.peer(peer).heard = now }

func (u *Usage) peer(name string) *entryUse {
	if u.peers[name] == nil {
		u.peers[name] = newEntryUse()
	}
	return u.peers[name]
}

// Retain forgets the peers for which keep returns false.
func (u *Usage) Retain(keep func(peer string) bool) {
	maps.DeleteFunc(u.peers, func(peer string, _ *entryUse) bool { return !keep(peer) })
}

// Share returns this entry's share of the work, from 0 to 1, of the given number of entries.
// It follows what the entries' clients ask for; what a workspace asks for beyond its usual
// does not count, so that it does not draw the room of other entries' workspaces.
func (u *Usage) Share(now time.Duration, entries int) float64 {
	u.refresh(now)
	equal := 1 / float64(max(entries, 1))
	if u.fair <= 0 {
		return equal
	}
	return equalPart*equal + (1-equalPart)*u.ownFair/u.fair
}

// Demand returns the work per time that clients ask of all entries.
func (u *Usage) Demand(now time.Duration) float64 {
	u.refresh(now)
	return u.total
}

// Weight returns the weight of a workspace's share: its usual work.
func (u *Usage) Weight(now time.Duration, workspace uint64) float64 {
	u.refresh(now)
	if u.meanUsual <= 0 {
		return 1
	}
	usual := 0.0
	if w := u.usual[workspace]; w != nil {
		usual = w.rate
	}
	return max(usual/u.meanUsual, minUsualShare)
}

// Excess returns how many times its usual work a workspace asks for, 1 if it is not known.
func (u *Usage) Excess(now time.Duration, workspace uint64) float64 {
	u.refresh(now)
	if w := u.usual[workspace]; w != nil && w.rate > 0 {
		return u.demand[workspace] / w.rate
	}
	return 1
}

// Own returns the work of this entry's clients in the last moments and what is usual for
// their workspaces, for an entry that has just started.
func (u *Usage) Own(now time.Duration) []Use {
	u.refresh(now)
	var out []Use
	for _, workspace := range slices.Sorted(maps.Keys(u.usual)) {
		use := Use{Workspace: workspace, Usual: u.usual[workspace].rate}
		if d := u.own.work[workspace]; d != nil {
			use.Work = time.Duration(d.value(now))
		}
		out = append(out, use)
	}
	return out
}

// refresh updates the sums and what is usual.
func (u *Usage) refresh(now time.Duration) {
	if u.refreshedAt >= 0 && now-u.refreshedAt < usageRefresh {
		return
	}
	elapsed := max(now-max(u.refreshedAt, 0), 0)
	u.refreshedAt = now
	u.demand = make(map[uint64]float64)
	for workspace, d := range u.own.work {
		u.demand[workspace] += d.rate(now)
	}
	for _, e := range u.peers {
		for workspace, d := range e.work {
			u.demand[workspace] += d.rate(min(now, e.heard+silence))
		}
	}
	u.updateUsual(now, elapsed)
	u.ownFair, u.fair, u.total = 0, 0, 0
	for workspace, demand := range u.demand {
		u.total += demand
		if demand <= 0 {
			continue
		}
		counted := demand
		if w := u.usual[workspace]; w != nil {
			counted = min(demand, max(w.rate, minUsualShare*u.meanUsual))
		}
		u.fair += counted
		if d := u.own.work[workspace]; d != nil {
			u.ownFair += counted * d.rate(now) / demand
		}
	}
}

// updateUsual follows the demand of each workspace.
func (u *Usage) updateUsual(now, elapsed time.Duration) {
	total := 0.0
	for workspace, demand := range u.demand {
		w := u.usual[workspace]
		if w == nil {
			if demand < idleDemand || !u.roomForUsual(now) {
				continue
			}
			w = &usualUse{first: now, rate: demand}
			u.usual[workspace] = w
		}
		if demand >= idleDemand {
			w.used = now
		}
		if age := now - w.first; age < usualLearning {
			w.learned += demand * min(elapsed, age).Seconds()
			if age > 0 {
				w.rate = w.learned / age.Seconds()
			}
		}
	}
	for workspace, w := range u.usual {
		// What is usual for an idle workspace is kept.
		if now-w.first >= usualLearning && u.demand[workspace] >= idleDemand {
			sample := min(u.demand[workspace], maxUsualRise*w.rate)
			w.rate += (sample - w.rate) * min(elapsed.Seconds()/usualTime.Seconds(), 1)
		}
		total += w.rate
	}
	u.meanUsual = 0
	if len(u.usual) > 0 {
		u.meanUsual = total / float64(len(u.usual))
	}
}
