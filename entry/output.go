package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// output writes the answer to the caller, as a single JSON document or as a stream
// of server-sent events.
type output struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	chat        *chat
	created     int64
	stream      bool
	headersSent bool
	text        string // buffered parts of an answer that is not streamed
}

// writeTimeout limits one write, in case the caller does not read.
const writeTimeout = 10 * time.Second

func newOutput(w http.ResponseWriter, ch *chat) *output {
	return &output{
		w: w, control: http.NewResponseController(w), chat: ch,
		created: time.Now().Unix(), stream: ch.request.Stream,
	}
}

func (o *output) streaming() bool { return o.stream }

// completion is an OpenAI-style chat completion or one chunk of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

func (o *output) completion(object string, a *answer, choices ...choice) completion {
	return completion{
		ID: "chatcmpl-" + o.chat.requestID, Object: object, Created: o.created, Model: a.model, Choices: choices,
	}
}

// sendHeaders sends the status and the headers.
func (o *output) sendHeaders(a *answer) {
	o.headersSent = true
	h := o.w.Header()
	h.Set(headerSessionToken, o.chat.sessionTokens())
	h.Set(headerSessionID, o.chat.sessionID)
	h.Set(headerModelVersion, a.model+"@"+a.version)
	if o.stream {
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
	} else {
		h.Set("Content-Type", "application/json")
	}
	o.w.WriteHeader(http.StatusOK)
}

// write sends a part of a streamed answer; otherwise it buffers the part.
func (o *output) write(text string, a *answer) error {
	if !o.stream {
		o.text += text
		return nil
	}
	delta := message{Content: text}
	if !o.headersSent {
		o.sendHeaders(a)
		delta.Role = "assistant"
	}
	return o.sendEvent(o.completion("chat.completion.chunk", a, choice{Delta: &delta}))
}

// finish ends a complete answer: it sends the buffered answer or the last events of
// the stream.
func (o *output) finish(a *answer) error {
	reason := a.finishReason
	if reason == "" {
		reason = "stop"
	}
	total := &usage{PromptTokens: a.tokensIn, CompletionTokens: a.tokensOut, TotalTokens: a.tokensIn + a.tokensOut}
	if !o.stream {
		o.sendHeaders(a)
		doc := o.completion("chat.completion", a, choice{
			Message: &message{Role: "assistant", Content: o.text}, FinishReason: &reason,
		})
		doc.Usage = total
		return json.NewEncoder(o.w).Encode(doc)
	}
	if !o.headersSent {
		o.sendHeaders(a)
	}
	if err := o.sendEvent(o.completion("chat.completion.chunk", a, choice{Delta: &message{}, FinishReason: &reason})); err != nil {
		return err
	}
	if o.chat.request.StreamOptions.IncludeUsage {
		doc := o.completion("chat.completion.chunk", a)
		doc.Choices, doc.Usage = []choice{}, total
		if err := o.sendEvent(doc); err != nil {
			return err
		}
	}
	return o.send("data: [DONE]\n\n")
}

// fail reports an error to the caller. If the headers were sent, it ends the stream
// with an error event, without [DONE], and returns nil. Otherwise it returns err for
// the caller of fail to write as the response.
func (o *output) fail(err *apiError) *apiError {
	if !o.headersSent {
		if err.Status == statusClientClosedRequest {
			o.chat.entry.metrics.Add("callers_gone", 1)
		}
		return err
	}
	o.chat.entry.metrics.Add("streams_cut", 1)
	err.Run = Unknown
	_ = o.sendEvent(err.body(o.chat.requestID))
	return nil
}

func (o *output) sendEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	return o.send("data: " + string(data) + "\n\n")
}

func (o *output) send(text string) error {
	_ = o.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := o.w.Write([]byte(text)); err != nil {
		return err
	}
	return o.control.Flush()
}
