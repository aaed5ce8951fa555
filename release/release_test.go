package release

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// Guards against sessions that are removed while a request runs or before the idle
// timeout, and against sessions that never expire.
func TestSessions(t *testing.T) {
	s := NewSessions(5 * time.Second)
	key := SessionKey{"x", 7}
	boundVersion := func(at time.Duration) string {
		version, ok := s.BoundVersion(start.Add(at), key)
		if !ok {
			return ""
		}
		return version
	}
	if boundVersion(0) != "" {
		t.Error("an unknown session is bound")
	}
	s.Begin(start, key, "v1")
	s.Begin(start, key, "v1")
	s.End(start.Add(time.Second), key)
	if boundVersion(15*time.Second) != "v1" {
		t.Error("a session with a running request is not bound")
	}
	s.End(start.Add(16*time.Second), key)
	if boundVersion(21*time.Second) != "v1" || boundVersion(23*time.Second) != "" {
		t.Error("the session does not end after its idle timeout")
	}
	s.RemoveExpired(start.Add(30 * time.Second))
	if len(s.byKey) != 0 {
		t.Error("an ended session was not removed")
	}
	s.End(start, SessionKey{"y", 1}) // an end without a start
	s.Begin(start, key, "v2")
	live := 0
	s.ForEachLive(start, func(SessionKey, string) { live++ })
	if live != 1 {
		t.Errorf("%d live sessions", live)
	}
}

func progress(elapsed time.Duration, good int) Progress {
	return Progress{
		Elapsed: elapsed, Duration: 20 * time.Second, TargetReady: true,
		Evidence: Evidence{Old: AnswerCounts{Sent: 500, Good: 500}, Target: AnswerCounts{Sent: good, Good: good}},
		Own:      Evidence{Old: AnswerCounts{Sent: 100}, Target: AnswerCounts{Sent: 1}},
	}
}

// Guards against sessions that change the version too early, and against sessions
// that do not change when they have to.
func TestUseTarget(t *testing.T) {
	limits := Limits{Share: 0.15, Slack: 30}
	for _, c := range []struct {
		name            string
		p               Progress
		position        float64
		bound, onTarget bool
		want            bool
	}{
		{"before all entries know", progress(500*time.Millisecond, 0), 0, false, false, false},
		{"first of the canaries", progress(3*time.Second, 0), 0.01, false, false, true},
		{"not a canary", progress(3*time.Second, 100), 0.2, false, false, false},
		{"canary in use on the old version", progress(9*time.Second, 100), 0.01, true, false, false},
		{"in use on the new version", progress(9*time.Second, 100), 0.9, true, true, true},
		{"second half, canary in use on the old version", progress(11*time.Second, 100), 0.01, true, false, true},
		{"second half, not a canary", progress(11*time.Second, 100), 0.2, true, false, false},
		{"second half without evidence, canary", progress(11*time.Second, 2), 0.01, true, false, true},
		{"partial move", progress(17500*time.Millisecond, 100), 0.2, true, false, true},
		{"partial move, outside its share", progress(17500*time.Millisecond, 100), 0.4, true, false, false},
		{"partial move without evidence", progress(17500*time.Millisecond, 2), 0.2, true, false, false},
		{"all move", progress(18400*time.Millisecond, 100), 0.999, true, false, true},
		{"late with little evidence", progress(18400*time.Millisecond, 3), 0.999, true, false, true},
		{"late without evidence", progress(18400*time.Millisecond, 2), 0.999, true, false, false},
	} {
		a := Assignment{Progress: c.p, Limits: limits, Entries: 7, Position: c.position, Bound: c.bound, OnTarget: c.onTarget}
		if got := UseTarget(a); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
		a.TargetReady = false
		if got := UseTarget(a); got && !c.onTarget {
			t.Errorf("%s: uses the new version although no backend server runs it", c.name)
		}
	}
}

// Guards against a bad version that gets more than its exposure when one session
// makes up most of the load.
func TestExposure(t *testing.T) {
	const entries = 6
	limits := Limits{Share: 0.15, Slack: 30}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 5))
		var own [entries]Evidence
		total, exposed := 0, 0
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			i := rng.IntN(entries)
			canary := rng.Float64() < 0.5 // one canary session makes half of the requests
			position := rng.Float64()
			if canary {
				position = 0
			}
			a := Assignment{
				Progress: Progress{Elapsed: now, Duration: 20 * time.Second, TargetReady: true, Own: own[i]},
				Limits:   limits, Entries: entries + 1, Position: position,
			}
			total++
			if UseTarget(a) {
				exposed++
				own[i].Target.Sent++
			} else {
				own[i].Old.Sent++
			}
		}
		if allowed := 0.15*float64(total) + 30; float64(exposed) > allowed {
			t.Errorf("seed %d: the new version got %d of %d requests, at most %.0f are allowed", seed, exposed, total, allowed)
		}
		if exposed == 0 {
			t.Errorf("seed %d: the new version got no requests", seed)
		}
	}
}

// Guards against a version whose failures appear too late or only after its
// completion: it must not exceed its exposure before the rollout's duration ends,
// whenever the load bursts.
func TestExposureOfVersionFoundBadTooLate(t *testing.T) {
	const (
		entries  = 6
		duration = 24 * time.Second
	)
	limits := Limits{Share: 0.15, Slack: 30}
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 6))
		burstAt := time.Duration(rng.Int64N(int64(duration)))
		var byEntry [entries]Evidence
		total, exposed, completed := 0, 0, false
		for now := time.Duration(0); now < duration; now += 16 * time.Millisecond {
			p := Progress{Elapsed: now, Duration: duration, TargetReady: true}
			for _, e := range byEntry {
				p.Evidence.Old, p.Evidence.Target = p.Evidence.Old.Add(e.Old), p.Evidence.Target.Add(e.Target)
			}
			p.Evidence.Target.Good = p.Evidence.Target.Sent
			completed = completed || p.Complete(limits)
			requests := 1
			if now >= burstAt && now < burstAt+5*time.Second {
				requests += rng.IntN(2)
			}
			for range requests {
				i := rng.IntN(entries)
				p.Own = byEntry[i]
				total++
				if completed || UseTarget(Assignment{Progress: p, Limits: limits, Entries: entries, Position: rng.Float64()}) {
					exposed++
					byEntry[i].Target.Sent++
				} else {
					byEntry[i].Old.Sent++
				}
			}
		}
		if !completed {
			t.Errorf("seed %d: a version without failures was not completed", seed)
		}
		if allowed := limits.Share*float64(total) + limits.Slack; float64(exposed) > allowed {
			t.Errorf("seed %d: the new version got %d of %d requests, at most %.0f are allowed", seed, exposed, total, allowed)
		}
	}
}

// Guards against bad versions that are found too late, and against a rollback of
// good versions when both versions fail occasionally.
func TestBad(t *testing.T) {
	if (Evidence{Old: AnswerCounts{Good: 100}, Target: AnswerCounts{Good: 5, Bad: 0}}).Bad() {
		t.Error("a version without failures was found bad")
	}
	if !(Evidence{Old: AnswerCounts{Good: 100}, Target: AnswerCounts{Good: 4, Bad: 8}}).Bad() {
		t.Error("a version that fails two times in three was not found bad")
	}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 9))
		var good, bad Evidence
		foundAt := -1
		for n := range 300 {
			draw := func(t *AnswerCounts, p float64) {
				if rng.Float64() < p {
					t.Bad++
				} else {
					t.Good++
				}
			}
			draw(&good.Old, 0.14)
			draw(&good.Target, 0.14)
			draw(&bad.Old, 0.02)
			draw(&bad.Target, 0.45)
			if good.Bad() {
				t.Fatalf("seed %d: a version as good as the old one was found bad after %d answers", seed, n)
			}
			if foundAt < 0 && bad.Bad() {
				foundAt = bad.Target.Bad
			}
		}
		// The time allowed for a rollback is counted from the 50th bad answer.
		if foundAt < 0 || foundAt >= 50 {
			t.Errorf("seed %d: a bad version was found after %d bad answers", seed, foundAt)
		}
	}
}

// Guards against false alarms: the test is repeated after each answer, and its
// error bound must hold for the whole rollout.
func TestFalseAlarms(t *testing.T) {
	const releases, allowed = 1000, 1 // the target is less than one false alarm in 1,000 releases
	found := 0
	for seed := range uint64(releases) {
		rng := rand.New(rand.NewPCG(seed, 21))
		failing, slow := rng.Float64()*0.3, rng.Float64()*0.4
		steadyShare, steadyFailureRate := rng.Float64(), rng.Float64()*maxSteadyFailureRate
		pacedShare, fast := rng.Float64(), rng.Float64()
		var e Evidence
		draw := func(t *AnswerCounts) {
			t.Timed++
			if rng.Float64() < slow {
				t.Slow++
			}
			if rng.Float64() < pacedShare {
				t.Paced++
				if rng.Float64() < fast {
					t.Fast++
				}
			}
			rate := failing
			onSteady := rng.Float64() < steadyShare
			if onSteady {
				rate = steadyFailureRate
				t.Steady++
			}
			if rng.Float64() >= rate {
				t.Good++
				return
			}
			t.Bad++
			if onSteady {
				t.SteadyBad++
			}
		}
		bad := false
		for range 120 {
			for range 12 {
				draw(&e.Old)
			}
			draw(&e.Target)
			bad = bad || e.Bad()
		}
		if bad || e.LikelyBad() {
			found++
		}
	}
	if found > allowed {
		t.Errorf("%d of %d good versions were found bad, the target is at most %d", found, releases, allowed)
	}
}

// Guards against the completion of bad versions when the old version also fails
// occasionally or only some answers are slow. The counts were measured when such a
// version was completed; fields that are 0 were not counted or are left out.
func TestBadVersionIsNotCompleted(t *testing.T) {
	for _, c := range []struct {
		name string
		e    Evidence
	}{
		{"failing", Evidence{Old: AnswerCounts{Good: 353, Bad: 73, Timed: 342, Slow: 4}, Target: AnswerCounts{Good: 17, Bad: 16, Timed: 15, Slow: 4}}},
		{"failing, few answers", Evidence{Old: AnswerCounts{Good: 415, Bad: 64, Steady: 330, SteadyBad: 1}, Target: AnswerCounts{Good: 10, Bad: 7, Steady: 11, SteadyBad: 5}}},
		{"failing on a route that fails now and then", Evidence{Old: AnswerCounts{Good: 421, Bad: 62, Steady: 185, SteadyBad: 1}, Target: AnswerCounts{Good: 8, Bad: 7, Steady: 6}}},
		{"slower as a whole", Evidence{Old: AnswerCounts{Paced: 63, Fast: 30}, Target: AnswerCounts{Timed: 20, Paced: 15, Fast: 1}}},
		{"slower as a whole, old servers busy", Evidence{Old: AnswerCounts{Paced: 13, Fast: 3}, Target: AnswerCounts{Timed: 22, Slow: 8, Paced: 11}}},
		{"slower as a whole, old servers never idle", Evidence{Old: AnswerCounts{Paced: 2, Fast: 1}, Target: AnswerCounts{Timed: 25, Slow: 3, Paced: 18, Fast: 2}}},
		{"slower as a whole, few answers", Evidence{Old: AnswerCounts{Paced: 7, Fast: 4}, Target: AnswerCounts{Timed: 16, Slow: 4, Paced: 7, Fast: 1}}},
		{"slow", Evidence{Old: AnswerCounts{Good: 1949, Timed: 918, Slow: 158}, Target: AnswerCounts{Good: 118, Timed: 87, Slow: 54}}},
	} {
		if !c.e.Bad() && !c.e.LikelyBad() {
			t.Errorf("%s: the version would be completed", c.name)
		}
	}
	early := Evidence{Old: AnswerCounts{Good: 630, Timed: 297, Slow: 84}, Target: AnswerCounts{Good: 21, Timed: 14, Slow: 9}}
	later := Evidence{Old: AnswerCounts{Good: 1040, Timed: 456, Slow: 105}, Target: AnswerCounts{Good: 48, Timed: 33, Slow: 22}}
	if !early.Bad() && !later.Bad() {
		t.Error("a version with 22 slow answers of 33 was not found slow")
	}
	if (Evidence{}).LikelyBad() || (Evidence{Old: AnswerCounts{Good: 500, Timed: 400}, Target: AnswerCounts{Good: 14, Bad: 1, Timed: 14, Slow: 2}}).LikelyBad() ||
		(Evidence{Old: AnswerCounts{Good: 800, Paced: 90, Fast: 45}, Target: AnswerCounts{Good: 25, Paced: 12, Fast: 10}}).LikelyBad() {
		t.Error("a good version was found likely bad")
	}
}

// Guards against the completion of a version that is about 2.4 times slower on few streams
// of which some are fast by chance. The counts were measured when it was completed.
func TestSlowVersionWithFewPacedStreams(t *testing.T) {
	e := Evidence{Old: AnswerCounts{Paced: 5, Fast: 1}, Target: AnswerCounts{Timed: 20, Slow: 5, Paced: 9, Fast: 2}}
	if !e.Bad() && !e.LikelyBad() {
		t.Error("the version would be completed")
	}
}

// Guards against a completion without evidence or while requests run on the old
// version, and against a rollout that is never completed.
func TestComplete(t *testing.T) {
	for _, c := range []struct {
		name       string
		elapsed    time.Duration
		good, runs int
		ready      bool
		want       bool
	}{
		{"first half", 9 * time.Second, 100, 0, true, false},
		{"before all sessions move", 17700 * time.Millisecond, 100, 0, true, false},
		{"all moved", 18400 * time.Millisecond, 100, 0, true, true},
		{"all moved, few answers", 18400 * time.Millisecond, 20, 0, true, false},
		{"few answers, time runs out", 19100 * time.Millisecond, 20, 0, true, true},
		{"old requests run", 18400 * time.Millisecond, 100, 3, true, false},
		{"time runs out", 19100 * time.Millisecond, 100, 3, true, true},
		{"no evidence", 19100 * time.Millisecond, 0, 0, true, false},
		{"no server", 19100 * time.Millisecond, 100, 0, false, false},
	} {
		p := progress(c.elapsed, c.good)
		p.OldRunning, p.TargetReady = c.runs, c.ready
		if got := p.Complete(Limits{Share: 0.15, Slack: 30}); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Guards against a slow version that passes because all backend servers of the old
// version are busy, and against a rollback of a good version that carries more load
// than the old one.
func TestSlowVersion(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 11))
	// timing returns an answer of 20 events at an interval of 20 ms times factor,
	// extended by up to a factor of 1+busy for other work of the backend server.
	timing := func(factor, busy float64) Timing {
		interval := 20 * factor * (1 + busy*rng.Float64()*rng.Float64())
		return Timing{
			Kind: "m", Running: 2, Expected: 100 * time.Millisecond,
			First: time.Duration(100*factor) * time.Millisecond, Events: 20,
			Rest: time.Duration(20*interval) * time.Millisecond,
		}
	}
	baselines := NewLatencyBaselines()
	for range 300 {
		baselines.Observe(timing(1, 4))
	}
	var slow, good Evidence
	count := func(counts *AnswerCounts, timing Timing) {
		if isSlow, known := baselines.Slow(timing); known {
			counts.Timed++
			if isSlow {
				counts.Slow++
			}
		}
	}
	foundAt := -1
	for n := range 400 {
		old := timing(1, 4)
		count(&slow.Old, old)
		count(&good.Old, old)
		count(&slow.Target, timing(4, 1))
		count(&good.Target, timing(1, 5)) // more load than the old version
		if good.Bad() {
			t.Fatalf("a good version was found slow after %d answers: %+v", n, good)
		}
		if foundAt < 0 && slow.Bad() {
			foundAt = n
		}
	}
	// The time allowed for a rollback is counted from the 50th bad answer.
	if foundAt < 0 || foundAt >= 50 {
		t.Errorf("a version that takes four times as long was found after %d answers", foundAt)
	}
}

// Guards against evaluating answers whose duration says nothing about the version.
func TestTimingWithoutEvidence(t *testing.T) {
	baselines := NewLatencyBaselines()
	baselines.Observe(Timing{Kind: "r", NonStreaming: true, First: 50 * time.Millisecond})
	for _, c := range []struct {
		name        string
		t           Timing
		slow, known bool
	}{
		{"busy server", Timing{Kind: "m", Running: 30, Expected: time.Second, First: 9 * time.Second}, false, false},
		{"long queue", Timing{Kind: "m", Wait: time.Second, Expected: time.Second, First: 9 * time.Second}, false, false},
		{"short prompt", Timing{Kind: "m", Expected: 25 * time.Millisecond, First: 90 * time.Millisecond}, true, false},
		{"late head", Timing{Kind: "m", Expected: 200 * time.Millisecond, First: 900 * time.Millisecond}, true, true},
		{"timely head", Timing{Kind: "m", Expected: 200 * time.Millisecond, First: 300 * time.Millisecond}, false, true},
		{"unknown route", Timing{Kind: "q", NonStreaming: true, First: time.Hour}, true, false},
		{"slow call", Timing{Kind: "r", NonStreaming: true, First: 400 * time.Millisecond}, true, true},
		{"usual call", Timing{Kind: "r", NonStreaming: true, First: 90 * time.Millisecond}, false, true},
	} {
		slow, known := baselines.Slow(c.t)
		if known != c.known || known && slow != c.slow {
			t.Errorf("%s: got slow %v, known %v", c.name, slow, known)
		}
	}
}
