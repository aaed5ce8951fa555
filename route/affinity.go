package route

import "github.com/cespare/xxhash/v2"

// affinity returns the position of the endpoint that the session prefers, or -1:
// the highest rendezvous hash among the endpoints with room whose load is within
// the bound, in the own region while that has room. The bound keeps a large
// session from overloading its endpoint.
func (p *pick) affinity() int {
	if p.req.Session == "" {
		return -1
	}
	own := false
	for _, i := range p.kept {
		own = own || p.eps[i].Region == p.req.Region && p.config.hasRoom(&p.eps[i])
	}
	eligible := func(k int) bool { return !own || p.eps[p.kept[k]].Region == p.req.Region }
	bound := p.loadBound(eligible)
	session := xxhash.Sum64String(p.req.Session)
	best, bestHash := -1, uint64(0)
	for k, i := range p.kept {
		e := &p.eps[i]
		if !eligible(k) || isCold(e) || !p.config.hasRoom(e) || p.utilization[k] > bound {
			continue
		}
		if h := rendezvous(session, e.Name); best < 0 || h > bestHash {
			best, bestHash = k, h
		}
	}
	return best
}

// loadBound is the utilization up to which an endpoint keeps its sessions.
func (p *pick) loadBound(eligible func(int) bool) float64 {
	sum, n := 0.0, 0
	for k, u := range p.utilization {
		if eligible(k) {
			sum += u
			n++
		}
	}
	return max(p.config.AffinityFloor, p.config.AffinityBound*sum/float64(n))
}

// rendezvous is the weight of a pair in rendezvous hashing; a is the hash of the
// side that chooses. Hashing the hashes saves joining the strings of each pair.
func rendezvous(a uint64, b string) uint64 { return mix(a ^ mix(xxhash.Sum64String(b))) }

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
