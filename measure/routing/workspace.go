package routing

import (
	"fmt"
	"time"
)

// WorkspaceRun is the result of one run for the small workspace.
type WorkspaceRun struct {
	AnswerP95, FirstTokenP95 time.Duration
	Failed                   int // requests without a complete answer
}

// WorkspaceResult compares a small workspace that is alone with the same workspace
// beside a large one, with fair queueing and with one flow for all workspaces.
type WorkspaceResult struct {
	Seed                 uint64
	Alone, Fair, OneFlow WorkspaceRun
}

// AnswerP95 returns the p95 latency of whole answers with fair queueing, relative to
// the workspace alone.
func (r WorkspaceResult) AnswerP95() float64 { return ratio(r.Fair.AnswerP95, r.Alone.AnswerP95) }

// FirstTokenP95 returns the p95 latency of first tokens with fair queueing, relative
// to the workspace alone.
func (r WorkspaceResult) FirstTokenP95() float64 {
	return ratio(r.Fair.FirstTokenP95, r.Alone.FirstTokenP95)
}

// OneFlowAnswerP95 returns the p95 latency of whole answers with one flow, relative
// to the workspace alone.
func (r WorkspaceResult) OneFlowAnswerP95() float64 {
	return ratio(r.OneFlow.AnswerP95, r.Alone.AnswerP95)
}

func (r WorkspaceResult) String() string {
	alone, fair, one := r.Alone, r.Fair, r.OneFlow
	return fmt.Sprintf("seed %2d: p95 answer alone %v, fair %v, one flow %v; p95 first token alone %v, fair %v, one flow %v; refused alone %d, fair %d, one flow %d",
		r.Seed, round(alone.AnswerP95), round(fair.AnswerP95), round(one.AnswerP95), round(alone.FirstTokenP95), round(fair.FirstTokenP95), round(one.FirstTokenP95),
		alone.Failed, fair.Failed, one.Failed)
}

// RunSmallWorkspace runs a small workspace that uses half of its fair share of the
// capacity, alone and beside a large one that sends ten times its fair share.
func RunSmallWorkspace(seed uint64) WorkspaceResult {
	const end, servers = 60 * time.Second, 4
	run := func(large, fair bool) (r WorkspaceRun) {
		s := newSim(seed, servers, 2, 1, ShortAnswers, policy{choose: chooseByRouter, config: routerAgentConfig, retry: retryWithinBudget})
		s.oneFlow = !fair
		s.warmAll()
		fleetCapacity := servers * ShortAnswers.capacity()
		s.generateArrivals("small", 0.25*fleetCapacity, end)
		if large {
			s.generateArrivals("large", 10*0.5*fleetCapacity, end)
		}
		s.run(end + 2*ShortAnswers.deadline)
		small := func(j *job) bool { return j.workspace == "small" && j.total > 0 }
		for _, j := range s.jobs {
			if j.workspace == "small" && j.total == 0 {
				r.Failed++
			}
		}
		r.AnswerP95, r.FirstTokenP95 = quantile(s.jobs, 0.95, totalLatency, small), quantile(s.jobs, 0.95, firstTokenLatency, small)
		return r
	}
	return WorkspaceResult{Seed: seed, Alone: run(false, true), Fair: run(true, true), OneFlow: run(true, false)}
}
