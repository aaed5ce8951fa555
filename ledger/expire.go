package ledger

import "time"

// HandOverBefore passes the rows created before t to the Writer of this process and
// returns their number. An entry that is alive but has not received the end of an
// answer never reports the row durable, so HandOver does not apply to it.
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
