package placing

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// unseenShare is the share of the work that entries send within the age of their
	// reports which counts as unseen: some of it has been reported or is done.
	unseenShare = 0.7
	// minReportAge is the age up to which nothing counts as unseen: several times that of
	// reports within a region. tieMargin answers it, and keeps common prompts together.
	minReportAge = 200 * time.Millisecond
	// maxUnseen bounds the work that counts as unseen at one engine: about a third of what
	// arrives within the longest time that a silent peer is considered live.
	maxUnseen = 600 * time.Millisecond
)

// Unseen returns the work that other entries may have placed at each engine since their
// last reports, whose mean age is given: 0 below minReportAge. Busy engines get as much work
// as time passes.
func Unseen(candidates []Candidate, age time.Duration) time.Duration {
	if age < minReportAge {
		return 0
	}
	busy := 0
	for i := range candidates {
		if candidates[i].Pending > 0 {
			busy++
		}
	}
	share := float64(busy) / float64(max(len(candidates), 1))
	return min(time.Duration(unseenShare*share*float64(age)), maxUnseen)
}

// UnseenRequests is Unseen for servers that read no prompts: the wait for a slot behind the
// requests that a busy server gets within the age of the reports, where answer is the time of
// an answer. It is 0 while the best server has a free slot.
func UnseenRequests(candidates []Candidate, age, answer time.Duration) time.Duration {
	best := Best(candidates)
	if best < 0 || answer <= 0 || candidates[best].Running < candidates[best].Slots {
		return 0
	}
	return time.Duration(float64(slotPenalty) * float64(age) / float64(answer))
}

// ChooseSpread is Choose for load that other entries place at the same time, so that
// entries that see the same free engine do not all take it: candidates whose cost exceeds
// the least one by less than the unseen work are chosen the more often the less they cost, if
// they are no further away and read no more of the prompt.
func ChooseSpread(candidates []Candidate, affinity uint64, unseen time.Duration, rng *rand.Rand) int {
	if len(candidates) == 0 || unseen <= tieMargin {
		return Choose(candidates, affinity, rng)
	}
	best := &candidates[Best(candidates)]
	least := Cost(best)
	chosen, rank := -1, math.Inf(-1)
	for i := range candidates {
		weight := 1 - float64(Cost(&candidates[i])-least)/float64(unseen)
		if weight <= 0 || candidates[i].DistancePenalty > best.DistancePenalty || candidates[i].Prefill > best.Prefill+tieMargin {
			continue
		}
		draw := rng.Uint64()
		if affinity != 0 {
			draw = RendezvousWeight(affinity, candidates[i].ID)
		}
		// Weighted rendezvous hashing: the logarithm of a uniform number over the weight.
		if r := math.Log((float64(draw)+1)/math.MaxUint64) / weight; chosen < 0 || r > rank {
			chosen, rank = i, r
		}
	}
	return chosen
}
