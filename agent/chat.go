package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"go.opentelemetry.io/otel/attribute"

	"hyssoploom/admission"
	"hyssoploom/dialect"
	"hyssoploom/link"
	"hyssoploom/rollout"
)

// The outcomes in charge rows.
const (
	outcomeComplete = "complete"
	outcomeCut      = "cut"
)

// generation follows one run of the engine.
type generation struct {
	tokens int64 // generated here
	// priceIn and priceOut are those at the start: the version may leave the
	// records while it answers.
	priceIn, priceOut int64 // micro-units per token
}

// runChat generates the answer. It returns a refusal only when the engine did
// not start.
func (a *Agent) runChat(ctx context.Context, in *link.Incoming, ticket uint64) *link.Refusal {
	r := in.Request
	runCtx, release := a.evictor.run(ctx)
	defer release()
	runCtx, cancel := a.deadlineContext(runCtx, r.Deadline)
	defer cancel()
	runCtx, span := a.deps.Tracing.Tracer.Start(runCtx, "backend server")
	defer span.End()

	g := generation{}
	if v := modelVersion(a.snapshot.View(), r.Model, r.Version); v != nil {
		g.priceIn, g.priceOut = v.PriceIn, v.PriceOut
	}
	generated, err := a.deps.Engine.Generate(runCtx, a.generateRequest(r), func(t dialect.Token) error {
		if g.tokens == 0 {
			a.gate.firstToken(ticket)
		}
		g.tokens++
		return in.Send(runCtx, []byte(t.Text))
	})
	span.SetAttributes(attribute.Int64("tokens", g.tokens))

	if refusal := a.notStarted(err, g, r, ticket); refusal != nil {
		a.exposure.release(r)
		return refusal
	}
	engineFault := err != nil && ctx.Err() == nil && runCtx.Err() == nil && !rejected(err)
	result := admission.Result{ID: ticket, OK: err == nil}
	if engineFault {
		a.exposure.failed(r)
		// The engine may have restarted cold. The next load report would come
		// too late: the slot that becomes free here is refilled at once.
		result.RefusedConnection = !a.readStatus(context.WithoutCancel(ctx))
	}
	a.gate.done(result)
	a.health.Record(versionKey(r.Model, r.Version), rollout.Observation{TaskClass: r.TaskClass, Started: true, Failed: engineFault})
	a.finishChat(runCtx, in, generated, g, err)
	return nil
}

func (a *Agent) generateRequest(r *link.Request) dialect.GenerateRequest {
	return dialect.GenerateRequest{
		RequestID:  r.RequestID,
		Model:      r.Model,
		Version:    r.Version,
		Body:       r.Body,
		Priority:   r.Priority,
		ResumeFrom: r.ResumeFrom,
		ResumeText: r.ResumeText,
	}
}

// notStarted returns a refusal when the error shows that the engine rejected
// the request before it ran.
func (a *Agent) notStarted(err error, g generation, r *link.Request, ticket uint64) *link.Refusal {
	if g.tokens > 0 {
		return nil
	}
	switch {
	case errors.Is(err, dialect.ErrRefusedConnection):
		// A call that was cancelled before its connection says nothing about the
		// engine.
		a.gate.done(admission.Result{ID: ticket, RefusedConnection: !errors.Is(err, context.Canceled)})
		return a.refuse(codeUnreachable, fmt.Sprintf("backend server %q refused the connection", a.settings.Name))
	case errors.Is(err, dialect.ErrOverloaded):
		a.gate.done(admission.Result{ID: ticket, Overloaded: true})
		return a.refuse(codeOverloaded, fmt.Sprintf("backend server %q is overloaded", a.settings.Name))
	case errors.Is(err, dialect.ErrNotLoaded):
		a.gate.done(admission.Result{ID: ticket})
		return a.refuse(codeNotLoaded, fmt.Sprintf("%s@%s is not loaded on %q", r.Model, r.Version, a.settings.Name))
	}
	return nil
}

func (a *Agent) finishChat(ctx context.Context, in *link.Incoming, generated dialect.GenerateResult, g generation, err error) {
	r := in.Request
	end := link.End{
		Complete:     err == nil,
		TokensIn:     generated.Usage.TokensIn,
		TokensOut:    max(generated.Usage.TokensOut, r.ResumeFrom+g.tokens),
		FinishReason: generated.FinishReason,
	}
	row := a.rowOf(r)
	row.TokensIn, row.TokensOut = end.TokensIn, end.TokensOut
	row.Outcome = outcomeComplete
	if err != nil {
		row.Outcome = outcomeCut
		end.Code, end.Message = failureCode(err), err.Error()
		if code := evictedCode(ctx); code != "" {
			end.Code = code
		}
	}
	row.Amount = row.TokensIn*g.priceIn + row.TokensOut*g.priceOut
	end.Charge = a.charge(in.Peer, row)
	a.metrics.Add("answers", 1)
	if err := in.Finish(end); err != nil {
		a.log.Debug("End of answer was not delivered.", "request", r.RequestID, "error", err.Error())
	}
}

// rejected reports whether the engine answered that the request is at fault.
func rejected(err error) bool {
	var status *dialect.BackendStatusError
	return errors.As(err, &status) && status.Status >= http.StatusBadRequest && status.Status < http.StatusInternalServerError
}

func failureCode(err error) string {
	switch {
	case rejected(err):
		return link.CodeRejected
	case errors.Is(err, context.DeadlineExceeded):
		return codeDeadline
	case errors.Is(err, context.Canceled):
		return codeCancelled
	case errors.Is(err, dialect.ErrTruncated):
		return "answer_truncated"
	default:
		return "backend_failed"
	}
}

// attemptID names one run of the backend server in charge rows.
func attemptID(bootID string, r *link.Request) string {
	return fmt.Sprintf("%s/%s/%d", bootID, r.RequestID, r.Attempt)
}
