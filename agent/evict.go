package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"hyssoploom/config"
	"hyssoploom/link"
)

// defaultGrace is how long running requests may continue in a data centre that was
// taken out, if its record does not set a grace period.
const defaultGrace = 30 * time.Second

// evictedError is the cancellation cause of an answer that was ended so that its entry
// resumes it on another backend server.
type evictedError struct{ code string }

// Error returns a message with the code of the eviction.
func (e *evictedError) Error() string { return "run was moved: " + e.code }

// evictor tracks the running answers and can end all of them.
type evictor struct {
	mu   sync.Mutex
	next uint64
	runs map[uint64]context.CancelCauseFunc
}

// track registers a running answer. The returned context ends when the answer is
// evicted; the returned function must be called when the answer has ended.
func (e *evictor) track(ctx context.Context) (context.Context, context.CancelFunc) {
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

// evict ends all running answers with the given code and returns their number.
func (e *evictor) evict(code string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, cancel := range e.runs {
		cancel(&evictedError{code: code})
	}
	return len(e.runs)
}

// evictedCode returns the code with which ctx was evicted, or "" if it was not.
func evictedCode(ctx context.Context) string {
	var evicted *evictedError
	if errors.As(context.Cause(ctx), &evicted) {
		return evicted.code
	}
	return ""
}

// resumeMargin is how long before the end of a grace period answers are evicted. The
// entries need this time to resume them on other backend servers.
const resumeMargin = 2 * time.Second

// evictAfter returns the time from the start of a grace period to the eviction of the
// answers that still run: resumeMargin before its end, but not in its first half.
func evictAfter(grace time.Duration) time.Duration { return max(grace/2, grace-resumeMargin) }

// watchDataCentre evicts running answers shortly before the end of the grace period
// if this agent's data centre was taken out.
func (a *Agent) watchDataCentre(ctx context.Context) error {
	var outSince time.Time
	for {
		changed := a.snapshot.Changed()
		grace, out := a.dataCentreGrace()
		var evictTimer <-chan time.Time
		switch {
		case !out:
			outSince = time.Time{}
		case outSince.IsZero():
			outSince = time.Now()
			fallthrough
		default:
			evictTimer = time.After(time.Until(outSince.Add(evictAfter(grace))))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-evictTimer:
			if evicted := a.evictor.evict(link.CodeDataCentreOut); evicted > 0 {
				a.log.Info("Moving answers out of the data centre.", "answers", evicted)
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-changed:
			}
		}
	}
}

// dataCentreGrace reports whether this agent's data centre was taken out, and the
// grace period for running requests.
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
