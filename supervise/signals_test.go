package supervise

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"
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

// Guards against a shutdown that skips the drain, a drain that a repeated request to stop cuts
// short, a second interrupt at a terminal that is ignored, and a stop that is lost because it
// is asked for while the process starts.
func TestRunUntilSignal(t *testing.T) {
	const term, interrupt = syscall.SIGTERM, syscall.SIGINT
	failure := errors.New("listener closed")
	for _, test := range []struct {
		name string
		// signals are sent one second apart.
		signals      []os.Signal
		ctxEnds      bool
		serveErr     error
		wantErr      error
		wantDuration time.Duration
	}{
		{"SIGTERM", []os.Signal{term}, false, nil, nil, time.Minute},
		{"SIGINT", []os.Signal{interrupt}, false, nil, nil, time.Minute},
		{"SIGTERM twice", []os.Signal{term, term}, false, nil, nil, time.Minute},
		{"SIGTERM in a series", slices.Repeat([]os.Signal{term}, 3*signalBuffer), false, nil, nil, time.Minute},
		{"SIGTERM, then SIGINT", []os.Signal{term, interrupt}, false, nil, nil, time.Minute},
		{"SIGINT, then SIGTERM", []os.Signal{interrupt, term}, false, nil, nil, time.Minute},
		{"SIGINT twice", []os.Signal{interrupt, interrupt}, false, nil, ErrDrainAborted, time.Second},
		{"SIGTERM, then SIGINT twice", []os.Signal{term, interrupt, interrupt}, false, nil, ErrDrainAborted, 2 * time.Second},
		{"SIGINT, SIGTERM, SIGINT", []os.Signal{interrupt, term, interrupt}, false, nil, ErrDrainAborted, 2 * time.Second},
		{"stop during the start", nil, true, nil, nil, time.Minute},
		{"stop during the start, then SIGTERM", []os.Signal{term}, true, nil, nil, time.Minute},
		{"failure", nil, false, failure, failure, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDaemon{drainTime: time.Minute, serveErr: make(chan error, 1)}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if test.ctxEnds {
					cancel()
				}
				if test.serveErr != nil {
					d.serveErr <- test.serveErr
				}
				signals := make(chan os.Signal, signalBuffer)
				ended := make(chan struct{})
				var sender sync.WaitGroup
				defer func() {
					close(ended)
					sender.Wait()
				}()
				sender.Go(func() {
					for _, s := range test.signals {
						select {
						case signals <- s:
							time.Sleep(time.Second)
						case <-ended:
							return
						}
					}
				})
				start := time.Now()
				err := runUntilSignal(ctx, d, signals, telemetry.Discard())
				if wantDrained := test.wantErr == nil; !errors.Is(err, test.wantErr) || d.drained != wantDrained {
					t.Errorf("error %v, drained %t; want %v, %t", err, d.drained, test.wantErr, wantDrained)
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
