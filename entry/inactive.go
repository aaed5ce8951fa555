package entry

import (
	"sync"

	"hyssoploom/config"
	"hyssoploom/rollout"
)

// departures knows the versions whose sessions may have moved.
type inactiveVersions struct {
	mu               sync.Mutex
	withdrawPolicies map[rollout.VersionKey]config.WithdrawPolicy
}

// forgetDeparted drops the cached sessions of a model's versions that were
// withdrawn or quarantined since the last call. Another entry may pin them to
// another version meanwhile, and they must not come back when the version does.
func (e *Entry) forgetInactiveSessions(model *config.Model) {
	d := &e.inactiveVersions
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.withdrawPolicies == nil {
		d.withdrawPolicies = make(map[rollout.VersionKey]config.WithdrawPolicy)
	}
	for _, v := range model.Versions {
		key := versionKey(model.Name, v.Version)
		if v.State != config.VersionWithdrawn && !e.health.Quarantined(model.Name, v.Version) {
			delete(d.withdrawPolicies, key)
			continue
		}
		if policy, known := d.withdrawPolicies[key]; !known || policy != v.OnWithdraw {
			d.withdrawPolicies[key] = v.OnWithdraw
			e.sessions.Forget(model.Name, v.Version)
		}
	}
}
