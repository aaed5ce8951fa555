package link

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// codeNoAnswer is the code of the end that the link sends when a handler
// returned without one.
const codeNoAnswer = "no_answer"

// ServerStream is one request and its answer at the agent. Its methods are called
// by one goroutine at a time.
type ServerStream struct {
	Request *Request
	Peer    Hello

	peer   *peer
	key    streamKey
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu     sync.Mutex
	room   chan struct{} // signals Send
	window int           // bytes that may wait for an ack

	conn   *conn
	queued bool   // the stream waits for the writer of conn
	sent   uint64 // sequence number of the next frame for conn
	offset int    // of that frame in data

	// Frames base to next-1 are not acknowledged.
	base, next uint64
	sizes      []int  // payload lengths of these frames
	data       []byte // their payloads
	hash       xxhash.Digest

	finalKind frameKind // 0 until the handler finished
	final     []byte    // encoded End or Refusal

	acked    bool // the final frame is acknowledged
	aborted  bool
	returned bool // the handler has returned
}

func newIncoming(p *peer, key streamKey, a *assembly, c *conn) *ServerStream {
	ctx, cancel := context.WithCancelCause(p.ctx)
	in := &ServerStream{Request: a.req, Peer: p.hello, peer: p, key: key, ctx: ctx, cancel: cancel,
		room: make(chan struct{}, 1), window: min(max(a.window, 1), p.server.cfg.MaxUnacked), conn: c}
	in.hash.Reset()
	return in
}

func (in *ServerStream) run() {
	in.peer.server.cfg.Handler(in.ctx, in)
	_ = in.Finish(End{Code: codeNoAnswer}) // fails if the handler finished, as it should
	in.mu.Lock()
	in.returned = true
	over := in.acked || in.aborted
	in.mu.Unlock()
	in.cancel(ErrFinished)
	in.peer.returned(in)
	if over {
		in.peer.server.streamClosed()
	}
}

// Send sends a payload, which is copied. It blocks while the entry has not
// acknowledged enough of the payloads sent before.
func (in *ServerStream) Send(ctx context.Context, payload []byte) error {
	if len(payload) > MaxPayload {
		return &TooLargeError{What: "payload", Size: len(payload), Limit: MaxPayload}
	}
	for {
		wait, err := in.add(payload)
		if !wait {
			return err
		}
		select {
		case <-in.room:
		case <-in.ctx.Done():
			return context.Cause(in.ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (in *ServerStream) add(payload []byte) (wait bool, err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if err := in.state(); err != nil {
		return false, err
	}
	if len(in.data)+frameCost*len(in.sizes) >= in.window {
		return true, nil
	}
	in.data = append(in.data, payload...)
	in.sizes = append(in.sizes, len(payload))
	_, _ = in.hash.Write(payload) // never fails
	in.next++
	in.schedule()
	return false, nil
}

// state returns why no frame may be added.
func (in *ServerStream) state() error {
	switch {
	case in.aborted:
		return context.Cause(in.ctx)
	case in.finalKind != 0:
		return ErrFinished
	}
	return nil
}

// Finish ends the answer. It fills in the frame count and the checksum.
func (in *ServerStream) Finish(end End) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if err := in.state(); err != nil {
		return err
	}
	end.Frames, end.Checksum = uint32(in.next), in.hash.Sum64()
	return in.addFinal(kindEnd, &end)
}

// Refuse ends the stream. It may be called only before the backend server
// heard of the request, and is an error after Send.
func (in *ServerStream) Refuse(r Refusal) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if err := in.state(); err != nil {
		return err
	}
	if in.next > 0 {
		return ErrStarted
	}
	return in.addFinal(kindRefusal, &r)
}

func (in *ServerStream) addFinal(kind frameKind, v any) error {
	w := newFrameWriter()
	w.value(v)
	if len(w.buf) > MaxPayload {
		return &TooLargeError{What: "end of an answer", Size: len(w.buf), Limit: MaxPayload}
	}
	if w.err != nil {
		return w.err
	}
	in.finalKind, in.final = kind, w.buf
	in.next++
	in.schedule()
	return nil
}

// schedule lets the writer of the connection call fill.
func (in *ServerStream) schedule() {
	if in.conn != nil && !in.queued && in.sent < in.next {
		in.queued = true
		in.conn.enqueue(in)
	}
}

func (in *ServerStream) fill(c *conn, w *frameWriter) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.conn != c {
		return false
	}
	for in.sent < in.next && !in.aborted {
		if len(w.buf) >= writeBatch {
			return true
		}
		if i := int(in.sent - in.base); i < len(in.sizes) {
			w.beginStream(kindPayload, in.key, 2)
			w.uint(in.sent)
			w.bin(in.data[in.offset : in.offset+in.sizes[i]])
			in.offset += in.sizes[i]
		} else {
			w.beginStream(in.finalKind, in.key, 2)
			w.uint(in.sent)
			_, _ = w.Write(in.final) // appends to a buffer
		}
		w.finish()
		in.sent++
	}
	in.queued = false
	return false
}

// resume continues on a new connection with frame next. It reports false when
// the stream is over or the frame is no longer kept.
func (in *ServerStream) resume(c *conn, next uint64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch {
	case in.aborted || in.acked:
		return false
	case next < in.base || next > in.next:
		return false
	}
	in.conn, in.queued = c, false
	in.sent, in.offset = next, in.bytesBefore(next)
	in.schedule()
	return true
}

// bytesBefore returns the offset of a frame in data.
func (in *ServerStream) bytesBefore(seq uint64) int {
	n := 0
	for _, size := range in.sizes[:min(int(seq-in.base), len(in.sizes))] {
		n += size
	}
	return n
}

// acknowledge drops the frames before next and reports whether the stream is
// over by it.
func (in *ServerStream) acknowledge(next uint64) (over bool, err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch {
	case in.aborted || in.acked || next <= in.base:
		return false, nil
	case next > in.sent:
		return false, &ProtocolError{Reason: "a frame of stream " + in.key.String() + " was acknowledged before it was sent"}
	}
	in.acked = in.finalKind != 0 && next == in.next
	drop := in.bytesBefore(next)
	frames := min(int(next-in.base), len(in.sizes))
	in.data = in.data[:copy(in.data, in.data[drop:])]
	in.sizes = in.sizes[:copy(in.sizes, in.sizes[frames:])]
	in.offset -= drop
	in.base = next
	signal(in.room)
	if in.acked && in.returned {
		in.peer.server.streamClosed()
	}
	return in.acked, nil
}

// abort cancels the handler and drops the frames. It reports whether the
// stream was not over before and whether the handler has returned.
func (in *ServerStream) abort(cause error) (first, returned bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.aborted || in.acked {
		return false, in.returned
	}
	in.aborted = true
	in.conn, in.data, in.sizes, in.final = nil, nil, nil, nil
	in.cancel(cause)
	if in.returned {
		in.peer.server.streamClosed()
	}
	return true, in.returned
}

func (in *ServerStream) detach() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.conn, in.queued = nil, false
}

func (in *ServerStream) attachedTo(c *conn) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.conn == c
}

func (in *ServerStream) isAborted() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.aborted
}
