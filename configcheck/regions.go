package configcheck

import (
	"slices"
	"strings"
)

// checkRegions finds regions that do not exist, and workspaces whose regions have none in
// common with those of a route.
func checkRegions(in *Input, r *report) {
	exist := func(list List, i int, regions []string) {
		for j, region := range regions {
			if in.Process != nil && len(in.Process.Regions) > 0 && !slices.Contains(in.Process.Regions, region) {
				r.warn(item(list, i, FieldRegions, j), "requests that are restricted to it alone are refused", "the deployment has no region %q", region)
			}
		}
	}
	for i, w := range in.Workspaces {
		exist(Workspaces, i, w.Regions)
	}
	for i, route := range in.Routes {
		exist(Routes, i, route.Regions)
		if route.Public {
			continue
		}
		var apart []string
		for _, w := range in.Workspaces {
			if !shareRegion(route.Regions, w.Regions) {
				apart = append(apart, w.Name)
			}
		}
		at := field(Routes, i, FieldRegions)
		switch {
		case len(apart) == 0:
		case len(apart) == len(in.Workspaces):
			r.error(at, "all its requests are refused", "no workspace has a region in common with the route")
		default:
			r.warn(at, "their requests on this route are refused", "no region in common with workspaces %s", strings.Join(apart, ", "))
		}
	}
}
