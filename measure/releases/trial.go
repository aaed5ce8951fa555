package releases

import (
	"math/rand/v2"
	"time"

	"hyssoploom/rollout"
)

var sites = []string{"north", "middle", "south"}

// trial is one release of a version that is as good as its baseline, under
// varying conditions: how much is known of the baseline, how often its answers
// are rated during the test, how ratings bunch up, and what fails meanwhile.
type trial struct {
	r       *rand.Rand
	e       *rollout.Evidence
	rates   []float64
	control float64 // ratings of the baseline for one of the candidate
	bunch   int
	now     time.Duration
}

func newTrial(seed uint64) *trial {
	r := rand.New(rand.NewPCG(seed, 40))
	t := &trial{r: r, e: rollout.NewEvidence("o"), rates: make([]float64, len(taskClass)),
		control: []float64{0.2, 1, 3}[r.IntN(3)], bunch: 1 + r.IntN(6)}
	for i := range t.rates {
		t.rates[i] = 0.05 + 0.94*r.Float64()
	}
	for range []int{0, 5, 50, 500}[r.IntN(4)] {
		t.answer(baseline, 0)
	}
	return t
}

// answer records one answer with its rating or failure.
func (t *trial) answer(k rollout.VersionKey, failure float64) {
	class := t.r.IntN(len(taskClass))
	o := rollout.Observation{TaskClass: taskClass[class], DataCentre: sites[t.r.IntN(len(sites))], Now: t.now, Started: true}
	t.e.Record(k, o)
	o.Started = false
	o.Failed = t.r.Float64() < failure
	o.Rated, o.Passed = !o.Failed, !o.Failed && t.r.Float64() < t.rates[class]
	t.e.Record(k, o)
}

// run judges after each bunch of ratings and calls look until it returns false.
// Nine releases in ten see a failure of a data centre that hits both versions;
// one in ten also loses a backend server of the candidate's alone.
func (t *trial) run(ratings int, look func(e *rollout.Evidence) bool) {
	outage, crash := t.r.IntN(ratings), -1
	if t.r.IntN(10) == 0 {
		crash = t.r.IntN(ratings)
	}
	next := t.bunch
	for i := range ratings {
		t.now += 200 * time.Millisecond
		failure := 0.005
		if i >= outage && i < outage+10 && outage%10 > 0 {
			failure = 0.5
		}
		t.answer(candidate, failure)
		for n := t.control; t.r.Float64() < n; n-- {
			t.answer(control, failure)
		}
		if i == crash {
			for range 8 {
				t.e.Record(candidate, rollout.Observation{DataCentre: sites[0], Now: t.now, Started: true})
				t.e.Record(candidate, rollout.Observation{DataCentre: sites[0], Now: t.now, Failed: true})
			}
		}
		if i+1 < next {
			continue
		}
		next += t.bunch + i/20
		if !look(t.e) {
			return
		}
	}
}
