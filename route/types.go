// Package route chooses the backend server for a request, limits retries, and
// selects the agents that an entry links to. It does no I/O and takes load, time
// and random numbers as arguments.
package route

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Endpoint is the state of one backend server as known to an entry.
type Endpoint struct {
	Name, DataCentre, Region string
	// Alive means that the link to the agent is up.
	Alive bool
	// Draining is reported by the agent. Leaving and DataCentreOut come from the
	// records of the backend server and of its data centre.
	Draining, Leaving, DataCentreOut bool
	// Loaded lists the loaded model versions as "model@version".
	Loaded []string
	// Service is the name of the plain service that runs on the backend server.
	Service string
	// Running, Queued and Limit are from the last load report.
	Running, Queued, Limit int
	// Sent counts the unfinished requests of this entry that the report does not
	// include.
	Sent int
	// Cold means that the agent's limit is below its warm limit.
	Cold       bool
	FirstToken time.Duration
	// ReportAge is the age of the load report.
	ReportAge time.Duration
	// Resumes means that the engine can go on with an answer of another one.
	Resumes bool
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	// Model and Version, or Service, name what the endpoint must run.
	Model, Version, Service string
	// Session, if set, makes Pick prefer the endpoint that holds the session's
	// prefix.
	Session string
	// DataCentre and Region are those of the entry.
	DataCentre, Region string
	// Resume means that the caller has a part of the answer already.
	Resume bool
	// Tried contains the endpoints of earlier attempts.
	Tried map[string]bool
	// BodyBytes is the size of the request body, which raises the cost of another
	// region.
	BodyBytes int
	// AnswerTime is the entry's moving average of the duration of an answer, or 0
	// if it has none yet. Config.ReportDecay is relative to it.
	AnswerTime time.Duration
}

// Reason is the rule that made the choice.
type Reason string

// The reasons of a decision.
const (
	ReasonLoad     Reason = "load"     // better of two random choices within the score band
	ReasonAffinity Reason = "affinity" // holds the session's prefix
	ReasonWarmUp   Reason = "warm_up"  // warm-up share of a cold endpoint
)

// Decision is the result of Pick.
type Decision struct {
	Endpoint string
	Index    int // index in the argument of Pick
	Score    float64
	Reason   Reason
	// Candidates is the number of endpoints that passed the filters.
	Candidates int
	// Saturated means that every candidate is at or above its limit. A retry after
	// an overload refusal is then unlikely to succeed.
	Saturated bool
}

// NoEndpointError reports that no endpoint passed the filters.
type NoEndpointError struct {
	Total int
	// Removed counts the endpoints that each filter removed. An endpoint counts for
	// the first filter that removes it.
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

// Config holds the parameters of a Router. Scores are in units of utilization: 1.0
// is the difference between an idle and a full endpoint.
type Config struct {
	// RegionPrice is added for an endpoint in another region.
	RegionPrice float64
	// RegionPricePerMB is added for each MB of body sent to another region.
	RegionPricePerMB float64
	// DataCentrePrice is added for another data centre of the same region.
	DataCentrePrice float64
	// OverloadSlope multiplies the utilization above 1, where requests queue. The
	// utilization counts up to OverloadCap.
	OverloadSlope, OverloadCap float64
	// StalePenalty is added when a report is older than StaleAfter.
	StalePenalty float64
	StaleAfter   time.Duration
	// ReportDecay is the time in which the weight of a report against the mean of
	// the endpoints falls to 1/e, relative to the mean answer time. AssumedAnswer
	// is the answer time if the request gives none.
	ReportDecay   float64
	AssumedAnswer time.Duration
	// AssumedLimit is the limit of an endpoint that has reported none.
	AssumedLimit int
	// ColdReserve is added for a cold endpoint outside its warm-up share, and
	// ColdFull for one without a free slot.
	ColdReserve, ColdFull float64
	// AffinityBonus is subtracted for the session's endpoint while its load is
	// at most AffinityBound times the mean, or at most AffinityFloor.
	AffinityBonus, AffinityBound, AffinityFloor float64
	// Band is the distance from the best score within which the choice is random.
	Band float64
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{
		// With these prices, a full local region (1.0) with a queue of about a
		// fifth of its limit costs as much as a half-loaded endpoint in another
		// region.
		RegionPrice:      1.0,
		RegionPricePerMB: 0.5,
		DataCentrePrice:  0.05,
		OverloadSlope:    4,
		OverloadCap:      1.5,
		StalePenalty:     0.5,
		StaleAfter:       3 * time.Second, // three missed heartbeats
		// The decay and the width of the band keep entries with the same old reports
		// from choosing the same few endpoints; see docs/measurements/route.md.
		ReportDecay:   0.25,
		Band:          0.5,
		AssumedAnswer: 2 * time.Second,
		AssumedLimit:  2, // the usual cold limit
		ColdReserve:   0.5,
		ColdFull:      4,
		AffinityBonus: 1.5,
		AffinityBound: 1.25,
		AffinityFloor: 0.5,
	}
}

// Router chooses endpoints. It has no state besides its configuration.
type Router struct{ config Config }

// NewRouter returns a router. A zero Config selects the defaults.
func NewRouter(c Config) *Router {
	if c == (Config{}) {
		c = DefaultConfig()
	}
	return &Router{config: c}
}
