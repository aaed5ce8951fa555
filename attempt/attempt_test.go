package attempt

import (
	"slices"
	"testing"
)

// maxSends is the number of sends up to which all sequences of outcomes are tested.
const maxSends = 7

// policies returns all combinations of small limits.
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

// runScript runs a request whose sends end as listed in script, and returns the
// sends that were made.
func runScript(policy Policy, script []Outcome) (sends []Outcome, p Progress, last Outcome, sent bool) {
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

// Guards against requests that run twice without permission, run more often than
// allowed or are sent after their end, and against refusals that wrongly claim that
// the request was not run. All sequences of up to maxSends sends are tested, not a
// sample.
func TestAllSequences(t *testing.T) {
	explored := 0
	for _, policy := range policies() {
		script := make([]Outcome, 0, maxSends)
		var explore func()
		explore = func() {
			explored++
			if made := checkScript(t, policy, script); made < len(script) || len(script) == maxSends {
				return // further outcomes would not be reached
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
		t.Errorf("only %d sequences were tested", explored)
	}
}

// checkScript runs a script and returns the number of sends.
func checkScript(t *testing.T, policy Policy, script []Outcome) int {
	t.Helper()
	sends, p, last, sent := runScript(policy, script)
	runs, unescalatedRuns, refusals := 0, 0, 0
	for i, o := range sends {
		switch o {
		case NotSent, EndedUnsent, Stale:
		case NotRun:
			refusals++
		case Escalated:
			runs++
		default:
			runs++
			unescalatedRuns++
		}
		final := o == Delivered || o == Ended || o == EndedUnsent || o == Stale
		if final && i != len(sends)-1 {
			t.Fatalf("%+v %v: sent after a final outcome", policy, sends)
		}
	}
	switch {
	case !policy.Repeatable && unescalatedRuns > 1:
		t.Fatalf("%+v %v: ran %d times", policy, sends, unescalatedRuns)
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

// Guards against giving up requests that another backend server could serve: a
// request that was not run is sent to the next one.
func TestRetryWhereAllowed(t *testing.T) {
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
		{"two escalations, not repeatable", strict, []Outcome{Escalated, Escalated, Delivered}, 3},
		{"escalation and then a lost answer, not repeatable", strict, []Outcome{Escalated, Broken, Delivered}, 2},
		{"caller left", loose, []Outcome{Ended, Delivered}, 1},
	} {
		if sends, _, _, _ := runScript(c.policy, c.script); len(sends) != c.sends {
			t.Errorf("%s: %v", c.name, sends)
		}
	}
	if !slices.Contains(Outcomes, Stale) || len(Outcomes) != int(Stale)+1 {
		t.Error("an outcome is not tested")
	}
}
