package gateway

import (
	"testing"
	"time"

	"hyssoploom/attempt"
	"hyssoploom/release"
)

// Guards against answers by route that are lost when a peer restarts, counted twice, or
// left out of the judgement of other entries.
func TestRouteEvidenceOfPeers(t *testing.T) {
	const duration, elapsed = 20 * time.Second, 12 * time.Second
	receiver, known := rolloutEntry("e1", release.Evidence{}, duration, elapsed)
	send := func(from string, good, failed int) {
		sender, r := rolloutEntry(from, release.Evidence{Old: release.AnswerCounts{Good: 200}, Target: release.AnswerCounts{Good: good, Bad: failed}}, duration, elapsed)
		r.routes.before = map[string]release.RouteAnswers{"a": {Answers: 10}}
		for range 50 {
			r.countRoute("a", "v1", attempt.Delivered)
		}
		for range good {
			r.countRoute("a", "v2", attempt.Delivered)
			r.countRouteTime("a", "v2", true)
		}
		for range failed {
			r.countRoute("a", "v2", attempt.Failed)
		}
		for range 2 {
			for _, e := range sender.evidenceMessages(r) {
				receiver.mergeEvidence("peer", e)
			}
		}
	}
	total := func() (old, target release.RouteAnswers) {
		record := known.routeEvidence().Route("a")
		old = record.Before
		for i := range release.TimeSlices {
			old, target = old.Add(record.Old[i]), target.Add(record.Target[i])
		}
		return old, target
	}
	send("first process", 3, 1)
	if old, target := total(); old.Answers != 60 || target != (release.RouteAnswers{Answers: 4, Failed: 1, Timed: 3, Slow: 3}) {
		t.Errorf("one process: old %+v, new %+v", old, target)
	}
	send("second process", 4, 2)
	if old, target := total(); old.Answers != 120 || target.Answers != 10 || target.Failed != 3 {
		t.Errorf("after a restart: old %+v, new %+v", old, target)
	}
	time.Sleep(suspicionInterval)
	if got := known.suspicion(); got.LogE <= 0 {
		t.Errorf("3 of 10 answers failed, 0 before: %+v", got)
	}
}
