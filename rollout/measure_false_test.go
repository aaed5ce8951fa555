package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

var sites = []string{"north", "middle", "south"}

// trial is one release of a version that is as good as its baseline, under
// varying conditions: how much is known of the baseline, how often its answers
// are rated during the test, how ratings bunch up, and what fails meanwhile.
type trial struct {
	r       *rand.Rand
	e       *Evidence
	rates   []float64
	control float64 // ratings of the baseline for one of the candidate
	bunch   int
	now     time.Duration
}

func newTrial(seed uint64) *trial {
	r := rand.New(rand.NewPCG(seed, 40))
	t := &trial{r: r, e: NewEvidence("o"), rates: make([]float64, len(taskClass)),
		control: []float64{0.2, 1, 3}[r.IntN(3)], bunch: 1 + r.IntN(6)}
	for i := range t.rates {
		t.rates[i] = 0.05 + 0.94*r.Float64()
	}
	for range []int{0, 5, 50, 500}[r.IntN(4)] {
		t.answer(VersionKey{"m", "v1"}, 0)
	}
	return t
}

// answer records one answer with its rating or failure.
func (t *trial) answer(k VersionKey, failure float64) {
	class := t.r.IntN(len(taskClass))
	o := Observation{TaskClass: taskClass[class], DataCentre: sites[t.r.IntN(len(sites))], Now: t.now, Started: true}
	t.e.Record(k, o)
	o.Started = false
	o.Failed = t.r.Float64() < failure
	o.Rated, o.Passed = !o.Failed, !o.Failed && t.r.Float64() < t.rates[class]
	t.e.Record(k, o)
}

// run judges after each bunch of ratings and calls look until it returns false.
// Nine releases in ten see a failure of a data centre that hits both versions;
// one in ten also loses a backend server of the candidate's alone.
func (t *trial) run(ratings int, look func(e *Evidence) bool) {
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
				t.e.Record(candidate, Observation{DataCentre: sites[0], Now: t.now, Started: true})
				t.e.Record(candidate, Observation{DataCentre: sites[0], Now: t.now, Failed: true})
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

// falseRow counts the good versions that a rule judges bad.
type falseRow struct {
	rule                  rule
	perBatch              int
	wrong, good, releases int
	batches               spread // share in each batch of seeds
	peaks                 []int  // releases whose evidence ever exceeded peakLevels
}

// peakLevels are levels of LogE, to show how far good versions stay away from
// the limit.
var peakLevels = []float64{2, 2.5, 3, 3.5, 4, 4.5, 5}

// batch runs one batch of seeds and returns the last findings of its releases,
// each with the highest evidence seen.
func (row *falseRow) batch(b int) (out []Finding) {
	const ratings = 300
	for i := range row.perBatch {
		peak := math.Inf(-1)
		var last Finding
		newTrial(uint64(b*row.perBatch+i)).run(ratings, func(e *Evidence) bool {
			last = row.rule.test(e)
			peak = max(peak, last.LogE)
			return last.Verdict != Bad
		})
		last.LogE = peak
		out = append(out, last)
	}
	return out
}

func (row *falseRow) measure() {
	var group errgroup.Group
	group.SetLimit(4)
	found := make([][]Finding, 10)
	for b := range found {
		group.Go(func() error {
			found[b] = row.batch(b)
			return nil
		})
	}
	_ = group.Wait()
	row.peaks = make([]int, len(peakLevels))
	for _, batch := range found {
		wrong := 0
		for _, f := range batch {
			switch f.Verdict {
			case Bad:
				wrong++
			case Good:
				row.good++
			}
			for n, level := range peakLevels {
				if f.LogE > level {
					row.peaks[n]++
				}
			}
		}
		row.wrong += wrong
		row.releases += len(batch)
		row.batches = append(row.batches, float64(wrong)/float64(len(batch)))
	}
}

// Guards the target for false quarantines.
func TestMeasureFalseQuarantines(t *testing.T) {
	const target = 0.001
	rows := []*falseRow{{rule: rules[0], perBatch: 600}, {rule: rules[2], perBatch: 100}, {rule: rules[3], perBatch: 100}}
	for _, row := range rows {
		row.measure()
	}
	var table strings.Builder
	table.WriteString("\n| test | releases | judged bad | share, by batch of seeds | judged good after 300 answers |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&table, "| %s | %d | %d | %v | %d |\n", r.rule.name, r.releases, r.wrong, r.batches, r.good)
	}
	fmt.Fprintf(&table, "\nReleases of the first row whose evidence ever exceeded %v: %v\n", peakLevels, rows[0].peaks)
	t.Log(table.String())
	if share := float64(rows[0].wrong) / float64(rows[0].releases); share >= target {
		t.Errorf("%v of good versions judged bad; target below %v", share, target)
	}
}
