// Package placing chooses the backend server for a request by the time that the
// request would wait there. It is pure: load, memory and time are arguments.
package placing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a backend server that may take the request.
type Candidate struct {
	ID string
	// Pending is the work that the server has accepted and not begun.
	Pending time.Duration
	// Running is the number of requests that it is working on, of Slots.
	Running, Slots int
	// Prefill is the time that it would need to read what it does not hold of the
	// prompt.
	Prefill time.Duration
	// DistancePenalty is the price of reaching it, as time.
	DistancePenalty time.Duration
	// Suspect servers have failed recently.
	Suspect bool
}

const (
	// suspectPenalty keeps requests away from a server that failed while others
	// are left.
	suspectPenalty = 5 * time.Second
	// slotPenalty is the wait for a slot when all are taken.
	slotPenalty = 300 * time.Millisecond
	// runningCost is the slow-down by each running request.
	runningCost = 2 * time.Millisecond
	// tie is the difference in wait below which the affinity decides.
	tie = 15 * time.Millisecond
)

// Cost is the expected wait at a candidate.
func Cost(c *Candidate) time.Duration {
	cost := c.Pending + c.Prefill + c.DistancePenalty + time.Duration(c.Running)*runningCost
	if c.Slots > 0 && c.Running >= c.Slots {
		cost += slotPenalty * time.Duration(1+c.Running-c.Slots) / time.Duration(c.Slots)
	}
	if c.Suspect {
		cost += suspectPenalty
	}
	return cost
}

// Wait is the expected time until a candidate begins to read the prompt.
func Wait(c *Candidate) time.Duration { return Cost(c) - c.Prefill - c.DistancePenalty }

// Best returns the index of the candidate with the least cost, or -1.
func Best(candidates []Candidate) int {
	best := -1
	for i := range candidates {
		if best < 0 || Cost(&candidates[i]) < Cost(&candidates[best]) {
			best = i
		}
	}
	return best
}

// Choose returns the index of the candidate with the least cost, or -1 without
// candidates. Among candidates that differ little, the affinity key decides, so
// that all entries send requests with a common prompt to the same servers;
// without a key (0) the choice is random.
func Choose(candidates []Candidate, affinity uint64, rng *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	best := Cost(&candidates[Best(candidates)])
	chosen, rank := -1, uint64(0)
	for i := range candidates {
		if Cost(&candidates[i]) > best+tie {
			continue
		}
		r := rng.Uint64()
		if affinity != 0 {
			r = RendezvousWeight(affinity, candidates[i].ID)
		}
		if chosen < 0 || r > rank {
			chosen, rank = i, r
		}
	}
	return chosen
}

// RendezvousWeight is the weight of a server for a key in rendezvous hashing.
func RendezvousWeight(key uint64, id string) uint64 { return mix(key ^ mix(xxhash.Sum64String(id))) }

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
