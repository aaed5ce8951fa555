package route

import (
	"cmp"
	"math"
)

// megabyte is the unit of RegionPricePerMB in bytes.
const megabyte = 1e6

// limit returns the reported limit, or the assumed one when the report has none.
func (c *Config) limit(e *Endpoint) int {
	if e.Limit > 0 {
		return e.Limit
	}
	return max(c.AssumedLimit, 1)
}

// isCold tells whether an endpoint is treated as cold. Without a report it is:
// it may just have started, and all entries see the same zero.
func isCold(e *Endpoint) bool { return e.Cold || e.Limit <= 0 }

// load counts the work at an endpoint: what it reported and what this entry has
// sent since.
func load(e *Endpoint) int { return e.Running + e.Queued + e.Sent }

// hasRoom tells whether a request would start at once.
func (c *Config) hasRoom(e *Endpoint) bool { return load(e) < c.limit(e) }

// fleet is what the utilization depends on besides the endpoint.
type fleet struct {
	region string // of the entry
	// own and elsewhere are the mean reported loads of the warm candidates of the
	// own region and of all others, relative to their limits.
	own, elsewhere float64
	decay          float64 // time constant of reports in seconds
}

// survey returns the state of the candidates.
func (c *Config) survey(eps []Endpoint, candidates []int, r *Request) fleet {
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
	return fleet{region: r.Region, own: mean(0), elsewhere: mean(1), decay: c.ReportDecay * answer.Seconds()}
}

// utilization returns the estimated load with this request, relative to the
// limit. A report loses weight against the mean as it ages: the requests it
// counts end, and all entries send to the endpoints that it shows as free.
func (c *Config) utilization(e *Endpoint, f *fleet) float64 {
	limit := float64(c.limit(e))
	reported := float64(e.Running + e.Queued)
	if e.ReportAge > 0 && f.decay > 0 && !isCold(e) {
		mean := f.own
		if e.Region != f.region {
			mean = f.elsewhere
		}
		weight := math.Exp(-e.ReportAge.Seconds() / f.decay)
		reported = weight*reported + (1-weight)*mean*limit
	}
	return (reported + float64(e.Sent+1)) / limit
}

// loadScore turns the utilization into a score. Above 1 it rises steeply, because
// work waits, up to OverloadCap: differences between long queues are old by the
// time they are known, and would send each burst to a single queue. A stale
// report makes an endpoint less attractive but does not exclude it.
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
	case !isCold(e):
		return 0
	case c.hasRoom(e):
		return c.ColdReserve
	}
	return c.ColdFull
}
