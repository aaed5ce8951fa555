package configcheck

// checkKeys finds keys that do not identify one workspace, and routes that nobody has a key
// for. It names no key.
func checkKeys(in *Input, r *report) {
	holder := make(map[string]int)
	for i, w := range in.Workspaces {
		if len(w.Keys) == 0 {
			r.warn(field(Workspaces, i, FieldKeys), "its callers get 401", "the workspace has no key")
		}
		for j, key := range w.Keys {
			at := item(Workspaces, i, FieldKeys, j)
			first, repeated := holder[key]
			switch {
			case key == "":
				r.error(at, "requests without a key are served as those of this workspace", "the key is empty")
			case repeated && first == i:
				r.warn(at, "none", "the workspace lists this key twice")
			case repeated:
				r.error(at, "the requests of one are handled and charged as those of the other",
					"workspace %s has the same key", in.Workspaces[first].Name)
			}
			holder[key] = i
		}
	}
	if len(in.Workspaces) == 0 || len(holder) > 0 {
		return
	}
	for i, route := range in.Routes {
		if !route.Public {
			r.error(field(Routes, i, FieldPublic), "all its requests get 401", "the route needs a key, and no workspace has one")
		}
	}
}
