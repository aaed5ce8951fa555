package routing

import (
	"errors"

	"hyssoploom/admission"
	"hyssoploom/route"
)

// policy is what a measurement compares.
type policy struct {
	// choose returns the index of the server for a request.
	choose func(e *simEntry, r route.Request) (int, error)
	config admission.Config // of the agents
	// retry tells whether a refused job may be sent again.
	retry func(*job) bool
}

// agentConfig is that of the agents under test.
var routerAgentConfig = admission.Config{ColdLimit: engineColdLimit, WarmLimit: engineWarmLimit, QueueLimit: 16, WarmAfter: engineWarmAfter}

// warmConfig is the baseline's agent: no warm-up.
var noWarmUpConfig = admission.Config{ColdLimit: engineWarmLimit, WarmLimit: engineWarmLimit, QueueLimit: 16}

// byRouter chooses as package route does.
func chooseByRouter(e *simEntry, r route.Request) (int, error) {
	d, err := route.NewRouter(route.Config{}).Pick(e.endpoints, r, e.sim.rng)
	return d.Index, err
}

// byLeastConnections chooses the server with the least work, reported or sent.
func chooseLeastConnections(e *simEntry, r route.Request) (int, error) {
	best := -1
	for i := range e.endpoints {
		if ep := &e.endpoints[i]; ep.Alive && !r.Tried[ep.Name] && (best < 0 || endpointLoad(ep) < endpointLoad(&e.endpoints[best])) {
			best = i
		}
	}
	if best < 0 {
		return 0, errors.New("all tried")
	}
	return best, nil
}

// load counts the work at an endpoint: what it reported and what this entry has
// sent since.
func endpointLoad(e *route.Endpoint) int { return e.Running + e.Queued + e.Sent }

func chooseRandom(e *simEntry, _ route.Request) (int, error) {
	return e.sim.rng.IntN(len(e.endpoints)), nil
}

// withBudget allows retries within the budget of the workspace.
func retryWithinBudget(j *job) bool { return j.entry.retryBudget(j).Take() }

// always allows any number of retries, on servers tried before as well.
func retryAlways(j *job) bool {
	if len(j.tried) == len(j.entry.endpoints) {
		clear(j.tried)
	}
	return true
}

// warmController returns a controller that has reached its warm limit.
func newWarmController(c admission.Config) *admission.Controller {
	ctrl := admission.New(c)
	id := uint64(1 << 40)
	for ctrl.Report().Cold {
		firstID := id
		for ctrl.Arrive(0, admission.Ticket{ID: id}).Outcome == admission.Run {
			id++
		}
		ctrl.Cancel(0, id)
		for ; firstID < id; firstID++ {
			ctrl.Done(0, admission.Result{ID: firstID, OK: true, FirstToken: firstTokenBase + 8*firstTokenStep})
		}
		id++
	}
	return ctrl
}
