// Package route chooses the backend server for a request, bounds retries, and
// chooses the agents that an entry links to. It is pure: load, time and
// randomness are arguments.
package route

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Endpoint is one backend server as an entry knows it.
type Endpoint struct {
	Name, DataCentre, Region string
	// Alive tells that the link to the agent is up.
	Alive bool
	// Draining is the agent's own notice; Leaving and DataCentreOut come from the records
	// of the backend server and of its data centre.
	Draining, Leaving, DataCentreOut bool
	// Loaded lists the model versions as "model@version".
	Loaded []string
	// Service names the plain service that runs here.
	Service string
	// Running, Queued and Limit are the last load report.
	Running, Queued, Limit int
	// Sent counts the requests of this entry that are unfinished and not in the
	// report.
	Sent int
	// Cold tells that the agent has not yet reached its warm limit.
	Cold       bool
	FirstToken time.Duration
	// ReportAge is the age of the load report.
	ReportAge time.Duration
}

// Request is what the choice depends on.
type Request struct {
	// Model and Version, or Service, name what the endpoint has to run.
	Model, Version, Service string
	// Session, when set, prefers the endpoint that holds the session's prefix.
	Session string
	// DataCentre and Region are those of the entry.
	DataCentre, Region string
	// Tried names the endpoints of earlier attempts.
	Tried map[string]bool
	// BodyBytes is the size of the request body; it raises the price of another
	// region.
	BodyBytes int
	// AnswerTime is the entry's moving average of the time of a whole answer; 0
	// when it has none yet. Config.ReportDecay depends on it.
	AnswerTime time.Duration
}

// Reason tells which rule made the choice.
type Reason string

// The reasons of a decision.
const (
	ReasonLoad     Reason = "load"     // better of two random choices in the best score band
	ReasonAffinity Reason = "affinity" // holds the session's prefix
	ReasonWarmUp   Reason = "warm_up"  // share for a cold endpoint
)

// Decision is the result of Pick.
type Decision struct {
	Endpoint string
	Index    int // position in the argument of Pick
	Score    float64
	Reason   Reason
	// Candidates is the number of endpoints that passed the filters.
	Candidates int
	// Saturated tells that every candidate is at or above its limit; a retry
	// after an overload refusal is then unlikely to succeed.
	Saturated bool
}

// NoEndpointError reports that no endpoint passed the filters.
type NoEndpointError struct {
	Total int
	// Removed counts the endpoints that each filter removed. An endpoint counts
	// at the first filter that removes it.
	Removed map[string]int
}

func (e *NoEndpointError) Error() string {
	var parts []string
	for name, n := range e.Removed {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(parts)
	return fmt.Sprintf("no endpoint of %d can take the request (%s)", e.Total, strings.Join(parts, ", "))
}

// Config holds the constants of the router. Scores are in units of
// utilization: 1.0 is the difference between an idle and a full endpoint.
type Config struct {
	// RegionPrice is added for an endpoint in another region.
	RegionPrice float64
	// RegionPricePerMB is added for each MB of body sent to another region.
	RegionPricePerMB float64
	// DataCentrePrice is added for another data centre of the same region.
	DataCentrePrice float64
	// OverloadSlope multiplies utilization above 1: work there waits in a queue.
	// Utilization counts up to OverloadCap.
	OverloadSlope, OverloadCap float64
	// StalePenalty is added when a report is older than StaleAfter.
	StalePenalty float64
	StaleAfter   time.Duration
	// ReportDecay is the time in which a report loses all but 1/e of its weight
	// against the mean of the endpoints, relative to the mean answer time;
	// AssumedAnswer is the answer time when the request gives none.
	ReportDecay   float64
	AssumedAnswer time.Duration
	// AssumedLimit is the limit of an endpoint whose report has none.
	AssumedLimit int
	// ColdReserve is added for a cold endpoint outside its warm-up share, and
	// ColdFull for one without a free slot.
	ColdReserve, ColdFull float64
	// AffinityBonus is subtracted for the session's endpoint while its load is
	// at most AffinityBound times the mean, or at most AffinityFloor.
	AffinityBonus, AffinityBound, AffinityFloor float64
	// Band is the score distance from the best within which choices are random.
	Band float64
}

// DefaultConfig returns the default constants.
func DefaultConfig() Config {
	return Config{
		// A full own region (1.0) with a queue of about a fifth of its limit costs
		// as much as a half loaded endpoint of another region.
		RegionPrice:      1.0,
		RegionPricePerMB: 0.5,
		DataCentrePrice:  0.05,
		OverloadSlope:    4,
		OverloadCap:      1.5,
		StalePenalty:     0.5,
		StaleAfter:       3 * time.Second, // three missed heartbeats
		// docs/measurements/route.md has the trial behind ReportDecay and Band:
		// without decay, and with a narrow band, entries with the same old reports
		// choose the same few endpoints.
		ReportDecay:   0.25,
		AssumedAnswer: 2 * time.Second,
		AssumedLimit:  2, // the usual cold limit
		ColdReserve:   0.5,
		ColdFull:      4,
		AffinityBonus: 1.5,
		AffinityBound: 1.25,
		AffinityFloor: 0.5,
		Band:          0.5,
	}
}

// Router picks endpoints. It has no state besides its constants.
type Router struct{ config Config }

// NewRouter returns a router; a zero Config selects the defaults.
func NewRouter(c Config) *Router {
	if c == (Config{}) {
		c = DefaultConfig()
	}
	return &Router{config: c}
}
