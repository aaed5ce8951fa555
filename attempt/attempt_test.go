package attempt

import (
	"slices"
	"testing"
)

// depth is the number of sends up to which all sequences of outcomes are explored.
const depth = 7

// policies are all combinations of small limits.
func policies() []Policy {
	var all []Policy
	for _, repeatable := range []bool{false, true} {
		for _, runs := range []int{0, 1, 2, 3} {
			for _, refusals := range []int{0, 1, 2, 4} {
				all = append(all, Policy{repeatable, runs, refusals})
			}
		}
	}
	return all
}

// play runs a request whose sends end as script says, and returns the sends that
// were made.
func play(policy Policy, script []Outcome) (sends []Outcome, p Progress, last Outcome, sent bool) {
	last, sent = Run(policy, &p, func() (Outcome, bool) {
		if len(sends) == len(script) {
			return 0, false
		}
		o := script[len(sends)]
		sends = append(sends, o)
		return o, true
	})
	return sends, p, last, sent
}

// Guards against requests that run twice though they may not, that run on more
// backend servers than allowed, that are sent after their end, and refusals that
// promise what is not true. All sequences of up to
// depth sends are explored, not a sample.
func TestAllSequences(t *testing.T) {
	explored := 0
	for _, policy := range policies() {
		script := make([]Outcome, 0, depth)
		var explore func()
		explore = func() {
			explored++
			if made := check(t, policy, script); made < len(script) || len(script) == depth {
				return // what follows would not be sent
			}
			for _, o := range Outcomes {
				script = append(script, o)
				explore()
				script = script[:len(script)-1]
			}
		}
		explore()
	}
	if explored < 100_000 {
		t.Errorf("only %d cases were explored", explored)
	}
}

// check plays a script and returns the number of sends.
func check(t *testing.T, policy Policy, script []Outcome) int {
	t.Helper()
	sends, p, last, sent := play(policy, script)
	runs, kept, refusals := 0, 0, 0
	for i, o := range sends {
		switch o {
		case NotSent, EndedUnsent, Stale:
		case NotRun:
			refusals++
		case Unsure:
			runs++
		default:
			runs++
			kept++
		}
		final := o == Delivered || o == Ended || o == EndedUnsent || o == Stale
		if final && i != len(sends)-1 {
			t.Fatalf("%+v %v: sent after its end", policy, sends)
		}
	}
	switch {
	case !policy.Repeatable && kept > 1:
		t.Fatalf("%+v %v: ran %d times", policy, sends, kept)
	case policy.MaxRuns > 0 && runs > policy.MaxRuns:
		t.Fatalf("%+v %v: %d runs", policy, sends, runs)
	case policy.MaxRefusals > 0 && refusals > policy.MaxRefusals:
		t.Fatalf("%+v %v: %d refusals", policy, sends, refusals)
	case p.MayHaveRun() != (runs > 0):
		t.Fatalf("%+v %v: may have run is %v", policy, sends, p.MayHaveRun())
	case p.Runs != runs || p.Refusals != refusals || p.Received != runs+refusals:
		t.Fatalf("%+v %v: counted %+v", policy, sends, p)
	case sent != (len(sends) > 0) || sent && last != sends[len(sends)-1]:
		t.Fatalf("%+v %v: ended with %v, %v", policy, sends, last, sent)
	}
	return len(sends)
}

// Guards against requests that are given up although they could be served: one
// that was not run goes on to the next backend server.
func TestGoesOn(t *testing.T) {
	strict := Policy{MaxRuns: 3, MaxRefusals: 4}
	loose := Policy{Repeatable: true, MaxRuns: 3, MaxRefusals: 4}
	for _, c := range []struct {
		name   string
		policy Policy
		script []Outcome
		sends  int
	}{
		{"refused and unreachable servers", strict, []Outcome{NotRun, NotSent, NotSent, NotRun, Delivered}, 5},
		{"lost answer, not repeatable", strict, []Outcome{Broken, Delivered}, 1},
		{"lost answer, repeatable", loose, []Outcome{Broken, Delivered}, 2},
		{"failures, repeatable", loose, []Outcome{Failed, Failed, Failed, Delivered}, 3},
		{"unsure models, not repeatable", strict, []Outcome{Unsure, Unsure, Delivered}, 3},
		{"unsure and then lost, not repeatable", strict, []Outcome{Unsure, Broken, Delivered}, 2},
		{"caller left", loose, []Outcome{Ended, Delivered}, 1},
	} {
		if sends, _, _, _ := play(c.policy, c.script); len(sends) != c.sends {
			t.Errorf("%s: %v", c.name, sends)
		}
	}
	if !slices.Contains(Outcomes, Stale) || len(Outcomes) != int(Stale)+1 {
		t.Error("an outcome is not explored")
	}
}
