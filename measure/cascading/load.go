// Package cascading measures the policy of package cascade on a simulated load
// (design section 1.3). Time is virtual, so that results depend on the seed only.
package cascading

import (
	"math"
	"math/rand/v2"
	"time"
)

// The mixed load of design section 1.3. The version change in the middle of a
// run moves each task class to the probabilities of the next one, at the
// cheapest and the middle stage.
var (
	classes   = []string{"contract draft", "member answer", "inspection summary", "repair quote"}
	passRates = [][]float64{{0.92, 0.98, 0.99}, {0.75, 0.93, 0.99}, {0.08, 0.20, 0.99}, {0.85, 0.95, 0.99}}
	prices    = []int64{1, 4, 10}
)

// Seeds is the number of seeds of every measurement; they are 0 to Seeds-1.
const Seeds = 10

const (
	requestCount      = 20_000
	requestsPerSecond = 20 // requests/s
	raterDelay        = 2 * time.Second
	workspaces        = 5
)

// task is one request; its answer at a stage passes when ease is below the
// stage's probability, so a costlier stage passes whatever a cheaper one does.
type task struct {
	class              int
	difficulty         float64
	tokens             float64
	afterVersionChange bool // after the version change
}

func (t task) passes(stage int) bool {
	class := t.class
	if t.afterVersionChange && stage < 2 {
		class = (class + 1) % len(classes)
	}
	return t.difficulty < passRates[class][stage]
}

func (t task) version(stage int) string {
	if t.afterVersionChange && stage < 2 {
		return "v2"
	}
	return "v1"
}

// tasks returns the requests of one run.
func generateTasks(seed uint64) []task {
	r := rand.New(rand.NewPCG(seed, 10))
	list := make([]task, requestCount)
	for i := range list {
		list[i] = task{r.IntN(len(classes)), r.Float64(), math.Exp(5 + r.NormFloat64()), i >= len(list)/2}
	}
	return list
}
