package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"
	"strings"

	"hyssoploom/backend"
)

// streamState tracks which events of a stream the client has received.
type streamState struct {
	started bool
	// status and mediaType are those of the response head that the client has received.
	status    int
	mediaType string
	lastID    string // id of the last forwarded event; empty before the first
	last      int64
}

// begin records the head of the response that the client receives.
func (s *streamState) begin(response *backend.Response) {
	s.started, s.status, s.mediaType = true, response.Status, mediaType(response)
}

// eventStream is the media type of streams of events.
const eventStream = "text/event-stream"

// isContinuedBy reports whether a response is one that may go on with a stream that has
// begun.
func (s *streamState) isContinuedBy(response *backend.Response) bool {
	name := mediaType(response)
	return response.Status == s.status && (name == s.mediaType || name == eventStream)
}

// mediaType returns the media type of a response without its parameters.
func mediaType(response *backend.Response) string {
	name, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// accept records the id of an event and reports whether the event is new to the client.
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

// isProgress reports whether an accepted event is a part of the answer: it has an id, or
// data if the events of the stream have no ids. Comments and other lines are forwarded,
// but are no part of it.
func (s *streamState) isProgress(event []byte) bool {
	if eventID(event) != "" {
		return true
	}
	if s.lastID != "" {
		return false
	}
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data:")) {
			return true
		}
	}
	return false
}

// errEventTooLarge means that a server sends an event that does not end.
var errEventTooLarge = &backend.BoundError{Bound: backend.BoundEvent, Bytes: maxEventSize}

// readEvent reads one event including its terminating blank line. At the end of the
// stream it returns io.EOF with the remaining bytes.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
			if len(event) > maxEventSize {
				return nil, errEventTooLarge
			}
			continue
		}
		if err != nil {
			return event, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
		if len(event) > maxEventSize {
			return nil, errEventTooLarge
		}
	}
}

func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
