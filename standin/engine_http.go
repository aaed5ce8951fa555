package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"hyssoploom/dialect"

	"github.com/cespare/xxhash/v2"
)

// controlPrefix is the prefix of the control paths of a stand-in, which respond
// even when a fault closes all other connections.
const controlPrefix = "/standin/"

func isControlPath(path string) bool { return strings.HasPrefix(path, controlPrefix) }

// badMarker appears in each answer of a version listed in EngineFaults.Bad. The
// rater stand-in rejects answers that contain it.
const badMarker = "BAD"

type chatRequest struct {
	Model    string `json:"model"` // "model@version"
	Messages []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
	MaxTokens  int    `json:"max_tokens"`
	Priority   int    `json:"priority"`
	ResumeFrom int    `json:"resume_from"`
	ResumeText string `json:"resume_text"`
}

func (c chatRequest) prompt() string {
	parts := make([]string, len(c.Messages))
	for i, m := range c.Messages {
		if json.Unmarshal(m.Content, &parts[i]) != nil {
			parts[i] = string(m.Content) // an array of content parts, kept as JSON
		}
	}
	return strings.Join(parts, "\n")
}

// answer is the deterministic answer of a model version to a prompt. Its tokens
// are generated on demand, so that a very long answer starts without delay.
type answer struct {
	seed  uint64
	count int
	bad   bool
}

// newAnswer returns an answer of count tokens. If count is 0, the answer has 8 to
// 39 tokens, depending on the model version and prompt.
func newAnswer(model, version, prompt string, count int, bad bool) answer {
	seed := xxhash.Sum64String(model + "\x00" + version + "\x00" + prompt)
	if count <= 0 {
		count = 8 + int(seed%32)
	}
	return answer{seed: seed, count: count, bad: bad}
}

func (a answer) token(i int) string {
	if a.bad && i == min(1, a.count-1) {
		return badMarker + " "
	}
	return fmt.Sprintf("w%03x ", xxhash.Sum64String(fmt.Sprint(a.seed, i))%4096)
}

// tokens returns the first n tokens.
func (a answer) tokens(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = a.token(i)
	}
	return out
}

// AnswerTokens returns the tokens of a model version's answer to a prompt. If
// count is 0, there are 8 to 39, depending on the model version and prompt.
func AnswerTokens(model, version, prompt string, count int, bad bool) []string {
	a := newAnswer(model, version, prompt, count, bad)
	return a.tokens(a.count)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	// The whole body is read because net/http detects a closed connection only
	// after that.
	var c chatRequest
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &c)
	}
	if err != nil {
		writeEngineError(w, http.StatusBadRequest, err.Error())
		return
	}
	model, version, _ := strings.Cut(c.Model, "@")
	f := e.Faults()
	count := c.MaxTokens
	if count <= 0 {
		count = e.config.Tokens
	}
	answer := newAnswer(model, version, c.prompt(), count, slices.Contains(f.Bad, c.Model))
	if problem := e.validateResume(c, answer); problem != "" {
		writeEngineError(w, http.StatusBadRequest, problem)
		return
	}
	run := &EngineRun{RequestID: r.Header.Get("X-Request-Id"), Model: model, Version: version,
		Priority: c.Priority, From: c.ResumeFrom}
	if !e.config.Resumes {
		c.ResumeFrom, run.From = 0, 0
	}
	restarted, status := e.admit(run)
	if status != 0 {
		writeEngineError(w, status, http.StatusText(status))
		return
	}
	s := &engineStream{engine: e, w: w, callerGone: r.Context().Done(), restarted: restarted, faults: f, run: run,
		prompt: int64(len(strings.Fields(c.prompt()))), model: c.Model}
	complete := s.sendTokens(answer, c.ResumeFrom)
	e.finishRun(run, s.sent, s.sent < answer.count-c.ResumeFrom)
	if !complete {
		panic(http.ErrAbortHandler) // closes the connection without an end marker
	}
	s.sendEnd()
}

// validateResume returns why a resume request is invalid, or "".
func (e *Engine) validateResume(c chatRequest, a answer) string {
	switch {
	case c.ResumeFrom == 0:
		return ""
	case !e.config.Resumes && e.config.IgnoresResume:
		return ""
	case !e.config.Resumes:
		return "this engine does not resume"
	case c.ResumeFrom < 0 || c.ResumeFrom > a.count:
		return "resume_from is out of range"
	case c.ResumeText != strings.Join(a.tokens(c.ResumeFrom), ""):
		return "resume_text is not the beginning of the answer"
	}
	return ""
}

// engineStream writes one answer as SSE chunks.
type engineStream struct {
	engine     *Engine
	w          http.ResponseWriter
	callerGone <-chan struct{}
	restarted  chan struct{}
	faults     EngineFaults
	run        *EngineRun
	prompt     int64
	model      string
	sent       int
}

// sendTokens sends the tokens from a position on. It returns false if the answer
// must not get an end marker, because it broke off or a fault truncates it.
func (s *engineStream) sendTokens(a answer, from int) bool {
	s.w.Header().Set("Content-Type", "text/event-stream")
	for i := range a.count - from {
		if s.faults.Hang || s.faults.HangAfter > 0 && i == s.faults.HangAfter {
			s.wait(time.Hour)
			return false
		}
		if s.faults.TruncateAfter > 0 && i == s.faults.TruncateAfter {
			return false
		}
		if !s.wait(s.engine.nextTokenDelay(i == 0)) {
			return false
		}
		s.sent++
		s.engine.recordProgress(s.run, s.sent)
		if s.sendChunk(a.token(from+i), nil) != nil {
			return false
		}
	}
	return true
}

// wait sleeps for d. It returns false if the caller closed the connection or the
// engine restarted before.
func (s *engineStream) wait(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.callerGone:
		return false
	case <-s.restarted:
		return false
	case <-t.C:
		return true
	}
}

func (s *engineStream) sendEnd() {
	reason := "stop"
	_ = s.sendChunk("", &reason)
	fmt.Fprint(s.w, "data: [DONE]\n\n")
}

func (s *engineStream) sendChunk(text string, reason *string) error {
	b, err := json.Marshal(map[string]any{
		"object": "chat.completion.chunk", "model": s.model,
		"choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": text}, "finish_reason": reason}},
		"usage":   dialect.Usage{TokensIn: s.prompt, TokensOut: int64(s.sent)},
	})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", b); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) { writeEngineJSON(w, e.Status()) }

func (e *Engine) serveRecord(w http.ResponseWriter, _ *http.Request) { writeEngineJSON(w, e.Record()) }

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o dialect.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Action != "load" && o.Action != "unload" {
		writeEngineError(w, http.StatusBadRequest, "malformed order")
		return
	}
	if !e.Apply(o) {
		writeEngineError(w, http.StatusConflict, "fencing number is too old")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeEngineError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.SetFaults(f)
}

func writeEngineJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeEngineError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"message": message}})
}
