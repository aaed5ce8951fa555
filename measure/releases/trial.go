package releases

import (
	"math/rand/v2"
	"time"

	"hyssoploom/rollout"
)

var dataCentres = []string{"north", "middle", "south"}

// trial simulates the release of a version that is as good as its baseline. Random
// conditions are the number of earlier ratings of the baseline, the share of its
// answers rated during the test, the number of ratings between two evaluations, and
// the failures during the test.
type trial struct {
	rng       *rand.Rand
	evidence  *rollout.Evidence
	rates     []float64 // pass rates by task class, of both versions
	control   float64   // mean answers of the baseline for each of the candidate
	batchSize int       // ratings until the first evaluation
	now       time.Duration
}

func newTrial(seed uint64) *trial {
	rng := rand.New(rand.NewPCG(seed, 40))
	t := &trial{rng: rng, evidence: rollout.NewEvidence("o"), rates: make([]float64, len(taskClasses)),
		control: []float64{0.2, 1, 3}[rng.IntN(3)], batchSize: 1 + rng.IntN(6)}
	for i := range t.rates {
		t.rates[i] = 0.05 + 0.94*rng.Float64()
	}
	for range []int{0, 5, 50, 500}[rng.IntN(4)] {
		t.recordAnswer(baseline, 0)
	}
	return t
}

// recordAnswer records one answer with its rating or failure.
func (t *trial) recordAnswer(k rollout.VersionKey, failureRate float64) {
	class := t.rng.IntN(len(taskClasses))
	o := rollout.Observation{TaskClass: taskClasses[class], DataCentre: dataCentres[t.rng.IntN(len(dataCentres))], Now: t.now, Started: true}
	t.evidence.Record(k, o)
	o.Started = false
	o.Failed = t.rng.Float64() < failureRate
	o.Rated, o.Passed = !o.Failed, !o.Failed && t.rng.Float64() < t.rates[class]
	t.evidence.Record(k, o)
}

// run calls evaluate after each batch of ratings until it returns false; the batches
// grow during the release. In nine releases of ten an outage of a data centre affects
// both versions; in one of ten a backend server that serves only the candidate fails.
func (t *trial) run(ratings int, evaluate func(evidence *rollout.Evidence) bool) {
	outageStart, crashAt := t.rng.IntN(ratings), -1
	if t.rng.IntN(10) == 0 {
		crashAt = t.rng.IntN(ratings)
	}
	next := t.batchSize
	for i := range ratings {
		t.now += 200 * time.Millisecond
		failureRate := 0.005
		if i >= outageStart && i < outageStart+10 && outageStart%10 > 0 {
			failureRate = 0.5
		}
		t.recordAnswer(candidate, failureRate)
		for n := t.control; t.rng.Float64() < n; n-- {
			t.recordAnswer(control, failureRate)
		}
		if i == crashAt {
			for range 8 {
				t.evidence.Record(candidate, rollout.Observation{DataCentre: dataCentres[0], Now: t.now, Started: true})
				t.evidence.Record(candidate, rollout.Observation{DataCentre: dataCentres[0], Now: t.now, Failed: true})
			}
		}
		if i+1 < next {
			continue
		}
		next += t.batchSize + i/20
		if !evaluate(t.evidence) {
			return
		}
	}
}
