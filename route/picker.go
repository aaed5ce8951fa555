package route

import "math/rand/v2"

// Pick chooses the endpoint for a request.
func (r *Router) Pick(eps []Endpoint, req Request, rng *rand.Rand) (Decision, error) {
	kept, removed := applyFilters(eps, newTarget(req))
	if len(kept) == 0 {
		return Decision{}, noEndpoint(len(eps), removed)
	}
	p := pick{config: &r.config, eps: eps, req: &req, kept: kept, rng: rng}
	p.score()
	i, reason := p.choose()
	return Decision{Endpoint: eps[kept[i]].Name, Index: kept[i], Score: p.scores[i], Reason: reason,
		Candidates: len(kept), Saturated: p.saturated()}, nil
}

// pick is the state of one choice. Positions are indexes into kept, utilization
// and scores.
type pick struct {
	config      *Config
	eps         []Endpoint
	req         *Request
	kept        []int // indexes into eps
	utilization []float64
	scores      []float64
	preferred   int // position, or -1
	rng         *rand.Rand
}

func (p *pick) score() {
	f := p.config.survey(p.eps, p.kept, p.req)
	p.utilization = make([]float64, len(p.kept))
	for k, i := range p.kept {
		p.utilization[k] = p.config.utilization(&p.eps[i], &f)
	}
	p.preferred = p.affinity()
	p.scores = make([]float64, len(p.kept))
	for k, i := range p.kept {
		e := &p.eps[i]
		p.scores[k] = p.config.loadScore(e, p.utilization[k]) + p.config.localityScore(e, p.req) + p.config.warmUpScore(e)
	}
	if p.preferred >= 0 {
		p.scores[p.preferred] -= p.config.AffinityBonus
	}
}

func (p *pick) saturated() bool {
	for _, i := range p.kept {
		if p.config.hasRoom(&p.eps[i]) {
			return false
		}
	}
	return true
}

func (p *pick) choose() (int, Reason) {
	if k := p.warmUp(); k >= 0 {
		return k, ReasonWarmUp
	}
	k := p.bestOfTwo()
	if k == p.preferred {
		return k, ReasonAffinity
	}
	return k, ReasonLoad
}

// warmUp gives cold endpoints of the own region their share of requests: limit
// over the sum of all limits. A cold endpoint thus warms at any load, and many
// entries together send it no more than its limit in proportion.
func (p *pick) warmUp() int {
	total, cold := 0, 0
	for _, i := range p.kept {
		if e := &p.eps[i]; e.Region == p.req.Region {
			total += p.config.limit(e)
			cold += p.coldShare(e)
		}
	}
	if cold == 0 || cold == total {
		return -1
	}
	draw := p.rng.IntN(total)
	for k, i := range p.kept {
		if e := &p.eps[i]; e.Region == p.req.Region {
			if draw -= p.coldShare(e); draw < 0 {
				return k
			}
		}
	}
	return -1
}

// coldShare is the limit of a cold endpoint that can start a request, else 0.
func (p *pick) coldShare(e *Endpoint) int {
	if !isCold(e) || !p.config.hasRoom(e) || e.ReportAge > p.config.StaleAfter {
		return 0
	}
	return p.config.limit(e)
}

// bestOfTwo draws two positions from the band next to the best score and
// returns the better one. Entries that see the same stale reports thus do not
// all choose the same endpoint.
func (p *pick) bestOfTwo() int {
	best := p.scores[0]
	for _, s := range p.scores {
		best = min(best, s)
	}
	first, second, n := -1, -1, 0
	// Reservoir sampling of two positions.
	for k, s := range p.scores {
		if s > best+p.config.Band {
			continue
		}
		n++
		switch j := p.rng.IntN(n); {
		case n == 1:
			first = k
		case n == 2:
			second = k
		case j == 0:
			first = k
		case j == 1:
			second = k
		}
	}
	if second < 0 || p.scores[first] < p.scores[second] {
		return first
	}
	if p.scores[first] == p.scores[second] && p.rng.IntN(2) == 0 {
		return first // the sampling alone prefers low positions as the first
	}
	return second
}
