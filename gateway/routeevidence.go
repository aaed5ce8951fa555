package gateway

import (
	"time"

	"hyssoploom/attempt"
	"hyssoploom/fleet"
	"hyssoploom/peers"
	"hyssoploom/release"
)

const (
	// maxRouteHistory bounds the answers from before a rollout that an entry counts for a
	// route.
	maxRouteHistory = 20
	// maxRolloutRoutes is the number of routes that an entry counts apart in a rollout; the
	// others are counted together, under an empty name.
	maxRolloutRoutes = 64
	// suspicionInterval is the least time between two comparisons of the versions, which
	// take some tenths of a millisecond in a large fleet.
	suspicionInterval = 50 * time.Millisecond
)

// rolloutRoutes holds the answers of both versions of a rollout by route.
type rolloutRoutes struct {
	// before holds the answers of the old version before the order.
	before map[string]release.RouteAnswers
	own    release.RouteEvidence
	// changed is set when suspicion does not include the latest answers; comparedAt is when
	// it was last computed.
	changed    bool
	comparedAt time.Time
	suspicion  release.Suspicion
	// tested holds the routes on which the new version has answers.
	tested map[string]bool
}

// routeHistory returns the answers so far of the routes that only a service serves.
func (g *Gateway) routeHistory(view *fleet.View, service string) map[string]release.RouteAnswers {
	history := make(map[string]release.RouteAnswers)
	if view.Config == nil {
		return history
	}
	for _, route := range view.Config.Routes() {
		if len(route.Services) == 1 && route.Services[0].Service == service {
			history[route.Name] = g.routes.History(route.Name, maxRouteHistory)
		}
	}
	return history
}

// failedBefore reports whether an attempt before the last one failed.
func (c *clientRequest) failedBefore() bool {
	for _, a := range c.attempts[:max(len(c.attempts)-1, 0)] {
		if a.result == attempt.Failed {
			return true
		}
	}
	return false
}

// ownRoute returns this entry's answers of one version on a route in the current time
// slice.
func (r *rolloutState) ownRoute(route, version string) *release.RouteAnswers {
	if r.routes.own == nil {
		r.routes.own = make(release.RouteEvidence)
	}
	if len(r.routes.own) >= maxRolloutRoutes && r.routes.own[route] == nil {
		route = ""
	}
	if r.routes.own[route] == nil {
		r.routes.own.Route(route).Before = r.routes.before[route]
	}
	record := r.routes.own.Route(route)
	slice := release.TimeSlice(r.elapsed(), r.Duration)
	if version == r.Target {
		return &record.Target[slice]
	}
	return &record.Old[slice]
}

// countRoute counts an answer by its route.
func (r *rolloutState) countRoute(route, version string, result attempt.Outcome) {
	switch result {
	case attempt.Delivered, attempt.Escalated, attempt.Failed:
	default:
		return
	}
	answers := r.ownRoute(route, version)
	answers.Answers++
	if result == attempt.Failed {
		answers.Failed++
	}
	r.routes.changed = true
}

// countRouteTime counts the response time of a complete answer by its route.
func (r *rolloutState) countRouteTime(route, version string, slow bool) {
	answers := r.ownRoute(route, version)
	answers.Timed++
	if slow {
		answers.Slow++
	}
	r.routes.changed = true
}

// suspicion compares the versions by the answers of all entries.
func (r *rolloutState) suspicion() release.Suspicion {
	now := time.Now()
	if !r.routes.changed || now.Sub(r.routes.comparedAt) < suspicionInterval {
		return r.routes.suspicion
	}
	all := r.routeEvidence()
	r.routes.changed, r.routes.comparedAt, r.routes.suspicion = false, now, all.Suspicion()
	r.routes.tested = make(map[string]bool)
	for route, record := range all {
		r.routes.tested[route] = record.Target != [release.TimeSlices]release.RouteAnswers{}
	}
	return r.routes.suspicion
}

// routeEvidence returns the answers of all entries by route.
func (r *rolloutState) routeEvidence() release.RouteEvidence {
	all := make(release.RouteEvidence)
	all.Merge(r.routes.own)
	for _, p := range r.peers {
		all.Merge(p.old)
		all.Merge(p.target)
	}
	return all
}

// routeMessages returns this entry's answers of one version on the routes on which the new
// version has answers; only there are the versions compared.
func (r *rolloutState) routeMessages(target bool) []peers.RouteCounts {
	var messages []peers.RouteCounts
	for route, record := range r.routes.own {
		if !r.routes.tested[route] && record.Target == [release.TimeSlices]release.RouteAnswers{} {
			continue
		}
		slices := record.Old
		var counts [][4]int
		if target {
			slices = record.Target
		} else {
			counts = append(counts, encodeRouteAnswers(record.Before))
		}
		for _, a := range slices {
			counts = append(counts, encodeRouteAnswers(a))
		}
		messages = append(messages, peers.RouteCounts{Route: route, Counts: counts})
	}
	return messages
}

func encodeRouteAnswers(a release.RouteAnswers) [4]int {
	return [4]int{a.Answers, a.Failed, a.Timed, a.Slow}
}

// decodeRoutes returns the answers of one version by route that a peer has counted.
// Elements beyond the time slices are ignored.
func decodeRoutes(messages []peers.RouteCounts, target bool) release.RouteEvidence {
	routes := make(release.RouteEvidence, len(messages))
	for _, m := range messages {
		record, counts := routes.Route(m.Route), m.Counts
		slices := &record.Old
		if target {
			slices = &record.Target
		} else if len(counts) > 0 {
			record.Before, counts = decodeRouteAnswers(counts[0]), counts[1:]
		}
		for i, c := range counts[:min(len(counts), len(slices))] {
			slices[i] = decodeRouteAnswers(c)
		}
	}
	return routes
}

func decodeRouteAnswers(c [4]int) release.RouteAnswers {
	return release.RouteAnswers{Answers: c[0], Failed: c[1], Timed: c[2], Slow: c[3]}
}
