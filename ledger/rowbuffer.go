package ledger

import "sync"

// RowBuffer holds copies of the rows of entries until the entry reports them
// durable. An agent holds those of its answers, a gateway those of its peers. Rows
// of different attempts are kept separately: when an entry reports a small charge
// durable, such as that of an answer that was cut off, the buffer must keep a larger
// charge of the same request that is not yet in the store.
type RowBuffer struct {
	writer *Writer

	mu    sync.Mutex
	rows  map[string]map[RowRef]Row // by entry boot id
	count int
}

// NewRowBuffer returns a RowBuffer that passes the rows of lost entries to the Writer
// of this process.
func NewRowBuffer(w *Writer) *RowBuffer {
	return &RowBuffer{writer: w, rows: make(map[string]map[RowRef]Row)}
}

// Hold keeps a row until the entry reports it durable.
func (b *RowBuffer) Hold(entryBootID string, r Row) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rows := b.rows[entryBootID]
	if rows == nil {
		rows = make(map[RowRef]Row)
		b.rows[entryBootID] = rows
	}
	if old, ok := rows[r.Ref()]; ok {
		r = Merge(old, r)
	} else {
		b.count++
	}
	rows[r.Ref()] = r.normalized()
}

// Release removes rows that the entry has reported durable.
func (b *RowBuffer) Release(entryBootID string, refs []RowRef) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rows := b.rows[entryBootID]
	for _, ref := range refs {
		if _, ok := rows[ref]; ok {
			delete(rows, ref)
			b.count--
		}
	}
	if len(rows) == 0 {
		delete(b.rows, entryBootID)
	}
}

// HandOver passes the rows held for an entry to the Writer of this process and
// returns their number. It is called after the link to the entry was lost.
func (b *RowBuffer) HandOver(entryBootID string) int {
	b.mu.Lock()
	rows := b.rows[entryBootID]
	delete(b.rows, entryBootID)
	b.count -= len(rows)
	b.mu.Unlock()
	for _, r := range rows {
		b.writer.Add(r)
	}
	return len(rows)
}

// Entries returns the boot ids of the entries for which rows are held.
func (b *RowBuffer) Entries() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := make([]string, 0, len(b.rows))
	for id := range b.rows {
		ids = append(ids, id)
	}
	return ids
}

// Full reports whether the agent should refuse new work that will be charged. The
// maximum number of rows is that of the agent's Writer.
func (b *RowBuffer) Full() bool { return b.Len() >= b.writer.maxRows || b.writer.Full() }

// Len returns the number of rows held.
func (b *RowBuffer) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.count
}
