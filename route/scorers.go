package route

import (
	"cmp"
	"math"

	"github.com/cespare/xxhash/v2"
)

// megabyte is the unit of RegionPricePerMB in bytes.
const megabyte = 1e6

// limit returns the reported limit, or the assumed one when the report has none.
func (c *Config) limit(e *Endpoint) int {
	if e.Limit > 0 {
		return e.Limit
	}
	return c.AssumedLimit
}

// load counts the work at an endpoint: what it reported and what this entry has
// sent since.
func load(e *Endpoint) int { return e.Running + e.Queued + e.Sent }

// hasRoom tells whether a request would start at once.
func (c *Config) hasRoom(e *Endpoint) bool { return load(e) < c.limit(e) }

// fleet is what a score depends on besides the endpoint.
type fleet struct {
	mean  float64 // mean reported load of the warm candidates, relative to their limits
	decay float64 // time constant of reports in seconds
}

// survey returns the state of the candidates.
func (c *Config) survey(eps []Endpoint, candidates []int, r *Request) fleet {
	work, limits := 0, 0
	for _, i := range candidates {
		if e := &eps[i]; !e.Cold {
			work += e.Running + e.Queued
			limits += c.limit(e)
		}
	}
	answer := cmp.Or(r.AnswerTime, c.AssumedAnswer)
	return fleet{mean: float64(work) / float64(max(limits, 1)), decay: c.ReportDecay * answer.Seconds()}
}

// utilization returns the estimated load with this request, relative to the
// limit. A report loses weight against the mean as it ages: the requests it
// counts end, and all entries send to the endpoints that it shows as free.
func (c *Config) utilization(e *Endpoint, f fleet) float64 {
	limit := float64(c.limit(e))
	reported := float64(e.Running + e.Queued)
	if e.ReportAge > 0 && f.decay > 0 && !e.Cold {
		weight := math.Exp(-e.ReportAge.Seconds() / f.decay)
		reported = weight*reported + (1-weight)*f.mean*limit
	}
	return (reported + float64(e.Sent+1)) / limit
}

// loadScore is the utilization; above 1 it rises steeply, because work waits. A
// stale report makes an endpoint less attractive but does not exclude it.
func (c *Config) loadScore(e *Endpoint, f fleet) float64 {
	u := c.utilization(e, f)
	if u > 1 {
		u += c.OverloadSlope * (u - 1)
	}
	if e.ReportAge > c.StaleAfter {
		u += c.StalePenalty
	}
	return u
}

// localityScore is the price of the distance. Only bytes that cross a region
// border are charged.
func (c *Config) localityScore(e *Endpoint, r *Request) float64 {
	switch {
	case e.DataCentre == r.DataCentre:
		return 0
	case e.Region == r.Region:
		return c.DataCentrePrice
	}
	return c.RegionPrice + c.RegionPricePerMB*float64(r.BodyBytes)/megabyte
}

// warmUpScore keeps a cold endpoint for its warm-up share (see picker.go) while
// warm ones have room, and away from work that it cannot start.
func (c *Config) warmUpScore(e *Endpoint) float64 {
	switch {
	case !e.Cold:
		return 0
	case c.hasRoom(e):
		return c.ColdReserve
	}
	return c.ColdFull
}

// affinity returns the endpoint that the session prefers, or -1: the highest
// rendezvous hash among the endpoints of the nearest region with room whose load
// is within the bound. The bound keeps a large session
// from overloading its endpoint.
func (c *Config) affinity(eps []Endpoint, candidates []int, r *Request, f fleet) int {
	if r.Session == "" {
		return -1
	}
	local := false
	for _, i := range candidates {
		local = local || eps[i].Region == r.Region && c.hasRoom(&eps[i])
	}
	mean, n := 0.0, 0
	for _, i := range candidates {
		if !local || eps[i].Region == r.Region {
			mean += c.utilization(&eps[i], f)
			n++
		}
	}
	bound := max(c.AffinityFloor, c.AffinityBound*mean/float64(n))
	best, bestHash := -1, uint64(0)
	for _, i := range candidates {
		e := &eps[i]
		if local && e.Region != r.Region || e.Cold || !c.hasRoom(e) || c.utilization(e, f) > bound {
			continue
		}
		if h := rendezvous(r.Session, e.Name); best < 0 || h > bestHash {
			best, bestHash = i, h
		}
	}
	return best
}

// rendezvous is the weight of a pair in rendezvous hashing. Hashing the hashes
// saves building a joined string for each pair.
func rendezvous(a, b string) uint64 {
	return mix(xxhash.Sum64String(a) ^ mix(xxhash.Sum64String(b)))
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
