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

// Outcomes of charge rows.
const (
	outcomeComplete = "complete"
	outcomeCut      = "cut"
)

// generation holds the progress and the prices of one answer that the engine generates.
type generation struct {
	tokens int64 // generated so far in this attempt
	// priceIn and priceOut are the prices at the start, because the version may be
	// removed from the records while it generates.
	priceIn, priceOut int64 // micro-units per token
}

// runChat has the engine generate the answer. It returns a refusal only if the engine
// did not start the request.
func (a *Agent) runChat(ctx context.Context, in *link.ServerStream, ticket uint64) *link.Refusal {
	r := in.Request
	runCtx, release := a.evictor.track(ctx)
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

	if refusal := a.refusalBeforeStart(err, g, r, ticket); refusal != nil {
		a.exposure.release(r)
		return refusal
	}
	engineFault := err != nil && ctx.Err() == nil && runCtx.Err() == nil && !rejected(err)
	result := admission.Result{ID: ticket, OK: err == nil}
	if engineFault {
		a.exposure.markFailed(r)
		// The engine may have restarted and be cold. The next periodic status
		// request would be too late, because the slot freed below is refilled
		// immediately.
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

// refusalBeforeStart returns a refusal if err shows that the engine did not start the
// request; else it returns nil. With a refusal it also frees the ticket.
func (a *Agent) refusalBeforeStart(err error, g generation, r *link.Request, ticket uint64) *link.Refusal {
	if g.tokens > 0 {
		return nil
	}
	switch {
	case errors.Is(err, dialect.ErrRefusedConnection):
		// If the call was cancelled before the connection was made, the error says
		// nothing about the engine.
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

// finishChat charges the answer and sends its end to the entry.
func (a *Agent) finishChat(ctx context.Context, in *link.ServerStream, generated dialect.GenerateResult, g generation, err error) {
	r := in.Request
	end := link.End{
		Complete:     err == nil,
		TokensIn:     generated.Usage.TokensIn,
		TokensOut:    max(generated.Usage.TokensOut, r.ResumeFrom+g.tokens),
		FinishReason: generated.FinishReason,
	}
	row := a.newRow(r)
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

// rejected reports whether the engine answered with a 4xx status, which means that the
// request itself is invalid.
func rejected(err error) bool {
	var status *dialect.BackendStatusError
	return errors.As(err, &status) && status.Status >= http.StatusBadRequest && status.Status < http.StatusInternalServerError
}

// failureCode returns the error code for an answer that ended with err.
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

// attemptID returns the ID of an attempt in charge rows.
func attemptID(bootID string, r *link.Request) string {
	return fmt.Sprintf("%s/%s/%d", bootID, r.RequestID, r.Attempt)
}
