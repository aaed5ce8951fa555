package release

import (
	"math/rand/v2"
	"time"
)

// smallService describes the traffic of a service without sessions and the fault of its
// new version.
type smallService struct {
	perSecond float64
	entries   int
	duration  time.Duration
	// routes holds the share of the requests and the failure rate of each route.
	routes []routeLoad
	// slowRate is the share of slow answers of a sound version.
	slowRate float64

	// The new version fails, or is slow, in addition in this share of its answers, from
	// badAfter on, on all routes or on badRoute.
	failing, slow float64
	badAfter      time.Duration
	badRoute      string
}

type routeLoad struct {
	name         string
	share, fails float64
}

// drawSmallService returns a service with a sound new version.
func drawSmallService(rng *rand.Rand) smallService {
	return smallService{
		perSecond: 20 + 15*rng.Float64(),
		entries:   2 + rng.IntN(6),
		duration:  time.Duration(16+rng.IntN(12)) * time.Second,
		slowRate:  0.03 * rng.Float64(),
		routes: []routeLoad{
			{"steady", 0.5 + 0.3*rng.Float64(), 0.01 * rng.Float64()},
			{"failing", 0.1 + 0.2*rng.Float64(), 0.2 * rng.Float64()},
			{"rare", 0.1 * rng.Float64(), 0},
			{"always fails", 0.05 * rng.Float64(), 1},
		},
	}
}

// playResult is the outcome of a rollout that was played.
type playResult struct {
	completed, rejected bool
	// requests and exposed count all requests and those to the new version until the end
	// of the duration.
	requests, exposed int
}

const evidenceDelay = 250 * time.Millisecond

// play plays a rollout in virtual time. Entries know each other's answers with a delay.
func (s smallService) play(rng *rand.Rand) playResult {
	limits := Limits{Share: 0.15, Slack: 30}
	total := 0.0
	for _, r := range s.routes {
		total += r.share
	}
	pick := func() routeLoad {
		x := rng.Float64() * total
		for _, r := range s.routes {
			if x -= r.share; x < 0 {
				return r
			}
		}
		return s.routes[0]
	}
	own := make([]Evidence, s.entries)
	fleet, routes := Evidence{}, RouteEvidence{}
	type answer struct {
		at    time.Duration
		apply func()
	}
	var inTransit []answer
	p := Progress{Duration: s.duration, TargetReady: true}
	result := playResult{}
	decided := time.Duration(-1)
	interval := time.Duration(float64(time.Second) / s.perSecond)
	for range int(s.perSecond * 4) { // history before the order
		r := pick()
		a := &routes.Route(r.name).Before
		count(a, rng.Float64() < r.fails, rng.Float64() < s.slowRate)
	}
	for now := time.Duration(0); now < s.duration; now += time.Duration(rng.ExpFloat64() * float64(interval)) {
		for len(inTransit) > 0 && inTransit[0].at <= now {
			inTransit[0].apply()
			inTransit = inTransit[1:]
		}
		p.Elapsed, p.Evidence = now, fleet
		p.Suspicion = routes.Suspicion()
		if !result.rejected && !result.completed {
			switch {
			case p.Bad():
				result.rejected = true
			case decided >= 0 && now >= decided+AgreementTime:
				result.completed = true
			case decided < 0 && p.Complete(limits):
				if p.LikelyBad() {
					result.rejected = true
				}
				decided = now
			}
		}
		result.requests++
		i := rng.IntN(s.entries)
		p.Own = own[i]
		onTarget := result.completed
		if !result.completed && !result.rejected {
			onTarget = UseTarget(Assignment{Progress: p, Limits: limits, Entries: s.entries + 1, Position: rng.Float64(), Sessionless: true})
		}
		r := pick()
		bad := onTarget && now >= s.badAfter && (s.badRoute == "" || s.badRoute == r.name)
		failed := rng.Float64() < r.fails || bad && rng.Float64() < s.failing
		slow := rng.Float64() < s.slowRate || bad && rng.Float64() < s.slow
		counts, mine := &fleet.Old, &own[i].Old
		if onTarget {
			result.exposed++
			counts, mine = &fleet.Target, &own[i].Target
		}
		mine.Sent++
		slice := TimeSlice(now, s.duration)
		inTransit = append(inTransit, answer{now + evidenceDelay, func() {
			counts.Sent++
			if failed {
				counts.Bad++
			} else {
				counts.Good++
				counts.Timed++
				if slow {
					counts.Slow++
				}
			}
			record := routes.Route(r.name)
			a := &record.Old[slice]
			if onTarget {
				a = &record.Target[slice]
			}
			count(a, failed, slow)
		}})
	}
	return result
}

// count adds an answer; the time of a failure does not count.
func count(a *RouteAnswers, failed, slow bool) {
	a.Answers++
	if failed {
		a.Failed++
		return
	}
	a.Timed++
	if slow {
		a.Slow++
	}
}
