package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"hyssoploom/config"
	"hyssoploom/link"
)

// defaultGrace is how long running work may go on in a data centre that was
// taken out, when its record does not say.
const defaultGrace = 30 * time.Second

// evictedError is the cause of a run that was ended so that its entry resumes
// it on another backend server.
type evictedError struct{ code string }

// Error returns the code.
func (e *evictedError) Error() string { return "run was moved: " + e.code }

// evictor can end all running answers.
type evictor struct {
	mu   sync.Mutex
	next uint64
	runs map[uint64]context.CancelCauseFunc
}

// run returns a context that ends when the answer is evicted.
func (e *evictor) run(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs == nil {
		e.runs = make(map[uint64]context.CancelCauseFunc)
	}
	e.next++
	id := e.next
	e.runs[id] = cancel
	return ctx, func() {
		e.mu.Lock()
		delete(e.runs, id)
		e.mu.Unlock()
		cancel(context.Canceled)
	}
}

// evict ends all running answers with the code and returns their number.
func (e *evictor) evict(code string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, cancel := range e.runs {
		cancel(&evictedError{code: code})
	}
	return len(e.runs)
}

// evictedCode returns the code of an eviction, or "".
func evictedCode(ctx context.Context) string {
	var evicted *evictedError
	if errors.As(context.Cause(ctx), &evicted) {
		return evicted.code
	}
	return ""
}

// resumeTime is what is left of a grace when answers are moved, for their
// entries to resume them elsewhere.
const resumeTime = 2 * time.Second

// moveAfter returns when in a grace the answers that still run are moved.
func moveAfter(grace time.Duration) time.Duration { return max(grace/2, grace-resumeTime) }

// followDataCentre moves running answers away shortly before the grace of a
// data centre that was taken out ends.
func (a *Agent) followDataCentre(ctx context.Context) error {
	var outSince time.Time
	for {
		changed := a.snapshot.Changed()
		grace, out := a.dataCentreGrace()
		var move <-chan time.Time
		switch {
		case !out:
			outSince = time.Time{}
		case outSince.IsZero():
			outSince = time.Now()
			fallthrough
		default:
			move = time.After(time.Until(outSince.Add(moveAfter(grace))))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-move:
			if moved := a.evictor.evict(link.CodeDataCentreOut); moved > 0 {
				a.log.Info("Moving answers out of the data centre.", "answers", moved)
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-changed:
			}
		}
	}
}

// dataCentreGrace returns the grace of this agent's data centre, and whether it
// was taken out.
func (a *Agent) dataCentreGrace() (grace time.Duration, out bool) {
	centre, ok := a.snapshot.View().DataCentres[a.settings.DataCentre]
	if !ok || centre.State != config.DataCentreOut {
		return 0, false
	}
	if centre.Grace <= 0 {
		return defaultGrace, true
	}
	return centre.Grace.AsDuration(), true
}
