package route

import "github.com/cespare/xxhash/v2"

// affinityEndpoint returns the position of the preferred endpoint of the session,
// or -1. It is the endpoint with the highest rendezvous weight among those with
// free slots whose load is within the bound, limited to the entry's region while
// that region has free slots. The bound keeps a large session from overloading its
// endpoint.
func (p *selection) affinityEndpoint() int {
	if p.req.Session == "" {
		return -1
	}
	regionHasRoom := false
	for _, i := range p.candidates {
		regionHasRoom = regionHasRoom || p.endpoints[i].Region == p.req.Region && p.config.hasRoom(&p.endpoints[i])
	}
	eligible := func(k int) bool { return !regionHasRoom || p.endpoints[p.candidates[k]].Region == p.req.Region }
	bound := p.affinityLoadBound(eligible)
	session := xxhash.Sum64String(p.req.Session)
	best, bestHash := -1, uint64(0)
	for k, i := range p.candidates {
		e := &p.endpoints[i]
		if !eligible(k) || isCold(e) || !p.config.hasRoom(e) || p.utilization[k] > bound {
			continue
		}
		if h := rendezvousWeight(session, e.Name); best < 0 || h > bestHash {
			best, bestHash = k, h
		}
	}
	return best
}

// affinityLoadBound returns the utilization up to which an endpoint keeps its
// sessions.
func (p *selection) affinityLoadBound(eligible func(int) bool) float64 {
	sum, n := 0.0, 0
	for k, u := range p.utilization {
		if eligible(k) {
			sum += u
			n++
		}
	}
	return max(p.config.AffinityFloor, p.config.AffinityBound*sum/float64(n))
}

// rendezvousWeight returns the weight of a pair in rendezvous hashing; a is the
// hash of the choosing side. Combining two hashes avoids joining the strings of
// each pair.
func rendezvousWeight(a uint64, b string) uint64 {
	return splitMix64(a ^ splitMix64(xxhash.Sum64String(b)))
}

// splitMix64 is the finalizer of SplitMix64.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
