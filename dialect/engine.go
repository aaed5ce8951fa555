package dialect

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// ErrNotLoaded means that the engine does not have the model version loaded, so
// the request did not run.
var ErrNotLoaded = errors.New("model version is not loaded on the engine")

// ErrBadBody means that the request body is not a JSON object and was not sent.
var ErrBadBody = errors.New("request body is not a JSON object")

const (
	// maxEventLineBytes limits the length of one SSE line from an engine.
	maxEventLineBytes = 1 << 20
	// maxIdleEventBytes limits the bytes of an engine's stream without a token.
	maxIdleEventBytes = 2 << 20
	eventBufferBytes  = 4 << 10
)

// HTTPEngine is an Engine that uses the protocol of docs/engine-protocols.md.
type HTTPEngine struct {
	base   string
	client *http.Client
}

// NewHTTPEngine returns a client of the engine at baseURL. A nil client selects
// one with keep-alive connections.
func NewHTTPEngine(baseURL string, client *http.Client) *HTTPEngine {
	if client == nil {
		client = newBackendClient(true)
	}
	return &HTTPEngine{base: strings.TrimSuffix(baseURL, "/"), client: client}
}

// Generate streams one chat completion. The returned usage is also valid after
// an error: it counts the tokens that the engine generated before it.
func (e *HTTPEngine) Generate(ctx context.Context, r GenerateRequest, emit func(Token) error) (GenerateResult, error) {
	body, err := buildEngineBody(r)
	if err != nil {
		return GenerateResult{}, err
	}
	// When emit fails, the deferred cancel closes the connection, which makes the
	// engine stop generating.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := e.post(ctx, "/v1/chat/completions", body, r.RequestID)
	if err != nil {
		return GenerateResult{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return GenerateResult{}, generateStatusError(backendStatusError(resp))
	}
	return readEvents(ctx, resp, emit)
}

func (e *HTTPEngine) post(ctx context.Context, path string, body []byte, requestID string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, e.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if requestID != "" {
		req.Header.Set("X-Request-Id", requestID)
	}
	return sendOnce(ctx, e.client, req)
}

// buildEngineBody overrides the fields of the caller's body that hyssoploom
// controls, and keeps all others.
func buildEngineBody(r GenerateRequest) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &fields); err != nil || fields == nil {
		return nil, ErrBadBody
	}
	set := func(name string, v any) { fields[name], _ = json.Marshal(v) }
	set("model", r.Model+"@"+r.Version)
	set("stream", true)
	set("stream_options", map[string]bool{"include_usage": true, "continuous_usage_stats": true})
	set("priority", r.Priority)
	delete(fields, "resume_from")
	delete(fields, "resume_text")
	if r.ResumeFrom > 0 {
		set("resume_from", r.ResumeFrom)
		set("resume_text", r.ResumeText)
	}
	return json.Marshal(fields)
}

func generateStatusError(s *BackendStatusError) error {
	switch s.Status {
	case http.StatusNotFound:
		return fmt.Errorf("%w: %w", ErrNotLoaded, s)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fmt.Errorf("%w: %w", ErrOverloaded, s)
	}
	return s
}

// engineChunk holds the fields of an SSE chunk that the client uses.
type engineChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage           `json:"usage"`
	Error *json.RawMessage `json:"error"`
}

// readEvents reads chunks until the end marker. An answer is complete only with
// both a finish reason and "data: [DONE]".
func readEvents(ctx context.Context, resp *http.Response, emit func(Token) error) (GenerateResult, error) {
	var g GenerateResult
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, eventBufferBytes), maxEventLineBytes)
	idleBytes := 0 // since the last token
	for lines.Scan() {
		if idleBytes += len(lines.Bytes()) + 1; idleBytes > maxIdleEventBytes {
			return g, fmt.Errorf("%w: %d bytes without a token", ErrTruncated, idleBytes)
		}
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue // a comment, an event name or the blank line after an event
		}
		data = bytes.TrimSpace(data)
		if string(data) == "[DONE]" {
			if g.FinishReason == "" {
				return g, fmt.Errorf("%w: end mark without a finish reason", ErrTruncated)
			}
			return g, nil
		}
		tokens := g.Usage.TokensOut
		if err := readChunk(data, &g, emit); err != nil {
			return g, err
		}
		if g.Usage.TokensOut > tokens {
			idleBytes = 0
		}
	}
	if err := ctx.Err(); err != nil {
		return g, err
	}
	if err := lines.Err(); err != nil {
		return g, fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	return g, ErrTruncated
}

func readChunk(data []byte, g *GenerateResult, emit func(Token) error) error {
	var c engineChunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("%w: malformed chunk: %w", ErrTruncated, err)
	}
	if c.Error != nil {
		return fmt.Errorf("%w: engine reported %s", ErrTruncated, *c.Error)
	}
	for _, choice := range c.Choices {
		if choice.FinishReason != "" {
			g.FinishReason = choice.FinishReason
		}
		if choice.Delta.Content == "" {
			continue
		}
		g.Usage.TokensOut++
		if c.Usage != nil {
			g.Usage = *c.Usage // set before emit, so that it is correct if emit fails
		}
		if err := emit(Token{Text: choice.Delta.Content}); err != nil {
			return err
		}
	}
	if c.Usage != nil {
		g.Usage = *c.Usage
	}
	return nil
}

// Status returns the engine's load report.
func (e *HTTPEngine) Status(ctx context.Context) (EngineStatus, error) {
	var s EngineStatus
	req, err := http.NewRequest(http.MethodGet, e.base+"/load", nil)
	if err != nil {
		return s, err
	}
	resp, err := sendOnce(ctx, e.client, req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, backendStatusError(resp)
	}
	return s, json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s)
}

// Order sends a load or unload command with its fencing number.
func (e *HTTPEngine) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	resp, err := e.post(ctx, "/orders", body, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return ErrFenced
	}
	return backendStatusError(resp)
}
