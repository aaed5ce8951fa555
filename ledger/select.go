package ledger

// Select returns the rows that the filter selects, in the order of their keys.
func (b *RowSet) Select(f Filter) []Row {
	var out []Row
	for _, r := range b.Rows() {
		if f.selects(r) {
			out = append(out, r)
		}
	}
	return out
}
