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
	// noEndpointWait bounds the wait for a backend server to become available,
	// for example while links are dialled anew.
	noEndpointWait = 2 * time.Second
	// pollInterval is the pause between two looks for a backend server.
	pollInterval = 25 * time.Millisecond
	// verdictWait is how much earlier than the entry an agent gives up a request.
	// Without it an entry whose time is up cannot tell a request that waited in
	// the agent's queue from one that ran.
	verdictWait = 200 * time.Millisecond
)

// stageRun is one stage of a request: the attempts that produce one answer.
type stageRun struct {
	*chat
	index int
	stage *stage
	out   *output
	gated bool
	tried map[string]bool
	// text and tokens are what earlier attempts have produced and the caller may
	// have seen.
	text    strings.Builder
	tokens  int64
	refused *link.Refusal // last refusal
	// except is the version that the request gave up for another one, and waited
	// the time spent without a backend server.
	except string
	waited time.Duration
	// result is the answer, err the reason why there is none.
	result *answer
	err    *apiError
}

// runStage produces the answer of one stage. How often it is sent is bounded by
// the retry budget, asked in retry.
func (ch *chat) runStage(ctx context.Context, index int, out *output, gated bool) (*answer, *apiError) {
	run := &stageRun{chat: ch, index: index, stage: &ch.stages[index], out: out, gated: gated, tried: make(map[string]bool)}
	attempt.Run(attempt.Policy{Repeatable: true}, &attempt.Progress{}, func() (attempt.Outcome, bool) {
		peer := run.next(ctx)
		if peer == nil {
			return 0, false
		}
		return run.try(ctx, peer), true
	})
	return run.result, run.err
}

// next returns the backend server of the next attempt. It waits for one that
// becomes available; without one it returns nil and sets the error.
func (run *stageRun) next(ctx context.Context) *peer {
	for {
		if run.err = run.renewVersion(ctx, run.except); run.err != nil {
			return nil
		}
		peer, err := run.pick()
		if err == nil {
			return peer
		}
		if run.waited >= noEndpointWait || run.allRefused() {
			run.err = run.noEndpoint(err)
			return nil
		}
		run.waited += pollInterval
		if !sleep(ctx, pollInterval) {
			run.err = run.timedOut()
			return nil
		}
	}
}

// avoidVersion is called when the exposure of the version is used up: a new
// session takes another one, and one that already uses it waits for ratings.
func (run *stageRun) avoidVersion(ctx context.Context) attempt.Outcome {
	run.refused = nil
	clear(run.tried)
	if run.stage.chosenHere && run.except == "" {
		run.except = run.stage.version
		delete(run.pins, run.stage.model)
		run.stage.bound = false
		return attempt.NotRun
	}
	if !sleep(ctx, pollInterval) {
		return run.end(run.timedOut())
	}
	return attempt.NotRun
}

// end ends the request with an error.
func (run *stageRun) end(err *apiError) attempt.Outcome {
	run.err = err
	return attempt.Ended
}

// renewVersion checks the version against the newest records. An answer of which
// the caller has seen a part cannot go on on another version.
func (run *stageRun) renewVersion(ctx context.Context, except string) *apiError {
	before := run.stage.version
	if err := run.renew(ctx, run.stage, except); err != nil {
		return run.refusedError(err)
	}
	if run.tokens > 0 && run.stage.version != before {
		return run.failed("version_withdrawn", run.stage.model+"@"+before+" was withdrawn while it answered")
	}
	return nil
}

// allRefused reports whether every candidate refused; waiting would not help.
func (run *stageRun) allRefused() bool { return run.refused != nil && len(run.tried) > 0 }

// pick chooses a backend server for the stage's version.
func (run *stageRun) pick() (*peer, error) {
	e := run.entry
	request := route.Request{
		Model: run.stage.model, Version: run.stage.version, Session: run.sessionID,
		DataCentre: e.settings.DataCentre, Region: e.region(), Tried: run.tried,
		BodyBytes: len(run.body), AnswerTime: e.answerTime.mean(),
	}
	return e.pick(request)
}

// try runs one attempt on one backend server.
func (run *stageRun) try(ctx context.Context, p *peer) attempt.Outcome {
	run.tried[p.name] = true
	ctx, span := run.entry.deps.Tracing.Tracer.Start(ctx, "link")
	defer span.End()
	span.SetAttributes(attribute.String("backend_server", p.name), attribute.Int("tried", len(run.tried)))

	p.sent.Add(1)
	defer p.sent.Add(-1)
	run.entry.metrics.Add("attempts", 1)
	began := time.Now()
	stream, err := p.client.Open(ctx, run.request(ctx, p))
	if err != nil {
		return run.afterBreak(ctx, p, err)
	}
	err = run.receive(ctx, stream)
	if !errors.Is(err, io.EOF) {
		stream.Cancel()
		return run.afterBreak(ctx, p, err)
	}
	end := stream.End()
	run.handed = true
	run.entry.charge(p, end.Charge)
	if !end.Complete {
		return run.afterFailure(p, end)
	}
	run.entry.answerTime.add(time.Since(began))
	run.result = &answer{
		stage: run.index, model: run.stage.model, version: run.stage.version,
		text: run.text.String(), tokensIn: end.TokensIn, tokensOut: end.TokensOut,
		finishReason: end.FinishReason, backend: p.name,
	}
	return attempt.Delivered
}

// receive passes on the payloads until the end of the stream.
func (run *stageRun) receive(ctx context.Context, stream *link.Stream) error {
	for {
		payload, err := stream.Recv(ctx)
		if err != nil {
			return err
		}
		run.handed = true
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

// agentDeadline returns the time by the agent's clock at which it gives up a
// request.
func agentDeadline(ctx context.Context, p *peer) time.Duration {
	deadline, _ := ctx.Deadline()
	now := time.Now()
	return p.client.Status().AgentClock(now) + deadline.Sub(now) - verdictWait
}

// afterBreak decides what follows a refusal or a lost stream.
func (run *stageRun) afterBreak(ctx context.Context, p *peer, err error) attempt.Outcome {
	var refused *link.RefusedError
	var broken *link.BrokenError
	var notSent *link.NotSentError
	switch {
	case errors.As(err, &refused):
		if refused.Refusal.Code == link.CodeDeadline {
			return run.end(run.timedOut())
		}
		if refused.Refusal.Code == "exposure_budget" {
			return run.avoidVersion(ctx)
		}
		run.refused = &refused.Refusal
		return attempt.NotRun
	case errors.As(err, &notSent):
		return attempt.NotSent
	case errors.Is(err, errCallerGone):
		run.chargeCut()
		return run.end(callerGone())
	case ctx.Err() != nil:
		run.handed = true
		run.chargeCut()
		return run.end(run.timedOut())
	case errors.As(err, &broken):
		run.handed = run.handed || broken.RequestSent
		if broken.RequestSent {
			run.chargeCut()
		}
	default:
		run.handed = true
		run.chargeCut()
	}
	run.entry.log.Warn("Attempt was lost.", "request", run.requestID, "backend_server", p.name, "error", err.Error())
	return run.retry(attempt.Broken, "attempt_lost", err.Error())
}

// afterFailure decides what follows an answer that the backend server cut.
func (run *stageRun) afterFailure(p *peer, end *link.End) attempt.Outcome {
	run.entry.log.Warn("Attempt failed.", "request", run.requestID, "backend_server", p.name, "code", end.Code)
	switch {
	case end.Moved():
		return run.resume(attempt.Broken, end.Code, end.Message)
	case end.Code == link.CodeDeadline:
		return run.end(run.timedOut())
	case end.Code == link.CodeRejected:
		err := run.failed(end.Code, end.Message)
		err.Status = http.StatusBadRequest
		return run.end(err)
	}
	return run.retry(attempt.Failed, end.Code, end.Message)
}

// retry allows another attempt within the retry budget.
func (run *stageRun) retry(o attempt.Outcome, code, message string) attempt.Outcome {
	if !run.entry.budgets.allow(run.workspace.Name) {
		return run.end(run.failed(code, message+"; the retry budget is used up"))
	}
	return run.resume(o, code, message)
}

// resume goes on with another attempt. A caller that has seen a part of the
// answer needs an engine that can continue it. A planned move comes here directly: it
// must not be cut because many answers are moved at once.
func (run *stageRun) resume(o attempt.Outcome, code, message string) attempt.Outcome {
	visible := run.tokens > 0 && !run.gated && run.out.streaming()
	if visible && !run.entry.links.resumable(run.stage.model, run.stage.version, run.tried) {
		return run.end(run.failed(code, message+"; no other backend server can resume the answer"))
	}
	if !visible {
		run.text.Reset()
		run.tokens = 0
	}
	run.entry.metrics.Add("retries", 1)
	return o
}

// chargeCut charges what this entry has received of an attempt whose end it
// will not see. The agent may write a larger row for the same stage; readers
// keep the larger one.
func (run *stageRun) chargeCut() {
	run.entry.chargeCut(cutCharge{
		call: run.call, bodyHash: ledger.HashBody(run.body), stage: run.index,
		model: run.stage.model, version: run.stage.version, tokensOut: run.tokens,
	})
}

func (run *stageRun) timedOut() *apiError {
	err := run.failed("deadline_exceeded", "the request was not answered in time")
	err.Status = http.StatusGatewayTimeout
	return err
}

// noEndpoint names the reason why no backend server took the request.
func (run *stageRun) noEndpoint(err error) *apiError {
	if run.refused != nil {
		apiErr := busy(run.refused.Code, "%s", run.refused.Message)
		return run.refusedError(apiErr)
	}
	return run.refusedError(busy("no_backend_server", "%v", err))
}

// refusedError corrects the run state of a refusal that comes after an attempt
// that ran.
func (run *stageRun) refusedError(err *apiError) *apiError {
	if run.handed {
		err.Run = Unknown
	}
	return err
}

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
