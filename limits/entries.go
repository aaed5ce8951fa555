package limits

import "time"

// entryCount tracks how many entries shared a limit within a time window. When an
// entry leaves, its recent use still counts against the limit for that long, so the
// shares of the others grow only afterwards. The zero value is ready to use.
type entryCount struct {
	changes []countChange // oldest first; each count holds until the next change
}

type countChange struct {
	at    time.Time
	count int
}

// maxWithin records the current number of entries and returns the largest number
// within the span before now.
func (e *entryCount) maxWithin(now time.Time, span time.Duration, count int) int {
	if n := len(e.changes); n == 0 || e.changes[n-1].count != count {
		e.changes = append(e.changes, countChange{now, count})
	}
	for len(e.changes) > 1 && now.Sub(e.changes[1].at) > span {
		e.changes = e.changes[1:]
	}
	largest := 1
	for _, change := range e.changes {
		largest = max(largest, change.count)
	}
	return largest
}
