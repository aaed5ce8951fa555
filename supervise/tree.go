// Package supervise builds supervisor trees and handles the signals that stop
// a daemon.
package supervise

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/thejerf/suture/v4"

	"hyssoploom/telemetry"
)

// A service that fails more than failureThreshold times within
// failureDecay makes its supervisor wait for failureBackoff.
const (
	failureThreshold = 5
	failureDecay     = 30 * time.Second
	failureBackoff   = 2 * time.Second
	stopTimeout      = 5 * time.Second
)

// New returns a supervisor that restarts its services and logs why.
func New(name string, log *telemetry.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook: func(e suture.Event) {
			log.Warn("Supervisor reported an event.", "supervisor", name, "event", e.String())
		},
		FailureThreshold:         failureThreshold,
		FailureDecay:             failureDecay.Seconds(),
		FailureBackoff:           failureBackoff,
		Timeout:                  stopTimeout,
		PassThroughPanics:        true, // a panic is a broken invariant and stops the process
		DontPropagateTermination: true,
	})
}

// Func is a named function that runs as a service.
type Func struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve calls Run.
func (f Func) Serve(ctx context.Context) error { return f.Run(ctx) }

// String returns the name.
func (f Func) String() string { return f.Name }

// Every returns a service that calls f at each interval until ctx ends.
func Every(name string, interval time.Duration, f func(ctx context.Context)) Func {
	return EveryFunc(name, func() time.Duration { return interval }, f)
}

// EveryFunc returns a service that calls f until ctx ends, after the pause that
// interval returns each time.
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

// SharedInterval returns the interval at which each of n processes may make a call, so
// that all of them together stay within rate calls per second. It is at least
// shortest, and varies by a tenth so that the processes spread out.
func SharedInterval(shortest time.Duration, n int, rate float64) time.Duration {
	interval := max(shortest, time.Duration(float64(n)/rate*float64(time.Second)))
	return interval + time.Duration((rand.Float64()-0.5)*0.2*float64(interval))
}
