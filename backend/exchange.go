package backend

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"hyssoploom/internal/liveness"
	"hyssoploom/internal/sockets"
)

// maxInlineBodyBytes is the size up to which a body is written before the response is
// read. Larger bodies are written concurrently, because a backend server may respond
// before it has read the whole body.
const maxInlineBodyBytes = 32 << 10

// ErrMalformedResponse means that the received bytes are not a valid response to the
// request.
var ErrMalformedResponse = errors.New("answer cannot be understood")

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MatchesResponse reports whether a response with these headers belongs to this
	// request.
	MatchesResponse func(http.Header) bool
}

// Response is the head of a response. The caller must read Body to its end or close it.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if the head does not state it.
	Length int64
	// UntilClose is set if the response has neither a length nor chunks: the end of the
	// connection is the end of its body.
	UntilClose bool
	Body       *Body
}

// Exchange sends a request on a pooled connection and returns the head of the
// response. limit is the largest number of connections to the address; 0 means no
// limit. The connection is closed when ctx is done before the body has been read. The
// error wraps ErrNotSent when the backend server cannot have received the request, and
// is a *BoundError when the server sent more than the pool's bounds allow.
func (p *Pool) Exchange(ctx context.Context, address string, limit int, request *Request) (*Response, error) {
	c, err := p.get(ctx, address, limit)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.close)
	bodyWritten, err := c.send(request)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	response, err := c.receive(ctx, request)
	if err != nil {
		stop()
		c.close()
		return nil, err
	}
	body := &Body{conn: c, reader: response.Body, bodyWritten: bodyWritten, stop: stop}
	if !response.Close {
		body.idle = idleTimeout(response.Header.Get("Keep-Alive"))
	}
	return &Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		UntilClose: liveness.EndsWithConnection(response), Body: body,
	}, nil
}

// send writes the request. The channel receives the result of a body that is written
// concurrently; it is nil when the whole request has been written.
func (c *conn) send(r *Request) (<-chan error, error) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	head.WriteString("\r\n")
	if len(r.Body) <= maxInlineBodyBytes {
		head.Write(r.Body)
		return nil, c.write(head.Bytes())
	}
	if err := c.write(head.Bytes()); err != nil {
		return nil, err
	}
	c.setBodyPause(c.pool.config.MaxBodyPause)
	bodyWritten := make(chan error, 1)
	go func() {
		_, err := c.stream.Write(r.Body)
		bodyWritten <- err
	}()
	return bodyWritten, nil
}

// setBodyPause sets how long the server may read nothing before the kernel closes the
// connection; 0 restores the default.
func (c *conn) setBodyPause(d time.Duration) {
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok || d == 0 && !c.bodyPause {
		return
	}
	c.bodyPause = d > 0
	if raw, err := tcp.SyscallConn(); err == nil {
		// The call fails only if the connection has ended.
		_ = sockets.UserTimeout(cmp.Or(d, tcpUserTimeout))("", "", raw)
	}
}

// write writes to the connection. The error wraps ErrNotSent if no byte was written.
func (c *conn) write(b []byte) error {
	n, err := c.stream.Write(b)
	if err != nil && n == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

// receive reads the head of the final response to the request.
func (c *conn) receive(ctx context.Context, r *Request) (*http.Response, error) {
	select {
	case err := <-c.readable:
		c.setBodyPause(0)
		if err != nil {
			return nil, fmt.Errorf("connection ended without an answer: %w", err)
		}
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	heads := headReader{conn: c, timeLeft: c.pool.config.MaxPartialTime}
	response, err := heads.readFinal(r)
	if err != nil && ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return response, err
}

// Body is the body of a response. Read returns io.EOF only at the end of a complete
// body; one that ends with its connection is complete if the server still runs.
type Body struct {
	conn        *conn
	reader      io.ReadCloser
	bodyWritten <-chan error
	stop        func() bool
	idle        time.Duration // idle timeout; 0 when the connection cannot be reused
	finishOnce  sync.Once
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF {
		b.finish(b.requestWritten())
	} else if err != nil {
		b.finish(false)
	}
	return n, err
}

// requestWritten reports whether the whole request has been written. A connection on
// which the rest of the body is still to be written cannot be reused.
func (b *Body) requestWritten() bool {
	if b.bodyWritten == nil {
		return true
	}
	select {
	case err := <-b.bodyWritten:
		return err == nil
	default:
		return false
	}
}

// Close closes the connection unless the body has been read to its end. The backend
// server then aborts the request.
func (b *Body) Close() { b.finish(false) }

// finish releases the connection for reuse or closes it. Only the first call has an
// effect.
func (b *Body) finish(reusable bool) {
	b.finishOnce.Do(func() {
		if b.stop() && reusable {
			b.conn.release(b.idle)
		} else {
			b.conn.close()
		}
	})
}
