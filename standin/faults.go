package standin

import (
	"context"
	"fmt"
	"time"

	"hyssoploom/dialect"
)

var errDown = fmt.Errorf("%w: stand-in is switched off", dialect.ErrUnavailable)

// faults are the fault switches of a Store.
type faults struct {
	down          bool
	delay         time.Duration
	loseResponses int
	dropRequests  int
	watchesHang   bool
}

// SetDown makes every call fail with dialect.ErrUnavailable. Waiting watches
// end with the same error.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.down = down
	s.notifyWatches()
}

// SetDelay delays each call before it has an effect.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// LoseResponses makes the next n compare-and-swaps end with an unknown outcome
// after they were performed.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseResponses = n
}

// DropRequests makes the next n compare-and-swaps end with an unknown outcome
// without being performed.
func (s *Store) DropRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.dropRequests = n
}

// SetWatchesHang makes waiting and new watches hang until their callers give
// up, as connections do that have gone silent. Watches that hang stay silent
// when the switch is turned off; new ones work.
func (s *Store) SetWatchesHang(watchesHang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.watchesHang = watchesHang
	s.notifyWatches()
}

// SetHistoryLimit sets the number of changes that watches can go back.
func (s *Store) SetHistoryLimit(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = n
	if over := len(s.events) - n; over > 0 {
		s.events = s.events[over:]
	}
}

// consumeFault consumes one of n faults.
func consumeFault(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// beginCall counts a call and applies the switches that come before its effect.
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

func canceledCallError(ctx context.Context, write bool) error {
	if write {
		return fmt.Errorf("%w: %w", dialect.ErrUnknownOutcome, ctx.Err())
	}
	return fmt.Errorf("%w: %w", dialect.ErrUnavailable, ctx.Err())
}
