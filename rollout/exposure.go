package rollout

import (
	"math"
	"time"
)

// DefaultBudget is the exposure budget of a version whose record sets none.
const DefaultBudget = 20

// A slot whose rating never comes is freed in three cases only, because a slow
// rater must not hide a bad version:
//
//   - overdueAfter has passed since the answer failed. It will not be rated, but
//     it is counted as an error; a version that always fails is held to its
//     budget each minute even where its errors are not judged.
//   - overdueAfter has passed and an answer that was started later has been
//     rated meanwhile, which shows that the rater works and this rating is lost;
//   - else the oldest slot of a version, not more often than every dripEvery.
//     In an hour without a rater an agent thus starts at most four answers
//     beyond its share.
const (
	overdueAfter = time.Minute
	dripEvery    = 15 * time.Minute
)

type slot struct {
	since  time.Duration // start, or failure
	order  uint64
	failed bool
}

type exposed struct {
	slots     map[string]slot
	lastRated uint64 // highest order that was rated
	lastDrip  time.Duration
}

// Exposure counts, at one agent, the answers of versions under test that are
// not yet rated.
type Exposure struct {
	now      time.Duration // as of the last Expire
	order    uint64
	versions map[VersionKey]*exposed
}

// NewExposure returns an empty Exposure.
func NewExposure() *Exposure { return &Exposure{versions: map[VersionKey]*exposed{}} }

// Acquire takes a slot for a request and reports whether one of share slots
// was free. A request that holds a slot already keeps it.
func (x *Exposure) Acquire(key VersionKey, requestID string, share int) bool {
	v := x.versions[key]
	if v == nil {
		v = &exposed{slots: map[string]slot{}, lastDrip: x.now}
		x.versions[key] = v
	}
	if _, held := v.slots[requestID]; held {
		return true
	}
	if len(v.slots) >= share {
		return false
	}
	x.order++
	v.slots[requestID] = slot{since: x.now, order: x.order}
	return true
}

// Release frees the slot of a request that was refused before it reached the
// backend server.
func (x *Exposure) Release(key VersionKey, requestID string) {
	if v := x.versions[key]; v != nil {
		delete(v.slots, requestID)
	}
}

// Failed marks the slot of a request whose answer failed after the start. The
// slot stays taken for overdueAfter.
func (x *Exposure) Failed(key VersionKey, requestID string) {
	v := x.versions[key]
	if v == nil {
		return
	}
	if s, held := v.slots[requestID]; held {
		v.slots[requestID] = slot{since: x.now, order: s.order, failed: true}
	}
}

// Rated frees the slot of a request whose answer was rated.
func (x *Exposure) Rated(key VersionKey, requestID string) {
	v := x.versions[key]
	if v == nil {
		return
	}
	if s, held := v.slots[requestID]; held {
		v.lastRated = max(v.lastRated, s.order)
		delete(v.slots, requestID)
	}
}

// Unrated is the number of slots taken.
func (x *Exposure) Unrated(key VersionKey) int {
	if v := x.versions[key]; v != nil {
		return len(v.slots)
	}
	return 0
}

// Expire frees the slots whose rating is lost. It also sets the time at which
// slots are taken from now on, so the agent calls it at least each second.
func (x *Exposure) Expire(now time.Duration) {
	x.now = now
	for _, v := range x.versions {
		v.expire(now)
	}
}

func (v *exposed) expire(now time.Duration) {
	oldest, found := "", false
	for id, s := range v.slots {
		if now-s.since >= overdueAfter && (s.failed || s.order < v.lastRated) {
			delete(v.slots, id)
			continue
		}
		if !found || s.order < v.slots[oldest].order {
			oldest, found = id, true
		}
	}
	if found && now-v.slots[oldest].since >= dripEvery && now-v.lastDrip >= dripEvery {
		delete(v.slots, oldest)
		v.lastDrip = now
	}
}

// Forget drops the slots of a version that has left the records.
func (x *Exposure) Forget(key VersionKey) { delete(x.versions, key) }

// BudgetShare is the part of a budget that the agent with the given rank (from 0)
// among agentsRunningIt may use. The shares of all ranks sum to the budget.
func BudgetShare(budget, agentsRunningIt, rank int) int {
	if agentsRunningIt <= 0 || rank < 0 || rank >= agentsRunningIt || budget <= 0 {
		return 0
	}
	share := budget / agentsRunningIt
	if rank < budget%agentsRunningIt {
		share++
	}
	return share
}

// Unlimited is the budget of a version that has passed its test.
const Unlimited = math.MaxInt

// maxPenalty bounds what a failed rating takes from a budget.
const maxPenalty = 3

// EffectiveBudget is the part of a version's exposure budget that is open to it. It
// starts at two fifths, because the first ratings of a bad version arrive while
// agents that do not have them yet still refill freed slots. Each answer that
// passes opens one more, and each that fails closes so many that the budget of
// a version as good as its baseline still grows. One always stays open, or the
// test could not end.
func EffectiveBudget(budget int, candidate, baseline Counts, v Verdict) int {
	switch v {
	case Bad:
		return 0
	case Good:
		return Unlimited
	}
	if budget <= 0 {
		budget = DefaultBudget
	}
	penalty := 1.0
	if b := ratingArm(baseline); b.n() >= controlRated {
		penalty = min(maxPenalty, 0.5*b.pass/max(1, b.fail))
	}
	start := float64((2*budget + 4) / 5)
	c := ratingArm(candidate)
	return min(budget, max(1, int(start+c.pass-penalty*c.fail)))
}
