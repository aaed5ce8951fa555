package ledger

import "sync"

// RowBuffer keeps the agent's copies of rows until the entry that got them reports
// them durable. It keeps the rows of each attempt apart: an entry that reports a
// small charge durable, for example that of an answer that was cut, must not make
// the agent forget a larger charge of the same request that is not in the store.
type RowBuffer struct {
	writer *Writer

	mu   sync.Mutex
	rows map[string]map[RowRef]Row // by entry boot id
	n    int
}

// NewRowBuffer returns a RowBuffer that hands orphaned rows to the agent's own Writer.
func NewRowBuffer(w *Writer) *RowBuffer {
	return &RowBuffer{writer: w, rows: make(map[string]map[RowRef]Row)}
}

// Hold keeps a row until the entry reports it durable.
func (h *RowBuffer) Hold(entryBootID string, r Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	rows := h.rows[entryBootID]
	if rows == nil {
		rows = make(map[RowRef]Row)
		h.rows[entryBootID] = rows
	}
	if old, ok := rows[r.Ref()]; ok {
		r = Merge(old, r)
	} else {
		h.n++
	}
	rows[r.Ref()] = r.normal()
}

// Release forgets rows that the entry got and that are in the store.
func (h *RowBuffer) Release(entryBootID string, refs []RowRef) {
	h.mu.Lock()
	defer h.mu.Unlock()
	rows := h.rows[entryBootID]
	for _, ref := range refs {
		if _, ok := rows[ref]; ok {
			delete(rows, ref)
			h.n--
		}
	}
	if len(rows) == 0 {
		delete(h.rows, entryBootID)
	}
}

// HandOver moves the rows of an entry whose link is gone to the agent's own
// Writer and returns their number.
func (h *RowBuffer) HandOver(entryBootID string) int {
	h.mu.Lock()
	rows := h.rows[entryBootID]
	delete(h.rows, entryBootID)
	h.n -= len(rows)
	h.mu.Unlock()
	for _, r := range rows {
		h.writer.Add(r)
	}
	return len(rows)
}

// Entries returns the boot ids of the entries whose rows are held.
func (h *RowBuffer) Entries() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	ids := make([]string, 0, len(h.rows))
	for id := range h.rows {
		ids = append(ids, id)
	}
	return ids
}

// Full tells that the agent should refuse new work that will be charged. The
// bound is the one of the agent's Writer.
func (h *RowBuffer) Full() bool { return h.Len() >= h.writer.maxRows || h.writer.Full() }

// Len returns the number of rows held.
func (h *RowBuffer) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.n
}
