package release

const (
	// steadyAnswers is the number of answers from which a route may count as steady,
	// and steadyShare the share of failures below which it does.
	steadyAnswers = 20
	steadyShare   = 0.02
	// routeMemory is the number of answers after which earlier ones count half.
	routeMemory = 1000
)

// Routes remembers how often answers on each route fail, other than those of a new
// version.
type Routes map[string]RouteRecord

// RouteRecord counts the answers on one route.
type RouteRecord struct{ answers, failed int }

// Observe adds an answer on a route.
func (r Routes) Observe(route string, failed bool) {
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
func (r Routes) Steady(route string) bool {
	record := r[route]
	return record.answers >= steadyAnswers && float64(record.failed) < steadyShare*float64(record.answers)
}
