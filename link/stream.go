package link

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// frameOverheadBytes is added to each payload length in flow control, to
	// account for the memory per frame.
	frameOverheadBytes = 64
	// maxSequenceGaps limits the consecutive sequence gaps of a stream. Each gap up to
	// the limit causes a reconnect; the next one fails the stream.
	maxSequenceGaps = 3
)

// Stream is the entry's side of a stream: one request and its answer. Recv must not
// be called concurrently.
type Stream struct {
	client *Client
	key    streamKey
	window int // bytes

	mu     sync.Mutex
	notify chan struct{} // signals Recv

	requestHead []byte // encoded request without its body; nil once the agent has the request
	body        []byte
	conn        *conn
	openSent    bool // the open frame was passed to the current connection
	bodySent    int  // bytes of the body passed to the current connection
	requestSent bool // the whole request was passed to a connection

	nextSeq      uint64 // sequence number of the next frame to receive
	gaps         int    // consecutive sequence gaps
	received     [][]byte
	taken        int    // number of payloads in received that Recv has returned
	final        *frame // end or refusal
	hash         xxhash.Digest
	readFrames   uint64 // number of frames returned by Recv
	unackedBytes int    // bytes returned by Recv since the last ack

	end *End
	err error // result of Recv once the stream is over
}

func newStream(c *Client, r *Request) (*Stream, error) {
	requestHead, err := encodeRequestHead(r)
	if err != nil {
		return nil, err
	}
	s := &Stream{client: c, key: streamKey{r.RequestID, r.Attempt}, window: c.cfg.Window,
		requestHead: requestHead, body: r.Body, notify: make(chan struct{}, 1)}
	s.hash.Reset()
	return s, nil
}

// encodeRequestHead checks the size limits of r and encodes r without its body,
// which is sent unencoded.
func encodeRequestHead(r *Request) ([]byte, error) {
	if n := len(r.RequestID); n == 0 || n > MaxRequestIDBytes {
		return nil, &TooLargeError{What: "request id", Size: n, Limit: MaxRequestIDBytes}
	}
	if len(r.Body) > MaxBodyBytes {
		return nil, &TooLargeError{What: "request body", Size: len(r.Body), Limit: MaxBodyBytes}
	}
	w := newFrameWriter()
	head := *r
	head.Body = nil
	w.value(&head)
	if len(w.buf) > maxRequestHeadBytes {
		return nil, &TooLargeError{What: "request without its body", Size: len(w.buf), Limit: maxRequestHeadBytes}
	}
	return w.buf, w.err
}

// withLock calls f with s.mu held and removes the stream from the client if f ended
// it. It removes the stream after unlocking, because Client.mu is acquired before
// Stream.mu.
func (s *Stream) withLock(f func()) {
	s.mu.Lock()
	before := s.err
	f()
	over := s.err != nil && before == nil
	s.mu.Unlock()
	if over {
		s.client.remove(s)
	}
}

// attach opens or resumes the stream on a connection.
func (s *Stream) attach(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.conn, s.openSent, s.bodySent = c, false, 0
	c.enqueue(s)
}

// appendFrames appends the open frame and the body part frames.
func (s *Stream) appendFrames(c *conn, w *frameWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil || s.conn != c {
		return false
	}
	if !s.openSent {
		s.openSent = true
		c.openFrames++
		s.appendOpen(w)
	}
	for s.bodySent < len(s.body) {
		if len(w.buf) >= writeBatchBytes {
			return true
		}
		part := s.nextBodyPart()
		w.beginStream(kindBodyPart, s.key, 2)
		w.uint(uint64(s.bodySent - len(part)))
		w.bin(part)
		w.mustEnd()
	}
	s.requestSent = true
	return false
}

func (s *Stream) nextBodyPart() []byte {
	from := s.bodySent
	s.bodySent = min(from+maxBodyPartBytes, len(s.body))
	return s.body[from:s.bodySent]
}

func (s *Stream) appendOpen(w *frameWriter) {
	w.beginStream(kindOpen, s.key, 5)
	w.uint(s.nextSeq)
	w.uint(uint64(s.window))
	w.uint(uint64(len(s.body)))
	if s.requestHead != nil {
		_, _ = w.Write(s.requestHead) // appends to a buffer
	} else {
		w.value(nil)
	}
	w.bin(s.nextBodyPart())
	w.mustEnd()
	if s.readFrames > 0 {
		s.appendAck(w)
		w.mustEnd()
	}
}

func (s *Stream) appendAck(w *frameWriter) {
	w.beginStream(kindAck, s.key, 1)
	w.uint(s.readFrames)
}

// receive processes an answer frame. An error closes the connection, after which the
// stream is resumed on a new one.
func (s *Stream) receive(f *frame) (err error) {
	s.withLock(func() { err = s.acceptFrame(f) })
	return err
}

func (s *Stream) acceptFrame(f *frame) error {
	switch {
	case s.err != nil || s.final != nil || f.seq < s.nextSeq:
		return nil // duplicate or late
	case f.seq > s.nextSeq:
		if s.gaps++; s.gaps > maxSequenceGaps {
			s.fail(&BrokenError{Reason: BrokenFramesMissing, RequestSent: true})
			return nil
		}
		return &ProtocolError{Reason: "a frame of stream " + s.key.String() + " is missing"}
	}
	s.nextSeq++
	s.gaps = 0
	s.requestHead, s.body, s.bodySent = nil, nil, 0 // the agent has the request
	if f.kind == kindPayload {
		s.received = append(s.received, f.data)
	} else {
		final := *f
		s.final = &final
	}
	signal(s.notify)
	return nil
}

// Recv returns the next payload. It returns io.EOF after an End whose frame count
// and checksum match, a *RefusedError if the agent refused the request, and a
// *BrokenError if the answer cannot be completed. If ctx ends, the stream stays
// open.
func (s *Stream) Recv(ctx context.Context) ([]byte, error) {
	for {
		var p []byte
		var err error
		s.withLock(func() { p, err = s.takeResult() })
		if !errors.Is(err, errNothingReceived) {
			return p, err
		}
		select {
		case <-s.notify:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

var errNothingReceived = errors.New("nothing received")

// takeResult returns the next payload or the final result, or errNothingReceived.
func (s *Stream) takeResult() ([]byte, error) {
	switch {
	case s.taken < len(s.received):
		return s.takePayload(), nil
	case s.err == nil && s.final == nil:
		return nil, errNothingReceived
	case s.err == nil:
		s.readFrames++
		s.sendAck()
		s.fail(s.verify())
	}
	return nil, s.err
}

func (s *Stream) takePayload() []byte {
	p := s.received[s.taken]
	s.received[s.taken] = nil
	if s.taken++; s.taken == len(s.received) {
		s.received, s.taken = s.received[:0], 0
	}
	s.readFrames++
	_, _ = s.hash.Write(p) // never fails
	if s.unackedBytes += len(p) + frameOverheadBytes; s.unackedBytes >= s.window/4 {
		s.sendAck()
	}
	return p
}

// sendAck acknowledges the frames returned by Recv, so that the agent drops them.
func (s *Stream) sendAck() {
	s.unackedBytes = 0
	if s.conn != nil {
		_ = s.conn.send(s.appendAck) // an ack is sent again when the stream is resumed
	}
}

// verify checks the End against the payloads returned by Recv.
func (s *Stream) verify() error {
	if s.final.kind == kindRefusal {
		return &RefusedError{Refusal: s.final.refusal}
	}
	end := s.final.end
	if uint64(end.Frames) != s.readFrames-1 || end.Checksum != s.hash.Sum64() {
		return &BrokenError{Reason: BrokenChecksumMismatch, RequestSent: true}
	}
	s.end = &end
	return io.EOF
}

// fail sets the final result, if there is none yet, and wakes up Recv.
func (s *Stream) fail(err error) {
	if s.err != nil {
		return
	}
	s.err = err
	s.conn, s.requestHead, s.body = nil, nil, nil
	signal(s.notify)
}

// breakStream ends the stream with a BrokenError. The caller must hold the client's
// lock and removes the stream.
func (s *Stream) breakStream(reason BrokenReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail(s.broken(reason))
}

func (s *Stream) broken(reason BrokenReason) error {
	return &BrokenError{Reason: reason, RequestSent: s.requestSent || s.nextSeq > 0}
}

// End returns the End of the answer once Recv has returned io.EOF.
func (s *Stream) End() *End {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end
}

// Cancel ends the stream and cancels its handler at the agent. It has no effect on a
// stream that is already over.
func (s *Stream) Cancel() {
	s.withLock(func() {
		if s.err == nil && s.conn != nil {
			s.conn.sendStream(kindCancel, s.key)
		}
		s.fail(s.broken(BrokenCanceled))
	})
}
