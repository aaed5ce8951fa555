package agent

import (
	"slices"
	"sync"

	"hyssoploom/config"
	"hyssoploom/control"
	"hyssoploom/health"
	"hyssoploom/link"
	"hyssoploom/rollout"
)

// defaultExposureBudget is the number of answers not yet rated that a version
// under test may have in the whole fleet.
const defaultExposureBudget = 20

// exposure limits the answers of versions under test that are not rated yet.
type exposure struct {
	server   string // backend server
	snapshot *config.Snapshot
	health   *health.Keeper

	mu      sync.Mutex
	budgets *rollout.Exposure
}

func newExposure(server string, snapshot *config.Snapshot, keeper *health.Keeper) *exposure {
	return &exposure{server: server, snapshot: snapshot, health: keeper, budgets: rollout.NewExposure()}
}

// acquire reports whether one more answer of the version may be produced.
func (e *exposure) acquire(r *link.Request) bool {
	key := versionKey(r.Model, r.Version)
	if r.Kind != link.KindChat || !e.health.UnderTest(key) {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budgets.Acquire(key, r.RequestID, e.share(key))
}

// release gives back the slot of an answer that was not produced.
func (e *exposure) release(r *link.Request) { e.rated(versionKey(r.Model, r.Version), r.RequestID) }

// onRating frees the slot of an answer that was rated.
func (e *exposure) onRating(m control.Rating) { e.rated(m.Key, m.RequestID) }

func (e *exposure) rated(key rollout.VersionKey, requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budgets.Rated(key, requestID)
}

// share is this agent's part of the fleet-wide budget: every agent computes it
// from the same records, so the parts sum to at most the budget.
func (e *exposure) share(key rollout.VersionKey) int {
	view := e.snapshot.View()
	budget := defaultExposureBudget
	if v := modelVersion(view, key.Model, key.Version); v != nil && v.ExposureBudget > 0 {
		budget = v.ExposureBudget
	}
	var servers []string
	for name, s := range view.BackendServers {
		if serves(s, key.Model, key.Version) {
			servers = append(servers, name)
		}
	}
	slices.Sort(servers)
	return rollout.Share(budget, len(servers), slices.Index(servers, e.server))
}
