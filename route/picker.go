package route

import "math/rand/v2"

// Pick chooses the endpoint for a request.
func (r *Router) Pick(eps []Endpoint, req Request, rng *rand.Rand) (Decision, error) {
	kept, removed := applyFilters(eps, newTarget(req))
	if len(kept) == 0 {
		return Decision{}, noEndpoint(len(eps), removed)
	}
	p := selection{config: &r.config, endpoints: eps, req: &req, candidates: kept, rng: rng}
	p.scoreCandidates()
	i, reason := p.selectCandidate()
	return Decision{Endpoint: eps[kept[i]].Name, Index: kept[i], Score: p.scores[i], Reason: reason,
		Candidates: len(kept), Saturated: p.saturated()}, nil
}

// selection is the state of one Pick. Positions are indexes into candidates,
// utilization and scores.
type selection struct {
	config           *Config
	endpoints        []Endpoint
	req              *Request
	candidates       []int // indexes into endpoints
	utilization      []float64
	scores           []float64
	affinityPosition int // position of the session's endpoint, or -1
	rng              *rand.Rand
}

func (p *selection) scoreCandidates() {
	f := p.config.candidateLoad(p.endpoints, p.candidates, p.req)
	p.utilization = make([]float64, len(p.candidates))
	for k, i := range p.candidates {
		p.utilization[k] = p.config.utilization(&p.endpoints[i], &f)
	}
	p.affinityPosition = p.affinityEndpoint()
	p.scores = make([]float64, len(p.candidates))
	for k, i := range p.candidates {
		e := &p.endpoints[i]
		p.scores[k] = p.config.loadScore(e, p.utilization[k]) + p.config.localityScore(e, p.req) + p.config.warmUpScore(e)
	}
	if p.affinityPosition >= 0 {
		p.scores[p.affinityPosition] -= p.config.AffinityBonus
	}
}

func (p *selection) saturated() bool {
	for _, i := range p.candidates {
		if p.config.hasRoom(&p.endpoints[i]) {
			return false
		}
	}
	return true
}

func (p *selection) selectCandidate() (int, Reason) {
	if k := p.warmUpCandidate(); k >= 0 {
		return k, ReasonWarmUp
	}
	k := p.bestOfTwo()
	if k == p.affinityPosition {
		return k, ReasonAffinity
	}
	return k, ReasonLoad
}

// warmUpCandidate gives cold endpoints of the entry's region their share of the
// requests: their limit divided by the sum of all limits. A cold endpoint thus
// warms up at any load, and many entries together send it no more than its limit in
// proportion.
func (p *selection) warmUpCandidate() int {
	total, cold := 0, 0
	for _, i := range p.candidates {
		if e := &p.endpoints[i]; e.Region == p.req.Region {
			total += p.config.limit(e)
			cold += p.coldShare(e)
		}
	}
	if cold == 0 || cold == total {
		return -1
	}
	draw := p.rng.IntN(total)
	for k, i := range p.candidates {
		if e := &p.endpoints[i]; e.Region == p.req.Region {
			if draw -= p.coldShare(e); draw < 0 {
				return k
			}
		}
	}
	return -1
}

// coldShare returns the limit of a cold endpoint that can start a request, or 0.
func (p *selection) coldShare(e *Endpoint) int {
	if !isCold(e) || !p.config.hasRoom(e) || e.ReportAge > p.config.StaleAfter {
		return 0
	}
	return p.config.limit(e)
}

// bestOfTwo samples two positions from the band next to the best score and returns
// the better one, so that entries with the same stale reports do not all choose the
// same endpoint.
func (p *selection) bestOfTwo() int {
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
		return first // offsets the sampling, which prefers low positions as the first
	}
	return second
}
