package admission

import "time"

const (
	// maxReturns bounds the refusals that are remembered.
	maxReturns = 4096
	// returnTime is how long after it may return a client is expected.
	returnTime = 10 * time.Second
)

// Returns remembers the refused requests whose clients were told when to return, those of
// other entries too, because clients mostly return to another entry.
type Returns struct {
	refused map[uint64]Refusal
	order   []uint64 // oldest first; may hold keys that are no longer in refused
	// tolerance is the delay of the reports: a client can return before its entry's report.
	tolerance time.Duration
}

// Refusal is a refused request.
type Refusal struct {
	// Key identifies the request.
	Key uint64
	// At is when its client may return, and First when it first arrived.
	At, First time.Duration
}

// NewReturns returns an empty list. tolerance is how much earlier than by its entry's report
// a client may seem to return.
func NewReturns(tolerance time.Duration) *Returns {
	return &Returns{refused: make(map[uint64]Refusal), tolerance: tolerance}
}

// Add remembers a refusal, replacing an earlier one of the same request.
func (r *Returns) Add(f Refusal) {
	if _, known := r.refused[f.Key]; !known {
		r.order = append(r.order, f.Key)
	}
	r.refused[f.Key] = f
	for len(r.order) > maxReturns {
		delete(r.refused, r.order[0])
		r.order = r.order[1:]
	}
}

// Take removes the refusal of a request that has arrived, and reports whether its client has
// returned when it was told to.
func (r *Returns) Take(now time.Duration, key uint64) (Refusal, bool) {
	f, known := r.refused[key]
	if !known {
		return Refusal{}, false
	}
	delete(r.refused, key)
	if early := now < f.At-r.tolerance; early || now > f.At+returnTime {
		return Refusal{}, false
	}
	return f, true
}

// Len returns the number of refusals that are remembered.
func (r *Returns) Len() int { return len(r.refused) }

// Expire forgets the requests that are no longer expected.
func (r *Returns) Expire(now time.Duration) {
	kept := r.order[:0]
	for _, key := range r.order {
		if f, known := r.refused[key]; known && now <= f.At+returnTime {
			kept = append(kept, key)
			continue
		}
		delete(r.refused, key)
	}
	r.order = kept
}
