package routing

import (
	"fmt"
	"time"
)

// At joinAt the cold servers join the fleet, or turn cold. Requests that arrive in
// joinWindow after it are measured, those in earlyWindow separately too.
const (
	joinAt, joinWindow = 40 * time.Second, 60 * time.Second
	earlyWindow        = 10 * time.Second
)

// Sizes of the fleet of a ColdCase.
const (
	coldServers  = 3
	totalServers = 20
	warmServers  = totalServers - coldServers
)

// ColdCase is a load on a fleet in which three of twenty servers are cold.
type ColdCase struct {
	Answers Workload
	// Load is relative to the capacity of the 17 servers that stay warm.
	Load float64
	// Unannounced makes the three servers turn cold while they serve requests;
	// otherwise they join the fleet cold.
	Unannounced bool
}

// ColdRun is the result of one policy for one seed.
type ColdRun struct {
	// P95 and P99 are quantiles of the first-token time of the requests that arrive
	// within 60 s after the servers are cold. EarlyP95 covers the first 10 s.
	P95, P99, EarlyP95 time.Duration
	// StartsAboveLimit counts the requests started above the cold limit, StillCold
	// the servers that are cold at the end.
	StartsAboveLimit, StillCold int
}

// ColdResult compares the router with least-connections balancing without warm-up.
type ColdResult struct {
	Seed             uint64
	Router, Baseline ColdRun
}

// P95 returns the p95 over 60 s relative to the baseline.
func (r ColdResult) P95() float64 { return ratio(r.Router.P95, r.Baseline.P95) }

// P99 returns the p99 over 60 s relative to the baseline.
func (r ColdResult) P99() float64 { return ratio(r.Router.P99, r.Baseline.P99) }

// EarlyP95 returns the p95 over the first 10 s relative to the baseline.
func (r ColdResult) EarlyP95() float64 { return ratio(r.Router.EarlyP95, r.Baseline.EarlyP95) }

func (r ColdResult) String() string {
	ours, base := r.Router, r.Baseline
	return fmt.Sprintf("seed %2d: first 10 s: p95 %v, baseline %v; 60 s: p95 %v, baseline %v; p99 %v, baseline %v; starts above the cold limit %d, baseline %d; cold at the end %d, baseline %d",
		r.Seed, round(ours.EarlyP95), round(base.EarlyP95), round(ours.P95), round(base.P95), round(ours.P99), round(base.P99),
		ours.StartsAboveLimit, base.StartsAboveLimit, ours.StillCold, base.StillCold)
}

// RunSeed runs the router and the baseline with one seed.
func (c ColdCase) RunSeed(seed uint64) ColdResult {
	return ColdResult{
		Seed:     seed,
		Baseline: c.run(seed, policy{choose: chooseLeastConnections, config: noWarmUpConfig, retry: retryWithinBudget}),
		Router:   c.run(seed, policy{choose: chooseByRouter, config: routerAgentConfig, retry: retryWithinBudget}),
	}
}

// run simulates the case with one policy.
func (c ColdCase) run(seed uint64, p policy) ColdRun {
	s := newSim(seed, totalServers, 4, 1, c.Answers, p)
	for i, srv := range s.servers {
		if i >= coldServers || c.Unannounced {
			srv.ctrl = newWarmController(p.config)
		}
		switch {
		case i >= coldServers:
		case c.Unannounced:
			s.schedule(joinAt, func() { srv.cold, srv.warmUpCompletions = true, 0 })
		default:
			s.setAlive(i, false)
			s.schedule(joinAt, func() { srv.cold = true; s.setAlive(i, true) })
		}
	}
	s.generateArrivals("w", c.Load*warmServers*c.Answers.capacity(), joinAt+joinWindow)
	s.run(joinAt + joinWindow + 2*c.Answers.deadline)
	firstToken := func(q float64, window time.Duration) time.Duration {
		return quantile(s.jobs, q, firstTokenLatency, func(j *job) bool {
			return j.firstToken > 0 && j.arrived >= joinAt && j.arrived < joinAt+window
		})
	}
	r := ColdRun{P95: firstToken(0.95, joinWindow), P99: firstToken(0.99, joinWindow), EarlyP95: firstToken(0.95, earlyWindow)}
	for _, srv := range s.servers[:coldServers] {
		r.StartsAboveLimit += srv.startsAboveLimit
		if srv.cold {
			r.StillCold++
		}
	}
	return r
}
