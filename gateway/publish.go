package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"hyssoploom/fleet"
	"hyssoploom/release"
)

const (
	// rolloutInterval is the interval at which rollouts are checked.
	rolloutInterval = 100 * time.Millisecond
	// publishStagger is the additional delay of each further entry, in order of their
	// names, before it publishes a state that the entries before it have not published.
	// A state reaches the other entries through the store in about 150 ms. Several
	// entries get their turn between the completion of a rollout and the end of its
	// duration (see release.Progress.Complete), because those before them may not reach
	// the store.
	publishStagger = 250 * time.Millisecond
	// publishRetryDelay is the minimum time between two writes for a rollout; the
	// outcome of the previous one may be unknown.
	publishRetryDelay = 500 * time.Millisecond
	// evidenceInterval is the interval at which counts without a new failure are sent;
	// failures are sent immediately.
	evidenceInterval = 400 * time.Millisecond
	// progressWrites is how many times the elapsed time of a rollout is written to the
	// store, for entries that start while it is in progress.
	progressWrites = 6
)

// publishState tracks what this entry has published about a rollout.
type publishState struct {
	// wanted is the outcome to be published, and since the time from which it is wanted.
	wanted fleet.Outcome
	since  time.Time
	// notBefore is the earliest time of the next write.
	notBefore time.Time
	step      int // last step at which the elapsed time was written
}

// ServeRollouts publishes the states of rollouts until ctx is done. An entry that finds a
// version bad informs the others before any of them completes it; each write is
// conditional on the state that it replaces.
func (g *Gateway) ServeRollouts(ctx context.Context) error {
	syncRequestedAt := time.Time{}
	for ctx.Err() == nil {
		sleep(ctx, rolloutInterval)
		if now := time.Now(); now.Sub(syncRequestedAt) >= g.refreshTimes().RequestInterval {
			g.requestSync()
			syncRequestedAt = now
		}
		for _, write := range g.dueWrites() {
			g.publish(ctx, write)
		}
	}
	return ctx.Err()
}

// statusWrite is a state or elapsed time to be published.
type statusWrite struct {
	service string
	key     string
	value   []byte
	what    string
	// elapsed is the time since the order, and evidence the basis of the decision; both
	// are logged.
	elapsed   time.Duration
	evidence  release.Evidence
	suspicion release.Suspicion
}

// dueWrites returns the writes that this entry has to make now. It also broadcasts
// changed evidence.
func (g *Gateway) dueWrites() []statusWrite {
	view := g.State.View()
	now := time.Now()
	rank := g.rank(view)
	g.mu.Lock()
	defer g.mu.Unlock()
	var writes []statusWrite
	for service := range view.Orders {
		r := g.rolloutOf(view, service)
		if r == nil || r.Outcome.Final() && !g.statusLost(service) {
			continue
		}
		if r.evidenceChanged && now.Sub(r.evidenceSentAt) >= evidenceInterval {
			g.broadcastEvidence(r)
			r.evidenceSentAt = now
		}
		progress := g.progress(view, r, now)
		if w, due := g.dueStatus(view, r, &progress, rank, now); due {
			writes = append(writes, w)
		} else if w, due := g.dueProgress(view, r, &progress, rank, now); due {
			writes = append(writes, w)
		}
	}
	return writes
}

// rank returns the number of live entries that publish before this one.
func (g *Gateway) rank(view *fleet.View) int {
	var names []string
	for name := range view.Peers {
		if name != g.Self.Name && g.hub.IsLive(name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	rank, _ := slices.BinarySearch(names, g.Self.Name)
	return rank
}

// dueStatus returns the write of the state of a rollout, if it is due.
func (g *Gateway) dueStatus(view *fleet.View, r *rolloutState, p *release.Progress, rank int, now time.Time) (statusWrite, bool) {
	wanted := fleet.InProgress
	switch {
	case r.Outcome.Final():
		wanted = r.Outcome // the store has lost it
	case r.rejected:
		wanted = fleet.RolledBack
	case p.Complete(g.exposureLimits()) && p.LikelyBad():
		g.rejectVersion(r, "The new version is not completed, it fails or is slow too often.")
		wanted = fleet.RolledBack
	case p.Complete(g.exposureLimits()):
		wanted = fleet.Completed
	}
	if wanted == fleet.InProgress && view.Statuses[r.Service].Revision > r.Revision && !g.statusLost(r.Service) {
		return statusWrite{}, false // already published
	}
	if r.publishing.wanted != wanted {
		r.publishing.wanted, r.publishing.since = wanted, now
	}
	delay := time.Duration(rank) * publishStagger
	if wanted == fleet.Completed {
		delay += release.AgreementTime
	}
	if now.Sub(r.publishing.since) < delay || now.Before(r.publishing.notBefore) {
		return statusWrite{}, false
	}
	r.publishing.notBefore = now.Add(publishRetryDelay)
	key, value := g.Records.StatusItem(fleet.Status{Service: r.Service, Target: r.Target, Outcome: wanted})
	return statusWrite{r.Service, key, value, string(wanted), p.Elapsed, p.Evidence, p.Suspicion}, true
}

// statusLost reports whether the store has lost the published state of a rollout.
func (g *Gateway) statusLost(service string) bool {
	key, _ := g.Records.StatusItem(fleet.Status{Service: service})
	return g.State.Lost(key)
}

// dueProgress returns the write of the elapsed time of a rollout, if it is due.
func (g *Gateway) dueProgress(view *fleet.View, r *rolloutState, p *release.Progress, rank int, now time.Time) (statusWrite, bool) {
	step := int(p.Elapsed * progressWrites / r.Duration)
	published := view.Progress[r.Service]
	if r.isOrder(published.Order) {
		r.publishing.step = max(r.publishing.step, int(time.Duration(published.ElapsedMS)*time.Millisecond*progressWrites/r.Duration))
	}
	if rank > 0 || step <= r.publishing.step || now.Before(r.publishing.notBefore) {
		return statusWrite{}, false
	}
	r.publishing.notBefore = now.Add(publishRetryDelay)
	key, value := g.Records.RolloutProgressItem(fleet.RolloutProgress{Service: r.Service, Order: r.Revision, ElapsedMS: p.Elapsed.Milliseconds()})
	return statusWrite{r.Service, key, value, "plan", p.Elapsed, p.Evidence, p.Suspicion}, true
}

// publish writes a state unless another entry has published one in the meantime.
func (g *Gateway) publish(ctx context.Context, w statusWrite) {
	condition := fleet.Condition{Key: w.key}
	if item, ok := g.State.Item(w.key); ok {
		condition.Revision = item.Revision
	}
	_, err := g.Store.Commit(ctx, []fleet.Condition{condition}, []fleet.Put{{Key: w.key, Value: w.value}})
	switch {
	case err == nil:
		old, target := w.evidence.Old, w.evidence.Target
		g.Log.Info("Published the state of a roll-out.", "service", w.service, "what", w.what,
			"elapsed_ms", w.elapsed.Milliseconds(), "log_e", w.suspicion.LogE, "peak", w.suspicion.Peak, "target_sent", target.Sent, "target_good", target.Good,
			"target_bad", target.Bad, "target_steady", target.Steady, "target_odd", target.SteadyBad,
			"old_steady", old.Steady, "old_odd", old.SteadyBad, "target_timed", target.Timed, "target_slow", target.Slow,
			"old_good", old.Good, "old_bad", old.Bad, "old_timed", old.Timed, "old_slow", old.Slow,
			"target_paced", target.Paced, "target_fast", target.Fast, "old_paced", old.Paced, "old_fast", old.Fast)
	case errors.Is(err, fleet.ErrConflict):
		g.Log.Info("Another entry has already published the state of the rollout.", "service", w.service, "what", w.what)
	default:
		g.Log.Warn("Failed to publish the state of a rollout.", "service", w.service, "what", w.what, "error", err.Error())
	}
}
