package configcheck

import (
	"slices"

	"hyssoploom/fleet"
)

// checkAttempts finds attempts that the models or the budgets contradict.
func checkAttempts(in *Input, r *report) {
	for i, route := range in.Routes {
		at := field(Routes, i, FieldMaxAttempts)
		if len(route.Models) > 1 && route.MaxAttempts < 2 {
			r.warn(at, "unsure answers of small models are delivered", "%d models, but 1 attempt: an answer is never replaced by one of a larger model", len(route.Models))
		}
		if p := in.Process; p != nil && p.RetryRatio <= 0 && p.RetrySlack < 1 && route.MaxAttempts > 1 {
			r.warn(at, "requests fail with their first backend server, and unsure answers of small models are delivered",
				"%d attempts, but the settings leave no retry (bounds.retry_ratio, bounds.retry_slack)", route.MaxAttempts)
		}
	}
	if in.Process == nil || in.Process.ExtraShare == nil {
		return
	}
	for _, name := range in.Process.ExtraServices {
		if in.service(name) == nil {
			r.warn(field(Whole, 0, ""), "none", "second_attempts.services.%s: the service does not exist", name)
		}
	}
	for i, service := range in.Services {
		share := in.Process.ExtraShare(service.Name)
		if share <= 0 {
			continue
		}
		at := field(Services, i, FieldName)
		if share > in.Process.RetryRatio {
			r.warn(at, "slow answers are not cut as far as the share allows",
				"an extra share of %v (second_attempts) above the retries per request of %v (bounds.retry_ratio)", share, in.Process.RetryRatio)
		}
		if in.hasIdempotent(service.Name, 1) && !in.hasIdempotent(service.Name, 2) {
			r.warn(at, "slow answers are not cut", "an extra share of %v (second_attempts), but all idempotent routes have 1 attempt", share)
		}
	}
}

// hasIdempotent reports whether an idempotent route of a service has so many attempts.
func (d *Document) hasIdempotent(service string, attempts int) bool {
	return slices.ContainsFunc(d.Routes, func(route *fleet.Route) bool {
		return route.Kind == fleet.Idempotent && route.MaxAttempts >= attempts &&
			slices.ContainsFunc(route.Services, func(w fleet.WeightedService) bool { return w.Service == service })
	})
}
