package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"hyssoploom/backend"
	"hyssoploom/limits"
)

const (
	// defaultMaxBody limits the body of a request in bytes if the configuration does not.
	defaultMaxBody = 4 << 20
	// requestMemoryFraction is the fraction of the VM's memory that the bodies of requests
	// may hold.
	requestMemoryFraction = 0.25
	// minRequestMemory is the least memory for the bodies of requests. The largest one of
	// the default limit fits beside others.
	minRequestMemory = 4 * defaultMaxBody
	// firstBodyChunk is the memory that is first taken for a body of unknown length.
	firstBodyChunk = 4 << 10
	// maxDroppedBytes and dropTime limit what is read of the body of a rejected request.
	maxDroppedBytes = defaultMaxBody
	dropTime        = time.Second
)

// requestMemoryLimit returns the memory in bytes for the bodies of requests of a VM with the
// given memory in MiB, 0 if unknown.
func requestMemoryLimit(memoryMB float64) int64 {
	return max(int64(memoryMB*(1<<20)*requestMemoryFraction), minRequestMemory)
}

// LargestBody returns the size in bytes of the largest request body for which an entry with
// the given memory in MiB, 0 if unknown, has room.
func LargestBody(memoryMB float64) int64 {
	return limits.NewRequestMemory(requestMemoryLimit(memoryMB)).Largest()
}

// readBody reads the body of the request, which is kept for repeats. It rejects the request
// and returns false if the body is too large, does not arrive in time, or finds no memory.
func (c *clientRequest) readBody() bool {
	limit := c.view.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	limit = min(limit, c.g.requestMemory.Largest())
	length := c.r.ContentLength
	if length == 0 {
		return true
	}
	// A body that is still arriving at the deadline of the request is of no use. Errors
	// of the controller are ignored: without a deadline, the client decides how long its
	// request takes.
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline)
	if length > limit {
		c.rejectUnread(http.StatusRequestEntityTooLarge, ReasonTooLarge, 0)
		return false
	}
	var err error
	if length > 0 {
		err = c.readSized(length)
	} else {
		err = c.readUnsized(limit)
	}
	var exceeded *backend.BoundError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return true
	case errors.As(err, &exceeded) && exceeded.Bound == backend.BoundMemory:
		c.rejectUnread(http.StatusServiceUnavailable, ReasonRequestMemory, c.g.requestMemory.RetryAfter())
	case errors.As(err, &exceeded):
		c.rejectUnread(http.StatusRequestEntityTooLarge, ReasonTooLarge, 0)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.reject(http.StatusRequestTimeout, ReasonTimeout, 0)
	default:
		c.reject(http.StatusBadRequest, ReasonBadRequest, 0)
	}
	return false
}

// readSized reads a body of a known length. Its memory is taken before any of it is read, so
// that a request does not fail after most of its body has arrived.
func (c *clientRequest) readSized(length int64) error {
	if !c.memory.Grow(length) {
		return &backend.BoundError{Bound: backend.BoundMemory}
	}
	c.body = make([]byte, length)
	_, err := io.ReadFull(c.r.Body, c.body)
	return err
}

// readUnsized reads a body of unknown length of at most limit bytes.
func (c *clientRequest) readUnsized(limit int64) error {
	size, capacity := int64(0), min(firstBodyChunk, limit+1)
	if !c.memory.Grow(capacity) {
		return &backend.BoundError{Bound: backend.BoundMemory}
	}
	c.body = make([]byte, capacity)
	for {
		n, err := fill(c.r.Body, c.body[size:])
		size += int64(n)
		switch {
		case err == io.EOF:
			c.body = c.body[:size]
			return nil
		case err != nil:
			return err
		case size > limit:
			return &backend.BoundError{Bound: backend.BoundBuffer, Bytes: size}
		}
		// The buffer doubles, so that the old and the new one together are at most three
		// halves of what the body takes in the end.
		grown := min(2*capacity, limit+1)
		if !c.memory.Grow(grown - capacity) {
			return &backend.BoundError{Bound: backend.BoundMemory, Bytes: size}
		}
		body := make([]byte, grown)
		copy(body, c.body)
		c.body, capacity = body, grown
	}
}

// rejectUnread rejects a request whose body has not been read to its end. The response is
// sent without waiting for the rest of the body, and the connection is closed. Closing it
// with unread bytes would reset it and take the response from a client that still sends, so
// some of the rest is read first and dropped.
func (c *clientRequest) rejectUnread(status int, reason Reason, retryAfter time.Duration) {
	control := http.NewResponseController(c.w)
	_ = control.EnableFullDuplex() // fails for other versions of HTTP, which have it
	c.w.Header().Set("Connection", "close")
	c.reject(status, reason, retryAfter)
	if c.r.Header.Get("Expect") != "" {
		return // the client waits for the response before it sends the body
	}
	if control.Flush() == nil && control.SetReadDeadline(time.Now().Add(dropTime)) == nil {
		// The body may end, fail, or go on; in each case the connection is closed.
		_, _ = io.CopyN(io.Discard, c.r.Body, maxDroppedBytes)
	}
}
