package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"hyssoploom/attempt"
	"hyssoploom/backend"
	"hyssoploom/cascade"
	"hyssoploom/fleet"
	"hyssoploom/placing"
)

const (
	// maxBuffered is the size in bytes up to which an answer is held until it is
	// complete, so that a lost one can still be asked for again.
	maxBuffered = 4 << 20
	// maxEvent bounds one event of a stream in bytes.
	maxEvent = 1 << 20
)

// savedAnswer is a complete answer of a backend server that reports a failure.
type savedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// streamState is what the caller has received of a stream.
type streamState struct {
	begun  bool
	lastID string // id of the last event that was passed on; empty before the first
	last   int64
}

var (
	errUnsealed = errors.New("answer is not certainly the backend server's")
	errTooLarge = errors.New("answer is too large")
)

// deliver passes an answer on, or returns it for later when it is a failure.
func (c *call) deliver(t target, answer *backend.Response, meta ResponseMeta, entry *attemptLog) (attempt.Outcome, *savedAnswer, error) {
	success := answer.Status >= 200 && answer.Status < 300
	switch {
	case success && !meta.Sealed:
		return c.unlessEnded(attempt.Broken), nil, errUnsealed
	case success && c.route.Kind == fleet.Stream:
		entry.Confidence = max(meta.Confidence, 0)
		if !t.final && meta.Confidence >= 0 && c.escalate(meta.Confidence) {
			return attempt.Unsure, nil, nil
		}
		return c.relayStream(answer, entry)
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBuffered+1))
	if err != nil {
		return c.unlessEnded(attempt.Broken), nil, err
	}
	if len(body) > maxBuffered {
		return c.unlessEnded(attempt.Broken), nil, errTooLarge
	}
	saved := &savedAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError || promisesNotRun(answer.Status) {
		if promisesNotRun(answer.Status) || !meta.Sealed {
			saved = nil // it would say more than the server did
		}
		return attempt.Failed, saved, fmt.Errorf("status %d", answer.Status)
	}
	c.writeAnswer(saved)
	return attempt.Delivered, nil, nil
}

// escalate tells whether the largest model is asked instead of keeping an answer.
func (c *call) escalate(confidence int) bool {
	now := time.Now()
	largest := c.route.Models[len(c.route.Models)-1]
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	servers, candidates := c.candidates(largest, now, c.g.EntryCount()+1)
	best := placing.Best(candidates)
	if best < 0 {
		return false
	}
	return cascade.Escalate(cascade.EscalationInput{
		Confidence: confidence,
		Elapsed:    now.Sub(c.received),
		Pending:    placing.Wait(&candidates[best]),
		Prefill:    candidates[best].Prefill,
		Decode:     c.g.load(servers[best], c.service).writeTime(c.service, &c.meta),
		Target:     c.route.LatencyTarget,
		Deadline:   c.deadline.Sub(c.received),
	})
}

// promisesNotRun tells whether callers take a status as the promise that a
// request has not run. A backend server makes that promise in another way.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// passOn answers with a failure that a backend server reported.
func (c *call) passOn(s *savedAnswer) {
	c.writeAnswer(s)
	c.finish(s.status, ReasonBroken)
}

func (c *call) writeAnswer(s *savedAnswer) {
	h := c.w.Header()
	for name, values := range c.g.Protocol.ClientHeader(s.header) {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(len(s.body)))
	c.w.WriteHeader(s.status)
	// A caller that has left cannot read its answer; the request's end is logged
	// all the same.
	_, _ = c.w.Write(s.body)
}

// relayStream passes the events of a stream on as they come. Only whole events
// are passed on, each once.
func (c *call) relayStream(answer *backend.Response, entry *attemptLog) (attempt.Outcome, *savedAnswer, error) {
	if !c.started {
		c.started = true
		h := c.w.Header()
		for name, values := range c.g.Protocol.ClientHeader(answer.Header) {
			h[name] = values
		}
		c.w.WriteHeader(answer.Status)
		if err := c.flush(); err != nil {
			return attempt.Ended, nil, err
		}
	}
	c.stream.begun = true
	reader := bufio.NewReader(answer.Body)
	for {
		event, err := readEvent(reader)
		if err == io.EOF && len(event) == 0 {
			return attempt.Delivered, nil, nil
		}
		if err != nil {
			return c.unlessEnded(attempt.Broken), nil, err
		}
		if !c.stream.accept(event) {
			continue
		}
		entry.Events++
		if _, err := c.w.Write(event); err != nil {
			return attempt.Ended, nil, err
		}
		if err := c.flush(); err != nil {
			return attempt.Ended, nil, err
		}
	}
}

func (c *call) flush() error { return http.NewResponseController(c.w).Flush() }

// readEvent reads one event up to its blank line. At the end of the stream it
// returns io.EOF with what is left.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
			if len(event) > maxEvent {
				return nil, errTooLarge
			}
			continue
		}
		if err != nil {
			return event, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
		if len(event) > maxEvent {
			return nil, errTooLarge
		}
	}
}

// accept tells whether an event is new to the caller, and notes its id.
func (s *streamState) accept(event []byte) bool {
	id := eventID(event)
	if id == "" {
		return true
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err == nil {
		if s.lastID != "" && n <= s.last {
			return false
		}
		s.last = n
	}
	s.lastID = id
	return true
}

func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
