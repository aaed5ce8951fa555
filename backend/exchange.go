package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// writeInline is the size in bytes up to which a body is written before the
	// answer is read. Larger bodies are written beside the reading, because a
	// backend server may answer before it has read all.
	writeInline = 32 << 10
	// maxForeign bounds the answers to other requests that are skipped.
	maxForeign = 4
)

// ErrGarbled means that the bytes received are not an answer to the request.
var ErrGarbled = errors.New("answer cannot be understood")

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the path and query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MatchesResponse tells whether the headers of an answer belong to this request.
	MatchesResponse func(http.Header) bool
}

// Response is the head of an answer. Body has to be read to its end or closed.
type Response struct {
	Status int
	Header http.Header
	Body   *Body
}

// Exchange sends a request on a pooled connection and returns the head of its
// answer. The connection closes when ctx ends before the body has been read.
// The error wraps ErrNotSent when the backend server cannot have seen the
// request.
func (p *Pool) Exchange(ctx context.Context, address string, limit int, request *Request) (*Response, error) {
	c, err := p.get(ctx, address, limit)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.close)
	written, err := c.send(request)
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
	body := &Body{conn: c, reader: response.Body, written: written, stop: stop}
	if !response.Close {
		body.idle = idleLimit(response.Header.Get("Keep-Alive"))
	}
	return &Response{Status: response.StatusCode, Header: response.Header, Body: body}, nil
}

// send writes the request. The channel delivers the outcome of a body that is
// written beside the reading, and is nil when all has been written.
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
	if len(r.Body) <= writeInline {
		head.Write(r.Body)
		return nil, c.write(head.Bytes())
	}
	if err := c.write(head.Bytes()); err != nil {
		return nil, err
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.raw.Write(r.Body)
		written <- err
	}()
	return written, nil
}

func (c *conn) write(b []byte) error {
	n, err := c.raw.Write(b)
	if err != nil && n == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return err
}

// receive reads the head of the final answer to the request.
func (c *conn) receive(ctx context.Context, r *Request) (*http.Response, error) {
	select {
	case err := <-c.readable:
		if err != nil {
			return nil, fmt.Errorf("connection ended without an answer: %w", err)
		}
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	for range maxForeign {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			if ctx.Err() != nil {
				return nil, context.Cause(ctx)
			}
			return nil, fmt.Errorf("%w: %w", ErrGarbled, err)
		}
		if response.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		if r.MatchesResponse(response.Header) {
			return response, nil
		}
		// A late or second answer to an earlier request on this connection.
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, fmt.Errorf("%w: answer to another request: %w", ErrGarbled, err)
		}
		if response.Close {
			break
		}
	}
	return nil, fmt.Errorf("%w: answer to another request", ErrGarbled)
}

// Body is the body of an answer. Reading returns io.EOF only at its proper end.
type Body struct {
	conn    *conn
	reader  io.ReadCloser
	written <-chan error
	stop    func() bool
	idle    time.Duration // 0 when the connection cannot be used again
	once    sync.Once
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

// requestWritten tells whether the whole request has been written. A connection
// on which the rest is still due cannot be used again.
func (b *Body) requestWritten() bool {
	if b.written == nil {
		return true
	}
	select {
	case err := <-b.written:
		return err == nil
	default:
		return false
	}
}

// Close abandons what has not been read; the backend server then drops the
// request.
func (b *Body) Close() { b.finish(false) }

func (b *Body) finish(reusable bool) {
	b.once.Do(func() {
		if b.stop() && reusable {
			b.conn.release(b.idle)
		} else {
			b.conn.close()
		}
	})
}
