package configcheck

import (
	"slices"

	"hyssoploom/fleet"
)

// checkReferences finds references to services and models that do not exist.
func checkReferences(in *Input, r *report) {
	for i, route := range in.Routes {
		for j, w := range route.Services {
			service := in.service(w.Service)
			if service == nil {
				r.error(item(Routes, i, FieldServices, j), "its share of the requests is refused", "service %q does not exist", w.Service)
				continue
			}
			if len(route.Models) == 0 {
				continue
			}
			if service.Engine == nil {
				r.warn(item(Routes, i, FieldServices, j), "requests are placed there as those of a plain service, and fail if its servers do not serve the models",
					"service %q has no engines, but the route names models", w.Service)
				continue
			}
			for k, model := range route.Models {
				if !slices.ContainsFunc(service.Engine.Models, func(m fleet.Model) bool { return m.Name == model }) {
					r.error(item(Routes, i, FieldModels, k), "requests that are sent to this model fail", "the engines of service %q do not serve model %q", w.Service, model)
				}
			}
		}
	}
}
