package supervise

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"hyssoploom/telemetry"
)

// signalBuffer is the number of signals that wait to be handled. Further ones are dropped.
const signalBuffer = 16

// ErrDrainAborted is returned by Run if a second interrupt ends a graceful shutdown
// early.
var ErrDrainAborted = errors.New("received a second interrupt; stopped before the drain was complete")

// Daemon is a process with a graceful shutdown.
type Daemon interface {
	// Serve runs the process until ctx ends or it fails.
	Serve(ctx context.Context) error
	// Drain refuses new work and returns when running work has finished, at the
	// latest after the daemon's own drain grace.
	Drain(ctx context.Context) error
}

// IgnoreHangups keeps SIGHUP from ending the process where nothing handles it: before and
// after a daemon looks for changed settings.
func IgnoreHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// Run serves d until it fails, SIGTERM or SIGINT arrives, or ctx ends. It then drains d
// and returns the result of the drain. Signals during the drain are only logged, because a
// platform may ask for a stop more than once; but a second SIGINT, as from a terminal,
// makes it return ErrDrainAborted at once.
func Run(ctx context.Context, d Daemon, log *telemetry.Logger) error {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	return runUntilSignal(ctx, d, signals, log)
}

// runUntilSignal is Run with the signals from a channel.
func runUntilSignal(ctx context.Context, d Daemon, signals <-chan os.Signal, log *telemetry.Logger) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	serveDone := make(chan error, 1)
	go func() { serveDone <- d.Serve(serveCtx) }()

	interrupts := 0
	select {
	case err := <-serveDone:
		return err
	case s := <-signals:
		if s == os.Interrupt {
			interrupts++
		}
		log.Info("Draining.", "signal", s.String())
	case <-ctx.Done():
		log.Info("Draining.", "signal", "during the start")
	}
	drainDone := make(chan error, 1)
	go func() { drainDone <- d.Drain(serveCtx) }()
	for {
		select {
		case err := <-drainDone:
			stop()
			<-serveDone
			log.Info("Stopped.")
			return err
		case s := <-signals:
			if s == os.Interrupt {
				interrupts++
			}
			if interrupts > 1 {
				return ErrDrainAborted
			}
			log.Info("Already draining.", "signal", s.String())
		}
	}
}
