package config

import "slices"

// AllowsModel reports whether the workspace may use any version of the model.
func (w *Workspace) AllowsModel(model string) bool {
	return slices.ContainsFunc(w.Allow, func(g ModelGrant) bool { return g.Model == model })
}
