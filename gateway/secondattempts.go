package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"hyssoploom/attempt"
	"hyssoploom/fleet"
	"hyssoploom/hedge"
	"hyssoploom/limits"
	"hyssoploom/placing"
	"hyssoploom/release"
	"hyssoploom/settings"
)

const (
	// denialLogInterval is the least time between two log lines about second attempts that
	// were not sent.
	denialLogInterval = time.Second
)

// errAnswered ends an attempt because another one was answered first.
var errAnswered = errors.New("another attempt was answered first")

// secondAttempts is the state of second attempts at this entry, by service. It is empty
// for services without them.
type secondAttempts struct {
	settings  settings.SecondAttempts
	latencies map[string]*hedge.Latencies
	// extra limits the second attempts. An entry uses only the share of the requests that it
	// received itself, so that the sum holds whatever the entries know of each other.
	extra          map[string]*limits.RetryBudget
	denialLoggedAt time.Time
}

// answerState is what the attempts of a request share while two of them are in progress.
type answerState struct {
	heldMemory atomic.Int64 // taken from Gateway.responseMemory
	// answered is set by the attempt whose answer the client gets. supersede then ends the
	// other attempt; it is nil if there can be none.
	answered  atomic.Bool
	supersede context.CancelCauseFunc
	// readersFull means that clients which read slowly left no memory for the answer.
	readersFull atomic.Bool
}

func newSecondAttempts(s settings.SecondAttempts) secondAttempts {
	return secondAttempts{
		settings: s, latencies: make(map[string]*hedge.Latencies), extra: make(map[string]*limits.RetryBudget),
	}
}

// configure applies changed shares. The attempts counted against them are kept.
func (a *secondAttempts) configure(now time.Time, s settings.SecondAttempts) {
	a.settings = s
	for service, budget := range a.extra {
		budget.Configure(now, extraConfig(s.Share(service)))
	}
}

func extraConfig(share float64) limits.RetryConfig {
	return limits.RetryConfig{Ratio: share, Window: hedge.ExtraWindow}
}

// recordRequest counts a request for a service.
func (a *secondAttempts) recordRequest(now time.Time, service string) {
	if share := a.settings.Share(service); share > 0 {
		if a.extra[service] == nil {
			a.extra[service] = limits.NewRetryBudget(extraConfig(share), now)
			a.latencies[service] = hedge.NewLatencies()
		}
		a.extra[service].RecordRequest(now)
	}
}

// of returns the latencies of a service, or nil if it has no second attempts.
func (a *secondAttempts) of(service string) *hedge.Latencies {
	if a.settings.Share(service) <= 0 {
		return nil
	}
	return a.latencies[service]
}

// recordLatency records the time of an answer, or the time for which a server had not
// answered when the attempt was ended. The caller must hold g.mu.
func (g *Gateway) recordLatency(c *clientRequest, r *sendResult) {
	latencies := g.second.of(c.service.Name)
	if latencies == nil || c.route.Kind == fleet.Stream {
		return
	}
	took := time.Duration(r.entry.TookMS) * time.Millisecond
	switch r.outcome {
	case attempt.Delivered:
		latencies.Observe(time.Now(), c.route.Name, r.target.server.ID, took, g.roundTrip(r.target.server))
	case attempt.Ended:
		latencies.ObserveUnanswered(time.Now(), c.route.Name, r.target.server.ID, took, g.roundTrip(r.target.server))
	}
}

// roundTrip returns the usual round-trip time to a server, as far as it matters.
func (g *Gateway) roundTrip(s *fleet.BackendServer) time.Duration {
	if s.Region != g.Self.Region {
		return crossRegionRTT
	}
	return 0
}

// send sends the request to t. If the answer takes longer than nearly all others, it sends
// the request to a second server too; the client gets the first answer.
func (c *clientRequest) send(policy attempt.Policy, t target) (attempt.Sends, *bufferedResponse) {
	plan := c.secondPlan(policy)
	if len(plan) == 0 {
		r := c.attempt(c.ctx, t)
		c.record(r)
		return attempt.Sends{First: r.outcome}, r.failure
	}
	ctx, supersede := context.WithCancelCause(c.ctx)
	defer supersede(nil)
	c.supersede = supersede
	seconds := make(chan *sendResult, 1)
	ended := make(chan struct{}) // by the first attempt
	timer := time.AfterFunc(plan[0].After, func() { seconds <- c.sendSecond(ctx, &t, plan, ended) })
	first := c.attempt(ctx, t)
	close(ended)
	c.record(first)
	sends := attempt.Sends{First: first.outcome}
	if timer.Stop() {
		return sends, first.failure
	}
	second := <-seconds
	if second == nil {
		return sends, first.failure
	}
	c.record(second)
	c.excluded[second.target.server.ID] = true
	sends.Second, sends.Both = second.outcome, true
	if second.outcome == attempt.Delivered {
		c.g.Metrics.Add("second_attempt_won", 1)
	} else {
		c.g.Metrics.Add("second_attempt_lost", 1)
	}
	if second.failure != nil {
		return sends, second.failure
	}
	return sends, first.failure
}

// secondPlan returns when a second attempt is considered. It is empty if none may be sent.
// Prompts are not sent twice: their parts may crash servers.
func (c *clientRequest) secondPlan(policy attempt.Policy) hedge.Plan {
	if c.route.Kind != fleet.Idempotent || len(c.suspectParts) > 0 || !policy.MayAddSecond(c.progress) || !c.g.host.isCalm() {
		return nil
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	latencies := c.g.second.of(c.service.Name)
	if latencies == nil || c.g.isRolling(c.view, c.service.Name) {
		return nil
	}
	return latencies.Plan(time.Now(), c.route.Name, c.g.second.settings.Share(c.service.Name), c.route.LatencyTarget)
}

// isRolling reports whether a rollout of a service is in progress. Its versions are judged
// by the answers to single attempts. The caller must hold g.mu.
func (g *Gateway) isRolling(view *fleet.View, service string) bool {
	r := g.rolloutOf(view, service)
	return r != nil && r.Outcome == fleet.InProgress
}

// sendSecond makes the second attempt, at the first check of the plan that finds a gain. It
// returns nil if none is sent before the first attempt has ended.
func (c *clientRequest) sendSecond(ctx context.Context, first *target, plan hedge.Plan, ended <-chan struct{}) *sendResult {
	var denied hedge.Reason
	for i, check := range plan {
		if i > 0 {
			select {
			case <-ended:
			case <-time.After(check.After - plan[i-1].After):
			}
		}
		t, reason := c.selectSecond(first, check, ended)
		if reason == hedge.Sent {
			r := c.attempt(ctx, t)
			r.entry.Second = true
			return r
		}
		if reason == hedge.FirstEnded {
			break
		}
		if denied = reason; !reason.MayChange() {
			break
		}
	}
	c.g.countDenied(denied)
	return nil
}

// selectSecond selects a server for the second attempt and counts the request there, if the
// reason is hedge.Sent.
func (c *clientRequest) selectSecond(first *target, check hedge.Check, ended <-chan struct{}) (target, hedge.Reason) {
	g := c.g
	g.mu.Lock()
	defer g.mu.Unlock()
	latencies := g.second.of(c.service.Name)
	select {
	case <-ended:
		return target{}, hedge.FirstEnded
	default:
	}
	if latencies == nil {
		return target{}, hedge.Spent // the share has just been set to 0
	}
	now := time.Now()
	c.view = g.State.View()
	if g.isRolling(c.view, c.service.Name) {
		return target{}, hedge.NoServer
	}
	c.excluded[first.server.ID] = true
	entries := g.EntryCount() + 1 // as in selectServer
	extra, retries := g.second.extra[c.service.Name], g.retryBudget(c.service.Name)
	servers, candidates := c.candidates("", now, entries)
	in := hedge.Input{
		Now: now, Check: check, Remaining: c.deadline.Sub(now),
		First:     g.hedgeServer(first.server, c.candidate(first.server, "", now), now),
		ExtraLeft: extra.Remaining(now, entries), RetriesLeft: retries.Remaining(now, entries), InProgress: first.load.running,
	}
	for i, s := range servers {
		in.Others = append(in.Others, g.hedgeServer(s, candidates[i], now))
		in.InProgress += g.load(s, c.service).running
	}
	i, reason := latencies.Choose(&in, g.rng)
	if i < 0 {
		g.logDenied(c, first, &in, reason, now)
		return target{}, reason
	}
	extra.Take(now, entries, 0)
	retries.Take(now, entries, 0)
	t := target{final: true}
	c.place(&t, servers[i], &candidates[i], now)
	g.Metrics.Add("second_attempt_sent", 1)
	g.Log.Info("A second attempt was sent.", "request", c.meta.ID, "route", c.route.Name, "first", first.server.ID, "second", t.server.ID,
		"after_ms", check.After.Milliseconds(), "expected_ms", check.Residual.Milliseconds(), "left_ms", in.Remaining.Milliseconds(), "extra_left", in.ExtraLeft-1, "retries_left", in.RetriesLeft-1)
	return t, hedge.Sent
}

func (g *Gateway) hedgeServer(s *fleet.BackendServer, candidate placing.Candidate, now time.Time) hedge.Server {
	return hedge.Server{Candidate: candidate, DataCentre: s.DataCentre, RoundTrip: g.roundTrip(s), Cold: g.isCold(s, now)}
}

// countDenied counts a request whose second attempt was considered and not sent, by the last
// reason.
func (g *Gateway) countDenied(reason hedge.Reason) {
	switch {
	case reason == "": // the first attempt ended before
	case reason.ByBudget():
		g.Metrics.Add("second_attempt_denied_budget", 1)
	case reason.ByLoad():
		g.Metrics.Add("second_attempt_denied_load", 1)
	default:
		g.Metrics.Add("second_attempt_denied_other", 1)
	}
}

// logDenied logs why a second attempt is not sent, for some of them. The caller must hold
// g.mu.
func (g *Gateway) logDenied(c *clientRequest, first *target, in *hedge.Input, reason hedge.Reason, now time.Time) {
	if now.Sub(g.second.denialLoggedAt) < denialLogInterval {
		return
	}
	g.second.denialLoggedAt = now
	g.Log.Info("A second attempt was not sent.", "request", c.meta.ID, "route", c.route.Name, "first", first.server.ID, "reason", string(reason),
		"after_ms", in.After.Milliseconds(), "servers", len(in.Others), "extra_left", in.ExtraLeft, "retries_left", in.RetriesLeft)
}

// claimAnswer reports whether the client gets the answer of the calling attempt, and ends
// the other attempt if so.
func (c *clientRequest) claimAnswer() bool {
	if !c.answered.CompareAndSwap(false, true) {
		return false
	}
	if c.supersede != nil {
		c.supersede(errAnswered)
	}
	return true
}

// superseded reports whether an attempt was ended because another one was answered first.
func (c *clientRequest) superseded(r *sendResult) bool {
	return r.outcome == attempt.Ended && c.answered.Load() && c.ctx.Err() == nil
}

// showsAnswerTime reports whether the time of an attempt is evidence of the speed of its server.
// That of one which was ended because another was answered first shows that the server is slow,
// never that it is fast. The caller must hold g.mu.
func (g *Gateway) showsAnswerTime(c *clientRequest, r *sendResult, timing *release.Timing) bool {
	switch {
	case r.entry.timed:
		return false
	case c.superseded(r):
		typical := g.typicalAnswer(c.service, c.route, time.Now())
		return typical > 0 && float64(timing.First) >= typical
	}
	return r.outcome == attempt.Delivered
}

// pruneLatencies forgets the latencies of routes and servers that are gone. The caller must
// hold g.mu.
func (g *Gateway) pruneLatencies(view *fleet.View) {
	if len(g.second.latencies) == 0 || view.Config == nil {
		return
	}
	routes := make(map[string]bool)
	for _, r := range view.Config.Routes() {
		routes[r.Name] = true
	}
	for service, latencies := range g.second.latencies {
		if view.Config.Services[service] == nil {
			delete(g.second.latencies, service)
			delete(g.second.extra, service)
			continue
		}
		latencies.Retain(func(name string) bool { return routes[name] }, func(id string) bool { return view.Servers[id] != nil })
	}
}
