package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// smallPoolShare is the part of the engines of a data centre that is preferred
// for the smallest model of a cascade. It reads every prompt first, but in about
// a tenth of the time that the largest model takes for those that it gets.
const smallPoolShare = 1.0 / 5.5

// SmallModels tells whether a server is preferred for the smallest model of a
// cascade rather than for larger ones.
func (v *View) SmallModels(s *BackendServer) bool { return v.small[s.ID] }

// smallPools splits the servers of each service, data centre and version by the
// hash of their ids, so that all entries arrive at the same pools.
func smallPools(byService map[string][]*BackendServer) map[string]bool {
	small := make(map[string]bool)
	for _, servers := range byService {
		groups := make(map[[2]string][]*BackendServer)
		for _, s := range servers {
			if !s.Draining {
				group := [2]string{s.DataCentre, s.Version}
				groups[group] = append(groups[group], s)
			}
		}
		for _, group := range groups {
			slices.SortFunc(group, func(a, b *BackendServer) int {
				return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
			})
			for _, s := range group[:int(float64(len(group))*smallPoolShare)] {
				small[s.ID] = true
			}
		}
	}
	return small
}
