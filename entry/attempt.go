package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"hyssoploom/attempt"
	"hyssoploom/ledger"
	"hyssoploom/link"
	"hyssoploom/rollout"
	"hyssoploom/route"
	"hyssoploom/telemetry"
)

const (
	// maxEndpointWait limits how long a request waits for an available backend
	// server, for example while links reconnect.
	maxEndpointWait = 2 * time.Second
	// pollInterval is the pause between two attempts to pick a backend server.
	pollInterval = 25 * time.Millisecond
	// agentDeadlineMargin is how much earlier than the entry an agent gives up a
	// request. Without it, an entry whose deadline has passed cannot tell a request
	// that waited in the agent's queue from one that ran.
	agentDeadlineMargin = 200 * time.Millisecond
)

// stageRun runs one stage of a request: it makes attempts until one produces the
// stage's answer.
type stageRun struct {
	*chat
	index int
	stage *stage
	out   *output
	gated bool            // the answer is withheld until it is rated
	tried map[string]bool // backend servers that were already sent the request
	// text and tokens are the output received so far, which the caller may have
	// seen. The next attempt resumes after it.
	text    strings.Builder
	tokens  int64
	refused *link.Refusal // last refusal
	// excludedVersion is a version whose exposure budget was used up; the request
	// has switched to another version.
	excludedVersion string
	waited          time.Duration // total time without an available backend server
	result          *answer
	err             *apiError // set when there is no result
}

// runStage produces the answer of one stage. The retry budget, which retry
// checks, limits the number of attempts.
func (ch *chat) runStage(ctx context.Context, index int, out *output, gated bool) (*answer, *apiError) {
	run := &stageRun{chat: ch, index: index, stage: &ch.stages[index], out: out, gated: gated, tried: make(map[string]bool)}
	attempt.Run(attempt.Policy{Repeatable: true}, &attempt.Progress{}, func() (attempt.Outcome, bool) {
		peer := run.nextPeer(ctx)
		if peer == nil {
			return 0, false
		}
		return run.try(ctx, peer), true
	})
	return run.result, run.err
}

// nextPeer returns the backend server for the next attempt. It waits up to
// maxEndpointWait for one to become available; if there is none, it sets run.err
// and returns nil.
func (run *stageRun) nextPeer(ctx context.Context) *peer {
	for {
		if run.err = run.revalidateVersion(ctx, run.excludedVersion); run.err != nil {
			return nil
		}
		peer, err := run.pick()
		if err == nil {
			return peer
		}
		if run.waited >= maxEndpointWait || run.allRefused() {
			run.err = run.noEndpointError(err)
			return nil
		}
		run.waited += pollInterval
		if !sleep(ctx, pollInterval) {
			run.err = run.timeoutError()
			return nil
		}
	}
}

// afterExposureRefusal handles a refusal because the exposure budget of the
// version is used up. A new session switches to another version; a session that
// already uses the version retries after a pause, until ratings free the budget.
func (run *stageRun) afterExposureRefusal(ctx context.Context) attempt.Outcome {
	run.refused = nil
	clear(run.tried)
	if run.stage.chosenByRequest && run.excludedVersion == "" {
		run.excludedVersion = run.stage.version
		delete(run.pins, run.stage.model)
		run.stage.bound = false
		return attempt.NotRun
	}
	if !sleep(ctx, pollInterval) {
		return run.end(run.timeoutError())
	}
	return attempt.NotRun
}

// end stops the attempts with a final error.
func (run *stageRun) end(err *apiError) attempt.Outcome {
	run.err = err
	return attempt.Ended
}

// revalidateVersion checks the version against the newest records. Once the caller
// has seen part of an answer, it cannot continue on another version.
func (run *stageRun) revalidateVersion(ctx context.Context, excludedVersion string) *apiError {
	before := run.stage.version
	if err := run.revalidate(ctx, run.stage, excludedVersion); err != nil {
		return run.correctRunState(err)
	}
	if run.tokens > 0 && run.stage.version != before {
		return run.failure("version_withdrawn", run.stage.model+"@"+before+" was withdrawn while it answered")
	}
	return nil
}

// allRefused reports, after pick has found no candidate, whether this is because
// the candidates refused the request. Waiting would not help then.
func (run *stageRun) allRefused() bool { return run.refused != nil && len(run.tried) > 0 }

// pick chooses a backend server for the stage's version.
func (run *stageRun) pick() (*peer, error) {
	e := run.entry
	request := route.Request{
		Model: run.stage.model, Version: run.stage.version, Session: run.sessionID,
		DataCentre: e.settings.DataCentre, Region: e.region(), Tried: run.tried,
		BodyBytes: len(run.body), AnswerTime: e.answerTime.mean(),
		Resume: run.tokens > 0,
	}
	return e.pick(request)
}

// try makes one attempt on the given backend server.
func (run *stageRun) try(ctx context.Context, p *peer) attempt.Outcome {
	run.tried[p.name] = true
	ctx, span := run.entry.deps.Tracing.Tracer.Start(ctx, "link")
	defer span.End()
	span.SetAttributes(attribute.String("backend_server", p.name), attribute.Int("tried", len(run.tried)))

	p.openStreams.Add(1)
	defer p.openStreams.Add(-1)
	run.entry.metrics.Add("attempts", 1)
	start := time.Now()
	stream, err := p.client.Open(ctx, run.request(ctx, p))
	if err != nil {
		return run.afterStreamError(ctx, p, err)
	}
	err = run.receive(ctx, stream)
	if !errors.Is(err, io.EOF) {
		stream.Cancel()
		return run.afterStreamError(ctx, p, err)
	}
	end := stream.End()
	run.mayHaveRun = true
	run.entry.charge(p, end.Charge)
	if !end.Complete {
		return run.afterIncomplete(p, end)
	}
	run.entry.answerTime.add(time.Since(start))
	run.result = &answer{
		stage: run.index, model: run.stage.model, version: run.stage.version,
		text: run.text.String(), tokensIn: end.TokensIn, tokensOut: end.TokensOut,
		finishReason: end.FinishReason, backend: p.name,
	}
	return attempt.Delivered
}

// receive forwards the payloads of the stream to the caller until the stream
// ends. Payloads of a gated or non-streaming answer are only collected.
func (run *stageRun) receive(ctx context.Context, stream *link.Stream) error {
	for {
		payload, err := stream.Recv(ctx)
		if err != nil {
			return err
		}
		run.mayHaveRun = true
		run.tokens++
		run.text.Write(payload)
		if run.gated || !run.out.streaming() {
			continue
		}
		current := &answer{stage: run.index, model: run.stage.model, version: run.stage.version}
		if err := run.out.write(string(payload), current); err != nil {
			return errCallerGone
		}
	}
}

var errCallerGone = errors.New("caller closed the connection")

func (run *stageRun) request(ctx context.Context, p *peer) *link.Request {
	return &link.Request{
		Kind: link.KindChat, RequestID: run.requestID, Attempt: run.entry.attempts.Add(1),
		Workspace: run.workspace.Name, Model: run.stage.model, Version: run.stage.version,
		Pinned: run.stage.pinned, Session: run.sessionID, TaskClass: run.taskClass, Stage: run.index,
		Priority: run.workspace.Priority,
		Deadline: agentDeadline(ctx, p),
		Revision: run.entry.snapshot.Revision(),
		Body:     run.body, ResumeFrom: run.tokens, ResumeText: run.text.String(),
		TraceParent: telemetry.TraceParent(ctx),
	}
}

// agentDeadline returns the deadline that the agent applies to the request, in
// the agent's clock.
func agentDeadline(ctx context.Context, p *peer) time.Duration {
	deadline, _ := ctx.Deadline()
	now := time.Now()
	return p.client.Status().AgentClock(now) + deadline.Sub(now) - agentDeadlineMargin
}

// afterStreamError handles a refusal by the agent or a lost stream.
func (run *stageRun) afterStreamError(ctx context.Context, p *peer, err error) attempt.Outcome {
	var refused *link.RefusedError
	var broken *link.BrokenError
	var notSent *link.NotSentError
	switch {
	case errors.As(err, &refused):
		if refused.Refusal.Code == link.CodeDeadline {
			return run.end(run.timeoutError())
		}
		if refused.Refusal.Code == "exposure_budget" {
			return run.afterExposureRefusal(ctx)
		}
		run.refused = &refused.Refusal
		return attempt.NotRun
	case errors.As(err, &notSent):
		return attempt.NotSent
	case errors.Is(err, errCallerGone):
		run.chargeInterrupted()
		return run.end(callerGoneError())
	case ctx.Err() != nil:
		run.mayHaveRun = true
		run.chargeInterrupted()
		return run.end(run.timeoutError())
	case errors.As(err, &broken):
		run.mayHaveRun = run.mayHaveRun || broken.RequestSent
		if broken.RequestSent {
			run.chargeInterrupted()
		}
	default:
		run.mayHaveRun = true
		run.chargeInterrupted()
	}
	run.entry.log.Warn("Attempt was lost.", "request", run.requestID, "backend_server", p.name, "error", err.Error())
	return run.retry(attempt.Broken, "attempt_lost", err.Error())
}

// afterIncomplete handles an answer that the backend server did not complete.
func (run *stageRun) afterIncomplete(p *peer, end *link.End) attempt.Outcome {
	run.entry.log.Warn("Attempt failed.", "request", run.requestID, "backend_server", p.name, "code", end.Code)
	switch {
	case end.Moved():
		return run.resume(attempt.Broken, end.Code, end.Message)
	case end.Code == link.CodeDeadline:
		return run.end(run.timeoutError())
	case end.Code == link.CodeRejected:
		err := run.failure(end.Code, end.Message)
		err.Status = http.StatusBadRequest
		return run.end(err)
	}
	return run.retry(attempt.Failed, end.Code, end.Message)
}

// retry continues with another attempt if the retry budget allows it.
func (run *stageRun) retry(o attempt.Outcome, code, message string) attempt.Outcome {
	if !run.entry.budgets.allow(run.workspace.Name) {
		return run.end(run.failure(code, message+"; the retry budget is used up"))
	}
	return run.resume(o, code, message)
}

// resume continues with another attempt, without checking the retry budget. If
// the caller has seen part of the answer, an engine that can resume it is needed.
// Planned moves call it directly: they must not fail because many answers move at
// the same time.
func (run *stageRun) resume(o attempt.Outcome, code, message string) attempt.Outcome {
	visible := run.tokens > 0 && !run.gated && run.out.streaming()
	if visible && !run.entry.links.resumable(run.stage.model, run.stage.version, run.tried) {
		return run.end(run.failure(code, message+"; no other backend server can resume the answer"))
	}
	if !visible {
		run.text.Reset()
		run.tokens = 0
	}
	run.entry.metrics.Add("retries", 1)
	return o
}

// chargeInterrupted charges the tokens received from an attempt whose end this
// entry will not see. The agent may write a larger row for the same stage;
// readers of the ledger use the larger one.
func (run *stageRun) chargeInterrupted() {
	run.entry.chargeInterrupted(interruptedAttempt{
		apiRequest: run.apiRequest, bodyHash: ledger.HashBody(run.body), stage: run.index,
		model: run.stage.model, version: run.stage.version, tokensOut: run.tokens,
	})
}

func (run *stageRun) timeoutError() *apiError {
	err := run.failure("deadline_exceeded", "the request was not answered in time")
	err.Status = http.StatusGatewayTimeout
	return err
}

// noEndpointError returns the reason why no backend server took the request: the
// last refusal if there was one, else err.
func (run *stageRun) noEndpointError(err error) *apiError {
	if run.refused != nil {
		apiErr := unavailable(run.refused.Code, "%s", run.refused.Message)
		return run.correctRunState(apiErr)
	}
	return run.correctRunState(unavailable("no_backend_server", "%v", err))
}

// correctRunState sets the run state of a refusal to Unknown if an earlier
// attempt may have run.
func (run *stageRun) correctRunState(err *apiError) *apiError {
	if run.mayHaveRun {
		err.Run = Unknown
	}
	return err
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func versionKey(model, version string) rollout.VersionKey {
	return rollout.VersionKey{Model: model, Version: version}
}
