package gateway

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"hyssoploom/attempt"
	"hyssoploom/backend"
	"hyssoploom/fleet"
	"hyssoploom/outbound"
	"hyssoploom/release"
)

// bufferedResponse is a complete response of a backend server.
type bufferedResponse struct {
	status int
	header http.Header
	body   chunks
}

var errUnsealed = errors.New("answer is not certainly the backend server's")

// deliver forwards a response to the client. A response that reports a failure is
// returned instead, to be sent if no further attempt succeeds.
func (c *clientRequest) deliver(t target, response *backend.Response, meta ResponseMeta, entry *attemptLog, started time.Time) (attempt.Outcome, *bufferedResponse, error) {
	success := response.Status >= 200 && response.Status < 300
	switch {
	case c.stream.started && !c.stream.isContinuedBy(response):
		return c.endedOr(attempt.Failed), nil, fmt.Errorf("status %d, type %q: no continuation of the stream", response.Status, mediaType(response))
	case success && !meta.Sealed:
		return c.endedOr(attempt.Broken), nil, errUnsealed
	case success && c.route.Kind == fleet.Stream:
		entry.Confidence = max(meta.Confidence, 0)
		if !t.final && meta.Confidence >= 0 && c.escalate(meta.Confidence, entry) {
			return attempt.Escalated, nil, nil
		}
		return c.relayStream(&t, response, entry, func() { c.g.countTimingEarly(c, &t, entry, started) })
	}
	begin := func() { c.beginBody(&t, entry) }
	body, held, err := readBuffered(&firstByteReader{response.Body, begin}, response.Length, c.answerMemory())
	c.heldMemory.Add(held)
	if err == nil {
		err = c.verifyEnd(&t, response)
	}
	if err != nil && c.readersFull.Load() {
		return attempt.Ended, nil, outbound.ErrMemoryFull
	}
	if err != nil {
		return c.endedOr(attempt.Broken), nil, err
	}
	c.g.host.countReceived(body.size())
	saved := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if response.Status >= http.StatusInternalServerError || impliesNotRun(response.Status) {
		if impliesNotRun(response.Status) || !meta.Sealed {
			saved = nil // the client would take it as a promise that the server did not make
		}
		return attempt.Failed, saved, fmt.Errorf("status %d", response.Status)
	}
	if !c.claimAnswer() {
		return attempt.Ended, nil, errAnswered
	}
	if success {
		c.recordWhole()
	}
	c.writeResponse(saved)
	if c.supersede != nil {
		// The other attempt may take some time to end. An error means that the client has left.
		_ = c.flush()
	}
	return attempt.Delivered, nil, nil
}

// impliesNotRun reports whether clients take a status code as a promise that the
// request has not been executed. Backend servers make that promise with a header
// instead.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// forwardFailure sends an error response of a backend server to the client.
func (c *clientRequest) forwardFailure(s *bufferedResponse) {
	c.writeResponse(s)
	c.finish(s.status, ReasonAnswerLost)
}

func (c *clientRequest) writeResponse(s *bufferedResponse) {
	h := c.w.Header()
	for name, values := range c.g.Protocol.ClientHeader(s.header) {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(s.body.size()))
	c.g.host.countSent(s.body.size())
	c.w.WriteHeader(s.status)
	// The error is ignored: the client may have disconnected, and the end of the
	// request is logged in any case.
	for i, chunk := range s.body {
		_, _ = c.w.Write(chunk)
		s.body[i] = nil // what the client has not read is kept elsewhere
	}
}

// relayStream forwards the events of a stream as they arrive, each of them whole. evaluate
// is called when the time of the stream can be evaluated.
func (c *clientRequest) relayStream(t *target, response *backend.Response, entry *attemptLog, evaluate func()) (attempt.Outcome, *bufferedResponse, error) {
	if !c.headerSent {
		c.headerSent = true
		c.stream.begin(response)
		c.streamComplete = resetUnlessComplete(c.r)
		h := c.w.Header()
		for name, values := range c.g.Protocol.ClientHeader(response.Header) {
			h[name] = values
		}
		c.w.WriteHeader(response.Status)
		if err := c.flush(); err != nil {
			return attempt.Ended, nil, err
		}
	}
	c.stream.beginRun()
	progress := &progressReader{source: response.Body, timeout: staleTimeout(c.route.GapTarget)}
	reader := bufio.NewReader(progress)
	pace := paceObserver{c: c, t: t}
	for {
		event, err := readEvent(reader)
		if err == io.EOF && len(event) == 0 {
			if err = c.verifyEnd(t, response); err == nil {
				if entry.ResumedAfter == "" {
					c.recordWhole()
				}
				c.streamComplete()
				return attempt.Delivered, nil, nil
			}
		}
		if err != nil {
			return c.endedOr(attempt.Broken), nil, err
		}
		if err := c.stream.accept(event); err != nil {
			return c.endedOr(attempt.Broken), nil, fmt.Errorf("event %s after %s: %w", eventID(event), c.stream.lastID, err)
		}
		isProgress := c.stream.isProgress(event)
		if err := progress.record(isProgress); err != nil {
			return c.endedOr(attempt.Broken), nil, err
		}
		entry.Events++
		c.g.host.countReceived(len(event))
		c.g.host.countSent(len(event))
		if id := eventID(event); id != "" {
			entry.FirstEvent, entry.LastEvent = cmp.Or(entry.FirstEvent, id), id
		}
		if isProgress && entry.bodyAt.IsZero() {
			c.beginBody(t, entry)
			c.recordBegun()
		}
		if entry.Events == release.EvaluationEvents {
			evaluate()
		}
		pace.beforeWrite(isProgress, reader.Buffered() > 0)
		if _, err := c.w.Write(event); err != nil {
			return attempt.Ended, nil, err
		}
		if !isProgress && reader.Buffered() > 0 {
			continue // a flush for each of many small comments would take long
		}
		if err := c.flush(); err != nil {
			return attempt.Ended, nil, err
		}
		pace.afterWrite()
	}
}

func (c *clientRequest) flush() error { return http.NewResponseController(c.w).Flush() }
