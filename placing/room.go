package placing

// Room states whether an engine has memory for the request.
type Room int

// The states of an engine's memory.
const (
	// EnoughRoom means that the engine has room for the request and for a large one after
	// it, or that its memory is not known.
	EnoughRoom Room = iota
	// LastRoom means that the request takes the room that is kept for large ones.
	LastRoom
	// NoRoom means that the engine would preempt requests.
	NoRoom
)

// String returns what the engine lacks, empty if nothing.
func (r Room) String() string { return [...]string{"", "last", "none"}[r] }

// FilterByRoom returns the indices of the candidates with the most room by their state: a
// request is placed where it preempts others only if that happens everywhere, and then
// where the most memory is free.
func FilterByRoom(candidates []Candidate) []int {
	best := NoRoom
	for i := range candidates {
		best = min(best, candidates[i].Room)
	}
	var chosen []int
	for i := range candidates {
		switch c := &candidates[i]; {
		case c.Room != best:
		case best == NoRoom && len(chosen) > 0 && c.FreeTokens < candidates[chosen[0]].FreeTokens:
		case best == NoRoom && len(chosen) > 0 && c.FreeTokens > candidates[chosen[0]].FreeTokens:
			chosen = append(chosen[:0], i)
		default:
			chosen = append(chosen, i)
		}
	}
	return chosen
}
