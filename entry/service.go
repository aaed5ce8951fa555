package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"hyssoploom/attempt"
	"hyssoploom/config"
	"hyssoploom/ledger"
	"hyssoploom/link"
	"hyssoploom/once"
	"hyssoploom/route"
	"hyssoploom/telemetry"
)

const (
	// defaultServiceTimeout limits one call to a plain service whose record sets no
	// timeout.
	defaultServiceTimeout = 30 * time.Second
	// outcomePollInterval is the pause between two reads of the record of a call whose
	// answer did not arrive.
	outcomePollInterval = 100 * time.Millisecond
	// maxOutcomeWait limits how long the record of such a call is polled.
	maxOutcomeWait = 5 * time.Second
	// cancelTimeout limits the cancellation of a reservation.
	cancelTimeout = 2 * time.Second
)

// serviceCall holds the state of one call to a plain service.
type serviceCall struct {
	*apiRequest
	entry   *Entry
	service *config.Service
	method  string
	path    string
	header  http.Header
	body    []byte
	// idempotencyKey and nonce identify the reservation of a call that may not be
	// repeated. They are empty for other calls.
	idempotencyKey string
	nonce          string
	tried          map[string]bool
	refused        *link.Refusal
	mayHaveRun     bool
}

// serveService handles /services/{service}/{path}.
func (e *Entry) serveService(w http.ResponseWriter, r *http.Request, c *apiRequest) *apiError {
	ctx := telemetry.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.deps.Tracing.Tracer.Start(ctx, "entry")
	defer span.End()
	span.SetAttributes(attribute.String("request_id", c.requestID), attribute.String("workspace", c.workspace.Name))

	s, apiErr := e.newServiceCall(w, r, c)
	if apiErr != nil {
		return apiErr
	}
	timeout := defaultServiceTimeout
	if s.service.Timeout > 0 {
		timeout = s.service.Timeout.AsDuration()
	}
	ctx, cancel := context.WithTimeout(ctx, min(timeout, e.settings.RequestTimeout.AsDuration()))
	defer cancel()
	e.budgets.recordRequest(c.workspace.Name)
	if s.idempotencyKey == "" {
		return s.runRepeatable(ctx, w)
	}
	w.Header().Set(headerIdempotencyKey, s.idempotencyKey)
	// A call that may not be repeated must not be interrupted after its reservation,
	// even if the caller closes the connection.
	return s.runAtMostOnce(context.WithoutCancel(ctx), timeout, w)
}

// newServiceCall reads and validates the request. It sets the idempotency key if the
// call may not be repeated; the default is the request ID.
func (e *Entry) newServiceCall(w http.ResponseWriter, r *http.Request, c *apiRequest) (*serviceCall, *apiError) {
	vars := mux.Vars(r)
	service, ok := c.view.Services[vars["service"]]
	if !ok || !c.workspace.AllowsService(vars["service"]) {
		return nil, refusal(http.StatusNotFound, "service_unknown", "service %q does not exist or is not allowed", vars["service"])
	}
	body, apiErr := e.readBody(w, r)
	if apiErr != nil {
		return nil, apiErr
	}
	path := "/" + vars["path"]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	s := &serviceCall{
		apiRequest: c, entry: e, service: service, method: r.Method, path: path,
		header: forwardedHeader(r.Header), body: body, tried: make(map[string]bool),
	}
	if service.IsRepeatable(r.Method) {
		return s, nil
	}
	s.idempotencyKey = r.Header.Get(headerIdempotencyKey)
	if s.idempotencyKey == "" {
		s.idempotencyKey = c.requestID
	}
	if !idPattern.MatchString(s.idempotencyKey) {
		return nil, refusal(http.StatusBadRequest, "idempotency_key_invalid",
			"header %s must be 1 to 128 letters, digits, dots, colons, hyphens or underscores", headerIdempotencyKey)
	}
	return s, nil
}

// forwardedHeader returns the headers that are forwarded to the service. The
// workspace's key is not one of them.
func forwardedHeader(h http.Header) http.Header {
	out := make(http.Header)
	for _, name := range []string{"Accept", "Accept-Language", "Content-Type", "User-Agent"} {
		if v := h.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

// serviceAnswer is a complete answer of a service.
type serviceAnswer struct {
	status int
	header http.Header
	body   []byte
}

// send offers the call to backend servers until it is answered or may not be
// sent again; then the error says why.
func (s *serviceCall) send(ctx context.Context, repeatable bool) (*serviceAnswer, error) {
	var result *serviceAnswer
	var err error
	var progress attempt.Progress
	attempt.Run(attempt.Policy{Repeatable: repeatable}, &progress, func() (attempt.Outcome, bool) {
		if progress.MayHaveRun() && !s.entry.budgets.allow(s.workspace.Name) {
			err = fmt.Errorf("%w; the retry budget is used up", err)
			return 0, false
		}
		var outcome attempt.Outcome
		result, outcome, err = s.tryNext(ctx)
		return outcome, !errors.Is(err, errNoPeer)
	})
	return result, err
}

// runRepeatable sends a call that may be repeated until an attempt is answered.
func (s *serviceCall) runRepeatable(ctx context.Context, w http.ResponseWriter) *apiError {
	result, err := s.send(ctx, true)
	switch {
	case err == nil:
		return s.answer(ctx, w, result)
	case errors.Is(err, errNoPeer):
		return s.noPeerError(err)
	case ctx.Err() != nil:
		err := s.failure("deadline_exceeded", "the service did not answer in time")
		err.Status = http.StatusGatewayTimeout
		return err
	}
	return s.failure("attempt_lost", err.Error())
}

// runAtMostOnce reserves a call that may not be repeated in the store and runs it. A
// duplicate of an earlier call is answered from that call's record.
func (s *serviceCall) runAtMostOnce(ctx context.Context, timeout time.Duration, w http.ResponseWriter) *apiError {
	reserved, err := s.reserve(ctx, timeout)
	if err != nil {
		return s.storeUnavailableError()
	}
	switch reserved.Outcome {
	case once.Finished:
		s.entry.metrics.Add("duplicates_answered", 1)
		return s.replay(w, reserved.Answer)
	case once.InProgress:
		return &apiError{Status: http.StatusConflict, Code: "in_progress", Message: "a request with this key is being worked on", Run: Unknown, RetryAfter: 1}
	case once.Unknown:
		return &apiError{Status: http.StatusConflict, Code: "outcome_unknown", Message: "a request with this key was started and its outcome is not known", Run: Unknown}
	case once.Mismatch:
		return &apiError{Status: http.StatusUnprocessableEntity, Code: "idempotency_key_reused", Message: "the key was used with another request", Run: NotRun}
	}
	s.nonce = reserved.Nonce
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.runReserved(ctx, w)
}

func (s *serviceCall) reserve(ctx context.Context, timeout time.Duration) (once.Result, error) {
	ctx, span := s.entry.deps.Tracing.Tracer.Start(ctx, "store")
	defer span.End()
	return s.entry.once.Reserve(ctx, once.Reservation{
		Workspace: s.workspace.Name, Key: s.idempotencyKey, RequestID: s.requestID,
		BodyHash: s.callHash(), Owner: s.entry.bootID, Timeout: timeout,
	})
}

// callHash returns a hash that distinguishes calls that have the same idempotency
// key but differ in method, service, path or body.
func (s *serviceCall) callHash() string {
	return ledger.HashCall(s.method, s.service.Name, s.path, s.body)
}

// runReserved offers the reserved call to agents until one accepts it. Only the agent
// that changes the record to started calls the service. Until then the reservation
// remains valid and another agent may accept it.
func (s *serviceCall) runReserved(ctx context.Context, w http.ResponseWriter) *apiError {
	result, err := s.send(ctx, false)
	switch {
	case err == nil:
		return s.answer(ctx, w, result)
	case errors.Is(err, errNoPeer):
		return s.cancel(ctx, w, s.noPeerError(err))
	}
	return s.awaitOutcome(ctx, w, err)
}

// cancel cancels the reservation and returns reason. The call is reported as not run
// only if the store confirms the cancellation.
func (s *serviceCall) cancel(ctx context.Context, w http.ResponseWriter, reason *apiError) *apiError {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	result, err := s.entry.once.Cancel(ctx, s.workspace.Name, s.idempotencyKey, s.nonce)
	switch {
	case err == nil && result.Outcome == once.Cancelled:
		reason.Run = NotRun
		return reason
	case err == nil && result.Outcome == once.AlreadyFinished:
		return s.replay(w, result.Answer)
	}
	reason.Run = Unknown
	return reason
}

// awaitOutcome polls the record of a call whose stream was lost for its outcome.
func (s *serviceCall) awaitOutcome(ctx context.Context, w http.ResponseWriter, lost error) *apiError {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), maxOutcomeWait)
	defer stop()
	for sleep(ctx, outcomePollInterval) {
		result, err := s.entry.once.Cancel(ctx, s.workspace.Name, s.idempotencyKey, s.nonce)
		switch {
		case err != nil:
			continue
		case result.Outcome == once.AlreadyFinished:
			s.chargeInterrupted()
			s.entry.waitDurable(ctx, s.requestID)
			return s.replay(w, result.Answer)
		case result.Outcome == once.Cancelled:
			return refusal(http.StatusServiceUnavailable, "attempt_lost", "the call did not start: %v", lost)
		case result.Outcome == once.CancelSuperseded:
			return s.failure("reservation_superseded", "another request with this key took over")
		}
	}
	s.chargeInterrupted()
	return s.failure("outcome_unknown", "the call was started and its answer did not arrive: "+lost.Error())
}

var errNoPeer = errors.New("no backend server takes the call")

// tryNext makes one attempt on a backend server that was not tried yet. If there
// is none, the error is errNoPeer.
func (s *serviceCall) tryNext(ctx context.Context) (*serviceAnswer, attempt.Outcome, error) {
	e := s.entry
	p, err := e.pick(route.Request{
		Service: s.service.Name, DataCentre: e.settings.DataCentre, Region: e.region(), Tried: s.tried,
	})
	if err != nil {
		return nil, attempt.NotSent, errors.Join(errNoPeer, err)
	}
	s.tried[p.name] = true
	p.openStreams.Add(1)
	defer p.openStreams.Add(-1)
	e.metrics.Add("attempts", 1)
	ctx, span := e.deps.Tracing.Tracer.Start(ctx, "link")
	defer span.End()
	stream, err := p.client.Open(ctx, s.request(ctx, p))
	if err != nil {
		return nil, s.recordError(ctx, err), err
	}
	var body []byte
	for {
		payload, err := stream.Recv(ctx)
		if errors.Is(err, io.EOF) {
			return s.end(p, stream.End(), body)
		}
		if err != nil {
			stream.Cancel()
			return nil, s.recordError(ctx, err), err
		}
		body = append(body, payload...)
	}
}

// end charges an attempt whose stream has ended and returns its answer.
func (s *serviceCall) end(p *peer, end *link.End, body []byte) (*serviceAnswer, attempt.Outcome, error) {
	s.mayHaveRun = true
	s.entry.charge(p, end.Charge)
	if !end.Complete {
		return nil, attempt.Failed, &incompleteError{end}
	}
	return &serviceAnswer{status: end.Status, header: end.Header, body: body}, attempt.Delivered, nil
}

// incompleteError reports that the backend server did not complete the answer.
type incompleteError struct{ end *link.End }

func (e *incompleteError) Error() string { return e.end.Code + ": " + e.end.Message }

// recordError updates the state of the call after a failed attempt and returns the
// attempt's outcome.
func (s *serviceCall) recordError(ctx context.Context, err error) attempt.Outcome {
	var refused *link.RefusedError
	var notSent *link.NotSentError
	var broken *link.BrokenError
	outcome := attempt.Broken
	switch {
	case errors.As(err, &refused):
		s.refused = &refused.Refusal
		outcome = attempt.NotRun
	case errors.As(err, &notSent), errors.As(err, &broken) && !broken.RequestSent:
		outcome = attempt.NotSent
	default:
		s.mayHaveRun = true
		if s.idempotencyKey == "" {
			s.chargeInterrupted()
		}
	}
	switch {
	case ctx.Err() == nil:
		return outcome
	case outcome.MayHaveRun():
		return attempt.Ended
	}
	return attempt.EndedUnsent
}

// chargeInterrupted charges a call whose end this entry does not see. The agent's own
// row, which has the same key and amount, may be lost with the agent.
func (s *serviceCall) chargeInterrupted() {
	s.entry.chargeInterrupted(interruptedAttempt{apiRequest: s.apiRequest, bodyHash: s.callHash(), service: s.service.Name})
}

func (s *serviceCall) request(ctx context.Context, p *peer) *link.Request {
	return &link.Request{
		Kind: link.KindService, RequestID: s.requestID, Attempt: s.entry.attempts.Add(1),
		Workspace: s.workspace.Name, Priority: s.workspace.Priority,
		Deadline: agentDeadline(ctx, p),
		Revision: s.entry.snapshot.Revision(),
		OnceKey:  s.idempotencyKey, OnceNonce: s.nonce,
		Service: s.service.Name, Method: s.method, Path: s.path, Header: s.header, Body: s.body,
		TraceParent: telemetry.TraceParent(ctx),
	}
}

// answer writes the answer once its charge is durable or the wait for that has timed
// out.
func (s *serviceCall) answer(ctx context.Context, w http.ResponseWriter, a *serviceAnswer) *apiError {
	s.entry.waitDurable(ctx, s.requestID)
	return s.writeAnswer(w, a)
}

func (s *serviceCall) writeAnswer(w http.ResponseWriter, a *serviceAnswer) *apiError {
	if a.status < http.StatusOK {
		// Agents that do not check the heads of answers pass such statuses on and store them.
		return &apiError{
			Status: http.StatusBadGateway, Code: "answer_broken", Run: Unknown,
			Message: fmt.Sprintf("the call was answered with status %d, which is no answer", a.status),
		}
	}
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		s.entry.metrics.Add("callers_gone", 1)
	}
	return nil
}

// replay writes the stored answer of a call that was completed earlier.
func (s *serviceCall) replay(w http.ResponseWriter, a *once.Answer) *apiError {
	if a.TooLarge {
		return &apiError{
			Status: http.StatusConflict, Code: "answer_not_stored", Run: Unknown,
			Message: fmt.Sprintf("the call has run and was answered with status %d; its answer was too large to be stored", a.Status),
		}
	}
	return s.writeAnswer(w, &serviceAnswer{status: a.Status, header: replayHeader(a.Header), body: a.Body})
}

// replayHeader returns the headers of a stored answer, marked as replayed.
func replayHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	out.Del("Content-Length")
	out.Set("Idempotent-Replayed", "true")
	return out
}

// noPeerError returns the reason why no further backend server takes the call: an
// earlier attempt that may have run, the last refusal, or else err.
func (s *serviceCall) noPeerError(err error) *apiError {
	if s.mayHaveRun {
		return s.failure("attempt_lost", err.Error())
	}
	if s.refused != nil {
		return unavailable(s.refused.Code, "%s", s.refused.Message)
	}
	return unavailable("no_backend_server", "%v", err)
}

// failure returns an error with status 502, whose run state depends on whether the
// call may have run.
func (s *serviceCall) failure(code, message string) *apiError {
	err := &apiError{Status: http.StatusBadGateway, Code: code, Message: message, Run: NotRun}
	if s.mayHaveRun {
		err.Run = Unknown
	}
	return err
}

// storeUnavailableError returns the refusal of a call that could not be reserved. No
// agent received this call, but if the caller chose the key or the request ID, an
// earlier request with the same one may have run.
func (s *serviceCall) storeUnavailableError() *apiError {
	err := unavailable("store_unavailable", "a call that may not be repeated needs the store, which does not answer; this request was not run")
	if !s.generatedID || s.idempotencyKey != s.requestID {
		err.Message += ", an earlier one with the same key may have been"
		err.Run = Unknown
	}
	return err
}
