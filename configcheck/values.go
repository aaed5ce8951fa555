package configcheck

import (
	"math"
	"time"
)

// checkValues finds numbers that no entry can apply.
func checkValues(in *Input, r *report) {
	const loss = "entries take their default or no limit in its place"
	duration := func(at Ref, d time.Duration) {
		if d < 0 {
			r.error(at, loss, "%v is negative", d)
		}
	}
	number := func(at Ref, v float64) {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			r.error(at, loss, "%v is not a number of at least 0", v)
		}
	}
	for i, route := range in.Routes {
		duration(field(Routes, i, FieldTimeout), route.Timeout)
		duration(field(Routes, i, FieldLatencyTarget), route.LatencyTarget)
		duration(field(Routes, i, FieldGapTarget), route.GapTarget)
		number(field(Routes, i, FieldPriority), float64(route.Priority))
		number(field(Routes, i, FieldMaxAttempts), float64(route.MaxAttempts))
	}
	for i, s := range in.Services {
		number(field(Services, i, FieldMaxConnections), float64(s.MaxConnections))
		duration(field(Services, i, FieldColdStart), s.ColdStart)
		number(field(Services, i, FieldColdRate), s.ColdRate)
		if e := s.Engine; e != nil && (e.Slots <= 0 || e.CacheTokens <= 0) {
			r.error(field(Services, i, FieldEngine), "requests with prompts are placed without regard to the engines' room",
				"engines of %d slots and %d tokens of memory", e.Slots, e.CacheTokens)
		}
	}
	number(field(Limits, 0, FieldHeaderBytes), float64(in.Limits.HeaderBytes))
	number(field(Limits, 0, FieldBodyBytes), float64(in.Limits.BodyBytes))
	duration(field(Limits, 0, FieldHeaderTimeout), in.Limits.HeaderTimeout)
	duration(field(Limits, 0, FieldIdleTimeout), in.Limits.IdleTimeout)
}
