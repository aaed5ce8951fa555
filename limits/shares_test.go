package limits

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	step = 20 * time.Millisecond
	// newsLag is how late entries learn that another one has joined or left. A
	// process that joins, or comes back, counts all others.
	newsLag = time.Second
	// downTime is the least time between the end of a process and its next start.
	downTime = 1200 * time.Millisecond
)

// fleet plays entries that join, leave and start again, and that know of each
// other late.
type fleet struct {
	rng     *rand.Rand
	entries []*member
	history []change
}

type member struct {
	up      bool
	since   time.Time // start, or end when down
	retries *RetryBudget
	cold    *ColdLimiter
}

// change is the number of entries that are up from a time on.
type change struct {
	at    time.Time
	count int
}

func newFleet(rng *rand.Rand, most int) *fleet {
	f := &fleet{rng: rng}
	for i := range most {
		m := &member{since: long}
		if i < most/2 {
			m.up = true
		}
		f.entries = append(f.entries, m)
	}
	f.history = append(f.history, change{long, f.up()})
	return f
}

func (f *fleet) up() int {
	n := 0
	for _, m := range f.entries {
		if m.up {
			n++
		}
	}
	return n
}

// flip starts or ends a process and tells whether it did. Processes join at least newsLag apart: shares
// keep room for one process that the others have not heard of.
func (f *fleet) flip(now time.Time, m *member) bool {
	last := f.history[len(f.history)-1].at
	if m.up && f.up() == 1 || !m.up && (now.Sub(m.since) < downTime || now.Sub(last) < newsLag) {
		return false
	}
	m.up, m.since = !m.up, now
	f.history = append(f.history, change{now, f.up()})
	return true
}

// view is what a member takes as the number of entries: what was true a moment ago
// or is now, and one more for a process that it has not heard of.
func (f *fleet) view(now time.Time) int {
	count := f.up()
	if f.rng.IntN(2) == 0 {
		for _, c := range f.history {
			if now.Sub(c.at) >= newsLag {
				count = c.count
			}
		}
	}
	return count + 1
}

// Guards against shares whose sum exceeds the retry budget of the fleet while
// entries join, leave, start again and know of it late.
func TestRetrySharesWhileEntriesChange(t *testing.T) {
	config := RetryConfig{Ratio: 0.5, Slack: 20, Window: 10 * time.Second}
	check(t, func(rng *rand.Rand) bool {
		f := newFleet(rng, 8)
		for _, m := range f.entries {
			m.retries = NewRetryBudget(config, m.since)
		}
		var requests, repeats []time.Time
		flips := 0
		for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(step) {
			if rng.IntN(100) == 0 && flips < 6 {
				if m := f.entries[rng.IntN(len(f.entries))]; f.flip(now, m) {
					m.retries = NewRetryBudget(config, now)
					flips++
				}
			}
			for _, m := range f.entries {
				if !m.up {
					continue
				}
				if rng.IntN(4) == 0 {
					m.retries.RecordRequest(now)
					requests = append(requests, now)
				}
				for rng.IntN(3) > 0 && m.retries.Take(now, f.view(now), 0) {
					repeats = append(repeats, now)
				}
			}
			if float64(within(repeats, now)) > config.Ratio*float64(within(requests, now))+float64(config.Slack) {
				return false
			}
		}
		return len(repeats) > 0
	})
}

// Guards against shares whose sum exceeds what a cold server bears while entries
// join, leave and start again.
func TestColdSharesWhileEntriesChange(t *testing.T) {
	const rate = 8.8
	config := ColdConfig{Overshoot: 1.5, Slack: 5}
	check(t, func(rng *rand.Rand) bool {
		f := newFleet(rng, 8)
		for _, m := range f.entries {
			m.cold = NewColdLimiter(config)
		}
		var sent []time.Time
		flips := 0
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(step) {
			if rng.IntN(60) == 0 && flips < 6 {
				if m := f.entries[rng.IntN(len(f.entries))]; f.flip(now, m) {
					m.cold = NewColdLimiter(config)
					flips++
				}
			}
			for _, m := range f.entries {
				if m.up && rng.IntN(2) == 0 && m.cold.Allow(now, "s", rate, f.view(now)) {
					m.cold.RecordSent(now, "s")
					sent = append(sent, now)
				}
			}
			recent := 0
			for i := len(sent) - 1; i >= 0 && now.Sub(sent[i]) < time.Second; i-- {
				recent++
			}
			if float64(recent) > rate*config.Overshoot+config.Slack {
				return false
			}
		}
		return len(sent) > 0
	})
}

func check(t *testing.T, holds func(*rand.Rand) bool) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 60 // each plays seconds of eight entries
	properties := gopter.NewProperties(parameters)
	properties.Property("the sum of all shares stays within the limit", prop.ForAll(
		func(seed uint64) bool { return holds(rand.New(rand.NewPCG(seed, 3))) }, gen.UInt64()))
	properties.TestingRun(t)
}
