package rollout

import (
	"fmt"

	"hyssoploom/config"
)

// NoVersionError reports that no version of a model may take a new session.
type NoVersionError struct {
	Model string
	// Quarantined and Forbidden count the active versions that were left out.
	Quarantined, Forbidden int
}

func (e *NoVersionError) Error() string {
	return fmt.Sprintf("no version of model %q takes new sessions (%d quarantined, %d not allowed)",
		e.Model, e.Quarantined, e.Forbidden)
}

// Assign chooses the version of a new session among the active versions by
// weight; u is uniform in [0, 1). It fails with *NoVersionError.
func Assign(m *config.Model, quarantined, allowed func(version string) bool, u float64) (string, error) {
	err := &NoVersionError{Model: m.Name}
	var open []config.ModelVersion
	total := 0.0
	for _, v := range m.Versions {
		switch {
		case v.State != config.VersionActive || !(v.Weight > 0):
		case quarantined(v.Version):
			err.Quarantined++
		case !allowed(v.Version):
			err.Forbidden++
		default:
			open = append(open, v)
			total += v.Weight
		}
	}
	if len(open) == 0 {
		return "", err
	}
	at := u * total
	for _, v := range open {
		if at -= v.Weight; at < 0 {
			return v.Version, nil
		}
	}
	return open[len(open)-1].Version, nil
}

// PinDecision says what happens to a session that is pinned to a version.
type PinDecision int

// The decisions.
const (
	Keep   PinDecision = iota
	Repin              // choose another version with Assign
	Refuse             // not run
)

func (d PinDecision) String() string {
	return [...]string{"keep", "repin", "refuse"}[d]
}

// DecidePin decides on a session that is pinned to a version. Draining versions
// keep their sessions. For a withdrawn or quarantined version its on_withdraw
// decides, where absence means refuse. A version that the workspace may not use
// or that is not in the record refuses.
func DecidePin(m *config.Model, version string, quarantined, allowed func(version string) bool) PinDecision {
	for _, v := range m.Versions {
		if v.Version != version {
			continue
		}
		switch {
		case !allowed(version):
			return Refuse
		case v.State != config.VersionWithdrawn && !quarantined(version):
			return Keep
		case v.OnWithdraw == config.WithdrawRepin:
			return Repin
		}
	}
	return Refuse
}
