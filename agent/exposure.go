package agent

import (
	"slices"
	"sync"
	"time"

	"hyssoploom/config"
	"hyssoploom/control"
	"hyssoploom/health"
	"hyssoploom/link"
	"hyssoploom/rollout"
)

// exposure limits the number of unrated answers of versions under test.
type exposure struct {
	server   string // name of this agent's backend server
	snapshot *config.Snapshot
	health   *health.Monitor

	mu      sync.Mutex
	budgets *rollout.Exposure
	limited []rollout.VersionKey // versions that may have slots in budgets
}

func newExposure(server string, snapshot *config.Snapshot, monitor *health.Monitor) *exposure {
	return &exposure{server: server, snapshot: snapshot, health: monitor, budgets: rollout.NewExposure()}
}

// acquire takes a slot for an answer of the version. It returns false if the budget is
// used up. Versions that are not under test need no slot.
func (e *exposure) acquire(r *link.Request) bool {
	key := versionKey(r.Model, r.Version)
	if r.Kind != link.KindChat || !e.health.UnderTest(key) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.limited, key) {
		e.limited = append(e.limited, key)
	}
	return e.budgets.Acquire(key, r.RequestID, e.budgetShare(key))
}

// release frees the slot of an answer that was not generated.
func (e *exposure) release(r *link.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budgets.Release(versionKey(r.Model, r.Version), r.RequestID)
}

// markFailed marks the slot of an answer that failed in the engine and will never be
// rated.
func (e *exposure) markFailed(r *link.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budgets.Failed(versionKey(r.Model, r.Version), r.RequestID)
}

// onRating frees the slot of a rated answer.
func (e *exposure) onRating(m control.AnswerRated) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budgets.Rated(m.Key, m.RequestID)
}

// expire frees the slots of answers whose rating was lost.
func (e *exposure) expire(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budgets.Expire(now)
}

// reconcile drops the slots of versions that are no longer in the records.
func (e *exposure) reconcile() {
	view := e.snapshot.View()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range e.limited {
		if modelVersion(view, key.Model, key.Version) == nil {
			e.budgets.Forget(key)
		}
	}
	e.limited = slices.DeleteFunc(e.limited, func(key rollout.VersionKey) bool {
		return modelVersion(view, key.Model, key.Version) == nil
	})
}

// budgetShare returns this agent's share of the fleet-wide budget. All agents compute
// it from the same records, so the shares add up to at most the budget.
func (e *exposure) budgetShare(key rollout.VersionKey) int {
	view := e.snapshot.View()
	budget := 0 // 0 selects the default
	if v := modelVersion(view, key.Model, key.Version); v != nil {
		budget = v.ExposureBudget
	}
	budget = e.health.EffectiveBudget(key, budget)
	var servers []string
	for name, s := range view.BackendServers {
		if serves(s, key.Model, key.Version) {
			servers = append(servers, name)
		}
	}
	slices.Sort(servers)
	return rollout.BudgetShare(budget, len(servers), slices.Index(servers, e.server))
}
