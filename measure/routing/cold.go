package routing

import (
	"fmt"
	"time"
)

// joinAt is when servers turn cold, and joinWindow the time after it in which
// requests are counted.
const (
	joinAt, joinWindow = 40 * time.Second, 60 * time.Second
	earlyWindow        = 10 * time.Second
)

// The fleet of the cold cases. Loads are relative to the capacity of the servers
// that stay warm.
const (
	coldServers = 3
	allServers  = 20
	warmServers = allServers - coldServers
)

// ColdCase is a load on a fleet of which three servers of twenty are cold.
type ColdCase struct {
	Answers Work
	// Load is relative to the capacity of the other 17 servers.
	Load float64
	// Unannounced servers turn cold while they work; otherwise they join cold.
	Unannounced bool
}

// ColdRun is the result of one policy for one seed.
type ColdRun struct {
	// P95 and P99 are quantiles of the first-token time of the requests that
	// arrive in the 60 s after the servers are cold, Early is the p95 of the first
	// 10 s.
	P95, P99, Early time.Duration
	// Above counts the starts above the cold limit, Cold the servers that are still
	// cold at the end.
	Above, Cold int
}

// ColdResult compares the router with least-connections without warm-up.
type ColdResult struct {
	Seed             uint64
	Router, Baseline ColdRun
}

// P95 returns the p95 in 60 s relative to the baseline.
func (r ColdResult) P95() float64 { return ratio(r.Router.P95, r.Baseline.P95) }

// P99 returns the p99 in 60 s relative to the baseline.
func (r ColdResult) P99() float64 { return ratio(r.Router.P99, r.Baseline.P99) }

// Early returns the p95 in the first 10 s relative to the baseline.
func (r ColdResult) Early() float64 { return ratio(r.Router.Early, r.Baseline.Early) }

func (r ColdResult) String() string {
	ours, base := r.Router, r.Baseline
	return fmt.Sprintf("seed %2d: first 10 s: p95 %v, baseline %v; 60 s: p95 %v, baseline %v; p99 %v, baseline %v; starts above the cold limit %d, baseline %d; cold at the end %d, baseline %d",
		r.Seed, round(ours.Early), round(base.Early), round(ours.P95), round(base.P95), round(ours.P99), round(base.P99),
		ours.Above, base.Above, ours.Cold, base.Cold)
}

// RunSeed runs the router and the baseline on one seed.
func (c ColdCase) RunSeed(seed uint64) ColdResult {
	return ColdResult{
		Seed:     seed,
		Baseline: c.run(seed, policy{choose: byLeastConnections, config: warmConfig, retry: withBudget}),
		Router:   c.run(seed, policy{choose: byRouter, config: agentConfig, retry: withBudget}),
	}
}

func (c ColdCase) run(seed uint64, p policy) ColdRun {
	s := newSim(seed, allServers, 4, 1, c.Answers, p)
	for i, v := range s.servers {
		if i >= coldServers || c.Unannounced {
			v.ctrl = warmController(p.config)
		}
		switch {
		case i >= coldServers:
		case c.Unannounced:
			s.after(joinAt, func() { v.cold, v.progress = true, 0 })
		default:
			s.setAlive(i, false)
			s.after(joinAt, func() { v.cold = true; s.setAlive(i, true) })
		}
	}
	s.arrivals("w", c.Load*warmServers*c.Answers.capacity(), joinAt+joinWindow)
	s.run(joinAt + joinWindow + 2*c.Answers.deadline)
	first := func(q float64, window time.Duration) time.Duration {
		return quantile(s.jobs, q, firstLatency, func(j *job) bool {
			return j.first > 0 && j.arrived >= joinAt && j.arrived < joinAt+window
		})
	}
	r := ColdRun{P95: first(0.95, joinWindow), P99: first(0.99, joinWindow), Early: first(0.95, earlyWindow)}
	for _, v := range s.servers[:coldServers] {
		r.Above += v.above
		if v.cold {
			r.Cold++
		}
	}
	return r
}
