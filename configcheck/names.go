package configcheck

// checkNames finds entries that have no name or share one.
func checkNames(in *Input, r *report) {
	unique := func(list List, count int, name func(int) string, repeated func(at Ref, first int)) {
		seen := make(map[string]int)
		for i := range count {
			at := field(list, i, FieldName)
			if name(i) == "" {
				r.error(at, "nothing can refer to it", "the %s has no name", list)
				continue
			}
			if first, ok := seen[name(i)]; ok {
				repeated(at, first)
				continue
			}
			seen[name(i)] = i
		}
	}
	unique(Services, len(in.Services), func(i int) string { return in.Services[i].Name }, func(at Ref, _ int) {
		r.error(at, "requests follow the last of them; the limits of the others are not applied", "another service has this name")
	})
	unique(Routes, len(in.Routes), func(i int) string { return in.Routes[i].Name }, func(at Ref, _ int) {
		r.warn(at, "logs and latencies of both are mixed, and second attempts are timed by them", "another route has this name")
	})
	unique(Workspaces, len(in.Workspaces), func(i int) string { return in.Workspaces[i].Name }, func(at Ref, _ int) {
		r.warn(at, "charges and shares of both are counted together", "another workspace has this name")
	})
}
