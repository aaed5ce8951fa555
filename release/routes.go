package release

import "math"

const (
	// minSteadyAnswers is the number of answers from which a route may count as
	// steady, and maxSteadyFailureRate the failure rate below which it does.
	minSteadyAnswers     = 20
	maxSteadyFailureRate = 0.02
	// routeHalvingAnswers is the number of answers at which the counts of a route
	// are halved, so that old answers lose weight.
	routeHalvingAnswers = 1000
)

// RouteStats counts the answers and failures of each route, without those of a new
// version.
type RouteStats map[string]RouteCounts

// RouteCounts counts the answers of one route.
type RouteCounts struct{ answers, failed int }

// Observe adds an answer of a route.
func (s RouteStats) Observe(route string, failed bool) {
	record := s[route]
	record.answers++
	if failed {
		record.failed++
	}
	if record.answers >= routeHalvingAnswers {
		record.answers, record.failed = record.answers/2, record.failed/2
	}
	s[route] = record
}

// History returns the answers of a route, scaled down to at most limit.
func (s RouteStats) History(route string, limit int) RouteAnswers {
	record := s[route]
	if record.answers <= limit {
		return RouteAnswers{Answers: record.answers, Failed: record.failed}
	}
	return RouteAnswers{Answers: limit, Failed: int(math.Round(float64(limit*record.failed) / float64(record.answers)))}
}

// Steady reports whether answers of a route rarely fail.
func (s RouteStats) Steady(route string) bool {
	record := s[route]
	return record.answers >= minSteadyAnswers && float64(record.failed) < maxSteadyFailureRate*float64(record.answers)
}
