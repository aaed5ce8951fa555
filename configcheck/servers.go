package configcheck

import (
	"slices"

	"hyssoploom/fleet"
)

// checkServers finds services of routes that have no backend server in the route's regions.
// Servers of unknown region count as being in any.
func checkServers(in *Input, r *report) {
	if in.Servers == nil {
		return
	}
	for i, route := range in.Routes {
		for j, w := range route.Services {
			if in.service(w.Service) == nil || w.Weight == 0 && len(route.Services) > 1 {
				continue // found by other checks
			}
			ready := slices.DeleteFunc(slices.Clone(in.Servers[w.Service]), func(s *fleet.BackendServer) bool {
				return s.Draining || in.OutOfService[s.DataCentre]
			})
			near := slices.ContainsFunc(ready, func(s *fleet.BackendServer) bool {
				return len(route.Regions) == 0 || s.Region == "" || slices.Contains(route.Regions, s.Region)
			})
			at := item(Routes, i, FieldServices, j)
			const loss = "its share of the requests is refused until there is one"
			switch {
			case len(in.Servers[w.Service]) == 0:
				r.warn(at, loss, "service %q has no backend server", w.Service)
			case len(ready) == 0:
				r.warn(at, loss, "all %d backend servers of service %q drain or are in data centres out of service", len(in.Servers[w.Service]), w.Service)
			case !near:
				r.warn(at, loss, "service %q has no backend server in the route's regions", w.Service)
			}
		}
	}
}
