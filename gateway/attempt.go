package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"hyssoploom/attempt"
	"hyssoploom/backend"
	"hyssoploom/crashcause"
	"hyssoploom/release"
)

const (
	// maxRefusals limits how many servers may reject a request without executing it.
	maxRefusals = 4
	// headerOverhead is the expected time to the response headers apart from the
	// prefill, and crossRegionRTT the round-trip time to another region.
	headerOverhead = 20 * time.Millisecond
	crossRegionRTT = 60 * time.Millisecond
	// boundLogInterval is the least time between two log lines about bounds that a
	// server exceeded.
	boundLogInterval = time.Second
)

// attemptLog is the log record of one attempt.
type attemptLog struct {
	Server  string `json:"server"`
	Version string `json:"version,omitempty"`
	Model   string `json:"model,omitempty"`
	Outcome string `json:"outcome"`
	result  attempt.Outcome
	// sentAt is when the attempt was sent, and bodyAt when the first part of the answer
	// arrived: its first event, or of a buffered one its first byte. headReceived means that
	// the head of the response has arrived.
	sentAt, bodyAt time.Time
	headReceived   bool
	// timed means that the time of the answer counts as evidence in a rollout already.
	timed      bool
	Confidence int `json:"confidence,omitempty"`
	// ModelRoom is the percentage of the wanted escalations for which there was room, and
	// ModelGranted that for the class and workspace of the request.
	ModelRoom    int `json:"model_room_pct,omitempty"`
	ModelGranted int `json:"model_granted_pct,omitempty"`
	// FirstMS is the time to the response headers; Events is the number of forwarded
	// events.
	FirstMS int64 `json:"first_ms,omitempty"`
	Events  int   `json:"events,omitempty"`
	// ResumedAfter is the id of the event after which the server was asked to go on.
	// FirstEvent and LastEvent are the ids of the first and the last event that were
	// forwarded.
	ResumedAfter string `json:"resumed_after,omitempty"`
	FirstEvent   string `json:"first_event,omitempty"`
	LastEvent    string `json:"last_event,omitempty"`
	// UntilClose means that the end of the connection is the end of the answer.
	UntilClose bool `json:"until_close,omitempty"`
	// WaitMS is the expected wait at the server and PrefillMS the expected time to read
	// the prompt there; the server was selected by these estimates.
	WaitMS    int64 `json:"wait_ms"`
	PrefillMS int64 `json:"read_ms"`
	// Slowness is the time that the server takes relative to the median one, if the servers
	// measure uneven, and Room what the engine lacks: none, or only the room that is kept for
	// large requests.
	Slowness float64 `json:"slowness,omitempty"`
	Room     string  `json:"room,omitempty"`
	// Second marks an attempt that was sent while the one before was not answered yet.
	Second bool `json:"second,omitempty"`
	// AtMS is the start of the attempt in milliseconds after the request arrived, and
	// TookMS its duration.
	AtMS   int64  `json:"at_ms"`
	TookMS int64  `json:"took_ms"`
	Error  string `json:"error,omitempty"`
	// Parts are the shared parts of the prompt, listed when the answer was lost: the
	// same part in the lost answers of several servers is what they have in common.
	Parts []string `json:"parts,omitempty"`
}

// run sends the request until it is answered, can no longer be retried, or its deadline
// passes.
func (c *clientRequest) run() {
	c.g.mu.Lock()
	if c.service != nil {
		c.g.retryBudget(c.service.Name).RecordRequest(c.received)
		c.g.second.recordRequest(c.received, c.service.Name)
	}
	c.g.mu.Unlock()
	policy := attempt.Policy{Repeatable: c.route.Repeatable(), MaxRuns: c.route.MaxAttempts, MaxRefusals: maxRefusals}
	var failure *bufferedResponse
	last, sent := attempt.RunSends(policy, &c.progress, func() (attempt.Sends, bool) {
		if c.crashes > 1 {
			// Wait until it is known whether this request caused the crashes.
			sleep(c.ctx, crashcause.SettleTime)
			c.g.evaluateNow()
		}
		if c.rejectedByBlock() || !c.stream.mayResume() {
			return attempt.Sends{}, false
		}
		if !c.awaitRoomAgain() {
			return attempt.Sends{}, false
		}
		target, ok := c.selectServer()
		if !ok {
			return attempt.Sends{}, false
		}
		sends, saved := c.send(policy, target)
		if saved != nil {
			failure = saved
		}
		if sends.First == attempt.Escalated {
			c.model = len(c.route.Models) - 1
		} else {
			c.excluded[target.server.ID] = true
		}
		return sends, true
	})
	switch {
	case sent && last == attempt.Delivered:
		c.finish(http.StatusOK, "")
	case sent && (last == attempt.Ended || last == attempt.EndedUnsent):
		c.respondEnded(failure)
	default:
		c.respondExhausted(failure)
	}
}

// sendResult is the result of one attempt.
type sendResult struct {
	target  target
	outcome attempt.Outcome
	// failure is the server's response if it reports a failure and the client may get it.
	failure *bufferedResponse
	entry   attemptLog
}

// attempt sends the request to one server and processes the response.
func (c *clientRequest) attempt(ctx context.Context, t target) *sendResult {
	started := time.Now()
	entry := attemptLog{
		Server: t.server.ID, Version: t.server.Version, Model: t.model, AtMS: started.Sub(c.received).Milliseconds(),
		WaitMS: t.wait.Milliseconds(), PrefillMS: t.prefill.Milliseconds(),
		ResumedAfter: cmp.Or(c.stream.lastID, c.meta.LastEvent), Room: t.room.String(), sentAt: started,
	}
	if t.slowness != 1 {
		entry.Slowness = t.slowness
	}
	ctx, end := c.traceAttempt(ctx, &t)
	result, saved, err := c.exchange(ctx, t, &entry)
	c.g.endBody(&entry)
	c.noteConnectionEnd(t, err)
	c.g.reportBound(c.meta.ID, &t, err)
	end(result)
	entry.result, entry.Outcome = result, result.String()
	entry.TookMS = time.Since(started).Milliseconds()
	if err != nil {
		entry.Error = err.Error()
	}
	if result == attempt.Broken {
		entry.Parts = c.sharedPartIDs()
		c.reportCrash(t, &entry, err)
	}
	return &sendResult{t, result, saved, entry}
}

// record adds a finished attempt to the log record of the request and to what is known of
// its server.
func (c *clientRequest) record(r *sendResult) {
	c.g.Metrics.Add("attempt_"+r.entry.Outcome, 1)
	if r.entry.FirstMS > 0 {
		c.g.Metrics.Observe("attempt_head", time.Duration(r.entry.FirstMS)*time.Millisecond)
	}
	c.g.release(c, r)
}

// startAttempt counts a request at its server and informs the peers.
func (g *Gateway) startAttempt(c *clientRequest, t *target) {
	t.load.pending += t.work
	t.load.running++
	g.holdMemory(c, t)
	if t.load.cache != nil {
		model := c.modelName(t.model)
		t.load.cache.use(model, c.prompt)
		g.broadcastPrefill(t.server, model, sharedPrefix(c.prompt), c.model > 0)
	}
	g.broadcastLoad(t.server, t.load)
	g.recordSend(c, t.server)
}

// timing returns the latency measurements of an attempt.
func (c *clientRequest) timing(t *target, entry *attemptLog) release.Timing {
	took := time.Duration(entry.TookMS) * time.Millisecond
	timing := release.Timing{Wait: t.wait, Running: t.running, Slots: t.server.Slots, First: took}
	if t.load.cache == nil {
		timing.Kind, timing.NonStreaming = c.route.Name, true
		return timing
	}
	timing.Kind, timing.Expected = c.modelName(t.model), t.usualPrefill()+headerOverhead
	if t.server.Region != c.g.Self.Region {
		timing.Expected += crossRegionRTT
	}
	if entry.FirstMS > 0 {
		timing.First = time.Duration(entry.FirstMS) * time.Millisecond
		timing.Rest, timing.Events = took-timing.First, entry.Events
	}
	return timing
}

// release removes a finished attempt from the load of its server and records its
// outcome.
func (g *Gateway) release(c *clientRequest, r *sendResult) {
	t, timing := &r.target, c.timing(&r.target, &r.entry)
	g.mu.Lock()
	defer g.mu.Unlock()
	c.attempts = append(c.attempts, r.entry)
	t.load.running--
	g.releaseMemory(c, t, r.outcome, &timing)
	t.load.observeEventInterval(timing.Events, timing.Rest)
	if g.showsAnswerTime(c, r, &timing) {
		g.observeAnswerSpeed(c, t, &timing)
	}
	g.broadcastLoad(t.server, t.load)
	g.dispatchWaiting(t.server.Service)
	g.recordOutcome(c, t.server, r.outcome, timing, r.entry.timed)
	g.recordLatency(c, r)
}

// prefillDone removes an attempt from the pending work once the server has read its
// prompt.
func (g *Gateway) prefillDone(t *target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.work == 0 {
		return
	}
	t.load.pending -= t.work
	t.work = 0
	g.broadcastLoad(t.server, t.load)
	g.dispatchWaiting(t.server.Service)
}

func (g *Gateway) markSuspect(t target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t.load.suspectUntil = time.Now().Add(suspectDuration)
	t.load.unproven = true
}

// reportBound counts and logs a response that exceeded a bound, and avoids its server
// for a while.
func (g *Gateway) reportBound(request string, t *target, err error) {
	var exceeded *backend.BoundError
	if !errors.As(err, &exceeded) {
		return
	}
	g.markSuspect(*t)
	g.Metrics.Add("bound_"+string(exceeded.Bound), 1)
	g.mu.Lock()
	now := time.Now()
	due := now.Sub(t.load.boundLoggedAt) >= boundLogInterval
	if due {
		t.load.boundLoggedAt = now
	}
	g.mu.Unlock()
	if due {
		g.Log.Warn("A backend server sent more than a bound allows.", "server", t.server.ID, "request", request,
			"bound", string(exceeded.Bound), "bytes", exceeded.Bytes)
	}
}

// minDialTime is the time after which a server that has not taken a connection is taken not
// to respond: two round trips to another region.
const minDialTime = 2 * crossRegionRTT

// showsDeadServer reports whether a connection that was not established after a time says
// something of the server: it failed by itself, or had time enough until the deadline of its
// request.
func showsDeadServer(ctx context.Context, took time.Duration) bool {
	return ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) && took >= minDialTime
}

func (c *clientRequest) exchange(ctx context.Context, t target, entry *attemptLog) (attempt.Outcome, *bufferedResponse, error) {
	defer c.g.prefillDone(&t)
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.g.addUnanswered(c, cancel)
	defer c.g.removeUnanswered(c)
	limit := c.connectionLimit()
	if c.workspace != nil && !c.g.configFresh() {
		return attempt.Stale, nil, nil
	}
	c.g.host.countSent(len(c.body))
	response, err := c.g.Pool.Exchange(ctx, t.server.Address, limit, c.backendRequest(ctx, t))
	if err != nil {
		if errors.Is(err, backend.ErrNotSent) {
			if !errors.Is(err, backend.ErrConnectionLimit) && showsDeadServer(ctx, time.Since(started)) {
				c.g.markSuspect(t)
			}
			return c.endedOr(attempt.NotSent), nil, err
		}
		if ctx.Err() == nil {
			c.g.markSuspect(t)
		}
		return c.endedOr(attempt.Broken), nil, err
	}
	entry.headReceived = true
	entry.UntilClose = response.UntilClose
	headerTime := time.Since(started)
	entry.FirstMS = headerTime.Milliseconds()
	if response.Status == http.StatusOK {
		c.g.observePrefill(c.modelName(t.model), &t, headerTime)
		if t.wait < maxIdleWait {
			c.g.observeHeadSpeed(c, &t, headerTime)
		}
	}
	c.g.markProven(&t)
	c.g.prefillDone(&t)
	defer response.Body.Close()
	meta := c.g.Protocol.ReadResponse(response.Status, response.Header, t.server.ID)
	if !meta.WrongServer {
		c.g.noteContact(&t, c.service, started)
		c.g.observeLimit(&t, &meta, started)
		c.g.observeSignals(&t, &meta)
	}
	if meta.NotRun {
		c.g.mu.Lock()
		switch {
		case meta.WrongServer:
			t.load.staleAddress = t.server.Address
		case response.Status == http.StatusServiceUnavailable && !meta.Leaving && meta.RefusesFor <= 0:
			c.g.observeRejection(&t)
		}
		c.g.mu.Unlock()
		return attempt.NotRun, nil, nil
	}
	return c.deliver(t, response, meta, entry, started)
}

// endedOr returns o, or the corresponding ended outcome if the client has disconnected,
// the deadline has passed or another attempt was answered first.
func (c *clientRequest) endedOr(o attempt.Outcome) attempt.Outcome {
	switch {
	case c.ctx.Err() == nil && !c.answered.Load():
		return o
	case o == attempt.NotSent:
		return attempt.EndedUnsent
	}
	return attempt.Ended
}

// respondExhausted sends the response to a request for which no further attempt is
// made.
func (c *clientRequest) respondExhausted(failure *bufferedResponse) {
	switch {
	case c.headerSent:
		c.abort(ReasonAnswerLost)
	case failure != nil:
		c.forwardFailure(failure)
	case c.progress.MayHaveRun():
		c.reject(http.StatusBadGateway, ReasonAnswerLost, 0)
	case c.exceedsEngines():
		c.reject(http.StatusServiceUnavailable, ReasonPromptTooLarge, 0) // as an engine would
	case c.blockedFor > 0:
		c.reject(http.StatusServiceUnavailable, ReasonPartBlocked, c.blockedFor)
	case c.limitedFor > 0:
		c.reject(http.StatusServiceUnavailable, ReasonServersLimited, c.limitedFor)
	case c.noRoom != "":
		c.refuseForRoom(c.noRoom)
	case c.refusedFor > 0:
		c.rejectExactly(http.StatusServiceUnavailable, ReasonServersRefuse, c.refusedFor)
	case c.progress.Received > 0:
		c.reject(http.StatusServiceUnavailable, ReasonRejectedByServers, transientRetryAfter)
	default:
		c.reject(http.StatusServiceUnavailable, ReasonNoServer, transientRetryAfter)
	}
}

// respondEnded finishes a request whose client has disconnected or whose deadline has
// passed.
func (c *clientRequest) respondEnded(failure *bufferedResponse) {
	switch {
	case c.headerSent:
		c.abort(c.endReason())
	case c.readersFull.Load():
		c.reject(http.StatusBadGateway, ReasonSlowReader, 0)
	case failure != nil:
		c.forwardFailure(failure)
	default:
		c.reject(http.StatusGatewayTimeout, ReasonTimeout, 0)
	}
}

// abort closes the client's connection, so that a truncated response cannot be taken
// for a complete one.
func (c *clientRequest) abort(reason Reason) {
	c.finish(0, reason)
	panic(http.ErrAbortHandler)
}
