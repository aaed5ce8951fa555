package rollout

import (
	"math"
	"time"
)

// DefaultBudget is the exposure budget, in unrated answers, of a version whose
// record sets none.
const DefaultBudget = 20

// The slot of an answer that is never rated is freed in these cases only, because
// a slow rater must not let a bad version exceed its budget:
//
//   - ratingTimeout has passed since the answer failed. A failed answer is not
//     rated but counted as an error. The delay limits a version that always fails
//     to its budget per minute, even where its errors are not evaluated.
//   - ratingTimeout has passed and an answer that started later has been rated.
//     The rater therefore works and this rating is lost.
//   - Otherwise only the oldest slot of a version is freed, at most once every
//     forcedReleaseInterval. During an hour without a rater, an agent starts at
//     most four answers beyond its share.
const (
	ratingTimeout         = time.Minute
	forcedReleaseInterval = 15 * time.Minute
)

type slot struct {
	since  time.Duration // time of the start or of the failure
	order  uint64        // position in the order of starts
	failed bool
}

// versionSlots holds the slots of one version by request ID.
type versionSlots struct {
	slots             map[string]slot
	lastRatedOrder    uint64 // highest order of a rated answer
	lastForcedRelease time.Duration
}

// Exposure tracks the unrated answers of versions under test at one agent.
type Exposure struct {
	now      time.Duration // time of the last call to Expire
	order    uint64        // order of the last slot taken
	versions map[VersionKey]*versionSlots
}

// NewExposure returns an empty Exposure.
func NewExposure() *Exposure { return &Exposure{versions: map[VersionKey]*versionSlots{}} }

// Acquire takes one of share slots for a request and reports whether it has one.
// A request that already holds a slot keeps it.
func (x *Exposure) Acquire(key VersionKey, requestID string, share int) bool {
	v := x.versions[key]
	if v == nil {
		v = &versionSlots{slots: map[string]slot{}, lastForcedRelease: x.now}
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
// slot is freed after ratingTimeout.
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
		v.lastRatedOrder = max(v.lastRatedOrder, s.order)
		delete(v.slots, requestID)
	}
}

// Unrated returns the number of slots in use.
func (x *Exposure) Unrated(key VersionKey) int {
	if v := x.versions[key]; v != nil {
		return len(v.slots)
	}
	return 0
}

// Expire frees the slots whose rating is lost. It also sets the time that is
// recorded for new slots, so the agent calls it at least once a second.
func (x *Exposure) Expire(now time.Duration) {
	x.now = now
	for _, v := range x.versions {
		v.expire(now)
	}
}

func (v *versionSlots) expire(now time.Duration) {
	oldest, found := "", false
	for id, s := range v.slots {
		if now-s.since >= ratingTimeout && (s.failed || s.order < v.lastRatedOrder) {
			delete(v.slots, id)
			continue
		}
		if !found || s.order < v.slots[oldest].order {
			oldest, found = id, true
		}
	}
	if found && now-v.slots[oldest].since >= forcedReleaseInterval && now-v.lastForcedRelease >= forcedReleaseInterval {
		delete(v.slots, oldest)
		v.lastForcedRelease = now
	}
}

// Forget drops the slots of a version that was deleted from the configuration.
func (x *Exposure) Forget(key VersionKey) { delete(x.versions, key) }

// BudgetShare returns the part of a budget that belongs to the agent with the given
// rank, counted from 0, among all agents that run the version. The shares of all
// ranks sum to the budget.
func BudgetShare(budget, agents, rank int) int {
	if agents <= 0 || rank < 0 || rank >= agents || budget <= 0 {
		return 0
	}
	share := budget / agents
	if rank < budget%agents {
		share++
	}
	return share
}

// Unlimited is the budget of a version whose verdict is Good.
const Unlimited = math.MaxInt

// maxFailurePenalty is the most slots that one failed rating removes from a budget.
const maxFailurePenalty = 3

// EffectiveBudget returns the part of a version's exposure budget that is available
// now. It starts at two fifths of the budget, because when the first ratings of a
// bad version arrive, agents that have not received them yet still reuse freed
// slots. Each answer that passes adds one slot. Each answer that fails removes so
// many that the budget of a version as good as its baseline still grows. At least
// one slot stays available, because the test could not end without new ratings.
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
	if b := ratingArm(baseline); b.n() >= minControlRatings {
		penalty = min(maxFailurePenalty, 0.5*b.pass/max(1, b.fail))
	}
	start := float64((2*budget + 4) / 5)
	c := ratingArm(candidate)
	return min(budget, max(1, int(start+c.pass-penalty*c.fail)))
}
