// Package placing chooses the backend server for a request by the expected wait. It
// does no I/O and takes load, memory and time as arguments.
package placing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is a backend server that can serve the request.
type Candidate struct {
	ID string
	// Pending is the time that the accepted but not yet started work will take.
	Pending time.Duration
	// Running is the number of requests in progress, and Slots the number that can
	// run at once.
	Running, Slots int
	// Prefill is the time to read the part of the prompt that is not in the
	// server's cache.
	Prefill time.Duration
	// Displaced is the delay, summed over them, of the requests that wait behind the
	// reading of the prompt; 0 if it does not count.
	Displaced time.Duration
	// ServiceTime is the expected time of an answer after the wait, where it differs
	// between servers and no prompt is read; otherwise 0.
	ServiceTime time.Duration
	// Slowness is the time that the server takes relative to the median server; 0 counts
	// as 1. Pending, Prefill and ServiceTime include it.
	Slowness float64
	// DistancePenalty is the cost of the network distance to the server, as time.
	DistancePenalty time.Duration
	// Room states whether the engine has memory for the request, and FreeTokens how much is
	// free.
	Room       Room
	FreeTokens int64
	// Suspect marks a server that failed recently.
	Suspect bool
}

const (
	// suspectPenalty keeps requests away from a recently failed server while others
	// are available.
	suspectPenalty = 5 * time.Second
	// slotPenalty is the expected wait for a slot when all slots are taken.
	slotPenalty = 300 * time.Millisecond
	// runningPenalty is the slowdown caused by each running request.
	runningPenalty = 2 * time.Millisecond
	// interferenceWeight is the weight of the time that reading the prompt takes from
	// each running request: an engine reads in chunks between their tokens. The weight
	// is below 1, because most answers are complete in time in spite of it.
	interferenceWeight = 0.05
	// tieMargin is the cost difference up to which candidates count as equal, so
	// that the affinity key decides.
	tieMargin = 15 * time.Millisecond
)

// Cost returns the expected wait at a candidate, including its penalties and the delay
// of the requests that run there.
func Cost(c *Candidate) time.Duration {
	return Wait(c) + c.Prefill + c.ServiceTime + c.Displaced + c.DistancePenalty + interference(c)
}

// interference returns the cost of the delay that reading the prompt causes to the
// requests that run at a candidate. It keeps long prompts together, on engines with few
// running requests, when many engines have work: there, the answers of all others are
// not slowed.
func interference(c *Candidate) time.Duration {
	return time.Duration(interferenceWeight * float64(c.Running) * float64(c.Prefill))
}

// Wait returns the expected time until a candidate starts to read the prompt.
func Wait(c *Candidate) time.Duration {
	delay := time.Duration(c.Running) * runningPenalty
	if c.Slots > 0 && c.Running >= c.Slots {
		delay += slotPenalty * time.Duration(1+c.Running-c.Slots) / time.Duration(c.Slots)
	}
	if c.Slowness > 0 {
		delay = time.Duration(float64(delay) * c.Slowness)
	}
	cost := c.Pending + delay
	if c.Suspect {
		cost += suspectPenalty
	}
	return cost
}

// Backlog returns the mean pending work of candidates: how busy the engines are as a
// whole, while the best of many is nearly always idle. It is 0 without candidates.
func Backlog(candidates []Candidate) time.Duration {
	var total time.Duration
	for i := range candidates {
		total += candidates[i].Pending
	}
	return total / time.Duration(max(len(candidates), 1))
}

// waitingBehind is the number of requests that wait behind another one at an engine that
// reads prompts two thirds of the time, as engines under pressure do.
const waitingBehind = 2

// Displacement returns the delay, summed over them, of the requests that wait behind the
// reading of a prompt. It keeps requests with a common part at the engine that has read it,
// so that the part is not read again in time that others need.
func Displacement(prefill time.Duration) time.Duration { return waitingBehind * prefill }

// LeastPending returns the least pending work of a candidate, 0 without candidates.
func LeastPending(candidates []Candidate) time.Duration {
	var least time.Duration
	for i := range candidates {
		if i == 0 || candidates[i].Pending < least {
			least = candidates[i].Pending
		}
	}
	return least
}

// Best returns the index of the candidate with the lowest cost, or -1 without
// candidates.
func Best(candidates []Candidate) int {
	best := -1
	for i := range candidates {
		if best < 0 || Cost(&candidates[i]) < Cost(&candidates[best]) {
			best = i
		}
	}
	return best
}

// Choose returns the index of the candidate with the lowest cost, or -1 without
// candidates. Among candidates within tieMargin of it, the affinity key decides, so
// that all entries send requests with a common prompt prefix to the same servers.
// Without a key (0) the choice is random.
func Choose(candidates []Candidate, affinity uint64, rng *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	best := Cost(&candidates[Best(candidates)])
	chosen, rank := -1, uint64(0)
	for i := range candidates {
		if Cost(&candidates[i]) > best+tieMargin {
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

// RendezvousWeight returns the weight of a server for a key in rendezvous hashing.
func RendezvousWeight(key uint64, id string) uint64 {
	return splitMix64(key ^ splitMix64(xxhash.Sum64String(id)))
}

// splitMix64 is the finalizer of SplitMix64.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
