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

// slowDaemon drains for a while and fails to serve when told so.
type slowDaemon struct {
	drainTime time.Duration
	fail      chan error
	drained   bool
}

func (d *slowDaemon) Serve(ctx context.Context) error {
	select {
	case err := <-d.fail:
		return err
	case <-ctx.Done():
		return nil
	}
}

func (d *slowDaemon) Drain(ctx context.Context) error {
	select {
	case <-time.After(d.drainTime):
		d.drained = true
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against a stop that skips the drain, a second signal that is ignored,
// and a failure that looks like a planned stop.
func TestRunUntil(t *testing.T) {
	failure := errors.New("listener closed")
	tests := []struct {
		name    string
		act     func(d *slowDaemon, signals chan<- os.Signal)
		want    error
		drained bool
		took    time.Duration
	}{
		{"one signal", func(_ *slowDaemon, s chan<- os.Signal) { s <- syscall.SIGTERM }, nil, true, time.Minute},
		{"two signals", func(_ *slowDaemon, s chan<- os.Signal) {
			s <- syscall.SIGTERM
			time.Sleep(time.Second)
			s <- syscall.SIGTERM
		}, ErrDrainAborted, false, time.Second},
		{"failure", func(d *slowDaemon, _ chan<- os.Signal) { d.fail <- failure }, failure, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &slowDaemon{drainTime: time.Minute, fail: make(chan error, 1)}
				signals := make(chan os.Signal, 2)
				go test.act(d, signals)
				start := time.Now()
				err := runUntil(t.Context(), d, signals, telemetry.Discard())
				if !errors.Is(err, test.want) || d.drained != test.drained {
					t.Errorf("error %v, drained %t; want %v, %t", err, d.drained, test.want, test.drained)
				}
				if took := time.Since(start); took != test.took {
					t.Errorf("took %s, want %s", took, test.took)
				}
			})
		})
	}
}

// Guards against a wait that misses work which began after it.
func TestInflight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f Inflight
		end := f.Begin()
		go func() {
			time.Sleep(time.Second)
			second := f.Begin()
			end()
			end() // a second call must not count twice
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
			t.Errorf("Wait with running work returned %v", err)
		}
	})
}
