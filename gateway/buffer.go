package gateway

import (
	"io"
	"sync/atomic"
	"time"

	"hyssoploom/backend"
)

const (
	// maxBufferedResponse is the maximum size in bytes of a response that is buffered
	// until it is complete, so that the request can still be retried if the response is
	// lost.
	maxBufferedResponse = 4 << 20
	// bufferChunkBytes is the size of the chunks in which a response is buffered, after
	// a first chunk of freeBufferBytes.
	bufferChunkBytes = 32 << 10
	// freeBufferBytes is the part of each buffered response that does not count against
	// the memory of all responses. Ordinary responses fit into it, so that they are
	// served also while responses without end use up that memory.
	freeBufferBytes = 8 << 10
	// minResponseMemory is the least memory for buffered responses: that of two of the
	// largest.
	minResponseMemory = 2 * maxBufferedResponse
	// responseMemoryFraction is the fraction of the VM's memory that buffered responses
	// may hold.
	responseMemoryFraction = 0.125
	// maxEventSize limits the size of one stream event in bytes.
	maxEventSize = 256 << 10
	// maxStaleBytes limits the bytes that a stream may send without an event that is new
	// to the client. An event of maxEventSize fits, and so do the events that a server
	// repeats when a stream is resumed.
	maxStaleBytes = 512 << 10
	// maxStaleEvents limits the number of such events: many small ones take processor
	// time out of proportion to their bytes.
	maxStaleEvents = 4096
	// minStaleTime is the least time for which a stream may send bytes without an event
	// that is new to the client. A lost segment is retransmitted within it.
	minStaleTime = 3 * time.Second
)

// memoryBudget limits the memory of buffered responses in this process.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// newMemoryBudget returns the budget for a VM with the given memory in MiB, 0 if
// unknown.
func newMemoryBudget(memoryMB float64) *memoryBudget {
	return &memoryBudget{limit: max(int64(memoryMB*(1<<20)*responseMemoryFraction), minResponseMemory)}
}

// acquire takes n bytes from the budget and reports whether they were available.
func (m *memoryBudget) acquire(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *memoryBudget) release(n int64) { m.used.Add(-n) }

// chunks is a response body in the chunks in which it was received.
type chunks [][]byte

func (c chunks) size() int {
	n := 0
	for _, chunk := range c {
		n += len(chunk)
	}
	return n
}

// answerMemory is the memory of buffered responses.
type answerMemory interface {
	// acquire takes n bytes and reports whether they were available.
	acquire(n int64) bool
}

// readBuffered reads a body to its end. length is its length, -1 if unknown. held is the
// memory that it took from the budget; the caller releases it when the body is no longer
// needed, also after an error.
func readBuffered(body io.Reader, length int64, budget answerMemory) (content chunks, held int64, err error) {
	first := int64(freeBufferBytes)
	if length >= 0 && length < first {
		first = length + 1 // the end of the body is seen without a second chunk
	}
	chunk := make([]byte, first)
	for size := 0; ; {
		n, err := fill(body, chunk)
		size += n
		if n > 0 {
			content = append(content, chunk[:n])
		}
		switch {
		case err == io.EOF:
			return content, held, nil
		case err != nil:
			return nil, held, err
		case size >= maxBufferedResponse:
			return nil, held, &backend.BoundError{Bound: backend.BoundBuffer, Bytes: int64(size)}
		case !budget.acquire(bufferChunkBytes):
			return nil, held, &backend.BoundError{Bound: backend.BoundMemory, Bytes: int64(size)}
		}
		held += bufferChunkBytes
		chunk = make([]byte, bufferChunkBytes)
	}
}

// fill reads until p is full or the body ends or fails.
func fill(body io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = body.Read(p[n:])
		n += m
	}
	return n, err
}

// firstByteReader calls begin when the first bytes arrive.
type firstByteReader struct {
	source io.Reader
	begin  func()
}

func (r *firstByteReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 && r.begin != nil {
		r.begin()
		r.begin = nil
	}
	return n, err
}

// progressReader reads a stream. It fails when bytes have arrived for longer than a
// timeout, or more of them than maxStaleBytes, without an event that is new to the
// client. A silent server does not fail: the deadline of the request and the connection
// decide how long it is waited for.
type progressReader struct {
	source  io.Reader
	timeout time.Duration
	// staleBytes is the number of bytes since the last new event, staleSince the time at
	// which the first of them arrived, and staleEvents the number of events among them.
	staleBytes  int
	staleSince  time.Time
	staleEvents int
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	if r.staleBytes == 0 {
		r.staleSince = now
	}
	r.staleBytes += n
	if r.staleBytes > maxStaleBytes || now.Sub(r.staleSince) > r.timeout {
		return 0, &backend.BoundError{Bound: backend.BoundStale, Bytes: int64(r.staleBytes)}
	}
	return n, err
}

// record counts an event. It fails when too many have brought the client nothing new.
func (r *progressReader) record(isNew bool) error {
	if isNew {
		r.staleBytes, r.staleEvents = 0, 0
		return nil
	}
	if r.staleEvents++; r.staleEvents > maxStaleEvents {
		return &backend.BoundError{Bound: backend.BoundStale, Bytes: int64(r.staleBytes)}
	}
	return nil
}

// staleTimeout returns the timeout of a progressReader for a route with the given
// longest pause between events: twice that pause, after which the answer is late in any
// case.
func staleTimeout(gapTarget time.Duration) time.Duration { return max(2*gapTarget, minStaleTime) }
