package route

import (
	"cmp"
	"math"
)

// megabyte is the unit of RegionPricePerMB in bytes.
const megabyte = 1e6

// limit returns the reported limit, or the assumed one if the report has none.
func (c *Config) limit(e *Endpoint) int {
	if e.Limit > 0 {
		return e.Limit
	}
	return max(c.AssumedLimit, 1)
}

// isCold reports whether an endpoint is treated as cold. One without a reported
// limit is: it may just have started, and all entries see the same zero.
func isCold(e *Endpoint) bool { return e.Cold || e.Limit <= 0 }

// load returns the number of requests at an endpoint: those it reported and those
// this entry has sent since.
func load(e *Endpoint) int { return e.Running + e.Queued + e.Sent }

// hasRoom reports whether a request would start immediately.
func (c *Config) hasRoom(e *Endpoint) bool { return load(e) < c.limit(e) }

// fleetLoad holds the state of the fleet that the utilization of an endpoint
// depends on.
type fleetLoad struct {
	region string // of the entry
	// ownRegion and otherRegions are the mean reported loads of the warm candidates
	// in the entry's region and in all others, relative to their limits.
	ownRegion, otherRegions float64
	decaySeconds            float64 // time constant with which reports lose weight
}

// candidateLoad returns the mean loads of the candidates.
func (c *Config) candidateLoad(eps []Endpoint, candidates []int, r *Request) fleetLoad {
	var work, limits [2]int
	for _, i := range candidates {
		e := &eps[i]
		if isCold(e) {
			continue
		}
		group := 0
		if e.Region != r.Region {
			group = 1
		}
		work[group] += e.Running + e.Queued
		limits[group] += c.limit(e)
	}
	mean := func(group int) float64 { return float64(work[group]) / float64(max(limits[group], 1)) }
	answer := cmp.Or(r.AnswerTime, c.AssumedAnswer)
	return fleetLoad{region: r.Region, ownRegion: mean(0), otherRegions: mean(1), decaySeconds: c.ReportDecay * answer.Seconds()}
}

// utilization returns the estimated load including this request, relative to the
// limit. The weight of a report decays with its age in favour of the mean, because
// the reported requests end and all entries send to the endpoints that look free.
func (c *Config) utilization(e *Endpoint, f *fleetLoad) float64 {
	limit := float64(c.limit(e))
	reported := float64(e.Running + e.Queued)
	if e.ReportAge > 0 && f.decaySeconds > 0 && !isCold(e) {
		mean := f.ownRegion
		if e.Region != f.region {
			mean = f.otherRegions
		}
		weight := math.Exp(-e.ReportAge.Seconds() / f.decaySeconds)
		reported = weight*reported + (1-weight)*mean*limit
	}
	return (reported + float64(e.Sent+1)) / limit
}

// loadScore converts the utilization into a score. Above 1 it rises steeply,
// because requests queue, up to OverloadCap: differences between long queues are
// outdated when they are known and would send each burst to a single queue. A stale
// report adds a penalty but does not exclude the endpoint.
func (c *Config) loadScore(e *Endpoint, utilization float64) float64 {
	score := utilization
	if score > 1 {
		score = min(score, c.OverloadCap)
		score += c.OverloadSlope * (score - 1)
	}
	if e.ReportAge > c.StaleAfter {
		score += c.StalePenalty
	}
	return score
}

// localityScore returns the cost of the distance. The body size counts only for
// another region.
func (c *Config) localityScore(e *Endpoint, r *Request) float64 {
	switch {
	case e.DataCentre == r.DataCentre:
		return 0
	case e.Region == r.Region:
		return c.DataCentrePrice
	}
	return c.RegionPrice + c.RegionPricePerMB*float64(r.BodyBytes)/megabyte
}

// warmUpScore reserves a cold endpoint for its warm-up share (see warmUpCandidate)
// while warm ones have free slots, and avoids cold endpoints without a free slot.
func (c *Config) warmUpScore(e *Endpoint) float64 {
	switch {
	case !isCold(e):
		return 0
	case c.hasRoom(e):
		return c.ColdReserve
	}
	return c.ColdFull
}
