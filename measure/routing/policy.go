package routing

import (
	"errors"

	"hyssoploom/admission"
	"hyssoploom/route"
)

// policy holds what differs between the fleets that a measurement compares.
type policy struct {
	// choose returns the index of the endpoint for a request.
	choose func(e *simEntry, r route.Request) (int, error)
	config admission.Config // of every agent
	// retry reports whether a refused job may be sent again.
	retry func(*job) bool
}

// routerAgentConfig is the admission configuration under test.
var routerAgentConfig = admission.Config{ColdLimit: engineColdLimit, WarmLimit: engineWarmLimit, QueueLimit: 16, WarmAfter: engineWarmAfter}

// noWarmUpConfig is the admission configuration of the baseline: a cold engine gets
// the warm limit.
var noWarmUpConfig = admission.Config{ColdLimit: engineWarmLimit, WarmLimit: engineWarmLimit, QueueLimit: 16}

// chooseByRouter chooses an endpoint with package route.
func chooseByRouter(e *simEntry, r route.Request) (int, error) {
	d, err := route.NewRouter(route.Config{}).Pick(e.endpoints, r, e.sim.rng)
	return d.Index, err
}

// chooseLeastConnections chooses the untried live endpoint with the lowest load.
func chooseLeastConnections(e *simEntry, r route.Request) (int, error) {
	best := -1
	for i := range e.endpoints {
		if ep := &e.endpoints[i]; ep.Alive && !r.Tried[ep.Name] && (best < 0 || endpointLoad(ep) < endpointLoad(&e.endpoints[best])) {
			best = i
		}
	}
	if best < 0 {
		return 0, errors.New("all live endpoints were tried")
	}
	return best, nil
}

// endpointLoad returns the running and queued requests of the last load report plus
// the requests that this entry has sent since.
func endpointLoad(e *route.Endpoint) int { return e.Running + e.Queued + e.Sent }

// chooseRandom chooses among all endpoints with equal probability.
func chooseRandom(e *simEntry, _ route.Request) (int, error) {
	return e.sim.rng.IntN(len(e.endpoints)), nil
}

// retryWithinBudget allows a retry if the budget of the workspace has one left.
func retryWithinBudget(j *job) bool { return j.entry.retryBudget(j).Take() }

// retryAlways allows every retry. Once all endpoints were tried, they may be tried
// again.
func retryAlways(j *job) bool {
	if len(j.tried) == len(j.entry.endpoints) {
		clear(j.tried)
	}
	return true
}

// newWarmController returns a controller that has reached its warm limit: it
// completes full batches of requests until the controller reports warm.
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
