package standin

import (
	"context"
	"fmt"
	"time"

	"hyssoploom/dialect"
)

var errDown = fmt.Errorf("%w: stand-in is switched off", dialect.ErrUnavailable)

// faults holds the faults to inject into calls of a Store.
type faults struct {
	down          bool
	delay         time.Duration
	loseResponses int // number of compare-and-swaps left to fail after they were applied
	dropRequests  int // number of compare-and-swaps left to fail without being applied
	watchesHang   bool
}

// SetDown makes every call, including waiting watches, fail with
// dialect.ErrUnavailable.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	s.notifyWatches()
}

// SetDelay delays each call before it takes effect.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// LoseResponses makes the next n compare-and-swaps fail with
// dialect.ErrUnknownOutcome after they were applied.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseResponses = n
}

// DropRequests makes the next n compare-and-swaps fail with
// dialect.ErrUnknownOutcome without being applied.
func (s *Store) DropRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.dropRequests = n
}

// SetWatchesHang makes waiting and new watches hang until their callers give
// up, like calls on a dead connection. Watches that already hang continue to
// hang after the fault is switched off; new ones work.
func (s *Store) SetWatchesHang(watchesHang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchesHang = watchesHang
	s.notifyWatches()
}

// SetHistoryLimit sets the number of past changes kept for watches.
func (s *Store) SetHistoryLimit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = n
	if over := len(s.events) - n; over > 0 {
		s.events = s.events[over:]
	}
}

// consumeFault decrements the number of faults left, and reports whether there
// was one.
func consumeFault(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// beginCall counts a call and applies the faults that precede its effect.
func (s *Store) beginCall(ctx context.Context, write bool) error {
	s.mu.Lock()
	if write {
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	down, delay := s.faults.down, s.faults.delay
	s.mu.Unlock()
	if delay > 0 {
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return canceledCallError(ctx, write)
		}
	}
	if down {
		return errDown
	}
	return nil
}

// canceledCallError is the error of a call whose context ended before it took
// effect, as a client would report it.
func canceledCallError(ctx context.Context, write bool) error {
	if write {
		return fmt.Errorf("%w: %w", dialect.ErrUnknownOutcome, ctx.Err())
	}
	return fmt.Errorf("%w: %w", dialect.ErrUnavailable, ctx.Err())
}
