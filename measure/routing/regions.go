package routing

import (
	"fmt"
	"time"

	"hyssoploom/route"
)

// RegionTraffic counts the request bytes sent to another region.
type RegionTraffic struct {
	Bytes int
	Share float64 // of all request bytes
}

// CrossRegionResult compares the cross-region traffic of the router with that of
// random choice.
type CrossRegionResult struct {
	Load             float64
	Seed             uint64
	Router, Baseline RegionTraffic
}

// Ratio returns the cross-region bytes relative to the baseline.
func (r CrossRegionResult) Ratio() float64 {
	return float64(r.Router.Bytes) / float64(r.Baseline.Bytes)
}

func (r CrossRegionResult) String() string {
	return fmt.Sprintf("load %.2f seed %2d: %d bytes cross (%.4f of all), baseline %d (%.4f)",
		r.Load, r.Seed, r.Router.Bytes, r.Router.Share, r.Baseline.Bytes, r.Baseline.Share)
}

// RunCrossRegion runs three regions at the same load; load is relative to their
// capacity.
func RunCrossRegion(load float64, seed uint64) CrossRegionResult {
	const end, servers = 30 * time.Second, 21
	run := func(choose func(*simEntry, route.Request) (int, error)) (c RegionTraffic) {
		s := newSim(seed, servers, 6, 3, ShortAnswers, policy{choose: choose, config: routerAgentConfig, retry: retryWithinBudget})
		s.warmAll()
		s.generateArrivals("w", load*servers*ShortAnswers.capacity(), end)
		s.run(end + 2*ShortAnswers.deadline)
		total := 0
		for _, j := range s.jobs {
			total += j.bodyBytes
			if j.crossedRegion {
				c.Bytes += j.bodyBytes
			}
		}
		c.Share = float64(c.Bytes) / float64(total)
		return c
	}
	return CrossRegionResult{Load: load, Seed: seed, Baseline: run(chooseRandom), Router: run(chooseByRouter)}
}
