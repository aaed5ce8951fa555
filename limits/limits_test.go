package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_000_000, 0)

// longAgo is the start time of a process that is not limited by a recent start.
var longAgo = start.Add(-time.Hour)

// Guards against windows whose bounds on the count are wrong.
func TestWindow(t *testing.T) {
	w := NewWindow(10 * time.Second)
	w.Add(start, 3)
	w.Add(start.Add(4*time.Second), 2)
	for _, c := range []struct {
		at              time.Duration
		atLeast, atMost int
	}{
		{4 * time.Second, 5, 5},
		{9 * time.Second, 5, 5},
		{10 * time.Second, 2, 5}, // the first events may be just outside the window
		{11 * time.Second, 2, 2},
		{30 * time.Second, 0, 0},
	} {
		now := start.Add(c.at)
		if got := w.AtLeast(now); got != c.atLeast {
			t.Errorf("at %v: at least %d, want %d", c.at, got, c.atLeast)
		}
		if got := w.AtMost(now); got != c.atMost {
			t.Errorf("at %v: at most %d, want %d", c.at, got, c.atMost)
		}
	}
}

// Guards against entries that together exceed the retry budget of the fleet in any
// window.
func TestRetriesOfAllEntries(t *testing.T) {
	const entries = 5
	config := RetryConfig{Ratio: 0.5, Slack: 20, Window: 10 * time.Second}
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 30 // each simulates 40 s of five entries
	properties := gopter.NewProperties(parameters)
	properties.Property("the sum of all entries stays within the budget", prop.ForAll(
		func(seed uint64) bool {
			rng := rand.New(rand.NewPCG(seed, 1))
			var budgets [entries]*RetryBudget
			for i := range budgets {
				budgets[i] = NewRetryBudget(config, longAgo)
			}
			var requests, retried []time.Time
			for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(50 * time.Millisecond) {
				for i := range budgets {
					if rng.IntN(3) == 0 {
						budgets[i].RecordRequest(now)
						requests = append(requests, now)
					}
					for rng.IntN(2) == 0 && budgets[i].Take(now, entries, 0) {
						retried = append(retried, now)
					}
				}
				if float64(countWithinWindow(retried, now)) > 0.5*float64(countWithinWindow(requests, now))+20 {
					return false
				}
			}
			return len(retried) > 0
		}, gen.UInt64()))
	properties.TestingRun(t)
}

// countWithinWindow counts the times in the 10 s before now.
func countWithinWindow(times []time.Time, now time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0 && now.Sub(times[i]) < 10*time.Second; i-- {
		n++
	}
	return n
}

// Guards against a budget that refuses retries it allows.
func TestRetriesAreUsed(t *testing.T) {
	r := NewRetryBudget(RetryConfig{Ratio: 0.5, Slack: 10, Window: 10 * time.Second}, longAgo)
	taken := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		r.RecordRequest(now)
		if r.Take(now, 1, 0) {
			taken++
		}
	}
	if taken < 45 {
		t.Errorf("%d retries for 100 requests, want at least 45 of the 60 allowed", taken)
	}
	if NewRetryBudget(RetryConfig{Ratio: 0.5, Slack: 10, Window: time.Second}, longAgo).Take(start, 1, 10) {
		t.Error("a retry was taken from the reserve")
	}
}

// Guards against all entries together exceeding the limit of a cold server, also
// while one more entry joins that the others do not know yet.
func TestColdSharesOfAllEntries(t *testing.T) {
	const rate = 8.8
	config := ColdConfig{Overshoot: 1.5, Slack: 5}
	for entries := 1; entries <= 12; entries++ {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(entries), 2))
			shares := make([]*ColdLimiter, entries+1) // the last entry has just joined
			for i := range shares {
				shares[i] = NewColdLimiter(config)
			}
			var sent []time.Time
			for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
				for i, c := range shares {
					known := entries
					if i == entries {
						known++
					}
					if rng.IntN(2) == 0 && c.Allow(now, "s", rate, known+1) {
						c.RecordSent(now, "s")
						sent = append(sent, now)
					}
				}
				recent := 0
				for _, at := range sent {
					if now.Sub(at) < time.Second {
						recent++
					}
				}
				if limit := rate*config.Overshoot + config.Slack; float64(recent) > limit {
					t.Fatalf("%d requests in a second, at most %.1f are allowed", recent, limit)
				}
			}
			if len(sent) == 0 {
				t.Error("the cold server got no requests")
			}
		})
	}
}

// Guards against state that is kept for removed servers.
func TestColdRetain(t *testing.T) {
	c := NewColdLimiter(ColdConfig{Overshoot: 1})
	c.RecordSent(start, "a")
	c.RecordSent(start, "b")
	c.Retain(func(s string) bool { return s == "b" })
	if len(c.sent) != 1 {
		t.Errorf("%v", c.sent)
	}
}
