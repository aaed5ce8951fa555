package cascade

import (
	"testing"
	"time"
)

// Guards against keeping low-confidence answers while the engines are idle, and
// against giving a large model work that it cannot start in time.
func TestEscalate(t *testing.T) {
	const target = 2 * time.Second
	for _, c := range []struct {
		name string
		d    EscalationInput
		want bool
	}{
		{"no confidence, idle", EscalationInput{Confidence: 0, StartWithin: target}, true},
		{"full confidence, idle", EscalationInput{Confidence: 100, StartWithin: target}, false},
		{"some confidence, idle", EscalationInput{Confidence: 40, StartWithin: target}, true},
		{"some confidence, busy", EscalationInput{Confidence: 40, Pending: 300 * time.Millisecond, StartWithin: target}, false},
		{"little confidence, busy", EscalationInput{Confidence: 5, Pending: 300 * time.Millisecond, StartWithin: target}, true},
		{"no confidence, overloaded", EscalationInput{Confidence: 0, Pending: time.Second, StartWithin: target}, false},
		{"would be late", EscalationInput{Confidence: 0, Elapsed: 1500 * time.Millisecond, Prefill: 600 * time.Millisecond, StartWithin: target}, false},
		{"long prompt, in time", EscalationInput{Confidence: 0, Elapsed: 300 * time.Millisecond, Prefill: 900 * time.Millisecond, StartWithin: target}, true},
		{"would not be complete", EscalationInput{Confidence: 0, Decode: 9 * time.Second, StartWithin: target}, false},
		{"long answer, in time", EscalationInput{Confidence: 0, Decode: 7 * time.Second, StartWithin: target}, true},
	} {
		c.d.CompleteWithin = 10 * time.Second
		if got := Escalate(c.d); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against a queue that grows until all answers are late, and checks that the
// engine serves the least confident answers. The load exceeds the capacity of the
// large model: an answer every 20 ms with evenly spread confidence, each needing
// 100 ms of its engine.
func TestEscalateUnderOverload(t *testing.T) {
	const target, read = 2 * time.Second, 100 * time.Millisecond
	var free time.Duration
	delayed, escalated, confidence := 0, 0, 0
	for n := range 2000 {
		now := time.Duration(n) * 20 * time.Millisecond
		d := EscalationInput{Confidence: n * 37 % 101, Pending: max(free-now, 0), Prefill: read, StartWithin: target, CompleteWithin: 10 * time.Second}
		if !Escalate(d) {
			continue
		}
		free = max(free, now) + read
		escalated++
		confidence += d.Confidence
		if free-now > target {
			delayed++
		}
	}
	if delayed > 0 {
		t.Errorf("%d answers of the large model started late", delayed)
	}
	if escalated < 350 {
		t.Errorf("%d answers of the large model; its engine could serve 400", escalated)
	}
	if mean := confidence / escalated; mean > 20 {
		t.Errorf("the mean confidence of escalated answers is %d", mean)
	}
}

// Guards against requests of all models that start late behind those of the large
// model. As after a crash of most engines, answers arrive every 10 ms, each with
// 400 ms of work for the large model, at six engines. The load known to an entry is
// 200 ms old, and the work takes twice as long as expected.
func TestEscalateWithStaleLoad(t *testing.T) {
	const (
		target, read, age = 2 * time.Second, 400 * time.Millisecond, 200 * time.Millisecond
		step, engines     = 10 * time.Millisecond, 6
	)
	var free [engines]time.Duration
	var seen [][engines]time.Duration // by step
	late, asked := 0, 0
	for n := range 3000 {
		now := time.Duration(n) * step
		seen = append(seen, free)
		known := seen[max(n-int(age/step), 0)]
		best := n % engines // entries spread their requests
		// A request of any model waits for the work its engine has started.
		if wait := free[best] - now; wait > target {
			late++
		}
		d := EscalationInput{Confidence: n * 37 % 101, Pending: max(known[best]-now, 0) / 2, Prefill: read, StartWithin: target, CompleteWithin: 10 * time.Second}
		if Escalate(d) {
			free[best] = max(free[best], now) + 2*read
			asked++
		}
	}
	t.Logf("%d of 3000 requests started late, %d were escalated", late, asked)
	if late > 30 { // one in a hundred
		t.Errorf("%d of 3000 requests started late", late)
	}
	if asked < 100 {
		t.Errorf("%d requests were escalated; the engines have time for %d", asked, 3000*int(step)*engines/int(2*read))
	}
}
