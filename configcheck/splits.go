package configcheck

import "math"

// checkSplits finds routes whose requests cannot be split by the weights of their services,
// and services that get none of them.
func checkSplits(in *Input, r *report) {
	for i, route := range in.Routes {
		total := 0.0
		seen := make(map[string]bool)
		for j, w := range route.Services {
			at := item(Routes, i, FieldWeight, j)
			switch {
			case w.Weight < 0 || math.IsNaN(w.Weight) || math.IsInf(w.Weight, 0):
				r.error(at, "the shares of all its services are wrong", "weight %v must be a number of at least 0", w.Weight)
			case w.Weight == 0 && len(route.Services) > 1:
				r.warn(at, "none, if it is meant to get no requests", "service %q has the weight 0 and never gets a request", w.Service)
			case seen[w.Service]:
				r.warn(at, "none; the service gets the sum of the shares", "service %q is listed more than once", w.Service)
			}
			seen[w.Service] = true
			total += w.Weight
		}
		if len(route.Services) > 1 && total == 0 {
			r.error(field(Routes, i, FieldServices), "all requests go to the last service", "the weights add up to 0")
		}
	}
}
