package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"hyssoploom/config"
	"hyssoploom/session"
	"hyssoploom/telemetry"
)

// chatRequest is the part of an OpenAI-style request that the entry reads; the
// engine gets the whole body.
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

// chat is one chat completion on its way.
type chat struct {
	*call
	entry     *Entry
	request   chatRequest
	body      []byte
	taskClass string
	// cascade is nil when the caller named a model.
	cascade *config.Cascade
	stages  []stage

	sessionID string
	// idOnly is set for callers that send a session id and no token.
	idOnly bool
	// pins maps models to the versions that the session uses.
	pins map[string]string
	// handed is set once a backend server may have run something.
	handed bool
}

// stage is one model that may answer.
type stage struct {
	model   string
	version string // assigned or pinned
	pinned  bool
	// bound is set once the session's version is fixed for the caller.
	bound bool
	// chosenHere is set when this request has chosen the version, so that it may
	// still choose another one as long as the caller has seen nothing.
	chosenHere bool
}

const maxTaskClassBytes = 64

// serveChat answers POST /v1/chat/completions.
func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request, c *call) *apiError {
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
	e.budgets.request(c.workspace.Name)
	out := newOutput(w, ch)
	if err := ch.run(ctx, out); err != nil {
		return out.fail(err)
	}
	return nil
}

// newChat checks everything that can be refused before a backend server is
// chosen.
func (e *Entry) newChat(w http.ResponseWriter, r *http.Request, c *call) (*chat, *apiError) {
	body, apiErr := e.readBody(w, r)
	if apiErr != nil {
		return nil, apiErr
	}
	ch := &chat{call: c, entry: e, body: body, taskClass: r.Header.Get(headerTaskClass), pins: make(map[string]string)}
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
	if apiErr := ch.resolve(); apiErr != nil {
		return nil, apiErr
	}
	return ch, nil
}

// readSession takes the session from its tokens or from its id. The header may
// hold one token for each model that the session used, separated by commas.
func (ch *chat) readSession(h http.Header) *apiError {
	ch.sessionID = h.Get(headerSessionID)
	if ch.sessionID != "" && !idPattern.MatchString(ch.sessionID) {
		return refusal(http.StatusBadRequest, "session_id_invalid", "header %s must be 1 to 128 letters, digits, dots, colons, hyphens or underscores", headerSessionID)
	}
	text := h.Get(headerSessionToken)
	if text == "" {
		ch.idOnly = ch.sessionID != ""
		if ch.sessionID == "" {
			ch.sessionID = ulid.Make().String()
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

// tokens returns the session's tokens for all models that it has used.
func (ch *chat) tokens() string {
	var parts []string
	expires := time.Now().Add(session.TokenLifetime)
	for model, version := range ch.pins {
		parts = append(parts, ch.entry.signer.Sign(session.Token{
			Workspace: ch.workspace.Name, Session: ch.sessionID, Model: model, Version: version, Expires: expires,
		}))
	}
	return strings.Join(parts, ",")
}

// resolve finds the stages that the caller's model name stands for.
func (ch *chat) resolve() *apiError {
	name := ch.request.Model
	if cascade, ok := ch.view.Cascades[name]; ok && ch.workspace.AllowsCascade(name) {
		ch.cascade = cascade
		for _, model := range cascade.Stages {
			if st, err := ch.assign(ch.view, model, ""); err == nil {
				ch.stages = append(ch.stages, st)
			}
		}
		if len(ch.stages) == 0 {
			return busy(codeNoVersion, "no model of cascade %q has a version for this workspace", name)
		}
		return nil
	}
	if _, ok := ch.view.Models[name]; !ok || !ch.workspace.AllowsModel(name) {
		return refusal(http.StatusNotFound, "model_unknown", "model %q does not exist or is not allowed", name)
	}
	st, err := ch.assignOrLookUp(ch.view, name, "")
	if err != nil {
		return err
	}
	ch.stages = []stage{st}
	return nil
}

// prompt returns the text of all messages, for the rater.
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
