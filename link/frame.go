package link

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Limits of the protocol.
const (
	// ProtocolVersion is sent in the hello frame; both sides must use the same.
	ProtocolVersion = 1
	// MaxFrameBytes is the maximum length of a frame body.
	MaxFrameBytes = 1 << 20
	// MaxBodyBytes is the maximum length of a request body. A body that exceeds
	// the open frame continues in body part frames.
	MaxBodyBytes = 8 << 20
	// MaxPayloadBytes is the maximum length of an answer payload or the body of a
	// control message; the rest of the frame is reserved for the other fields.
	MaxPayloadBytes = MaxFrameBytes - frameFieldsBytes
	// MaxRequestIDBytes is the maximum length of a request ID.
	MaxRequestIDBytes = 256

	maxBodyPartBytes       = 256 << 10                          // request body in one frame
	maxRequestHeadBytes    = MaxPayloadBytes - maxBodyPartBytes // request without its body
	frameFieldsBytes       = 1 << 10                            // reserved for the other fields of a frame
	frameHeaderBytes       = 4                                  // length prefix of a frame
	maxHandshakeFrameBytes = 4 << 10                            // frame body before the peer is authenticated
	readBufferBytes        = 64 << 10
)

type frameKind uint8

// Kinds of frames. A frame body is a msgpack array of the kind followed by the
// listed fields; stream stands for request ID and attempt.
const (
	kindHello         frameKind = iota + 1 // protocol, Hello, nonce, dial number
	kindProof                              // HMAC over both hello frames
	kindAccept                             // session, Heartbeat
	kindReject                             // code, message
	kindOpen                               // stream, next sequence number, window, body length, Request or nil, first part of the body
	kindBodyPart                           // stream, offset, part of the body
	kindResumeDone                         // number of reopened streams
	kindPayload                            // stream, sequence number, payload
	kindEnd                                // stream, sequence number, End
	kindRefusal                            // stream, sequence number, Refusal
	kindUnknownStream                      // stream
	kindAck                                // stream, next sequence number
	kindCancel                             // stream
	kindControl                            // Control
	kindHeartbeat                          // Heartbeat
	kindPing                               // number
	kindPong                               // number
	kindDrain
)

// streamKey identifies a stream within the session of an entry process.
type streamKey struct {
	id      string
	attempt uint32
}

func (k streamKey) String() string { return fmt.Sprintf("%s/%d", k.id, k.attempt) }

// frameWriter appends encoded frames to buf.
type frameWriter struct {
	buf   []byte
	enc   *msgpack.Encoder
	start int
	err   error
}

func newFrameWriter() *frameWriter {
	w := &frameWriter{}
	w.enc = msgpack.NewEncoder(w)
	w.enc.UseCompactInts(true)
	return w
}

// Write implements io.Writer for the msgpack encoder.
func (w *frameWriter) Write(p []byte) (int, error) {
	w.buf = append(w.buf, p...)
	return len(p), nil
}

// WriteByte implements io.ByteWriter for the msgpack encoder.
func (w *frameWriter) WriteByte(b byte) error {
	w.buf = append(w.buf, b)
	return nil
}

func (w *frameWriter) begin(kind frameKind, fields int) {
	w.start, w.err = len(w.buf), nil
	w.buf = append(w.buf, 0, 0, 0, 0)
	w.setErr(w.enc.EncodeArrayLen(1 + fields))
	w.uint(uint64(kind))
}

// beginStream starts a frame whose first fields are the request ID and attempt.
func (w *frameWriter) beginStream(kind frameKind, key streamKey, fields int) {
	w.begin(kind, 2+fields)
	w.str(key.id)
	w.uint(uint64(key.attempt))
}

func (w *frameWriter) setErr(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *frameWriter) uint(v uint64)  { w.setErr(w.enc.EncodeUint(v)) }
func (w *frameWriter) str(v string)   { w.setErr(w.enc.EncodeString(v)) }
func (w *frameWriter) bin(v []byte)   { w.setErr(w.enc.EncodeBytes(v)) }
func (w *frameWriter) value(v any)    { w.setErr(w.enc.Encode(v)) }
func (w *frameWriter) body() []byte   { return w.buf[w.start+frameHeaderBytes:] }
func (w *frameWriter) length() int    { return len(w.buf) - w.start - frameHeaderBytes }
func (w *frameWriter) discard() error { w.buf = w.buf[:w.start]; return w.err }

// end completes the current frame. A frame that exceeds the size limit or could
// not be encoded is removed from the buffer.
func (w *frameWriter) end() error {
	if w.err != nil {
		return w.discard()
	}
	n := w.length()
	if n > MaxFrameBytes {
		w.err = &TooLargeError{What: "frame", Size: n, Limit: MaxFrameBytes}
		return w.discard()
	}
	binary.BigEndian.PutUint32(w.buf[w.start:], uint32(n))
	return nil
}

// mustEnd completes a frame whose fields are known to be within the limits.
func (w *frameWriter) mustEnd() {
	if err := w.end(); err != nil {
		panic(err)
	}
}

// frame is a decoded frame. Its byte slices alias the frame body.
type frame struct {
	kind    frameKind
	id      []byte // request ID
	attempt uint32
	// seq is the sequence number, body offset, dial number, ping number or number
	// of streams, depending on the kind.
	seq      uint64
	data     []byte // payload, part of a request body, HMAC or nonce
	window   uint64 // bytes
	bodyLen  uint64 // bytes
	code     string // reject code or session ID
	message  string
	protocol uint64

	hello     Hello
	heartbeat Heartbeat
	control   Control
	request   *Request
	end       End
	refusal   Refusal
}

func (f *frame) key() streamKey { return streamKey{string(f.id), f.attempt} }

// frameReader reads frames from a connection.
type frameReader struct {
	r      *bufio.Reader
	max    int
	header [frameHeaderBytes]byte
	body   []byte // of the last frame
	cursor bytes.Reader
	dec    *msgpack.Decoder
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: bufio.NewReaderSize(r, readBufferBytes), max: MaxFrameBytes, dec: msgpack.NewDecoder(nil)}
}

// next reads the next frame into f.
func (r *frameReader) next(f *frame) error {
	if _, err := io.ReadFull(r.r, r.header[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(r.header[:]))
	if n > r.max {
		return &TooLargeError{What: "received frame", Size: n, Limit: r.max}
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r.r, body); err != nil {
		return err
	}
	return r.decode(body, f)
}

// decode decodes a frame body into f, which keeps references to body.
func (r *frameReader) decode(body []byte, f *frame) error {
	*f = frame{}
	r.body = body
	r.cursor.Reset(body)
	r.dec.ResetReader(&r.cursor)
	fields, err := r.dec.DecodeArrayLen()
	if err != nil {
		return &ProtocolError{Reason: "frame is not an array: " + err.Error()}
	}
	kind := r.uint(&err)
	f.kind = frameKind(kind)
	if err == nil && kind > 0xff {
		err = fmt.Errorf("frame kind %d", kind)
	}
	if want := f.kind.fields(); err == nil && fields < 1+want {
		err = fmt.Errorf("%d fields, want %d", fields-1, want)
	}
	if err == nil {
		r.fields(f, &err)
	}
	if err != nil {
		return &ProtocolError{Reason: fmt.Sprintf("frame of kind %d: %v", f.kind, err)}
	}
	return nil
}

func (k frameKind) fields() int {
	switch k {
	case kindHello:
		return 4
	case kindAccept, kindReject, kindUnknownStream, kindCancel:
		return 2
	case kindOpen:
		return 7
	case kindBodyPart, kindPayload, kindEnd, kindRefusal:
		return 4
	case kindAck:
		return 3
	case kindProof, kindControl, kindHeartbeat, kindPing, kindPong, kindResumeDone:
		return 1
	}
	return 0
}

func (k frameKind) hasStreamKey() bool {
	return k >= kindOpen && k <= kindCancel && k != kindResumeDone
}

func (r *frameReader) fields(f *frame, err *error) {
	if f.kind.hasStreamKey() {
		f.id = r.bin(err)
		f.attempt = uint32(r.uint(err))
	}
	switch f.kind {
	case kindHello:
		f.protocol = r.uint(err)
		r.value(&f.hello, err)
		f.data = r.bin(err)
		f.seq = r.uint(err)
	case kindProof:
		f.data = r.bin(err)
	case kindAccept:
		f.code = string(r.bin(err))
		r.value(&f.heartbeat, err)
	case kindReject:
		f.code = string(r.bin(err))
		f.message = string(r.bin(err))
	case kindOpen:
		r.decodeOpen(f, err)
	case kindBodyPart, kindPayload:
		f.seq = r.uint(err)
		f.data = r.bin(err)
	case kindEnd:
		f.seq = r.uint(err)
		r.value(&f.end, err)
	case kindRefusal:
		f.seq = r.uint(err)
		r.value(&f.refusal, err)
	case kindAck, kindPing, kindPong, kindResumeDone:
		f.seq = r.uint(err)
	case kindControl:
		r.value(&f.control, err)
	case kindHeartbeat:
		r.value(&f.heartbeat, err)
	}
}

func (r *frameReader) decodeOpen(f *frame, err *error) {
	f.seq = r.uint(err)
	f.window = r.uint(err)
	f.bodyLen = r.uint(err)
	r.value(&f.request, err)
	f.data = r.bin(err)
	if *err == nil && f.bodyLen > MaxBodyBytes {
		*err = &TooLargeError{What: "request body", Size: int(f.bodyLen), Limit: MaxBodyBytes}
	}
}

func (r *frameReader) uint(err *error) uint64 {
	if *err != nil {
		return 0
	}
	var v uint64
	v, *err = r.dec.DecodeUint64()
	return v
}

func (r *frameReader) value(v any, err *error) {
	if *err == nil {
		*err = r.dec.Decode(v)
	}
}

// bin returns a string or binary field as a slice of the frame body.
func (r *frameReader) bin(err *error) []byte {
	if *err != nil {
		return nil
	}
	var n int
	if n, *err = r.dec.DecodeBytesLen(); *err != nil || n <= 0 {
		return nil
	}
	start := len(r.body) - r.cursor.Len()
	if n > r.cursor.Len() {
		*err = io.ErrUnexpectedEOF
		return nil
	}
	if _, *err = r.cursor.Seek(int64(n), io.SeekCurrent); *err != nil {
		return nil
	}
	return r.body[start : start+n : start+n]
}
