package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/release"
)

// Guards against signals that are forgotten while a server runs, kept for its next run, or
// believed for too long, in any order of responses and records.
func TestServerSignalsInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 28))
		g, _ := rolloutEntry("e1", release.Evidence{}, time.Second, 0)
		server := &fleet.BackendServer{ID: "i", StartedAtMS: 1}
		l := &load{}
		leaving, refuses := false, time.Time{}
		for range 30 {
			switch rng.IntN(4) {
			case 0:
				meta := &ResponseMeta{Leaving: rng.IntN(4) == 0, RefusesFor: []time.Duration{0, -time.Second, time.Minute, 24 * time.Hour}[rng.IntN(4)]}
				g.observeSignals(&target{server: server, load: l}, meta)
				leaving = leaving || meta.Leaving
				if until := time.Now().Add(min(meta.RefusesFor, maxRefusal)); meta.RefusesFor > 0 && until.After(refuses) {
					refuses = until
				}
			case 1: // a newer record of the same run
				server = &fleet.BackendServer{ID: "i", StartedAtMS: server.StartedAtMS, Address: "other"}
			case 2:
				if rng.IntN(3) == 0 { // it has started again
					server = &fleet.BackendServer{ID: "i", StartedAtMS: server.StartedAtMS + 1}
					leaving, refuses = false, time.Time{}
				}
			}
			signals := l.signals.of(server)
			if signals.leavingSince.IsZero() == leaving {
				t.Fatalf("seed %d: leaving %v, want %v", seed, !signals.leavingSince.IsZero(), leaving)
			}
			if d := signals.refusesUntil.Sub(refuses); d.Abs() > time.Second || time.Until(signals.refusesUntil) > maxRefusal {
				t.Fatalf("seed %d: refuses until %v, want %v", seed, signals.refusesUntil, refuses)
			}
		}
	}
}
