package releases

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// ExposureCase is a release tested with a rule.
type ExposureCase struct {
	Release Release
	Rule    Rule
	// History is the number of ratings of the baseline before the release.
	History int
}

// ExposureCases returns the cases of the exposure table.
func ExposureCases() (cases []ExposureCase) {
	for _, rel := range Releases {
		cases = append(cases, ExposureCase{rel, Rules[0], 1000}, ExposureCase{rel, Rules[0], 10})
		if rel.allRules {
			for _, ru := range Rules[1:] {
				cases = append(cases, ExposureCase{rel, ru, 1000})
			}
		}
	}
	return append(cases, ExposureCase{Releases[len(Releases)-1], Rules[1], 1000})
}

// RunSeed returns how many answers the version served until every process had
// stopped it, and when that was, at most 90 s.
func (c ExposureCase) RunSeed(seed uint64) (served int, stopped time.Duration) {
	return newSim(seed, c.Release, c.Rule, c.History).run(90 * time.Second)
}

// ExposureResult is the result of a case for every seed.
type ExposureResult struct {
	ExposureCase
	// Served is the number of answers of the version, Stopped the time in seconds
	// until every process had stopped it.
	Served, Stopped Samples
	// Ratio is Served relative to the answers until an operator stops the version
	// after 60 s.
	Ratio Samples
}

// Run runs the case with every seed.
func (c ExposureCase) Run() ExposureResult {
	x := ExposureResult{ExposureCase: c}
	for seed := range uint64(Seeds) {
		served, stopped := c.RunSeed(seed)
		x.Served = append(x.Served, float64(served))
		x.Stopped = append(x.Stopped, stopped.Seconds())
		x.Ratio = append(x.Ratio, float64(served)/(candidateRate*operatorReaction.Seconds()))
	}
	return x
}

// RunExposures runs the cases, up to four at a time, and returns the results in their
// order.
func RunExposures(cases []ExposureCase) []ExposureResult {
	var group errgroup.Group
	group.SetLimit(4)
	results := make([]ExposureResult, len(cases))
	for i, c := range cases {
		group.Go(func() error {
			results[i] = c.Run()
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// ExposureTable formats results as a Markdown table.
func ExposureTable(results []ExposureResult) string {
	var table strings.Builder
	table.WriteString("| version | test | ratings of the baseline before | answers served | s until all stopped | answers / operator |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, x := range results {
		fmt.Fprintf(&table, "| %s | %s | %d | %v | %v | %v |\n", x.Release.Name, x.Rule.Name, x.History, x.Served, x.Stopped, x.Ratio)
	}
	return table.String()
}

// Samples holds one value per seed or batch of seeds.
type Samples []float64

// Max returns the highest value.
func (s Samples) Max() float64 { return slices.Max(s) }

func (s Samples) String() string {
	sum := 0.0
	for _, v := range s {
		sum += v
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", sum/float64(len(s)), slices.Min(s), slices.Max(s))
}
