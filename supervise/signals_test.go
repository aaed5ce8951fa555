package supervise

import (
	"context"
	"errors"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"hyssoploom/telemetry"
)

// fakeDaemon takes drainTime to drain, and fails with the errors sent to serveErr.
type fakeDaemon struct {
	drainTime time.Duration
	serveErr  chan error
	drained   bool
}

func (d *fakeDaemon) Serve(ctx context.Context) error {
	select {
	case err := <-d.serveErr:
		return err
	case <-ctx.Done():
		return nil
	}
}

func (d *fakeDaemon) Drain(ctx context.Context) error {
	select {
	case <-time.After(d.drainTime):
		d.drained = true
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against a shutdown that skips the drain, a second signal that is ignored,
// and a failure of Serve that is reported as a graceful shutdown.
func TestRunUntilSignal(t *testing.T) {
	failure := errors.New("listener closed")
	tests := []struct {
		name         string
		trigger      func(d *fakeDaemon, signals chan<- os.Signal)
		wantErr      error
		wantDrained  bool
		wantDuration time.Duration
	}{
		{"one signal", func(_ *fakeDaemon, s chan<- os.Signal) { s <- syscall.SIGTERM }, nil, true, time.Minute},
		{"two signals", func(_ *fakeDaemon, s chan<- os.Signal) {
			s <- syscall.SIGTERM
			time.Sleep(time.Second)
			s <- syscall.SIGTERM
		}, ErrDrainAborted, false, time.Second},
		{"failure", func(d *fakeDaemon, _ chan<- os.Signal) { d.serveErr <- failure }, failure, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDaemon{drainTime: time.Minute, serveErr: make(chan error, 1)}
				signals := make(chan os.Signal, 2)
				go test.trigger(d, signals)
				start := time.Now()
				err := runUntilSignal(t.Context(), d, signals, telemetry.Discard())
				if !errors.Is(err, test.wantErr) || d.drained != test.wantDrained {
					t.Errorf("error %v, drained %t; want %v, %t", err, d.drained, test.wantErr, test.wantDrained)
				}
				if took := time.Since(start); took != test.wantDuration {
					t.Errorf("took %s, want %s", took, test.wantDuration)
				}
			})
		})
	}
}

// Guards against a Wait that returns while an operation runs that began after Wait
// was called.
func TestInflight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f Inflight
		end := f.Begin()
		go func() {
			time.Sleep(time.Second)
			second := f.Begin()
			end()
			end() // a second call must not decrement the count again
			time.Sleep(time.Second)
			second()
		}()
		start := time.Now()
		if err := f.Wait(t.Context()); err != nil || time.Since(start) != 2*time.Second {
			t.Errorf("Wait returned %v after %s, want nil after 2s", err, time.Since(start))
		}
		defer f.Begin()()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := f.Wait(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Wait with a running operation returned %v, want a deadline error", err)
		}
	})
}
