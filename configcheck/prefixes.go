package configcheck

import "strings"

// checkPrefixes finds routes that no request can name.
func checkPrefixes(in *Input, r *report) {
	const loss = "its requests get 404 or go to another route"
	for i, route := range in.Routes {
		if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
			r.error(field(Routes, i, FieldPrefix), loss, "prefix %q must begin and end with a slash", route.Prefix)
		}
		if route.Host == "" || strings.ContainsAny(route.Host, ":/ ") {
			r.error(field(Routes, i, FieldHost), loss, "host %q must be a name without a port", route.Host)
		}
	}
}
