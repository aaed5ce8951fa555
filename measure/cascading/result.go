package cascading

import (
	"fmt"
	"slices"
	"strings"

	"golang.org/x/sync/errgroup"
)

// SeedResult is the result of a strategy for one seed.
type SeedResult struct {
	// CostToCostliest, CostToFixed and CostToOracle are the cost relative to always
	// using the costliest stage, to fixed escalation and to the oracle.
	CostToCostliest, CostToFixed, CostToOracle float64
	// Quality is the share of answers that pass, WorstClass the lowest such share of
	// a task class.
	Quality, WorstClass float64
	// Waits is the share of requests whose first token waits for a rating.
	Waits float64
}

// RunSeed runs the strategy and the baselines on the requests of one seed.
func (s Strategy) RunSeed(seed uint64) SeedResult {
	list := generateTasks(seed)
	sum := s.run(list, seed)
	return SeedResult{
		CostToCostliest: sum.cost / costliest(list).cost,
		CostToFixed:     sum.cost / fixedEscalation(list).cost,
		CostToOracle:    sum.cost / oracle(list).cost,
		Quality:         sum.quality(),
		WorstClass:      sum.worstClass(),
		Waits:           sum.waitShare(),
	}
}

// Result holds the results of a strategy for all seeds.
type Result struct {
	Strategy
	CostToCostliest, CostToFixed, CostToOracle, Quality, WorstClass, Waits Samples
}

// Run runs the strategy with every seed.
func (s Strategy) Run() Result {
	r := Result{Strategy: s}
	for seed := range uint64(Seeds) {
		seedResult := s.RunSeed(seed)
		r.CostToCostliest.add(seedResult.CostToCostliest)
		r.CostToFixed.add(seedResult.CostToFixed)
		r.CostToOracle.add(seedResult.CostToOracle)
		r.Quality.add(seedResult.Quality)
		r.WorstClass.add(seedResult.WorstClass)
		r.Waits.add(seedResult.Waits)
	}
	return r
}

// RunAll runs the strategies, up to four at a time, and returns the results in their
// order.
func RunAll(strategies []Strategy) []Result {
	var group errgroup.Group
	group.SetLimit(4)
	results := make([]Result, len(strategies))
	for i, s := range strategies {
		group.Go(func() error {
			results[i] = s.Run()
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// Table formats results as a Markdown table.
func Table(results []Result) string {
	var table strings.Builder
	table.WriteString("| strategy | target | cost / costliest | cost / fixed escalation | cost / oracle | quality | worst class | waits |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range results {
		fmt.Fprintf(&table, "| %s | %v | %v | %v | %v | %v | %v | %v |\n", r.Name, r.Target,
			r.CostToCostliest, r.CostToFixed, r.CostToOracle, r.Quality, r.WorstClass, r.Waits)
	}
	return table.String()
}

// Samples holds one value per seed.
type Samples struct{ values []float64 }

func (s *Samples) add(v float64) { s.values = append(s.values, v) }

// Min returns the lowest value.
func (s Samples) Min() float64 { return slices.Min(s.values) }

// Max returns the highest value.
func (s Samples) Max() float64 { return slices.Max(s.values) }

func (s Samples) mean() float64 {
	sum := 0.0
	for _, v := range s.values {
		sum += v
	}
	return sum / float64(len(s.values))
}

func (s Samples) String() string {
	return fmt.Sprintf("%.3f (%.3f to %.3f)", s.mean(), s.Min(), s.Max())
}
