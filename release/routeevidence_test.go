package release

import "testing"

// Guards against evidence that depends on the share of the requests on each route, and
// against a route that always failed and counts against the new version.
func TestVersionsAreComparedByRoute(t *testing.T) {
	evidence := func(routes ...[4]int) RouteEvidence {
		e := make(RouteEvidence)
		for i, r := range routes {
			record := e.Route(string(rune('a' + i)))
			record.Old[1] = RouteAnswers{Answers: r[0], Failed: r[1]}
			record.Target[1] = RouteAnswers{Answers: r[2], Failed: r[3]}
		}
		return e
	}
	for _, c := range []struct {
		name string
		e    RouteEvidence
		bad  bool
	}{
		{"as before", evidence([4]int{300, 1, 30, 0}, [4]int{100, 14, 10, 1}), false},
		{"more of the route that fails", evidence([4]int{300, 1, 10, 0}, [4]int{100, 30, 40, 13}), false},
		{"a route that always fails", evidence([4]int{300, 1, 10, 0}, [4]int{20, 20, 25, 25}), false},
		{"an unknown route", evidence([4]int{300, 1, 10, 0}, [4]int{0, 0, 4, 4}), false},
		{"failures of a rare route", evidence([4]int{300, 1, 20, 2}, [4]int{42, 0, 4, 3}), true},
		{"failures of all routes", evidence([4]int{300, 1, 20, 5}, [4]int{100, 14, 10, 4}), true},
	} {
		p := Progress{Suspicion: c.e.Suspicion()}
		if got := p.Bad(); got != c.bad {
			t.Errorf("%s: bad %v, %+v", c.name, got, p.Suspicion)
		}
	}
}
