// Package supervise builds supervision trees of services and shuts daemons down on
// signals.
package supervise

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thejerf/suture/v4"

	"hyssoploom/telemetry"
)

const (
	// After more than failureThreshold failures within failureDecay, a supervisor
	// waits for failureBackoff before it restarts failed services.
	failureThreshold = 5
	failureDecay     = 30 * time.Second
	failureBackoff   = 2 * time.Second
	// stopTimeout limits how long a supervisor waits for its services to stop.
	stopTimeout = 5 * time.Second
)

// New returns a supervisor that restarts failed services and logs each event.
func New(name string, log *telemetry.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook: func(e suture.Event) {
			log.Warn("Supervisor reported an event.", "supervisor", name, "event", e.String())
		},
		FailureThreshold:         failureThreshold,
		FailureDecay:             failureDecay.Seconds(),
		FailureBackoff:           failureBackoff,
		Timeout:                  stopTimeout,
		PassThroughPanics:        true, // a panic means a broken invariant and must stop the process
		DontPropagateTermination: true,
	})
}

// Func adapts a function to a suture.Service with a name.
type Func struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (f Func) Serve(ctx context.Context) error { return f.Run(ctx) }

// String returns the name, which appears in the supervisor's events.
func (f Func) String() string { return f.Name }

// Every returns a service that calls f repeatedly until its context ends, and waits
// for interval before each call.
func Every(name string, interval time.Duration, f func(ctx context.Context)) Func {
	return EveryFunc(name, func() time.Duration { return interval }, f)
}

// EveryFunc is like Every, but calls interval for the time to wait before each call
// of f.
func EveryFunc(name string, interval func() time.Duration, f func(ctx context.Context)) Func {
	return Func{Name: name, Run: func(ctx context.Context) error {
		for {
			timer := time.NewTimer(interval())
			select {
			case <-ctx.Done():
				timer.Stop()
				return ctx.Err()
			case <-timer.C:
				f(ctx)
			}
		}
	}}
}

// SharedInterval returns the interval at which each of n processes may make a call so
// that all of them together make at most rate calls per second on average. The
// interval is at least minimum. A random jitter of up to 10% either way is applied
// afterwards to spread the calls of the processes.
func SharedInterval(minimum time.Duration, n int, rate float64) time.Duration {
	interval := max(minimum, time.Duration(float64(n)/rate*float64(time.Second)))
	return interval + time.Duration((rand.Float64()-0.5)*0.2*float64(interval))
}
