package limits

import (
	"sync"
	"time"
)

const (
	// smallRequestBytes is the size up to which a request counts as small. Most requests
	// are smaller.
	smallRequestBytes = 16 << 10
	// largeShare is the share of the memory that large requests may take together; the
	// rest is left to small ones.
	largeShare = 0.75
	// holdSmoothing is the weight of a request in the mean time for which large requests
	// hold their memory.
	holdSmoothing = 0.2
	// minMemoryRetry and maxMemoryRetry bound the time after which a request that found no
	// memory is told to return.
	minMemoryRetry, maxMemoryRetry = 300 * time.Millisecond, 5 * time.Second
)

// RequestMemory bounds the bytes of all requests that a process holds. Large requests take
// at most a share of it, of which a workspace may take as much as it leaves free: alone a
// half, beside another one a third each. So the large requests of a workspace turn away
// neither small requests nor the first large ones of others. It is safe for concurrent use.
type RequestMemory struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// large is the part of used that large requests hold, and byWorkspace that of each
	// workspace.
	large       int64
	byWorkspace map[string]int64
	meanHold    time.Duration
}

// NewRequestMemory returns an unused memory of limit bytes.
func NewRequestMemory(limit int64) *RequestMemory {
	return &RequestMemory{limit: limit, byWorkspace: make(map[string]int64)}
}

// Largest returns the size in bytes of the largest request that can be held.
func (m *RequestMemory) Largest() int64 { return int64(largeShare * float64(m.limit)) }

// Used returns the number of bytes that are held.
func (m *RequestMemory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// RetryAfter returns the time after which memory for a large request is likely to be free.
func (m *RequestMemory) RetryAfter() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(max(m.meanHold, minMemoryRetry), maxMemoryRetry)
}

// RequestHold is the memory that one request holds.
type RequestHold struct {
	memory    *RequestMemory
	workspace string
	bytes     int64
	since     time.Time
}

// Hold returns the hold of a request that arrived at now. It holds nothing yet.
func (m *RequestMemory) Hold(now time.Time, workspace string) *RequestHold {
	return &RequestHold{memory: m, workspace: workspace, since: now}
}

// Grow takes n more bytes and reports whether they were available.
func (h *RequestHold) Grow(n int64) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	large := n // bytes that large requests hold in addition
	if h.bytes <= smallRequestBytes {
		large = h.bytes + n
	}
	if h.bytes+n <= smallRequestBytes {
		large = 0
	}
	if m.used+n > m.limit || large > 0 && m.byWorkspace[h.workspace]+large > m.Largest()-m.large {
		return false
	}
	m.used += n
	h.bytes += n
	m.addLarge(h.workspace, large)
	return true
}

// Release gives all bytes back. now is the current time.
func (h *RequestHold) Release(now time.Time) {
	if h.bytes == 0 {
		return
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= h.bytes
	if h.bytes > smallRequestBytes {
		m.addLarge(h.workspace, -h.bytes)
		m.meanHold += time.Duration(holdSmoothing * float64(now.Sub(h.since)-m.meanHold))
	}
	h.bytes = 0
}

// addLarge changes the bytes that the large requests of a workspace hold.
func (m *RequestMemory) addLarge(workspace string, n int64) {
	if n == 0 {
		return
	}
	m.large += n
	if m.byWorkspace[workspace] += n; m.byWorkspace[workspace] == 0 {
		delete(m.byWorkspace, workspace)
	}
}
