package backend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"hyssoploom/internal/intact"
)

const (
	// DefaultMaxHeadBytes is the default of Config.MaxHeadBytes.
	DefaultMaxHeadBytes   = 64 << 10
	defaultMaxPartialTime = 3 * time.Second
	// maxSkippedBytes limits the interim responses and responses to other requests that
	// are skipped before a response. It exceeds the usual size of a late response, so
	// that a request that has been sent is not lost because of one.
	maxSkippedBytes = 256 << 10
	// maxSkippedResponses is the number of interim responses and responses to other
	// requests after which the exchange fails.
	maxSkippedResponses = 4
)

// Bound names a limit on what a backend server may send.
type Bound string

// The bounds.
const (
	// BoundHead limits the bytes of the head of a response.
	BoundHead Bound = "head"
	// BoundSkipped limits the bytes and the number of the responses that are skipped.
	BoundSkipped Bound = "skipped"
	// BoundPartialTime limits the time in which heads and skipped responses arrive.
	BoundPartialTime Bound = "partial_time"
	// BoundBuffer limits the size of a response that is buffered until it is complete.
	BoundBuffer Bound = "buffer"
	// BoundMemory limits the memory of all buffered responses of the process.
	BoundMemory Bound = "memory"
	// BoundEvent limits the size of an event of a stream.
	BoundEvent Bound = "event"
	// BoundStale limits the bytes of a stream, and the time in which they arrive,
	// without an event that is new to the caller.
	BoundStale Bound = "stale"
)

// BoundError means that a backend server sent more than a bound allows. The request may
// have run. Its connection cannot be used any more.
type BoundError struct {
	Bound Bound
	// Bytes is the number of bytes that had been received when the bound was reached.
	Bytes int64
}

func (e *BoundError) Error() string {
	return fmt.Sprintf("bound %q reached after %d bytes", e.Bound, e.Bytes)
}

// countingReader fails with errLimit once limit bytes have been read.
type countingReader struct {
	source      io.Reader
	read, limit int64
}

var errLimit = errors.New("limit of bytes reached")

func (r *countingReader) Read(p []byte) (int, error) {
	if r.read >= r.limit {
		return 0, errLimit
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.limit-r.read)])
	r.read += int64(n)
	return n, err
}

// headReader reads the heads of the responses to one request, and the responses that are
// skipped before the final one, within the bounds of the pool.
type headReader struct {
	conn     *conn
	skipped  int64         // bytes of skipped responses
	timeLeft time.Duration // of Config.MaxPartialTime
}

// unlimited is a limit of a countingReader that is never reached.
const unlimited = math.MaxInt64

// readFinal returns the first response that is not interim and belongs to the request.
func (h *headReader) readFinal(r *Request) (*http.Response, error) {
	for n := 0; n < maxSkippedResponses; n++ {
		if n > 0 {
			// The wait for the next response counts against the request's deadline only.
			if _, err := h.conn.reader.Peek(1); err != nil {
				return nil, fmt.Errorf("connection ended without an answer: %w", err)
			}
		}
		start := h.conn.received()
		response, err := h.readHead(r)
		if err != nil {
			return nil, err
		}
		interim := response.StatusCode < http.StatusOK
		if !interim && r.MatchesResponse(response.Header) {
			return response, nil
		}
		// An interim response, or a late or duplicate response to an earlier request on
		// this connection.
		if err := h.skipBody(response, start); err != nil {
			return nil, err
		}
		if response.Close && !interim {
			return nil, fmt.Errorf("%w: answer to another request", ErrMalformedResponse)
		}
	}
	return nil, &BoundError{Bound: BoundSkipped, Bytes: h.skipped}
}

// readHead reads the head of a response, whose first byte has arrived.
func (h *headReader) readHead(r *Request) (*http.Response, error) {
	c := h.conn
	var response *http.Response
	err := h.within(int64(c.pool.config.MaxHeadBytes), BoundHead, completeHead(c.reader), func() error {
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return err
		}
		if err := c.stream.ExpectHead(buffered); err != nil {
			return err
		}
		response, err = http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return err
		}
		return intact.CheckHead(response)
	})
	return response, err
}

// skipBody discards the body of a response whose head began at byte start.
func (h *headReader) skipBody(response *http.Response, start int64) error {
	left := maxSkippedBytes - h.skipped - (h.conn.received() - start)
	complete := response.ContentLength >= 0 && response.ContentLength <= int64(h.conn.reader.Buffered())
	err := h.within(max(left, 0), BoundSkipped, complete, func() error {
		_, err := io.Copy(io.Discard, response.Body)
		return err
	})
	h.skipped += h.conn.received() - start
	return err
}

// within calls read, which may receive up to limit bytes in the time that is left.
// complete means that read needs no further bytes.
func (h *headReader) within(limit int64, bound Bound, complete bool, read func() error) error {
	c := h.conn
	start := c.received()
	if !complete {
		begun := time.Now()
		// A deadline cannot be set on a closed connection; reading then fails.
		_ = c.netConn.SetReadDeadline(begun.Add(h.timeLeft))
		defer func() {
			h.timeLeft -= time.Since(begun)
			_ = c.netConn.SetReadDeadline(time.Time{})
		}()
	}
	c.counter.limit = c.counter.read + max(limit-int64(c.reader.Buffered()), 0)
	err := read()
	exceeded := c.counter.read >= c.counter.limit
	c.counter.limit = unlimited
	switch {
	case err == nil:
		return nil
	case exceeded:
		return &BoundError{Bound: bound, Bytes: c.received() - start}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &BoundError{Bound: BoundPartialTime, Bytes: c.received() - start}
	}
	return fmt.Errorf("%w: %w", ErrMalformedResponse, err)
}

// completeHead reports whether the head of a response is buffered completely.
func completeHead(r *bufio.Reader) bool {
	buffered, err := r.Peek(r.Buffered())
	return err == nil && bytes.Contains(buffered, []byte("\r\n\r\n"))
}

// received returns the number of bytes that have been taken from the connection's
// buffer.
func (c *conn) received() int64 { return c.counter.read - int64(c.reader.Buffered()) }
