// Package supervise builds supervisor trees and handles the signals that stop
// a daemon.
package supervise

import (
	"context"
	"fmt"
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
	return Func{Name: fmt.Sprintf("%s every %s", name, interval), Run: func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
				f(ctx)
			}
		}
	}}
}
