package release

const (
	// steadyAnswers is the number of answers from which a route may count as steady,
	// and steadyShare the share of failures below which it does.
	steadyAnswers = 20
	steadyShare   = 0.02
	// routeMemory is the number of answers after which earlier ones count half.
	routeMemory = 1000
)

// RouteStats remembers how often answers on each route fail, other than those of a new
// version.
type RouteStats map[string]RouteCounts

// RouteCounts counts the answers on one route.
type RouteCounts struct{ answers, failed int }

// Observe adds an answer on a route.
func (r RouteStats) Observe(route string, failed bool) {
	record := r[route]
	record.answers++
	if failed {
		record.failed++
	}
	if record.answers >= routeMemory {
		record.answers, record.failed = record.answers/2, record.failed/2
	}
	r[route] = record
}

// Steady tells whether answers on a route hardly ever fail.
func (r RouteStats) Steady(route string) bool {
	record := r[route]
	return record.answers >= steadyAnswers && float64(record.failed) < steadyShare*float64(record.answers)
}
