package ledger

import "time"

// HandOverBefore moves the rows created before t to the agent's own Writer and
// returns their number. It covers rows whose entry is alive but has not received
// the end of the answer, and so will never report the row durable.
func (b *RowBuffer) HandOverBefore(t time.Time) int {
	var expired []Row
	b.mu.Lock()
	for entry, rows := range b.rows {
		for key, row := range rows {
			if row.At.Before(t) {
				expired = append(expired, row)
				delete(rows, key)
			}
		}
		if len(rows) == 0 {
			delete(b.rows, entry)
		}
	}
	b.count -= len(expired)
	b.mu.Unlock()
	for _, row := range expired {
		b.writer.Add(row)
	}
	return len(expired)
}
