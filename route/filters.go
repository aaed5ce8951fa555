package route

import "slices"

// target is what the filters compare with; the "model@version" key is built
// once per request.
type target struct {
	loaded  string // empty for a service
	service string
	tried   map[string]bool
}

func newTarget(r Request) target {
	if r.Service != "" {
		return target{service: r.Service, tried: r.Tried}
	}
	return target{loaded: r.Model + "@" + r.Version, tried: r.Tried}
}

// filter keeps endpoints that may take the request.
type filter struct {
	name string
	keep func(e *Endpoint, t *target) bool
}

// filters run in this order.
var filters = [...]filter{
	{"link_down", func(e *Endpoint, _ *target) bool { return e.Alive }},
	{"data_centre_out", func(e *Endpoint, _ *target) bool { return !e.DataCentreOut }},
	{"leaving", func(e *Endpoint, _ *target) bool { return !e.Leaving }},
	{"draining", func(e *Endpoint, _ *target) bool { return !e.Draining }},
	{"not_loaded", serves},
	{"tried", func(e *Endpoint, t *target) bool { return !t.tried[e.Name] }},
}

func serves(e *Endpoint, t *target) bool {
	if t.service != "" {
		return e.Service == t.service
	}
	return slices.Contains(e.Loaded, t.loaded)
}

// applyFilters returns the indexes of the endpoints that pass, and how many
// each filter removed.
func applyFilters(eps []Endpoint, t target) ([]int, [len(filters)]int) {
	var removed [len(filters)]int
	kept := make([]int, 0, len(eps))
next:
	for i := range eps {
		for f := range filters {
			if !filters[f].keep(&eps[i], &t) {
				removed[f]++
				continue next
			}
		}
		kept = append(kept, i)
	}
	return kept, removed
}

func noEndpoint(total int, removed [len(filters)]int) *NoEndpointError {
	e := &NoEndpointError{Total: total, Removed: map[string]int{}}
	for f, n := range removed {
		if n > 0 {
			e.Removed[filters[f].name] = n
		}
	}
	return e
}
