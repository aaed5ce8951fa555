package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AgentRef describes an agent that an entry may link to.
type AgentRef struct {
	Name, DataCentre, Region string
	// Serves lists model versions as "model@version", or service names.
	Serves []string
}

// SubsetLimits bounds the links of one entry.
type SubsetLimits struct {
	// FullMesh is the number of agents up to which an entry links to every agent.
	FullMesh int
	// DataCentre, Region and OtherRegions bound the links to agents of the entry's
	// data centre, of other data centres of its region, and of other regions.
	DataCentre, Region, OtherRegions int
	// PerVersion is the minimum number of links for each model version or service.
	PerVersion int
}

// DefaultSubsetLimits returns the limits of docs/design.md, section 5. 420 entries
// with links to all of 650 agents would cost each entry 650 heartbeats a second.
func DefaultSubsetLimits() SubsetLimits {
	return SubsetLimits{FullMesh: 48, DataCentre: 32, Region: 12, OtherRegions: 4, PerVersion: 2}
}

// Subset returns the sorted names of the agents that an entry links to. It uses
// rendezvous hashing, so adding or removing one agent changes at most one link of
// each group, besides those added for PerVersion.
func Subset(entry string, dataCentre, region string, agents []AgentRef, limits SubsetLimits) []string {
	if len(agents) <= limits.FullMesh {
		return names(agents)
	}
	ranked := rank(entry, dataCentre, region, agents)
	remaining := [...]int{limits.DataCentre, limits.Region, limits.OtherRegions}
	linkCount := map[string]int{}
	var chosen, others []AgentRef
	take := func(a AgentRef) {
		chosen = append(chosen, a)
		for _, s := range a.Serves {
			linkCount[s]++
		}
	}
	for _, a := range ranked {
		if remaining[a.distance] > 0 {
			remaining[a.distance]--
			take(a.AgentRef)
			continue
		}
		others = append(others, a.AgentRef)
	}
	for _, a := range others {
		if slices.ContainsFunc(a.Serves, func(s string) bool { return linkCount[s] < limits.PerVersion }) {
			take(a)
		}
	}
	return names(chosen)
}

type rankedAgent struct {
	AgentRef
	distance int // 0 same data centre, 1 same region, 2 other region
	hash     uint64
}

// rank orders agents by distance, then by rendezvous weight.
func rank(entry, dataCentre, region string, agents []AgentRef) []rankedAgent {
	ranked, own := make([]rankedAgent, len(agents)), xxhash.Sum64String(entry)
	for i, a := range agents {
		r := rankedAgent{AgentRef: a, distance: 2, hash: rendezvousWeight(own, a.Name)}
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
