package ledger

import "time"

// HandOverBefore moves the rows written before t to the agent's own Writer and returns
// their number. The entry of such a row is alive but has lost the answer's end,
// so it will never report the row durable.
func (h *RowBuffer) HandOverBefore(t time.Time) int {
	var old []Row
	h.mu.Lock()
	for entry, rows := range h.rows {
		for key, row := range rows {
			if row.At.Before(t) {
				old = append(old, row)
				delete(rows, key)
			}
		}
		if len(rows) == 0 {
			delete(h.rows, entry)
		}
	}
	h.n -= len(old)
	h.mu.Unlock()
	for _, row := range old {
		h.writer.Add(row)
	}
	return len(old)
}
