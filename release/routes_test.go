package release

import "testing"

// Guards against routes that count as steady although they fail occasionally or have
// had too few answers to tell, and against routes that stay unsteady because of old
// failures.
func TestSteadyRoutes(t *testing.T) {
	routes := make(RouteStats)
	observe := func(route string, answers, every int) {
		for i := range answers {
			routes.Observe(route, every > 0 && i%every == 0)
		}
	}
	observe("new", minSteadyAnswers-1, 0)
	observe("steady", 100, 0)
	observe("rare", 200, 250)
	observe("failing", 100, 7)
	observe("mended", 100, 2)
	observe("mended", 20*routeHalvingAnswers, 0)
	for route, want := range map[string]bool{"unknown": false, "new": false, "steady": true, "rare": true, "failing": false, "mended": true} {
		if got := routes.Steady(route); got != want {
			t.Errorf("%s: %v", route, got)
		}
	}
}
