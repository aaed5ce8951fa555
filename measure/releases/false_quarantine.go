package releases

import (
	"fmt"
	"math"
	"strings"

	"golang.org/x/sync/errgroup"

	"hyssoploom/rollout"
)

// FalseQuarantineCase is a number of good releases tested with a rule.
type FalseQuarantineCase struct {
	Rule Rule
	// PerBatch is the number of releases of each of the Seeds batches.
	PerBatch int
}

// FalseQuarantineCases returns the cases of the table of false quarantines.
func FalseQuarantineCases() []FalseQuarantineCase {
	return []FalseQuarantineCase{{Rules[0], 600}, {Rules[2], 100}, {Rules[3], 100}}
}

// FalseQuarantineResult counts the good versions that a rule finds bad.
type FalseQuarantineResult struct {
	FalseQuarantineCase
	Quarantined, Good, Releases int
	// Batches is the share found bad in each batch of seeds.
	Batches Samples
	// PeakCounts counts, for each of PeakLevels, the releases whose LogE ever exceeded
	// it.
	PeakCounts []int
}

// PeakLevels are levels of LogE that show how far good versions stay below the
// limit.
var PeakLevels = []float64{2, 2.5, 3, 3.5, 4, 4.5, 5}

// RunBatch runs one batch of seeds and returns the last test result of each release,
// with LogE set to its highest value during the release.
func (c FalseQuarantineCase) RunBatch(batch int) (out []rollout.TestResult) {
	const ratings = 300
	for i := range c.PerBatch {
		peak := math.Inf(-1)
		var last rollout.TestResult
		newTrial(uint64(batch*c.PerBatch+i)).run(ratings, func(e *rollout.Evidence) bool {
			last = c.Rule.test(e)
			peak = max(peak, last.LogE)
			return last.Verdict != rollout.Bad
		})
		last.LogE = peak
		out = append(out, last)
	}
	return out
}

// Run runs all batches, up to four at a time.
func (c FalseQuarantineCase) Run() FalseQuarantineResult {
	var group errgroup.Group
	group.SetLimit(4)
	results := make([][]rollout.TestResult, Seeds)
	for b := range results {
		group.Go(func() error {
			results[b] = c.RunBatch(b)
			return nil
		})
	}
	_ = group.Wait()
	r := FalseQuarantineResult{FalseQuarantineCase: c, PeakCounts: make([]int, len(PeakLevels))}
	for _, batch := range results {
		quarantined := 0
		for _, f := range batch {
			switch f.Verdict {
			case rollout.Bad:
				quarantined++
			case rollout.Good:
				r.Good++
			}
			for n, level := range PeakLevels {
				if f.LogE > level {
					r.PeakCounts[n]++
				}
			}
		}
		r.Quarantined += quarantined
		r.Releases += len(batch)
		r.Batches = append(r.Batches, float64(quarantined)/float64(len(batch)))
	}
	return r
}

// FalseQuarantineTable formats results as a Markdown table.
func FalseQuarantineTable(results []FalseQuarantineResult) string {
	var table strings.Builder
	table.WriteString("| test | releases | judged bad | share, by batch of seeds | judged good after 300 answers |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range results {
		fmt.Fprintf(&table, "| %s | %d | %d | %v | %d |\n", r.Rule.Name, r.Releases, r.Quarantined, r.Batches, r.Good)
	}
	return table.String()
}
