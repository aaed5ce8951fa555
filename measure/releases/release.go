// Package releases measures on simulated releases how package rollout tests
// versions (design, section 1.3). Time is virtual, so the results depend only on
// the seed.
package releases

import (
	"hyssoploom/rollout"
)

// Seeds is the number of seeds of the exposure measurement, and of batches of seeds
// of the measurement of false quarantines: 0 to Seeds-1.
const Seeds = 10

var (
	candidate         = rollout.VersionKey{Model: "m", Version: "v2"}
	baseline          = rollout.VersionKey{Model: "m", Version: "v1"}
	control           = rollout.ControlKey(candidate, baseline.Version)
	taskClasses       = []string{"contract draft", "member answer", "inspection summary", "repair quote"}
	baselinePassRates = []float64{0.92, 0.9, 0.85, 0.88}
)

// Release is the release of a version under test.
type Release struct {
	Name      string
	passRates []float64 // by task class
	errorRate float64   // share of answers that fail
	// allRules runs the release under all rules, not only the first.
	allRules bool
}

// Releases are the releases of the exposure measurement; the last one is as good as
// the baseline.
var Releases = []Release{
	{"passes 0.2 of answers", []float64{0.2, 0.2, 0.2, 0.2}, 0, true},
	{"passes 0.35 of answers", []float64{0.35, 0.35, 0.35, 0.35}, 0, false},
	{"passes 0.5 of answers", []float64{0.5, 0.5, 0.5, 0.5}, 0, true},
	{"passes 0.05 in one class of four", []float64{0.92, 0.05, 0.85, 0.88}, 0, true},
	{"half of the answers fail", baselinePassRates, 0.5, false},
	{"as good as the baseline", baselinePassRates, 0, false},
}
