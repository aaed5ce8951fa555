package configcheck

// checkTimeouts finds routes whose times contradict each other.
func checkTimeouts(in *Input, r *report) {
	for i, route := range in.Routes {
		if route.Timeout <= 0 {
			continue // the default is longer than any target
		}
		if route.LatencyTarget > route.Timeout {
			r.warn(field(Routes, i, FieldTimeout), "requests are ended that could still meet their target",
				"the timeout of %v is shorter than the latency target of %v", route.Timeout, route.LatencyTarget)
		}
		if route.GapTarget > route.Timeout {
			r.warn(field(Routes, i, FieldGapTarget), "streams are ended in a gap that is allowed",
				"the timeout of %v is shorter than the allowed gap of %v", route.Timeout, route.GapTarget)
		}
		if p := in.Process; p != nil && p.Grace > 0 && !route.Repeatable() && route.Timeout > p.Grace {
			r.warn(field(Routes, i, FieldTimeout), "requests that still run when an entry stops are cut, and cannot be sent again",
				"the timeout of %v is longer than the grace of a stop of %v (bounds.grace_s)", route.Timeout, p.Grace)
		}
	}
}
