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
	// bodyChunkSize is the payload size of a frame of a service's answer, in bytes.
	bodyChunkSize = 32 << 10
	// storeCallTimeout limits one store call that stores an answer, abandons a record
	// or releases a permit.
	storeCallTimeout = 2 * time.Second
	// claimRetention is how long an agent remembers the reservations that it received.
	// It is far longer than any request.
	claimRetention = 10 * time.Minute
	// storeAnswerRetryInterval is the pause between attempts to store an answer.
	storeAnswerRetryInterval = time.Second
)

// runService calls the plain service. It returns a refusal only if the service
// certainly did not receive the call.
func (a *Agent) runService(ctx context.Context, in *link.ServerStream, ticket uint64) *link.Refusal {
	r := in.Request
	if r.OnceKey != "" {
		if refusal := a.claim(ctx, r); refusal != nil {
			a.gate.done(admission.Result{ID: ticket})
			return refusal
		}
		// The call must be completed even if the caller closes the connection.
		ctx = context.WithoutCancel(ctx)
	}
	callCtx, cancel := a.deadlineContext(ctx, r.Deadline)
	defer cancel()
	callCtx, span := a.deps.Tracing.Tracer.Start(callCtx, "backend server")
	started := time.Now()
	reply, err := a.deps.Service.Call(callCtx, serviceCall(r))
	span.End()
	latency := time.Since(started)

	if errors.Is(err, dialect.ErrRefusedConnection) {
		a.gate.done(admission.Result{ID: ticket, RefusedConnection: true})
		a.abandonRecord(r)
		return a.refuse(codeUnreachable, fmt.Sprintf("backend server %q refused the connection", a.settings.Name))
	}
	a.gate.done(admission.Result{ID: ticket, FirstToken: latency, OK: err == nil})
	if err != nil {
		a.finishUnknown(in, err.Error())
		return nil
	}
	a.finishService(ctx, in, reply)
	return nil
}

// claim changes the reservation to started. The call may run only after that. After
// a refusal this agent does not run the call, and no other agent can: the record is
// either still reserved under this nonce or started by this agent.
func (a *Agent) claim(ctx context.Context, r *link.Request) *link.Refusal {
	ctx, span := a.deps.Tracing.Tracer.Start(ctx, "store")
	defer span.End()
	if _, claimed := a.claimedNonces.LoadOrStore(r.OnceNonce, struct{}{}); claimed {
		return a.refuse(codeSuperseded, "this agent has already been given the reservation")
	}
	time.AfterFunc(claimRetention, func() { a.claimedNonces.Delete(r.OnceNonce) })
	claimCtx, cancel := a.deadlineContext(ctx, r.Deadline)
	defer cancel()
	result, err := a.once.Start(claimCtx, r.Workspace, r.OnceKey, r.OnceNonce, a.bootID)
	switch {
	case err != nil:
		a.abandonRecord(r)
		return a.refuse(codeStore, "the store did not confirm the start, so the call was not started")
	case result != once.Started:
		return a.refuse(codeSuperseded, "the reservation is no longer valid")
	}
	// The agent may have been paused during the store call.
	if refusal := a.checkRequest(r); refusal != nil {
		a.abandonRecord(r)
		return refusal
	}
	return nil
}

// abandonRecord cancels the started record of a call that this agent certainly did not
// make. If the store does not answer, duplicates of the call get the outcome "unknown".
func (a *Agent) abandonRecord(r *link.Request) {
	if r.OnceKey == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	err := a.once.Abandon(ctx, r.Workspace, r.OnceKey, r.OnceNonce, a.bootID)
	if err != nil && !errors.Is(err, once.ErrNotStarted) { // a failed start may have left the record reserved
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

// finishUnknown ends the answer of a call that may or may not have run, and charges
// the call.
func (a *Agent) finishUnknown(in *link.ServerStream, message string) {
	row := a.newRow(in.Request)
	row.Outcome = outcomeCut
	row.Amount = a.servicePrice(in.Request.Service)
	end := link.End{Unknown: true, Code: "outcome_unknown", Message: message, Charge: a.charge(in.Peer, row)}
	if err := in.Finish(end); err != nil {
		a.log.Debug("End of answer was not delivered.", "request", in.Request.RequestID, "error", err.Error())
	}
}

// finishService charges the call, stores the answer if the call may not be repeated,
// and sends the answer to the entry.
func (a *Agent) finishService(ctx context.Context, in *link.ServerStream, reply dialect.ServiceResponse) {
	r := in.Request
	row := a.newRow(r)
	row.Outcome = outcomeComplete
	row.Amount = a.servicePrice(r.Service)
	charge := a.charge(in.Peer, row)
	if r.OnceKey != "" {
		a.storeAnswer(ctx, r, once.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body})
	}
	for body := reply.Body; len(body) > 0; {
		n := min(len(body), bodyChunkSize)
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

// storeAnswer makes one attempt to store the answer before it is sent to the caller. If
// that fails, it retries in the background until it succeeds or the agent has drained.
func (a *Agent) storeAnswer(ctx context.Context, r *link.Request, answer once.Answer) {
	finish := func() error {
		tryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeCallTimeout)
		defer cancel()
		return a.once.Finish(tryCtx, r.Workspace, r.OnceKey, r.OnceNonce, answer)
	}
	if finish() == nil {
		return
	}
	end := a.runs.Begin()
	go func() {
		defer end()
		for !a.drained.Load() {
			time.Sleep(storeAnswerRetryInterval)
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

// answerHeader returns the headers without those of the connection between the agent
// and the service.
func answerHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade"} {
		out.Del(name)
	}
	return out
}
