package agent

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"

	"hyssoploom/admission"
	"hyssoploom/config"
	"hyssoploom/control"
	"hyssoploom/ledger"
	"hyssoploom/link"
	"hyssoploom/telemetry"
)

// maxRecordsWait limits how long a request waits for records that its entry has and
// this agent lacks.
const maxRecordsWait = 500 * time.Millisecond

// handle processes one attempt, from its arrival to its end.
func (a *Agent) handle(ctx context.Context, in *link.ServerStream) {
	defer a.runs.Begin()()
	r := in.Request
	ctx = telemetry.WithTraceParent(ctx, r.TraceParent)
	ctx, span := a.deps.Tracing.Tracer.Start(ctx, "agent")
	defer span.End()
	span.SetAttributes(attribute.String("request_id", r.RequestID), attribute.Int("attempt", int(r.Attempt)))

	refusal := a.admit(ctx, in)
	if refusal != nil {
		a.metrics.Add("refused_"+refusal.Code, 1)
		span.SetStatus(codes.Error, refusal.Code)
		if err := in.Refuse(*refusal); err != nil {
			a.log.Debug("Refusal was not delivered.", "request", r.RequestID, "error", err.Error())
		}
	}
}

// admit checks the request, waits until it may run, and runs it. It returns a refusal
// only if the backend server did not run the request.
func (a *Agent) admit(ctx context.Context, in *link.ServerStream) *link.Refusal {
	r := in.Request
	a.awaitRecords(ctx, in.Peer, r.Revision)
	if refusal := a.checkRequest(r); refusal != nil {
		a.sendNewerRecords(in.Peer, r.Revision)
		return refusal
	}
	if a.held.Full() {
		return a.refuse(codeLedgerFull, "too many charges wait for the store")
	}
	if !a.exposure.acquire(r) {
		return a.refuse(codeExposure, "the exposure budget of this version is used up until answers are rated")
	}
	id, code := a.gate.enter(ctx, a.ticket(r))
	if code != "" {
		a.exposure.release(r)
		if code == admission.CodeDeadline {
			code = codeDeadline
		}
		return a.refuse(code, "the request was dropped before it ran")
	}
	// The configuration may have changed while the request was queued.
	if refusal := a.checkRequest(r); refusal != nil {
		a.exposure.release(r)
		a.gate.done(admission.Result{ID: id})
		return refusal
	}
	if r.Kind == link.KindService {
		return a.runService(ctx, in, id)
	}
	return a.runChat(ctx, in, id)
}

// awaitRecords requests the records that the entry used for its decision, if this agent
// lacks them, and waits for them up to maxRecordsWait.
func (a *Agent) awaitRecords(ctx context.Context, peer link.Hello, revision uint64) {
	if a.snapshot.Revision() >= revision {
		return
	}
	request := control.Encode(control.KindRecordsRequest, control.RecordsRequest{After: a.snapshot.Revision()})
	if err := a.server.SendTo(peer.BootID, request); err != nil {
		return
	}
	timer := time.NewTimer(maxRecordsWait)
	defer timer.Stop()
	for a.snapshot.Revision() < revision {
		changed := a.snapshot.Changed()
		if a.snapshot.Revision() >= revision {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// sendNewerRecords sends an entry the records that are newer than the revision it used
// for its decision.
func (a *Agent) sendNewerRecords(peer link.Hello, revision uint64) {
	if revision >= a.snapshot.Revision() {
		return
	}
	for _, m := range control.SplitRecords(a.snapshot.RecordsAfter(revision)) {
		if err := a.server.SendTo(peer.BootID, m); err != nil {
			return
		}
	}
}

// checkRequest checks the request against the newest records that this agent has. It
// returns nil if the request may run.
func (a *Agent) checkRequest(r *link.Request) *link.Refusal {
	view := a.snapshot.View()
	if a.snapshot.Revision() < r.Revision {
		return refuse(view, codeConfigBehind, "the agent has not received revision %d yet", r.Revision)
	}
	if r.Deadline > 0 && a.clock() >= r.Deadline {
		return refuse(view, codeDeadline, "the deadline passed before the request ran")
	}
	return checkRules(view, a.serverState(), r)
}

// serverState returns the current state of the backend server for checkRules.
func (a *Agent) serverState() serverState {
	report := a.lastReport.Load()
	return serverState{
		name:        a.settings.Name,
		dataCentre:  a.settings.DataCentre,
		vmLeaving:   a.vmLeaving.Load(),
		draining:    a.draining.Load(),
		quarantined: a.health.Quarantined,
		loaded: func(model, version string) bool {
			for _, ref := range report.status.Loaded {
				if ref.Model == model && ref.Version == version {
					return true
				}
			}
			return false
		},
	}
}

// ticket returns the request's ticket for the admission controller.
func (a *Agent) ticket(r *link.Request) admission.Ticket {
	weight := 1.0
	if w, ok := a.snapshot.View().Workspaces[r.Workspace]; ok && w.Weight > 0 {
		weight = w.Weight
	}
	return admission.Ticket{Workspace: r.Workspace, Weight: weight, Priority: r.Priority, Deadline: r.Deadline}
}

func (a *Agent) refuse(code, message string) *link.Refusal {
	return refuse(a.snapshot.View(), code, "%s", message)
}

// deadlineContext returns a context that ends when the agent's clock reaches the
// deadline; 0 means no deadline.
func (a *Agent) deadlineContext(ctx context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	if deadline <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, a.started.Add(deadline))
}

// charge holds the row until the entry reports it durable, and returns the encoded row
// to be sent with the end of the answer.
func (a *Agent) charge(peer link.Hello, row ledger.Row) []byte {
	a.held.Hold(peer.BootID, row)
	encoded, err := ledger.EncodeRow(row)
	if err != nil {
		// The agent still holds the row and writes it itself.
		a.log.Error("Charge row cannot be encoded.", "request", row.RequestID, "error", err.Error())
		return nil
	}
	return encoded
}

// newRow returns a charge row with the fields that do not depend on the outcome.
func (a *Agent) newRow(r *link.Request) ledger.Row {
	return ledger.Row{
		Workspace: r.Workspace,
		RequestID: r.RequestID,
		BodyHash:  bodyHash(r),
		Stage:     r.Stage,
		Attempt:   attemptID(a.bootID, r),
		Model:     r.Model,
		Version:   r.Version,
		Service:   r.Service,
		At:        time.Now().UTC(),
	}
}

// bodyHash returns the hash that identifies the request in its charge row.
func bodyHash(r *link.Request) string {
	if r.Kind == link.KindService {
		return ledger.HashCall(r.Method, r.Service, r.Path, r.Body)
	}
	return ledger.HashBody(r.Body)
}

// modelVersion returns a version of a model, or nil if it is not in the configuration.
func modelVersion(view *config.View, name, version string) *config.ModelVersion {
	if m, ok := view.Models[name]; ok {
		if v, ok := m.Version(version); ok {
			return v
		}
	}
	return nil
}
