package link

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// frameCost is added to the payload length in the flow control window, so
	// that short payloads count for the memory they occupy.
	frameCost = 64 // bytes
	// maxGaps is how often in a row an answer may miss the next frame before
	// the stream is given up; each time the link is dialled again.
	maxGaps = 3
)

// Stream is one request and its answer at the entry. Recv is called by one
// goroutine at a time.
type Stream struct {
	client *Client
	key    streamKey
	window int

	mu     sync.Mutex
	notify chan struct{} // signals Recv

	head   []byte // encoded request without its body; nil once the agent has it
	body   []byte
	conn   *conn
	opened bool // the open frame was added to the current connection
	sent   int  // bytes of the request body added to the current connection
	handed bool // the whole request was handed to a connection

	next    uint64 // sequence number of the next frame to receive
	gaps    int
	queue   [][]byte // received payloads; Recv has taken the first `taken`
	taken   int
	final   *frame // end or refusal
	hash    xxhash.Digest
	read    uint64 // frames returned by Recv
	unacked int    // bytes returned by Recv since the last ack

	end *End
	err error // set when the stream is over
}

func newStream(c *Client, r *Request) (*Stream, error) {
	head, err := encodeRequest(r)
	if err != nil {
		return nil, err
	}
	s := &Stream{client: c, key: streamKey{r.RequestID, r.Attempt}, window: c.cfg.Window,
		head: head, body: r.Body, notify: make(chan struct{}, 1)}
	s.hash.Reset()
	return s, nil
}

// encodeRequest encodes r without its body, which follows in raw form.
func encodeRequest(r *Request) ([]byte, error) {
	if n := len(r.RequestID); n == 0 || n > MaxRequestID {
		return nil, &TooLargeError{What: "request id", Size: n, Limit: MaxRequestID}
	}
	if len(r.Body) > MaxBody {
		return nil, &TooLargeError{What: "request body", Size: len(r.Body), Limit: MaxBody}
	}
	w := newFrameWriter()
	head := *r
	head.Body = nil
	w.value(&head)
	if len(w.buf) > maxHead {
		return nil, &TooLargeError{What: "request without its body", Size: len(w.buf), Limit: maxHead}
	}
	return w.buf, w.err
}

// locked calls f with the lock held and removes the stream from the client
// when f ended it. The client's lock comes before the stream's.
func (s *Stream) locked(f func()) {
	s.mu.Lock()
	before := s.err
	f()
	over := s.err != nil && before == nil
	s.mu.Unlock()
	if over {
		s.client.remove(s)
	}
}

// attach opens the stream on a connection.
func (s *Stream) attach(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.conn, s.opened, s.sent = c, false, 0
	c.enqueue(s)
}

// fill adds the open frame and the parts of the request body.
func (s *Stream) fill(c *conn, w *frameWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil || s.conn != c {
		return false
	}
	if !s.opened {
		s.opened = true
		c.opens++
		s.addOpen(w)
	}
	for s.sent < len(s.body) {
		if len(w.buf) >= writeBatch {
			return true
		}
		part := s.nextPart()
		w.beginStream(kindPart, s.key, 2)
		w.uint(uint64(s.sent - len(part)))
		w.bin(part)
		w.finish()
	}
	s.handed = true
	return false
}

func (s *Stream) nextPart() []byte {
	from := s.sent
	s.sent = min(from+bodyPart, len(s.body))
	return s.body[from:s.sent]
}

func (s *Stream) addOpen(w *frameWriter) {
	w.beginStream(kindOpen, s.key, 5)
	w.uint(s.next)
	w.uint(uint64(s.window))
	w.uint(uint64(len(s.body)))
	if s.head != nil {
		_, _ = w.Write(s.head) // appends to a buffer
	} else {
		w.value(nil)
	}
	w.bin(s.nextPart())
	w.finish()
	if s.read > 0 {
		s.addAck(w)
		w.finish()
	}
}

func (s *Stream) addAck(w *frameWriter) {
	w.beginStream(kindAck, s.key, 1)
	w.uint(s.read)
}

// receive takes an answer frame. An error closes the connection, after which
// the stream is resumed.
func (s *Stream) receive(f *frame) (err error) {
	s.locked(func() { err = s.accept(f) })
	return err
}

func (s *Stream) accept(f *frame) error {
	switch {
	case s.err != nil || s.final != nil || f.seq < s.next:
		return nil // duplicate or late
	case f.seq > s.next:
		if s.gaps++; s.gaps > maxGaps {
			s.fail(&BrokenError{Reason: BrokenSequence, RequestSent: true})
			return nil
		}
		return &ProtocolError{Reason: "a frame of stream " + s.key.String() + " is missing"}
	}
	s.next++
	s.gaps = 0
	s.head, s.body, s.sent = nil, nil, 0 // the agent has the request
	if f.kind == kindPayload {
		s.queue = append(s.queue, f.data)
	} else {
		final := *f
		s.final = &final
	}
	signal(s.notify)
	return nil
}

// Recv returns the next payload. It returns io.EOF after an end whose frame
// count and checksum match, *RefusedError when the agent refused the request,
// and *BrokenError when the answer cannot be completed. An error of ctx leaves
// the stream open.
func (s *Stream) Recv(ctx context.Context) ([]byte, error) {
	for {
		var p []byte
		var err error
		s.locked(func() { p, err = s.take() })
		if !errors.Is(err, errNothing) {
			return p, err
		}
		select {
		case <-s.notify:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

var errNothing = errors.New("nothing received")

// take returns the next payload or the final result, or errNothing.
func (s *Stream) take() ([]byte, error) {
	switch {
	case s.taken < len(s.queue):
		return s.takePayload(), nil
	case s.err == nil && s.final == nil:
		return nil, errNothing
	case s.err == nil:
		s.read++
		s.ack()
		s.fail(s.verify())
	}
	return nil, s.err
}

func (s *Stream) takePayload() []byte {
	p := s.queue[s.taken]
	s.queue[s.taken] = nil
	if s.taken++; s.taken == len(s.queue) {
		s.queue, s.taken = s.queue[:0], 0
	}
	s.read++
	_, _ = s.hash.Write(p) // never fails
	if s.unacked += len(p) + frameCost; s.unacked >= s.window/4 {
		s.ack()
	}
	return p
}

// ack lets the agent drop the frames that Recv has returned.
func (s *Stream) ack() {
	s.unacked = 0
	if s.conn != nil {
		_ = s.conn.send(s.addAck) // a lost ack is repeated when the stream is resumed
	}
}

// verify checks the end against the payloads that Recv has returned.
func (s *Stream) verify() error {
	if s.final.kind == kindRefusal {
		return &RefusedError{Refusal: s.final.refusal}
	}
	end := s.final.end
	if uint64(end.Frames) != s.read-1 || end.Checksum != s.hash.Sum64() {
		return &BrokenError{Reason: BrokenCorrupt, RequestSent: true}
	}
	s.end = &end
	return io.EOF
}

// fail sets the final result and wakes Recv.
func (s *Stream) fail(err error) {
	if s.err != nil {
		return
	}
	s.err = err
	s.conn, s.head, s.body = nil, nil, nil
	signal(s.notify)
}

// breakOff is called with the client's lock held.
func (s *Stream) breakOff(reason BrokenReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail(s.broken(reason))
}

func (s *Stream) broken(reason BrokenReason) error {
	return &BrokenError{Reason: reason, RequestSent: s.handed || s.next > 0}
}

// End returns the end of the answer after Recv has returned io.EOF.
func (s *Stream) End() *End {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end
}

// Cancel ends the stream and the handler at the agent. It has no effect on a
// stream that is over.
func (s *Stream) Cancel() {
	s.locked(func() {
		if s.err == nil && s.conn != nil {
			s.conn.sendStream(kindCancel, s.key)
		}
		s.fail(s.broken(BrokenCanceled))
	})
}
