package ledger

// Select returns the rows that match the filter, ordered by key.
func (s *RowSet) Select(f Filter) []Row {
	var out []Row
	for _, r := range s.Rows() {
		if f.matches(r) {
			out = append(out, r)
		}
	}
	return out
}
