package supervise

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"hyssoploom/telemetry"
)

// ErrDrainAborted reports that a second signal cut a graceful shutdown short.
var ErrDrainAborted = errors.New("second signal, stopped without draining")

// Daemon is a process with a graceful shutdown.
type Daemon interface {
	// Serve runs until ctx ends.
	Serve(ctx context.Context) error
	// Drain refuses new work, finishes what runs and returns. It is bounded by
	// the daemon's own drain grace.
	Drain(ctx context.Context) error
}

// Run serves d until it fails or a SIGTERM or SIGINT arrives; then it drains d
// and returns nil. A second signal ends the drain at once.
func Run(ctx context.Context, d Daemon, log *telemetry.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	return runUntil(ctx, d, signals, log)
}

func runUntil(ctx context.Context, d Daemon, signals <-chan os.Signal, log *telemetry.Logger) error {
	serveCtx, stop := context.WithCancel(ctx)
	defer stop()
	served := make(chan error, 1)
	go func() { served <- d.Serve(serveCtx) }()

	select {
	case err := <-served:
		return err
	case s := <-signals:
		log.Info("Draining.", "signal", s.String())
	}
	drained := make(chan error, 1)
	go func() { drained <- d.Drain(serveCtx) }()
	select {
	case err := <-drained:
		stop()
		<-served
		log.Info("Stopped.")
		return err
	case <-signals:
		return ErrDrainAborted
	}
}
