package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"hyssoploom/config"
	"hyssoploom/internal/uniqueid"
	"hyssoploom/session"
	"hyssoploom/telemetry"
)

// chatRequest holds the fields of an OpenAI-style chat completion request that the
// entry reads. The engine gets the whole body.
type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chat holds the state of one chat completion request.
type chat struct {
	*apiRequest
	entry     *Entry
	request   chatRequest
	body      []byte
	taskClass string
	// cascade is nil if the caller requested a single model.
	cascade *config.Cascade
	stages  []stage

	sessionID string
	// sessionIDOnly reports that the caller sent a session ID without a token, so the
	// session's versions are looked up, or created, in the store.
	sessionIDOnly bool
	// pins maps each model to the version that the session uses.
	pins map[string]string
	// mayHaveRun is set once a backend server may have run any part of the request.
	mayHaveRun bool
}

// stage is one model of the request with the version chosen for it. A request for
// a single model has one stage, a cascade has one per model.
type stage struct {
	model   string
	version string // assigned or pinned; empty if it has to be looked up first
	pinned  bool   // the session already used the version before this request
	// bound is set once the version is fixed for the session.
	bound bool
	// chosenByRequest is set if this request chose the version. It may then choose
	// another one as long as the caller has seen nothing of the answer.
	chosenByRequest bool
}

const maxTaskClassBytes = 64

// serveChat handles POST /v1/chat/completions.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request, c *apiRequest) *apiError {
	ctx := telemetry.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.deps.Tracing.Tracer.Start(ctx, "entry")
	defer span.End()
	span.SetAttributes(attribute.String("request_id", c.requestID), attribute.String("workspace", c.workspace.Name))
	ctx, cancel := context.WithTimeout(ctx, e.settings.RequestTimeout.AsDuration())
	defer cancel()

	ch, err := e.newChat(w, r, c)
	if err != nil {
		return err
	}
	e.budgets.recordRequest(c.workspace.Name)
	out := newOutput(w, ch)
	if err := ch.run(ctx, out); err != nil {
		return out.fail(err)
	}
	return nil
}

// newChat reads and validates the request, and refuses it if it cannot be served
// by any backend server.
func (e *Entry) newChat(w http.ResponseWriter, r *http.Request, c *apiRequest) (*chat, *apiError) {
	body, apiErr := e.readBody(w, r)
	if apiErr != nil {
		return nil, apiErr
	}
	ch := &chat{apiRequest: c, entry: e, body: body, taskClass: r.Header.Get(headerTaskClass), pins: make(map[string]string)}
	if err := json.Unmarshal(body, &ch.request); err != nil {
		return nil, refusal(http.StatusBadRequest, "json_invalid", "the body is not a chat completion request: %v", err)
	}
	if len(ch.request.Messages) == 0 {
		return nil, refusal(http.StatusBadRequest, "messages_missing", "field messages must hold at least one message")
	}
	if len(ch.taskClass) > maxTaskClassBytes {
		return nil, refusal(http.StatusBadRequest, "task_class_too_long", "header %s is longer than %d bytes", headerTaskClass, maxTaskClassBytes)
	}
	if apiErr := ch.readSession(r.Header); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := ch.resolveStages(); apiErr != nil {
		return nil, apiErr
	}
	return ch, nil
}

// readSession reads the session from its tokens or its ID, or starts a new session
// if there are neither. The header holds a comma-separated list with one token for
// each model that the session has used.
func (ch *chat) readSession(h http.Header) *apiError {
	ch.sessionID = h.Get(headerSessionID)
	if ch.sessionID != "" && !idPattern.MatchString(ch.sessionID) {
		return refusal(http.StatusBadRequest, "session_id_invalid", "header %s must be 1 to 128 letters, digits, dots, colons, hyphens or underscores", headerSessionID)
	}
	text := h.Get(headerSessionToken)
	if text == "" {
		ch.sessionIDOnly = ch.sessionID != ""
		if ch.sessionID == "" {
			ch.sessionID = uniqueid.New()
		}
		return nil
	}
	for part := range strings.SplitSeq(text, ",") {
		token, err := ch.entry.signer.Verify(strings.TrimSpace(part), ch.workspace.Name, time.Now())
		if err != nil {
			return refusal(http.StatusForbidden, "session_token_invalid", "%v", err)
		}
		if ch.sessionID != "" && token.Session != ch.sessionID {
			return refusal(http.StatusForbidden, "session_token_invalid", "the token belongs to another session")
		}
		ch.sessionID = token.Session
		ch.pins[token.Model] = token.Version
	}
	return nil
}

// sessionTokens returns a comma-separated list of signed tokens, one for each model
// that the session has used.
func (ch *chat) sessionTokens() string {
	var parts []string
	expires := time.Now().Add(session.TokenLifetime)
	for model, version := range ch.pins {
		parts = append(parts, ch.entry.signer.Sign(session.Token{
			Workspace: ch.workspace.Name, Session: ch.sessionID, Model: model, Version: version, Expires: expires,
		}))
	}
	return strings.Join(parts, ",")
}

// resolveStages sets the stages for the requested name, which is that of a cascade
// or a model.
func (ch *chat) resolveStages() *apiError {
	name := ch.request.Model
	if cascade, ok := ch.view.Cascades[name]; ok && ch.workspace.AllowsCascade(name) {
		ch.cascade = cascade
		for _, model := range cascade.Stages {
			if st, err := ch.assign(ch.view, model, ""); err == nil {
				ch.stages = append(ch.stages, st)
			}
		}
		if len(ch.stages) == 0 {
			return unavailable(codeNoVersion, "no model of cascade %q has a version for this workspace", name)
		}
		return nil
	}
	if _, ok := ch.view.Models[name]; !ok || !ch.workspace.AllowsModel(name) {
		return refusal(http.StatusNotFound, "model_unknown", "model %q does not exist or is not allowed", name)
	}
	st, err := ch.assignOrDefer(ch.view, name, "")
	if err != nil {
		return err
	}
	ch.stages = []stage{st}
	return nil
}

// prompt returns the text of all messages as input for the rater.
func (ch *chat) prompt() string {
	var b strings.Builder
	for _, m := range ch.request.Messages {
		b.WriteString(m.Role + ": ")
		var text string
		if json.Unmarshal(m.Content, &text) == nil {
			b.WriteString(text)
		} else {
			b.Write(m.Content)
		}
		b.WriteString("\n")
	}
	return b.String()
}
