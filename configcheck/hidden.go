package configcheck

import "strings"

// checkHidden finds routes that never match because an earlier one has their host and
// prefix. Of other routes of a host, the longest prefix matches.
func checkHidden(in *Input, r *report) {
	type match struct{ host, prefix string }
	seen := make(map[match]int)
	for i, route := range in.Routes {
		key := match{strings.ToLower(route.Host), route.Prefix}
		first, hidden := seen[key]
		if !hidden {
			seen[key] = i
			continue
		}
		r.warn(field(Routes, i, FieldPrefix), "its requests are handled as those of the earlier route",
			"never matches: route %s has the same host and prefix and comes first", in.Routes[first].Name)
	}
}
