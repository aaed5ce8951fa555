package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"hyssoploom/admission"
	"hyssoploom/dialect"
	"hyssoploom/link"
	"hyssoploom/once"
)

const (
	// bodyChunk is the payload size of one frame of a service's answer.
	bodyChunk = 32 << 10
	// finishTimeout bounds one try to store the answer of a call that may not
	// be repeated.
	finishTimeout = 2 * time.Second
	// claimRetention is how long an agent remembers the reservations it was
	// given. It exceeds the longest request by far.
	claimRetention = 10 * time.Minute
	// finishRetry is the pause between such tries.
	finishRetry = time.Second
)

// runService calls the plain service. It returns a refusal only when the
// service was certainly not reached.
func (a *Agent) runService(ctx context.Context, in *link.Incoming, ticket uint64) *link.Refusal {
	r := in.Request
	if r.OnceKey != "" {
		if refusal := a.claim(ctx, r); refusal != nil {
			a.gate.done(admission.Result{ID: ticket})
			return refusal
		}
		// The call has to be brought to its end although the caller may leave.
		ctx = context.WithoutCancel(ctx)
	}
	callCtx, cancel := a.deadlineContext(ctx, r.Deadline)
	defer cancel()
	callCtx, span := a.deps.Tracing.Tracer.Start(callCtx, "backend server")
	started := time.Now()
	reply, err := a.deps.Service.Call(callCtx, serviceCall(r))
	span.End()
	took := time.Since(started)

	if errors.Is(err, dialect.ErrRefusedConnection) {
		a.gate.done(admission.Result{ID: ticket, RefusedConnection: true})
		a.abandon(r)
		return a.refuse(codeUnreachable, fmt.Sprintf("backend server %q refused the connection", a.settings.Name))
	}
	a.gate.done(admission.Result{ID: ticket, FirstToken: took, OK: err == nil})
	if err != nil {
		a.finishUnknown(in, err.Error())
		return nil
	}
	a.finishService(ctx, in, reply)
	return nil
}

// claim moves the reservation to started. Only then may the call run. After a
// refusal this agent does not run the call, and no other agent can: the record
// is either still reserved under this nonce or started by this agent.
func (a *Agent) claim(ctx context.Context, r *link.Request) *link.Refusal {
	ctx, span := a.deps.Tracing.Tracer.Start(ctx, "store")
	defer span.End()
	if _, claimed := a.claims.LoadOrStore(r.OnceNonce, struct{}{}); claimed {
		return a.refuse(codeSuperseded, "this agent has already been given the reservation")
	}
	time.AfterFunc(claimRetention, func() { a.claims.Delete(r.OnceNonce) })
	claimCtx, cancel := a.deadlineContext(ctx, r.Deadline)
	defer cancel()
	result, err := a.once.Start(claimCtx, r.Workspace, r.OnceKey, r.OnceNonce, a.bootID)
	switch {
	case err != nil:
		a.abandon(r)
		return a.refuse(codeStore, "the store did not confirm the start, so the call was not started")
	case result != once.Started:
		return a.refuse(codeSuperseded, "the reservation is no longer valid")
	}
	// The agent may have been paused while the store answered.
	if refusal := a.check(r); refusal != nil {
		a.abandon(r)
		return refusal
	}
	return nil
}

// abandon cancels a started record whose call this agent certainly did not
// make. When the store does not answer, duplicates are told "unknown".
func (a *Agent) abandon(r *link.Request) {
	if r.OnceKey == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	err := a.once.Abandon(ctx, r.Workspace, r.OnceKey, r.OnceNonce, a.bootID)
	if err != nil && !errors.Is(err, once.ErrNotStarted) { // a start that failed may have left the reservation
		a.log.Warn("Could not cancel a record whose call did not run.", "key", r.OnceKey, "error", err.Error())
	}
}

func serviceCall(r *link.Request) dialect.ServiceRequest {
	return dialect.ServiceRequest{
		RequestID: r.RequestID,
		Workspace: r.Workspace,
		Method:    r.Method,
		Path:      r.Path,
		Header:    r.Header,
		Body:      r.Body,
	}
}

// finishUnknown ends the answer of a call that may or may not have run.
func (a *Agent) finishUnknown(in *link.Incoming, message string) {
	row := a.rowOf(in.Request)
	row.Outcome = outcomeCut
	row.Amount = a.servicePrice(in.Request.Service)
	end := link.End{Unknown: true, Code: "outcome_unknown", Message: message, Charge: a.charge(in.Peer, row)}
	if err := in.Finish(end); err != nil {
		a.log.Debug("End of answer was not delivered.", "request", in.Request.RequestID, "error", err.Error())
	}
}

func (a *Agent) finishService(ctx context.Context, in *link.Incoming, reply dialect.ServiceResponse) {
	r := in.Request
	row := a.rowOf(r)
	row.Outcome = outcomeComplete
	row.Amount = a.servicePrice(r.Service)
	charge := a.charge(in.Peer, row)
	if r.OnceKey != "" {
		a.storeAnswer(ctx, r, once.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body})
	}
	for body := reply.Body; len(body) > 0; {
		n := min(len(body), bodyChunk)
		if err := in.Send(ctx, body[:n]); err != nil {
			a.log.Debug("Answer was not delivered.", "request", r.RequestID, "error", err.Error())
			return
		}
		body = body[n:]
	}
	end := link.End{Complete: true, Status: reply.Status, Header: answerHeader(reply.Header), Charge: charge}
	if err := in.Finish(end); err != nil {
		a.log.Debug("End of answer was not delivered.", "request", r.RequestID, "error", err.Error())
	}
	a.metrics.Add("answers", 1)
}

// storeAnswer tries once to store the answer before the caller gets it, and
// goes on in the background while the store is down.
func (a *Agent) storeAnswer(ctx context.Context, r *link.Request, answer once.Answer) {
	finish := func() error {
		tryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
		defer cancel()
		return a.once.Finish(tryCtx, r.Workspace, r.OnceKey, r.OnceNonce, answer)
	}
	if finish() == nil {
		return
	}
	end := a.runs.Begin()
	go func() {
		defer end()
		for !a.stopped.Load() {
			time.Sleep(finishRetry)
			if finish() == nil {
				return
			}
		}
		a.log.Warn("Answer of a call could not be stored; duplicates are told that its outcome is unknown.", "key", r.OnceKey)
	}()
}

func (a *Agent) servicePrice(name string) int64 {
	if s, ok := a.snapshot.View().Services[name]; ok {
		return s.Price
	}
	return 0
}

// answerHeader keeps the headers that belong to the answer rather than to the
// connection between agent and service.
func answerHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade"} {
		out.Del(name)
	}
	return out
}
