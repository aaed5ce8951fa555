package link

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// codeNoAnswer is the code of the End that the link sends if the handler returns
// without finishing the answer.
const codeNoAnswer = "no_answer"

// ServerStream is the agent's side of a stream: one request and its answer. Its
// methods must not be called concurrently.
type ServerStream struct {
	Request *Request
	Peer    Hello

	peer   *peer
	key    streamKey
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	ackReceived chan struct{} // signals Send
	window      int           // maximum unacknowledged bytes

	conn       *conn
	scheduled  bool   // enqueued for the write loop of conn
	nextSend   uint64 // sequence number of the next frame to send on conn
	sendOffset int    // offset of that frame in payloads

	// Frames firstUnacked to nextSeq-1 are not acknowledged.
	firstUnacked, nextSeq uint64
	payloadSizes          []int  // payload lengths of these frames
	payloads              []byte // concatenated payloads of these frames
	hash                  xxhash.Digest

	finalKind frameKind // 0 until the answer is finished
	final     []byte    // encoded End or Refusal

	finalAcked      bool
	aborted         bool
	handlerReturned bool
}

func newServerStream(p *peer, key streamKey, pending *incompleteRequest, c *conn) *ServerStream {
	ctx, cancel := context.WithCancelCause(p.ctx)
	s := &ServerStream{Request: pending.req, Peer: p.hello, peer: p, key: key, ctx: ctx, cancel: cancel,
		ackReceived: make(chan struct{}, 1), window: min(max(pending.window, 1), p.server.cfg.MaxUnacked), conn: c}
	s.hash.Reset()
	return s
}

func (s *ServerStream) run() {
	s.peer.server.cfg.Handler(s.ctx, s)
	_ = s.Finish(End{Code: codeNoAnswer}) // fails if the handler has finished the answer
	s.mu.Lock()
	s.handlerReturned = true
	over := s.finalAcked || s.aborted
	s.mu.Unlock()
	s.cancel(ErrFinished)
	s.peer.handlerReturned(s)
	if over {
		s.peer.server.streamClosed()
	}
}

// Send sends a copy of payload. It blocks while the unacknowledged payloads fill the
// flow control window.
func (s *ServerStream) Send(ctx context.Context, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return &TooLargeError{What: "payload", Size: len(payload), Limit: MaxPayloadBytes}
	}
	for {
		wait, err := s.appendPayload(payload)
		if !wait {
			return err
		}
		select {
		case <-s.ackReceived:
		case <-s.ctx.Done():
			return context.Cause(s.ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *ServerStream) appendPayload(payload []byte) (wait bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.sendError(); err != nil {
		return false, err
	}
	if len(s.payloads)+frameOverheadBytes*len(s.payloadSizes) >= s.window {
		return true, nil
	}
	s.payloads = append(s.payloads, payload...)
	s.payloadSizes = append(s.payloadSizes, len(payload))
	_, _ = s.hash.Write(payload) // never fails
	s.nextSeq++
	s.scheduleSend()
	return false, nil
}

// sendError returns the reason why no further frame may be sent, or nil.
func (s *ServerStream) sendError() error {
	switch {
	case s.aborted:
		return context.Cause(s.ctx)
	case s.finalKind != 0:
		return ErrFinished
	}
	return nil
}

// Finish ends the answer. It sets the frame count and the checksum of end.
func (s *ServerStream) Finish(end End) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.sendError(); err != nil {
		return err
	}
	end.Frames, end.Checksum = uint32(s.nextSeq), s.hash.Sum64()
	return s.appendFinal(kindEnd, &end)
}

// Refuse ends the stream without an answer. It may be called only if the request
// was not forwarded to the backend server, and fails after Send.
func (s *ServerStream) Refuse(r Refusal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.sendError(); err != nil {
		return err
	}
	if s.nextSeq > 0 {
		return ErrRefusedAfterSend
	}
	return s.appendFinal(kindRefusal, &r)
}

func (s *ServerStream) appendFinal(kind frameKind, v any) error {
	w := newFrameWriter()
	w.value(v)
	if len(w.buf) > MaxPayloadBytes {
		return &TooLargeError{What: "end of an answer", Size: len(w.buf), Limit: MaxPayloadBytes}
	}
	if w.err != nil {
		return w.err
	}
	s.finalKind, s.final = kind, w.buf
	s.nextSeq++
	s.scheduleSend()
	return nil
}

// scheduleSend enqueues the stream if it has frames to send. The caller must hold
// s.mu.
func (s *ServerStream) scheduleSend() {
	if s.conn != nil && !s.scheduled && s.nextSend < s.nextSeq {
		s.scheduled = true
		s.conn.enqueue(s)
	}
}

func (s *ServerStream) appendFrames(c *conn, w *frameWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != c {
		return false
	}
	for s.nextSend < s.nextSeq && !s.aborted {
		if len(w.buf) >= writeBatchBytes {
			return true
		}
		if i := int(s.nextSend - s.firstUnacked); i < len(s.payloadSizes) {
			w.beginStream(kindPayload, s.key, 2)
			w.uint(s.nextSend)
			w.bin(s.payloads[s.sendOffset : s.sendOffset+s.payloadSizes[i]])
			s.sendOffset += s.payloadSizes[i]
		} else {
			w.beginStream(s.finalKind, s.key, 2)
			w.uint(s.nextSend)
			_, _ = w.Write(s.final) // appends to a buffer
		}
		w.mustEnd()
		s.nextSend++
	}
	s.scheduled = false
	return false
}

// resume continues the stream on a new connection, starting with frame nextSeq. It
// reports false if the stream is over or the frame is no longer kept.
func (s *ServerStream) resume(c *conn, nextSeq uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.aborted || s.finalAcked:
		return false
	case nextSeq < s.firstUnacked || nextSeq > s.nextSeq:
		return false
	}
	s.conn, s.scheduled = c, false
	s.nextSend, s.sendOffset = nextSeq, s.bytesBefore(nextSeq)
	s.scheduleSend()
	return true
}

// bytesBefore returns the offset of a frame in payloads.
func (s *ServerStream) bytesBefore(seq uint64) int {
	n := 0
	for _, size := range s.payloadSizes[:min(int(seq-s.firstUnacked), len(s.payloadSizes))] {
		n += size
	}
	return n
}

// acknowledge drops the frames before nextSeq and reports whether this completes
// the stream.
func (s *ServerStream) acknowledge(nextSeq uint64) (over bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.aborted || s.finalAcked || nextSeq <= s.firstUnacked:
		return false, nil
	case nextSeq > s.nextSend:
		return false, &ProtocolError{Reason: "a frame of stream " + s.key.String() + " was acknowledged before it was sent"}
	}
	s.finalAcked = s.finalKind != 0 && nextSeq == s.nextSeq
	drop := s.bytesBefore(nextSeq)
	frames := min(int(nextSeq-s.firstUnacked), len(s.payloadSizes))
	s.payloads = s.payloads[:copy(s.payloads, s.payloads[drop:])]
	s.payloadSizes = s.payloadSizes[:copy(s.payloadSizes, s.payloadSizes[frames:])]
	s.sendOffset -= drop
	s.firstUnacked = nextSeq
	signal(s.ackReceived)
	if s.finalAcked && s.handlerReturned {
		s.peer.server.streamClosed()
	}
	return s.finalAcked, nil
}

// abort cancels the handler and drops the frames. It reports whether the stream was
// still open and whether its handler has returned.
func (s *ServerStream) abort(cause error) (first, handlerReturned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.aborted || s.finalAcked {
		return false, s.handlerReturned
	}
	s.aborted = true
	s.conn, s.payloads, s.payloadSizes, s.final = nil, nil, nil, nil
	s.cancel(cause)
	if s.handlerReturned {
		s.peer.server.streamClosed()
	}
	return true, s.handlerReturned
}

func (s *ServerStream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn, s.scheduled = nil, false
}

func (s *ServerStream) attachedTo(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn == c
}

func (s *ServerStream) isAborted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aborted
}
