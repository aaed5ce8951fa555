package limits

import "time"

// entryCount remembers how many entries shared a limit within a span of time.
// When an entry leaves, what it used still counts for that long, so the shares of
// the others grow only afterwards. The zero value is ready to use.
type entryCount struct {
	notes []countNote // oldest first; each holds until the next one
}

type countNote struct {
	at    time.Time
	count int
}

// most notes the number of entries and returns the largest one within span.
func (e *entryCount) most(now time.Time, span time.Duration, count int) int {
	if n := len(e.notes); n == 0 || e.notes[n-1].count != count {
		e.notes = append(e.notes, countNote{now, count})
	}
	for len(e.notes) > 1 && now.Sub(e.notes[1].at) > span {
		e.notes = e.notes[1:]
	}
	largest := 1
	for _, note := range e.notes {
		largest = max(largest, note.count)
	}
	return largest
}
