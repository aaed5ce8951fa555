package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"
	"strings"

	"hyssoploom/backend"
)

// streamState tracks which events of a stream the client has received, from one run of the
// request after the other.
type streamState struct {
	started bool
	hasIDs  bool // an event of this response had an id
	// status and mediaType are those of the response head that the client has received.
	status    int
	mediaType string
	lastID    string // id of the client's last event; empty before the first
	last      int64  // the number that lastID stands for
	// steps is the number of times that the number of an event followed on another, and
	// unitSteps the number of those at which it rose by one. An event 1 follows on the
	// beginning.
	steps, unitSteps int
	// incomplete means that the client may lack an event before the last one, and unplaced
	// that it has a part of the answer after which no server can be asked to go on.
	incomplete, unplaced bool
	// runBegun means that the current run has sent an event with an id.
	runBegun bool
}

var (
	errNotResumed    = errors.New("the server did not go on after the last event")
	errEventsMissing = errors.New("the server went on later than after the last event")
	errOutOfOrder    = errors.New("the server sent an event after a later one")
	errSecondAnswer  = errors.New("the server sent the head of another answer")
)

// continueAfter records the last event that the client received from an earlier stream. An
// id that is not a number says nothing about the events that follow.
func (s *streamState) continueAfter(id string) {
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		s.lastID, s.last = id, n
	}
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

// beginRun tells that the next events are those of another run of the request.
func (s *streamState) beginRun() { s.runBegun = false }

// mayResume reports whether another run may go on with the stream.
func (s *streamState) mayResume() bool { return !s.incomplete && !s.unplaced }

// accept records the id of an event that is to be forwarded. It returns an error if the
// event does not follow on those that the client has.
func (s *streamState) accept(event []byte) error {
	// Without a length or chunks, what a server sends after its answer cannot be told from
	// the answer by its framing.
	if bytes.HasPrefix(event, []byte("HTTP/1.")) {
		return errSecondAnswer
	}
	id := eventID(event)
	if id == "" {
		s.unplaced = s.unplaced || s.isProgress(event)
		return nil
	}
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		if s.lastID != "" && !s.runBegun {
			return errNotResumed
		}
		s.hasIDs, s.unplaced, s.runBegun, s.lastID = true, true, true, id
		return nil
	}
	if s.lastID != "" {
		switch {
		case n <= s.last && s.runBegun:
			s.incomplete = s.incomplete || !s.isConsecutive()
			return errOutOfOrder
		case n <= s.last:
			return errNotResumed
		case n > s.last+1 && !s.runBegun && s.isConsecutive():
			return errEventsMissing
		}
	}
	if s.lastID != "" || n == 1 {
		s.steps++
		if n == s.last+1 {
			s.unitSteps++
		}
	}
	s.hasIDs, s.unplaced, s.runBegun, s.lastID, s.last = true, false, true, id, n
	return nil
}

// isConsecutive reports whether the ids of the stream have risen by one so far. Servers
// only promise that ids increase.
func (s *streamState) isConsecutive() bool {
	return s.steps > 0 && s.unitSteps == s.steps
}

// isProgress reports whether an accepted event is a part of the answer: it has an id, or
// data if the events of the stream have no ids. Comments and other lines are forwarded,
// but are no part of it.
func (s *streamState) isProgress(event []byte) bool {
	if eventID(event) != "" {
		return true
	}
	if s.hasIDs {
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
