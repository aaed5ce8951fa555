package entry

import (
	"sync"

	"hyssoploom/config"
	"hyssoploom/rollout"
)

// departures knows the versions whose sessions may have moved.
type departures struct {
	mu   sync.Mutex
	left map[rollout.VersionKey]config.WithdrawPolicy
}

// forgetDeparted drops the cached sessions of a model's versions that were
// withdrawn or quarantined since the last call. Another entry may pin them to
// another version meanwhile, and they must not come back when the version does.
func (e *Entry) forgetDeparted(model *config.Model) {
	d := &e.departures
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.left == nil {
		d.left = make(map[rollout.VersionKey]config.WithdrawPolicy)
	}
	for _, v := range model.Versions {
		key := versionKey(model.Name, v.Version)
		if v.State != config.VersionWithdrawn && !e.health.Quarantined(model.Name, v.Version) {
			delete(d.left, key)
			continue
		}
		if policy, known := d.left[key]; !known || policy != v.OnWithdraw {
			d.left[key] = v.OnWithdraw
			e.sessions.Forget(model.Name, v.Version)
		}
	}
}
