package routing

import (
	"fmt"
	"time"
)

// WorkspaceRun is what a small workspace sees in one run.
type WorkspaceRun struct {
	Answer, FirstToken time.Duration // p95
	Failed             int           // requests without a whole answer
}

// WorkspaceResult compares a small workspace alone with the same beside a large
// one, with the fair queue and with one flow for all workspaces.
type WorkspaceResult struct {
	Seed                 uint64
	Alone, Fair, OneFlow WorkspaceRun
}

// Answer returns the p95 of whole answers relative to alone.
func (r WorkspaceResult) Answer() float64 { return ratio(r.Fair.Answer, r.Alone.Answer) }

// FirstToken returns the p95 of first tokens relative to alone.
func (r WorkspaceResult) FirstToken() float64 { return ratio(r.Fair.FirstToken, r.Alone.FirstToken) }

// Baseline returns the p95 of whole answers with one flow relative to alone.
func (r WorkspaceResult) Baseline() float64 { return ratio(r.OneFlow.Answer, r.Alone.Answer) }

func (r WorkspaceResult) String() string {
	alone, fair, one := r.Alone, r.Fair, r.OneFlow
	return fmt.Sprintf("seed %2d: p95 answer alone %v, fair %v, one flow %v; p95 first token alone %v, fair %v, one flow %v; refused alone %d, fair %d, one flow %d",
		r.Seed, round(alone.Answer), round(fair.Answer), round(one.Answer), round(alone.FirstToken), round(fair.FirstToken), round(one.FirstToken),
		alone.Failed, fair.Failed, one.Failed)
}

// RunSmallWorkspace runs a workspace that uses half of its share, and a large one
// that sends ten times its own share.
func RunSmallWorkspace(seed uint64) WorkspaceResult {
	const end, servers = 60 * time.Second, 4
	run := func(large, fair bool) (r WorkspaceRun) {
		s := newSim(seed, servers, 2, 1, ShortAnswers, policy{choose: byRouter, config: agentConfig, retry: withBudget})
		s.oneFlow = !fair
		s.warmAll()
		full := servers * ShortAnswers.capacity()
		s.arrivals("small", 0.25*full, end)
		if large {
			s.arrivals("large", 10*0.5*full, end)
		}
		s.run(end + 2*ShortAnswers.deadline)
		small := func(j *job) bool { return j.workspace == "small" && j.total > 0 }
		for _, j := range s.jobs {
			if j.workspace == "small" && j.total == 0 {
				r.Failed++
			}
		}
		r.Answer, r.FirstToken = quantile(s.jobs, 0.95, totalLatency, small), quantile(s.jobs, 0.95, firstLatency, small)
		return r
	}
	return WorkspaceResult{Seed: seed, Alone: run(false, true), Fair: run(true, true), OneFlow: run(true, false)}
}
