package release

import (
	"math"
	"time"

	"hyssoploom/rollout"
)

const (
	// settleTime passes before the first session moves, so that all entries know
	// the order and the sessions of their peers.
	settleTime = 1200 * time.Millisecond
	// canaryShare is the part of the sessions that may use the new version until
	// the last steps, as a part of the exposure that the deployment allows.
	canaryShare = 0.4
	// orderLag is how late entries may learn of an order, and how long the last
	// write may take: a good version is completed this long before the duration
	// ends. Around a compaction, watches hear nothing for a second.
	orderLag = 1400 * time.Millisecond
	// orderLagPart bounds that time to a part of short durations.
	orderLagPart = 8
	// moveWindow is the part of the duration before that, in which all sessions
	// move. A version whose failures show only then has served little more than this
	// part of the requests when the duration ends. At most moveShare of the exposure
	// that the deployment allows is spent on it.
	moveWindow = 0.04
	moveShare  = 0.4
	// burstMargin is how much more load than the average the time from the move on
	// may carry.
	burstMargin = 1.4
	// halfStep and halfShare are the step before the window, as a part of the
	// duration, and the part of the sessions that may move then.
	halfStep  = 0.06
	halfShare = 0.3
	// slackShare is the part of the exposure slack that an entry uses itself; the
	// rest is for counts of peers on their way.
	slackShare = 0.5
	// firstHalf is the part of the duration in which sessions stay where they are.
	firstHalf = 0.53
	// leastEvidence is the number of answers of the new version that the fleet
	// needs before more sessions move to it.
	leastEvidence = 15
	// ampleEvidence is the number of answers of the new version from which it may be
	// completed before the time runs out: with 15 answers, a version that fails in one
	// of three cannot be told from one that fails in one of seven.
	ampleEvidence = 60
	// latePart is the part of the duration after which lateEvidence answers are
	// enough: a service with few requests would never be completed otherwise.
	latePart     = 0.72
	lateEvidence = 3
)

// Tally counts the answers of one version.
type Tally struct {
	Sent, Good, Bad int
	// Timed counts the answers whose pace says something about the version, and
	// Slow those of them that took much longer than the fastest ones.
	Timed, Slow int
	// Steady counts the answers on routes that hardly ever fail, and Odd those of them
	// that failed: a few failures there say more than many on other routes.
	Steady, Odd int
}

// Add returns the sum of two tallies.
func (t Tally) Add(o Tally) Tally {
	return Tally{t.Sent + o.Sent, t.Good + o.Good, t.Bad + o.Bad, t.Timed + o.Timed, t.Slow + o.Slow,
		t.Steady + o.Steady, t.Odd + o.Odd}
}

// Answers counts the sends and what is known of their answers; it grows with each.
func (t Tally) Answers() int {
	return t.Sent + t.Good + t.Bad + t.Timed + t.Slow + t.Steady + t.Odd
}

// counts are those of a comparison of passed with all answers.
func counts(passed, all int) rollout.Counts {
	return rollout.Counts{Answers: uint64(all), Rated: uint64(all), Passed: uint64(passed)}
}

const (
	// alpha bounds the probability that a good version is ever found bad. The bound
	// of the test is loose: see TestGoodVersionsStay.
	alpha = 0.05
	// priorTimed and priorSlow are added to the timed answers of the old version:
	// under load few of its answers can be timed.
	priorTimed = 30
	priorSlow  = 9
	// slowMargin is the rise in the share of slow answers that is still good: a new
	// version begins with empty caches.
	slowMargin = 0.02
	// failMargin is the rise in the share of failures that is still good.
	failMargin = 0.02
	// doubtful is the number of standard errors between the versions from which a
	// version is not completed, although the sequential test has not decided.
	doubtful = 2.6
)

// Evidence is what the fleet has seen of a roll-out.
type Evidence struct {
	// Old and Target are the answers of both versions since the order.
	Old, Target Tally
}

// Add returns the sum of the evidence of two processes.
func (e Evidence) Add(o Evidence) Evidence { return Evidence{e.Old.Add(o.Old), e.Target.Add(o.Target)} }

// Bad tells whether the new version fails, or is slow, more often than the old
// one. It uses the sequential test of package rollout, so that it may be asked
// after every answer.
func (e Evidence) Bad() bool { return e.fails() || e.isSlow() }

func (e Evidence) fails() bool {
	return e.anyFailures(func(target, old rollout.Counts) bool { return worse(target, old, failMargin) })
}

func (e Evidence) isSlow() bool {
	target, old := e.slowness()
	return worse(target, old, slowMargin)
}

// Doubtful tells whether a version that was not found bad should not be completed
// either. It is asked once, at the end, and needs less evidence than Bad.
func (e Evidence) Doubtful() bool {
	slowTarget, slowOld := e.slowness()
	return farWorse(slowTarget, slowOld, slowMargin) ||
		e.anyFailures(func(target, old rollout.Counts) bool { return farWorse(target, old, failMargin) })
}

// anyFailures asks about the failures on all routes, on steady ones and on the others:
// a version may fail on one kind of route only, and the old one may fail there too.
func (e Evidence) anyFailures(differ func(target, old rollout.Counts) bool) bool {
	t, o := e.Target, e.Old
	return differ(failures(t.Good+t.Bad, t.Bad), failures(o.Good+o.Bad, o.Bad)) ||
		differ(failures(t.Steady, t.Odd), failures(o.Steady, o.Odd)) ||
		differ(failures(t.Good+t.Bad-t.Steady, t.Bad-t.Odd), failures(o.Good+o.Bad-o.Steady, o.Bad-o.Odd))
}

// failures are answers of which some failed. Counts of peers come as they are, so that
// a part may be larger than the whole for a moment.
func failures(answers, failed int) rollout.Counts {
	answers = max(answers, 0)
	return counts(answers-min(max(failed, 0), answers), answers)
}

// slowness are the timed answers of both versions, slow ones as not passed.
func (e Evidence) slowness() (target, old rollout.Counts) {
	timed := e.Old.Timed + priorTimed
	return counts(e.Target.Timed-e.Target.Slow, e.Target.Timed), counts(timed-e.Old.Slow-priorSlow, timed)
}

func worse(target, old rollout.Counts, margin float64) bool {
	return rollout.Evaluate(target, old, rollout.TestConfig{Alpha: alpha, Margin: margin}) == rollout.Bad
}

// farWorse compares the shares that did not pass by their standard errors.
func farWorse(target, old rollout.Counts, margin float64) bool {
	targetShare, targetVariance := missed(target)
	oldShare, oldVariance := missed(old)
	return targetShare-oldShare-margin > doubtful*math.Sqrt(targetVariance+oldVariance)
}

// missed is the share that did not pass with the variance of its estimate, both
// with one answer of either outcome added: few answers are no evidence.
func missed(c rollout.Counts) (share, variance float64) {
	n := float64(c.Answers) + 2
	share = (float64(c.Answers-c.Passed) + 1) / n
	return share, share * (1 - share) / n
}

// Limits bound the requests that a version gets before it is known to be good.
type Limits struct {
	// Share of all requests of the service; Slack is added, over all entries.
	Share float64
	Slack int
}

// Progress is how far a roll-out has come.
type Progress struct {
	Elapsed, Duration time.Duration
	// Evidence is that of the whole fleet, Own that of this entry.
	Evidence, Own Evidence
	// OldRunning is the number of requests that still run on the old version.
	OldRunning int
	// TargetReady tells that backend servers of the new version are there.
	TargetReady bool
}

func (p *Progress) part() float64 { return p.Elapsed.Seconds() / p.Duration.Seconds() }

// share is the part of the sessions that may use the new version.
func (p *Progress) share(l Limits) float64 {
	if p.Elapsed < settleTime || !p.TargetReady {
		return 0
	}
	start := p.moveAt(l)
	halfAt := start - time.Duration(halfStep*float64(p.Duration))
	switch {
	case p.trusted() && p.Elapsed >= start:
		return 1
	case p.trusted() && p.Elapsed >= halfAt:
		return max(halfShare, l.Share*canaryShare)
	}
	return l.Share * canaryShare
}

// Movable tells whether sessions in use may change to the new version.
func (p *Progress) Movable() bool { return p.part() >= firstHalf }

// trusted tells whether the new version has answered often enough to get more
// than the exposure that the deployment allows for unknown versions.
func (p *Progress) trusted() bool {
	good := p.Evidence.Target.Good
	return good >= leastEvidence || p.part() >= latePart && good >= lateEvidence
}

// finishAt is when a good version is completed although requests still run on the
// old one, and moveAt when all sessions may move.
func (p *Progress) finishAt() time.Duration {
	return p.Duration - min(orderLag, p.Duration/orderLagPart)
}

func (p *Progress) moveAt(l Limits) time.Duration {
	window := min(moveWindow, l.Share*moveShare)
	return p.finishAt() - time.Duration(window*float64(p.Duration))
}

// withinBudget tells whether this entry may send another request to the new
// version. Before all sessions move, the exposure from then on is kept in reserve.
func (p *Progress) withinBudget(l Limits, entries int) bool {
	share := l.Share
	if moveAt := p.moveAt(l); p.Elapsed < moveAt {
		left := 1 - moveAt.Seconds()/p.Duration.Seconds()
		share = max(share-left*burstMargin, 0)
	}
	sent := p.Own.Old.Sent + p.Own.Target.Sent
	allowed := share*float64(sent) + float64(l.Slack)*slackShare/float64(entries)
	return float64(p.Own.Target.Sent) < allowed
}

// Assignment is the input of UseTarget.
type Assignment struct {
	Progress
	Limits  Limits
	Entries int
	// Position is the place of the session, or of a request without one, in [0, 1).
	// It is the same on all entries.
	Position float64
	// Bound tells that the session is in use; OnTarget tells on which version.
	Bound, OnTarget bool
}

// UseTarget tells whether a request goes to the new version of a roll-out in
// progress. A session stays on its version, but moves to the new one in the
// second half.
func UseTarget(a Assignment) bool {
	if a.Bound && a.OnTarget {
		return true
	}
	if a.Position >= a.share(a.Limits) {
		return false
	}
	if a.Bound && !a.Movable() {
		return false
	}
	return a.withinBudget(a.Limits, a.Entries)
}

// Complete tells whether a roll-out is finished: all sessions use the new version, the
// old one is idle and the new one has answered often, or the time runs out. With few
// answers, those of the time in which all sessions use it are waited for.
func (p *Progress) Complete(l Limits) bool {
	if !p.TargetReady || !p.trusted() || p.Elapsed < p.moveAt(l) {
		return false
	}
	return p.OldRunning == 0 && p.Evidence.Target.Good+p.Evidence.Target.Bad >= ampleEvidence || p.Elapsed >= p.finishAt()
}
