package rollout

import (
	"fmt"

	"hyssoploom/config"
)

// NoVersionError reports that no version of a model may take a new session.
type NoVersionError struct {
	Model string
	// Quarantined and Forbidden count the active versions that were excluded
	// because of a quarantine or because the workspace may not use them.
	Quarantined, Forbidden int
}

func (e *NoVersionError) Error() string {
	return fmt.Sprintf("no version of model %q takes new sessions (%d quarantined, %d not allowed)",
		e.Model, e.Quarantined, e.Forbidden)
}

// Assign selects the version of a new session from the active versions, at
// random in proportion to their weights. u must be uniform in [0, 1). The error
// is a *NoVersionError when no version is eligible.
func Assign(m *config.Model, quarantined, allowed func(version string) bool, u float64) (string, error) {
	err := &NoVersionError{Model: m.Name}
	var eligible []config.ModelVersion
	totalWeight := 0.0
	for _, v := range m.Versions {
		switch {
		case v.State != config.VersionActive || !(v.Weight > 0):
		case quarantined(v.Version):
			err.Quarantined++
		case !allowed(v.Version):
			err.Forbidden++
		default:
			eligible = append(eligible, v)
			totalWeight += v.Weight
		}
	}
	if len(eligible) == 0 {
		return "", err
	}
	remaining := u * totalWeight
	for _, v := range eligible {
		if remaining -= v.Weight; remaining < 0 {
			return v.Version, nil
		}
	}
	return eligible[len(eligible)-1].Version, nil
}

// PinDecision is the decision on a request of a session that is pinned to a
// version.
type PinDecision int

// Decisions on pinned sessions.
const (
	Keep   PinDecision = iota // serve it with the pinned version
	Repin                     // select another version with Assign
	Refuse                    // reject the request without running it
)

func (d PinDecision) String() string {
	return [...]string{"keep", "repin", "refuse"}[d]
}

// DecidePin decides on a session that is pinned to a version. Draining versions
// keep their sessions. For a withdrawn or quarantined version its on_withdraw
// setting applies; the default is to refuse. Sessions pinned to a version that
// the workspace may not use or that the model does not list are refused.
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
