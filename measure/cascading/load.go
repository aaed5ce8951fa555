// Package cascading measures the policy of package cascade on a simulated load
// (design, section 1.3). Time is virtual, so the results depend only on the seed.
package cascading

import (
	"math"
	"math/rand/v2"
	"time"
)

// The mixed load of section 1.3 of the design: pass rates by task class and stage,
// and the price of each stage. In the middle of a run a version change gives each
// task class the pass rates of the next class, at the cheapest and the middle stage.
var (
	classes   = []string{"contract draft", "member answer", "inspection summary", "repair quote"}
	passRates = [][]float64{{0.92, 0.98, 0.99}, {0.75, 0.93, 0.99}, {0.08, 0.20, 0.99}, {0.85, 0.95, 0.99}}
	prices    = []int64{1, 4, 10}
)

// Seeds is the number of seeds of every measurement: 0 to Seeds-1.
const Seeds = 10

const (
	requestCount      = 20_000
	requestsPerSecond = 20
	raterDelay        = 2 * time.Second
	workspaces        = 5
)

// task is one request. Its answer at a stage passes if difficulty is below the pass
// rate of the stage, so a costlier stage passes every task that a cheaper one passes.
type task struct {
	class              int
	difficulty         float64
	tokens             float64
	afterVersionChange bool
}

// passes reports whether the answer at a stage passes.
func (t task) passes(stage int) bool {
	class := t.class
	if t.afterVersionChange && stage < 2 {
		class = (class + 1) % len(classes)
	}
	return t.difficulty < passRates[class][stage]
}

// version returns the version that serves the task at a stage.
func (t task) version(stage int) string {
	if t.afterVersionChange && stage < 2 {
		return "v2"
	}
	return "v1"
}

// generateTasks returns the requests of one run.
func generateTasks(seed uint64) []task {
	r := rand.New(rand.NewPCG(seed, 10))
	list := make([]task, requestCount)
	for i := range list {
		list[i] = task{r.IntN(len(classes)), r.Float64(), math.Exp(5 + r.NormFloat64()), i >= len(list)/2}
	}
	return list
}
