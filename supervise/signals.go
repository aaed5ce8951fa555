package supervise

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"hyssoploom/telemetry"
)

// ErrDrainAborted is returned by Run if a second signal ends a graceful shutdown
// early.
var ErrDrainAborted = errors.New("received a second signal; stopped before the drain was complete")

// Daemon is a process with a graceful shutdown.
type Daemon interface {
	// Serve runs the process until ctx ends or it fails.
	Serve(ctx context.Context) error
	// Drain refuses new work and returns when running work has finished, at the
	// latest after the daemon's own drain grace.
	Drain(ctx context.Context) error
}

// Run serves d until it fails or SIGTERM or SIGINT arrives. On a signal it drains d
// and returns the result of the drain. A second signal makes it return
// ErrDrainAborted at once.
func Run(ctx context.Context, d Daemon, log *telemetry.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	return runUntilSignal(ctx, d, signals, log)
}

// runUntilSignal is Run with the signals from a channel.
func runUntilSignal(ctx context.Context, d Daemon, signals <-chan os.Signal, log *telemetry.Logger) error {
	serveCtx, stop := context.WithCancel(ctx)
	defer stop()
	serveDone := make(chan error, 1)
	go func() { serveDone <- d.Serve(serveCtx) }()

	select {
	case err := <-serveDone:
		return err
	case s := <-signals:
		log.Info("Draining.", "signal", s.String())
	}
	drainDone := make(chan error, 1)
	go func() { drainDone <- d.Drain(serveCtx) }()
	select {
	case err := <-drainDone:
		stop()
		<-serveDone
		log.Info("Stopped.")
		return err
	case <-signals:
		return ErrDrainAborted
	}
}
