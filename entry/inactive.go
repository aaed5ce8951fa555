package entry

import (
	"sync"

	"hyssoploom/config"
	"hyssoploom/rollout"
)

// inactiveVersions tracks the versions that are withdrawn or quarantined, with the
// withdraw policy for which their cached sessions were last dropped.
type inactiveVersions struct {
	mu               sync.Mutex
	withdrawPolicies map[rollout.VersionKey]config.WithdrawPolicy
}

// forgetInactiveSessions drops the cached sessions of the model's versions that
// were withdrawn or quarantined, or whose withdraw policy changed, since the last
// call. Another entry may pin these sessions to another version, so the cached pins
// must not be used again when the version returns.
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
