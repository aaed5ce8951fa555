package routing

import "testing"

// coldTestCase is a load for measureColdServers.
type coldTestCase struct {
	name        string
	workload    Workload
	load        float64
	checkMinute bool // check the target over 60 s too
}

// TestMeasureColdServers checks the p95 first-token time, over the first 10 s and
// over 60 s, after three of twenty backend servers have joined a running fleet
// cold. The load is relative to the capacity of the other 17. With long answers the
// baseline delays fewer than 5% of the requests of the 60 s, so its p95 is near that
// of an idle fleet; TestMeasureColdServersLongAnswersMinute checks that case.
func TestMeasureColdServers(t *testing.T) {
	t.Parallel()
	measureColdServers(t, []coldTestCase{
		{"short answers, load 0.60", ShortAnswers, 0.60, true},
		{"short answers, load 0.85", ShortAnswers, 0.85, true},
		{"long answers, load 0.60", LongAnswers, 0.60, false},
	})
}

// TestMeasureColdServersLongAnswersMinute checks the target over 60 s with long
// answers.
func TestMeasureColdServersLongAnswersMinute(t *testing.T) {
	t.Parallel()
	measureColdServers(t, []coldTestCase{{"long answers, load 0.60", LongAnswers, 0.60, true}})
}

// measureColdServers checks for each case and seed that the first-token time meets
// the target and that no request starts above the cold limit.
func measureColdServers(t *testing.T, cases []coldTestCase) {
	const target = 0.5
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			results := RunSeeds(ColdCase{Answers: tc.workload, Load: tc.load}.RunSeed)
			for _, r := range results {
				t.Log(r)
				if r.EarlyP95() > target || tc.checkMinute && r.P95() > target || r.Router.StartsAboveLimit > 0 {
					t.Errorf("seed %d: ratio in 10 s %.3f, in 60 s %.3f, target %.2f; %d starts above the cold limit, target 0",
						r.Seed, r.EarlyP95(), r.P95(), target, r.Router.StartsAboveLimit)
				}
			}
			t.Logf("p95 relative to least-connections without warm-up: first 10 s: %v; 60 s: %v; p99 in 60 s: %v",
				Collect(results, ColdResult.EarlyP95), Collect(results, ColdResult.P95), Collect(results, ColdResult.P99))
		})
	}
}

// TestMeasureColdWithoutNotice reports the same figures, without a target, when
// three of twenty servers turn cold while they serve requests.
func TestMeasureColdWithoutNotice(t *testing.T) {
	t.Parallel()
	results := RunSeeds(ColdCase{Answers: ShortAnswers, Load: 0.6, Unannounced: true}.RunSeed)
	for _, r := range results {
		t.Logf("seed %2d: p95 %v, baseline %v; p99 %v, baseline %v; starts above the cold limit %d, baseline %d",
			r.Seed, round(r.Router.P95), round(r.Baseline.P95), round(r.Router.P99), round(r.Baseline.P99), r.Router.StartsAboveLimit, r.Baseline.StartsAboveLimit)
	}
	t.Logf("relative to least-connections without warm-up: p95 %v; p99 %v", Collect(results, ColdResult.P95), Collect(results, ColdResult.P99))
}

// TestMeasureCrossRegion checks the request bytes sent to another region while three
// regions have the same load.
func TestMeasureCrossRegion(t *testing.T) {
	t.Parallel()
	const target = 0.05
	for _, load := range []float64{0.5, 0.7} {
		results := RunSeeds(func(seed uint64) CrossRegionResult { return RunCrossRegion(load, seed) })
		for _, r := range results {
			t.Log(r)
			if r.Ratio() > target {
				t.Errorf("load %.2f seed %d: ratio %.4f, target %.2f", load, r.Seed, r.Ratio(), target)
			}
		}
		t.Logf("load %.2f: cross-region bytes relative to random choice: %v", load, Collect(results, CrossRegionResult.Ratio))
	}
}

// TestMeasureSmallWorkspace checks the latency of whole answers of a workspace that
// uses half of its fair share while another one sends ten times its own share. It is
// relative to the latency of the workspace alone; the baseline queues all workspaces
// in one flow.
func TestMeasureSmallWorkspace(t *testing.T) {
	t.Parallel()
	measureSmallWorkspace(t, WorkspaceResult.AnswerP95)
}

// TestMeasureSmallWorkspaceFirstToken checks the same target for the latency of the
// first token.
func TestMeasureSmallWorkspaceFirstToken(t *testing.T) {
	t.Parallel()
	measureSmallWorkspace(t, WorkspaceResult.FirstTokenP95)
}

// measureSmallWorkspace checks for each seed that the ratio meets the target and
// that the large workspace causes no further failures of the small one.
func measureSmallWorkspace(t *testing.T, ratioOf func(WorkspaceResult) float64) {
	const target = 1.3
	results := RunSeeds(RunSmallWorkspace)
	for _, r := range results {
		t.Log(r)
		if v := ratioOf(r); v > target || r.Fair.Failed > r.Alone.Failed {
			t.Errorf("seed %d: ratio %.3f, target %.2f; %d requests of the small workspace refused, target %d", r.Seed, v, target, r.Fair.Failed, r.Alone.Failed)
		}
	}
	t.Logf("p95 of a whole answer relative to alone: fair %v; one flow %v; first token, fair: %v",
		Collect(results, WorkspaceResult.AnswerP95), Collect(results, WorkspaceResult.OneFlowAnswerP95), Collect(results, WorkspaceResult.FirstTokenP95))
}

// TestMeasureOverload checks, at a load of twice the capacity, the attempts per
// request and the goodput: the rate of answers that complete before the caller's
// deadline, once the servers have filled up.
func TestMeasureOverload(t *testing.T) {
	t.Parallel()
	const attemptsTarget, goodputTarget = 1.2, 0.9
	results := RunSeeds(RunOverload)
	for _, r := range results {
		t.Log(r)
		if a, g := r.Router.Attempts, r.Router.Goodput; a > attemptsTarget || g < goodputTarget {
			t.Errorf("seed %d: attempts %.3f, target %.1f; goodput %.3f, target %.1f", r.Seed, a, attemptsTarget, g, goodputTarget)
		}
	}
	value := func(f func(OverloadResult) float64) Samples { return Collect(results, f) }
	t.Logf("attempts per request: %v; unlimited retries: %v",
		value(func(r OverloadResult) float64 { return r.Router.Attempts }), value(func(r OverloadResult) float64 { return r.Baseline.Attempts }))
	t.Logf("goodput relative to capacity: %v; unlimited retries: %v",
		value(func(r OverloadResult) float64 { return r.Router.Goodput }), value(func(r OverloadResult) float64 { return r.Baseline.Goodput }))
}
