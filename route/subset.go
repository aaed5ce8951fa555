package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AgentRef is an agent that an entry may link to.
type AgentRef struct {
	Name, DataCentre, Region string
	// Serves lists model versions as "model@version", or service names.
	Serves []string
}

// SubsetLimits bounds the links of one entry.
type SubsetLimits struct {
	// FullMesh is the number of agents up to which an entry links to every agent.
	FullMesh int
	// DataCentre, Region and OtherRegions bound the links to agents of the own data
	// centre, of other data centres of the region, and of other regions.
	DataCentre, Region, OtherRegions int
	// PerVersion is the least number of links for each model version or service.
	PerVersion int
}

// DefaultSubsetLimits returns the limits of the design, section 5: 420 entries
// with links to all of 650 agents would cost each entry 650 heartbeats a second.
func DefaultSubsetLimits() SubsetLimits {
	return SubsetLimits{FullMesh: 48, DataCentre: 32, Region: 12, OtherRegions: 4, PerVersion: 2}
}

// Subset returns the names of the agents that an entry links to, sorted. The
// choice is by rendezvous hashing, so an agent that comes or goes changes at most
// one link of each group, besides those that PerVersion adds.
func Subset(entry string, dataCentre, region string, agents []AgentRef, limits SubsetLimits) []string {
	if len(agents) <= limits.FullMesh {
		return names(agents)
	}
	ranked := rank(entry, dataCentre, region, agents)
	room := [...]int{limits.DataCentre, limits.Region, limits.OtherRegions}
	links := map[string]int{}
	var chosen, rest []AgentRef
	take := func(a AgentRef) {
		chosen = append(chosen, a)
		for _, s := range a.Serves {
			links[s]++
		}
	}
	for _, a := range ranked {
		if room[a.distance] > 0 {
			room[a.distance]--
			take(a.AgentRef)
			continue
		}
		rest = append(rest, a.AgentRef)
	}
	for _, a := range rest {
		if slices.ContainsFunc(a.Serves, func(s string) bool { return links[s] < limits.PerVersion }) {
			take(a)
		}
	}
	return names(chosen)
}

type rankedAgent struct {
	AgentRef
	distance int // 0 own data centre, 1 own region, 2 elsewhere
	hash     uint64
}

// rank orders agents by distance, then by rendezvous hash.
func rank(entry, dataCentre, region string, agents []AgentRef) []rankedAgent {
	ranked, own := make([]rankedAgent, len(agents)), xxhash.Sum64String(entry)
	for i, a := range agents {
		r := rankedAgent{AgentRef: a, distance: 2, hash: rendezvous(own, a.Name)}
		switch {
		case a.DataCentre == dataCentre:
			r.distance = 0
		case a.Region == region:
			r.distance = 1
		}
		ranked[i] = r
	}
	slices.SortFunc(ranked, func(a, b rankedAgent) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.hash, a.hash), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

func names(agents []AgentRef) []string {
	out := make([]string, len(agents))
	for i, a := range agents {
		out[i] = a.Name
	}
	slices.Sort(out)
	return out
}
