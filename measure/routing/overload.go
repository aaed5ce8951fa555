package routing

import (
	"fmt"
	"time"
)

// OverloadRun is the result of one retry policy.
type OverloadRun struct {
	Attempts float64 // per request
	Goodput  float64 // relative to capacity
}

// OverloadResult compares the retry budget with unlimited retries.
type OverloadResult struct {
	Seed             uint64
	Router, Baseline OverloadRun
}

func (r OverloadResult) String() string {
	return fmt.Sprintf("seed %2d: attempts per request %.3f, baseline %.2f; goodput %.3f of capacity, baseline %.3f",
		r.Seed, r.Router.Attempts, r.Baseline.Attempts, r.Router.Goodput, r.Baseline.Goodput)
}

// RunOverload runs a load of twice the capacity of the servers. Goodput counts
// answers that complete before the caller's deadline; the first 4 s, in which the
// servers fill up, are left out.
func RunOverload(seed uint64) OverloadResult {
	const from, end, servers = 4 * time.Second, 14 * time.Second, 6
	run := func(retry func(*job) bool) OverloadRun {
		s := newSim(seed, servers, 4, 1, ShortAnswers, policy{choose: chooseByRouter, config: routerAgentConfig, retry: retry})
		s.warmAll()
		s.generateArrivals("w", 2*servers*ShortAnswers.capacity(), end)
		s.run(end)
		totalAttempts, tokens := 0, 0
		for _, j := range s.jobs {
			totalAttempts += j.attempts
			if done := j.arrived + j.total; j.total > 0 && done >= from && done <= end {
				tokens += j.tokens
			}
		}
		// Capacity is in requests of mean length. Goodput is counted in tokens, as
		// counting requests would reward a preference for short answers.
		rate := float64(tokens) / float64(ShortAnswers.meanTokens) / (end - from).Seconds()
		return OverloadRun{float64(totalAttempts) / float64(len(s.jobs)), rate / (servers * ShortAnswers.capacity())}
	}
	return OverloadResult{Seed: seed, Router: run(retryWithinBudget), Baseline: run(retryAlways)}
}
