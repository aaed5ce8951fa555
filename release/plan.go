package release

import "time"

const (
	// settleTime is the delay before the first session moves, so that all entries
	// know the order and the sessions of their peers.
	settleTime = 1200 * time.Millisecond
	// canaryShare is the share of the sessions that may use the new version before
	// the partial move (see partialMoveLead), as a fraction of the exposure that the
	// deployment allows.
	canaryShare = 0.4
	// completionLead is how long before the end of the duration a good version is
	// completed. It covers the delay until entries learn of the order, which can
	// exceed a second while the store compacts, and the write of the outcome.
	completionLead = 1400 * time.Millisecond
	// AgreementTime is the time between the decision to complete a version and its
	// publication, in which an entry that finds the version bad informs the others. It
	// covers their interval of evaluation and the delay of a message between regions.
	AgreementTime = 150 * time.Millisecond
	// completionLeadDivisor limits completionLead for short durations, to the duration
	// divided by it.
	completionLeadDivisor = 8
	// moveWindow is the fraction of the duration before completion in which all
	// sessions move. A version whose failures appear only then has served little
	// more than this fraction of the requests when the duration ends. The window
	// uses at most moveExposureShare of the exposure that the deployment allows.
	moveWindow        = 0.04
	moveExposureShare = 0.4
	// burstFactor is the highest load after the move, relative to the average load,
	// for which exposure is kept in reserve (see withinBudget).
	burstFactor = 1.4
	// partialMoveLead is how long before the move of all sessions a partial move
	// begins, as a fraction of the duration. partialMoveShare is the share of the
	// sessions that may move then.
	partialMoveLead  = 0.06
	partialMoveShare = 0.3
	// slackShare is the fraction of its exposure slack that an entry uses. The rest is
	// a reserve for requests that peers have sent but not reported yet.
	slackShare = 0.8
	// sessionMoveStart is the fraction of the duration before which sessions in use
	// keep their version.
	sessionMoveStart = 0.53
	// minEvidence is the number of good answers of the new version that the fleet
	// needs before more sessions move to it. So few answers cannot distinguish a
	// version that fails one request in three from one that fails one in seven.
	minEvidence = 15
	// earlyCompletionEvidence is the number of answers of the new version from
	// which it may be completed before the time runs out. For that, minEvidence answers
	// are too few.
	earlyCompletionEvidence = 60
	// lateFraction is the fraction of the duration after which minLateEvidence good
	// answers are enough. Otherwise the rollout of a service with few requests would
	// never be completed.
	lateFraction    = 0.72
	minLateEvidence = 3
	// doubtPeak is the value of Suspicion.Peak from which a version is in doubt. doubtShare
	// is the share of the requests without a session that it then gets, and doubtBudget
	// the fraction of the allowed exposure that may be used for that from the start.
	doubtPeak = 0.7
	// strongDoubtLogE is the value of Suspicion.LogE from which a version in doubt is not
	// expected to be completed.
	strongDoubtLogE = 1.0
	doubtShare      = 0.5
	doubtBudget     = 0.25
)

const (
	// rejectLogE and doubtfulLogE are the values of Suspicion.LogE from which a
	// version is found bad, and from which it is not completed at the end.
	rejectLogE   = 4.8
	doubtfulLogE = 4.0
)

// Limits bounds the requests that a version gets before it is known to be good.
type Limits struct {
	// Share is the allowed share of all requests of the service. Slack is the
	// number of requests allowed in addition, over all entries.
	Share float64
	Slack float64
}

// Progress is the state of a rollout as one entry sees it.
type Progress struct {
	Elapsed, Duration time.Duration
	// Evidence covers the whole fleet, Own only this entry.
	Evidence, Own Evidence
	// Suspicion is that of the whole fleet.
	Suspicion Suspicion
	// OldRunning is the number of requests that are still running on the old
	// version.
	OldRunning int
	// TargetReady means that backend servers run the new version.
	TargetReady bool
}

// Bad reports whether the new version is found bad. It may be called after every answer.
func (p *Progress) Bad() bool { return p.Suspicion.LogE >= rejectLogE || p.Evidence.Bad() }

// LikelyBad reports whether a version that was not found bad should not be completed
// either. It is called once, at the end, and needs less evidence than Bad.
func (p *Progress) LikelyBad() bool {
	return p.Suspicion.LogE >= doubtfulLogE || p.Evidence.LikelyBad()
}

func (p *Progress) elapsedFraction() float64 { return p.Elapsed.Seconds() / p.Duration.Seconds() }

// targetShare returns the share of the sessions that may use the new version.
func (p *Progress) targetShare(l Limits) float64 {
	if p.Elapsed < settleTime || !p.TargetReady {
		return 0
	}
	switch {
	case p.OnlyCanaries(l) || !p.hasEnoughEvidence() || p.LikelyBad():
		return l.Share * canaryShare
	case p.Elapsed >= p.moveAt(l):
		return 1
	}
	return max(partialMoveShare, l.Share*canaryShare)
}

// OnlyCanaries reports whether only few sessions may use the new version yet, so that its
// servers are less busy than those of the old one.
func (p *Progress) OnlyCanaries(l Limits) bool {
	return p.Elapsed < p.moveAt(l)-time.Duration(partialMoveLead*float64(p.Duration))
}

// SessionsMayMove reports whether sessions in use may change to the new version.
func (p *Progress) SessionsMayMove() bool { return p.elapsedFraction() >= sessionMoveStart }

// hasEnoughEvidence reports whether the new version has enough good answers to get
// more than the exposure that the deployment allows for unknown versions.
func (p *Progress) hasEnoughEvidence() bool {
	good := p.Evidence.Target.Good
	return good >= minEvidence || p.elapsedFraction() >= lateFraction && good >= minLateEvidence
}

// finishAt returns the time after the order at which a good version is completed even
// if requests are still running on the old one.
func (p *Progress) finishAt() time.Duration {
	return p.Duration - min(completionLead, p.Duration/completionLeadDivisor)
}

// moveAt returns the time after the order from which all sessions may move.
func (p *Progress) moveAt(l Limits) time.Duration {
	window := min(moveWindow, l.Share*moveExposureShare)
	return p.finishAt() - time.Duration(window*float64(p.Duration))
}

// withinBudget reports whether this entry may send another request to the new
// version. Until all sessions move, it reserves the exposure that the move will
// need.
func (p *Progress) withinBudget(l Limits, entries int) bool {
	share := l.Share
	if moveAt := p.moveAt(l); p.Elapsed < moveAt {
		left := 1 - moveAt.Seconds()/p.Duration.Seconds()
		share = max(share-left*burstFactor, 0)
	}
	sent := p.Own.Old.Sent + p.Own.Target.Sent
	allowed := share*float64(sent) + l.Slack*slackShare/float64(entries)
	return float64(p.Own.Target.Sent) < allowed
}

// Assignment is the input of UseTarget.
type Assignment struct {
	Progress
	Limits  Limits
	Entries int
	// Position is the place of the session in [0, 1) by its hash, the same on all
	// entries. A request without a session has a random one.
	Position float64
	// Bound means that the session is in use, and OnTarget that it uses the new
	// version.
	Bound, OnTarget bool
	// Sessionless means that the request belongs to no session, and Repeat that it has
	// been sent before.
	Sessionless, Repeat bool
}

// UseTarget reports whether a request goes to the new version of a rollout in
// progress. A session keeps its version until sessionMoveStart and may move to the
// new version after that.
func UseTarget(a Assignment) bool {
	if a.Bound && a.OnTarget {
		return true
	}
	if a.Sessionless && (a.Elapsed < a.moveAt(a.Limits) || a.InDoubt()) {
		return a.sample()
	}
	if a.Position >= a.targetShare(a.Limits) {
		return false
	}
	if a.Bound && !a.SessionsMayMove() {
		return false
	}
	return a.withinBudget(a.Limits, a.Entries)
}

// InDoubt reports whether answers of the new version speak against it, so that more of them
// are needed to decide.
func (p *Progress) InDoubt() bool { return p.Suspicion.Peak >= doubtPeak }

// sample reports whether a request without a session goes to the new version to test it.
// Samples are spread over the time until all sessions move; of a version in doubt more are
// taken, also of the exposure that is otherwise kept in reserve for the move.
func (a *Assignment) sample() bool {
	if a.Elapsed < settleTime || !a.TargetReady || a.Repeat {
		return false
	}
	moveAt := a.moveAt(a.Limits).Seconds()
	elapsed, sampled := a.Elapsed.Seconds(), float64(a.Own.Target.Sent)
	sent := float64(a.Own.Old.Sent + a.Own.Target.Sent)
	slack := a.Limits.Slack * slackShare / float64(a.Entries)
	rate := sent / elapsed
	if a.InDoubt() {
		budget := a.Limits.Share*sent + slack
		if a.Suspicion.LogE < strongDoubtLogE {
			// It may still be completed: what it gets from then on stays in reserve.
			afterCompletion := (a.Duration - a.finishAt()).Seconds()
			budget = min(budget, a.Limits.Share*rate*a.Duration.Seconds()+slack-rate*afterCompletion)
		}
		// The rest is for failures that begin later.
		usable := min(doubtBudget+(1-doubtBudget)*elapsed/moveAt, 1)
		return a.Position < doubtShare && sampled < usable*budget
	}
	afterMove := 1 - moveAt/a.Duration.Seconds()
	budget := max(a.Limits.Share-afterMove, 0)*rate*moveAt + slack
	settled := settleTime.Seconds()
	return sampled < budget*(elapsed-settled)/(moveAt-settled)
}

// Complete reports whether a rollout is to be completed after AgreementTime: all sessions
// may use the new version, and either no request runs on the old version and the new one
// has earlyCompletionEvidence answers and is not in doubt, or finishAt is near. Other
// versions thus also collect the answers of the time in which all sessions use them.
func (p *Progress) Complete(l Limits) bool {
	if !p.TargetReady || !p.hasEnoughEvidence() || p.Elapsed < p.moveAt(l) {
		return false
	}
	enough := p.Evidence.Target.Good+p.Evidence.Target.Bad >= earlyCompletionEvidence && !p.InDoubt()
	return p.OldRunning == 0 && enough || p.Elapsed >= p.finishAt()-AgreementTime
}
