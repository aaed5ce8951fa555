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

// SharedMemory bounds the bytes that a process holds for its callers. Large holds take at
// most a share of it, of which a workspace may take as much as it leaves free: alone a half,
// beside another one a third each. So the large holds of a workspace turn away neither small
// ones nor the first large ones of others. It is safe for concurrent use.
type SharedMemory struct {
	// limit is the bound of all holds, largest that of the large ones together, and small
	// the size in bytes up to which a hold is not large.
	limit, largest, small int64

	mu   sync.Mutex
	used int64
	// large is the part of used that large holds have, and byWorkspace that of each
	// workspace.
	large       int64
	byWorkspace map[string]int64
	meanHold    time.Duration
}

// NewRequestMemory returns an unused memory of limit bytes for the bodies of requests.
func NewRequestMemory(limit int64) *SharedMemory {
	return &SharedMemory{limit: limit, largest: int64(largeShare * float64(limit)), small: smallRequestBytes, byWorkspace: make(map[string]int64)}
}

// NewAnswerMemory returns an unused memory of limit bytes for answers that clients have not
// read. All holds count as large, because many clients that read slowly hold little each.
func NewAnswerMemory(limit int64) *SharedMemory {
	return &SharedMemory{limit: limit, largest: limit, byWorkspace: make(map[string]int64)}
}

// Largest returns the size in bytes of the largest hold.
func (m *SharedMemory) Largest() int64 { return m.largest }

// Used returns the number of bytes that are held.
func (m *SharedMemory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// RetryAfter returns the time after which memory for a large request is likely to be free.
func (m *SharedMemory) RetryAfter() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return min(max(m.meanHold, minMemoryRetry), maxMemoryRetry)
}

// MemoryHold is the memory that one caller holds.
type MemoryHold struct {
	memory    *SharedMemory
	workspace string
	bytes     int64
	since     time.Time
}

// Hold returns the hold of a caller that arrived at now. It holds nothing yet.
func (m *SharedMemory) Hold(now time.Time, workspace string) *MemoryHold {
	return &MemoryHold{memory: m, workspace: workspace, since: now}
}

// Grow takes n more bytes and reports whether they were available.
func (h *MemoryHold) Grow(n int64) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	large := m.largePart(h.bytes+n) - m.largePart(h.bytes)
	if m.used+n > m.limit || large > 0 && m.byWorkspace[h.workspace]+large > m.largest-m.large {
		return false
	}
	m.used += n
	h.bytes += n
	m.addLarge(h.workspace, large)
	return true
}

// Shrink gives n bytes back, of those that the hold has.
func (h *MemoryHold) Shrink(n int64) {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	n = min(n, h.bytes)
	m.addLarge(h.workspace, m.largePart(h.bytes-n)-m.largePart(h.bytes))
	m.used -= n
	h.bytes -= n
}

// largePart returns the part of a hold that counts as large.
func (m *SharedMemory) largePart(bytes int64) int64 {
	if bytes <= m.small {
		return 0
	}
	return bytes
}

// Release gives all bytes back. now is the current time.
func (h *MemoryHold) Release(now time.Time) {
	if h.bytes == 0 {
		return
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= h.bytes
	if h.bytes > m.small {
		m.addLarge(h.workspace, -h.bytes)
		m.meanHold += time.Duration(holdSmoothing * float64(now.Sub(h.since)-m.meanHold))
	}
	h.bytes = 0
}

// addLarge changes the bytes of the large holds of a workspace.
func (m *SharedMemory) addLarge(workspace string, n int64) {
	if n == 0 {
		return
	}
	m.large += n
	if m.byWorkspace[workspace] += n; m.byWorkspace[workspace] == 0 {
		delete(m.byWorkspace, workspace)
	}
}
