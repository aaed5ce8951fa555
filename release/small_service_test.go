package release

import (
	"math/rand/v2"
	"testing"
	"time"
)

// badVersions are the faults of the new version that are played, as changes to a service
// whose new version is sound. share is the share of bad answers.
var badVersions = []struct {
	name  string
	apply func(s *smallService, share float64)
}{
	{"errors", func(s *smallService, share float64) { s.failing = share }},
	{"slow", func(s *smallService, share float64) { s.slow = share }},
	{"late errors", func(s *smallService, share float64) { s.failing, s.badAfter = share, 2*s.duration/5 }},
	{"late and slow", func(s *smallService, share float64) { s.slow, s.badAfter = share, 2*s.duration/5 }},
}

// playBadVersions fails the test if a version with a share of bad answers is completed, or
// gets more requests than the exposure that is allowed.
func playBadVersions(t *testing.T, share float64) {
	const plays = 100
	for _, version := range badVersions {
		completed, overexposed := 0, 0
		for seed := range uint64(plays) {
			rng := rand.New(rand.NewPCG(seed, 27))
			s := drawSmallService(rng)
			version.apply(&s, share)
			result := s.play(rng)
			if result.completed {
				completed++
			} else if float64(result.exposed) > 0.15*float64(result.requests)+30 {
				overexposed++
			}
		}
		if completed > 0 || overexposed > 0 {
			t.Errorf("%s: %d of %d versions completed, %d got too many requests before they were found", version.name, completed, plays, overexposed)
		}
	}
}

// Guards against the completion of a bad version of a service with few requests.
func TestBadVersionOfSmallServiceIsNotCompleted(t *testing.T) { playBadVersions(t, 0.5) }

// Guards against the completion of a version of such a service that is bad now and then.
func TestVersionOfSmallServiceWithFewBadAnswersIsNotCompleted(t *testing.T) { playBadVersions(t, 0.25) }

// Guards against good versions of small services that are rolled back, or not completed in
// time.
func TestGoodVersionOfSmallServiceIsCompleted(t *testing.T) {
	const plays = 2000
	failed := 0
	for seed := range uint64(plays) {
		rng := rand.New(rand.NewPCG(seed, 28))
		s := drawSmallService(rng)
		if result := s.play(rng); !result.completed {
			failed++
		}
	}
	if 1000*failed >= plays {
		t.Errorf("%d of %d good versions were not completed, the target is less than one in 1,000", failed, plays)
	}
}

// Guards against samples that all come early, and against more samples than the exposure
// that is left after the move of all requests.
func TestSamplesAreSpreadOverTheRollout(t *testing.T) {
	limits := Limits{Share: 0.15, Slack: 30}
	p := Progress{Duration: 20 * time.Second, TargetReady: true}
	sampledBy := make(map[time.Duration]int)
	const interval = 40 * time.Millisecond
	for p.Elapsed = 0; p.Elapsed < p.moveAt(limits); p.Elapsed += interval {
		if UseTarget(Assignment{Progress: p, Limits: limits, Entries: 1, Sessionless: true}) {
			p.Own.Target.Sent++
		} else {
			p.Own.Old.Sent++
		}
		sampledBy[p.Elapsed.Truncate(time.Second)] = p.Own.Target.Sent
	}
	half, all := sampledBy[9*time.Second], p.Own.Target.Sent
	if half < all/3 || half > 2*all/3 {
		t.Errorf("%d of %d samples in the first half", half, all)
	}
	rest := int((p.Duration - p.moveAt(limits)) / interval)
	if total := float64(p.Own.Target.Sent + p.Own.Old.Sent + rest); float64(all+rest) > limits.Share*total+limits.Slack {
		t.Errorf("%d samples and %d requests after the move exceed the exposure", all, rest)
	}
	if a := (Assignment{Progress: p, Limits: limits, Entries: 1, Sessionless: true, Repeat: true}); p.Elapsed > 0 {
		a.Elapsed = 10 * time.Second
		if UseTarget(a) {
			t.Error("a repeated request goes to the version that is tested")
		}
	}
}

// Guards against a version in weak doubt that gets too many requests if it is completed
// after all and is bad.
func TestWeakDoubtLeavesExposureForCompletion(t *testing.T) {
	limits := Limits{Share: 0.15, Slack: 30}
	for _, c := range []struct {
		logE     float64
		want     bool
		severity string
	}{{0.5, true, "weak"}, {2, false, "strong"}} {
		p := Progress{Duration: 18 * time.Second, TargetReady: true, Suspicion: Suspicion{Peak: 2, LogE: c.logE}}
		const interval = 40 * time.Millisecond
		for n := 0; p.Elapsed < p.finishAt(); n++ {
			if UseTarget(Assignment{Progress: p, Limits: limits, Entries: 1, Sessionless: true, Position: float64(n%2) * 0.9}) {
				p.Own.Target.Sent++
			} else {
				p.Own.Old.Sent++
			}
			p.Elapsed += interval
		}
		rest := int((p.Duration - p.Elapsed) / interval)
		allowed := limits.Share*float64(p.Own.Target.Sent+p.Own.Old.Sent+rest) + limits.Slack
		if got := float64(p.Own.Target.Sent+rest) <= allowed; got != c.want {
			t.Errorf("%s doubt: %d samples and %d requests after completion, %.0f allowed", c.severity, p.Own.Target.Sent, rest, allowed)
		}
		if float64(p.Own.Target.Sent) > allowed || p.Own.Target.Sent < 40 {
			t.Errorf("%s doubt: %d samples", c.severity, p.Own.Target.Sent)
		}
	}
}
