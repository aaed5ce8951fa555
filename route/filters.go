package route

import "slices"

// target holds the properties of a request that the filters check. The
// "model@version" key is built once per request.
type target struct {
	modelVersion string // "model@version"; empty for a service
	service      string
	resume       bool
	tried        map[string]bool
}

func newTarget(r Request) target {
	if r.Service != "" {
		return target{service: r.Service, tried: r.Tried}
	}
	return target{modelVersion: r.Model + "@" + r.Version, resume: r.Resume, tried: r.Tried}
}

// filter selects the endpoints that may serve the request.
type filter struct {
	name string
	keep func(e *Endpoint, t *target) bool
}

// filters are applied in this order.
var filters = [...]filter{
	{"link_down", func(e *Endpoint, _ *target) bool { return e.Alive }},
	{"data_centre_out", func(e *Endpoint, _ *target) bool { return !e.DataCentreOut }},
	{"leaving", func(e *Endpoint, _ *target) bool { return !e.Leaving }},
	{"draining", func(e *Endpoint, _ *target) bool { return !e.Draining }},
	{"not_loaded", servesTarget},
	{"cannot_resume", func(e *Endpoint, t *target) bool { return e.Resumes || !t.resume }},
	{"tried", func(e *Endpoint, t *target) bool { return !t.tried[e.Name] }},
}

func servesTarget(e *Endpoint, t *target) bool {
	if t.service != "" {
		return e.Service == t.service
	}
	return slices.Contains(e.Loaded, t.modelVersion)
}

// applyFilters returns the indexes of the endpoints that pass, and the number that
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
