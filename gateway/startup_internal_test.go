package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against requests that are rejected between the start of an entry and its first
// read of the store, and against requests that are held although the store does not
// respond.
func TestStartupHold(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name                        string
		loadedAt                    time.Duration // 0 means never
		arrival, clientTimeout, end time.Duration
	}{
		{"until the store has been read", 140 * ms, 10 * ms, 6 * time.Second, 140 * ms},
		{"a request after the store has been read", 140 * ms, 300 * ms, 6 * time.Second, 300 * ms},
		{"the store does not respond", 0, 10 * ms, 6 * time.Second, maxStartupHold},
		{"a request after the hold time", 0, 2 * time.Second, 6 * time.Second, 2 * time.Second},
		{"a client with a short timeout", 0, 0, 1200 * ms, 300 * ms},
		{"a client without a timeout", 0, 0, 0, maxStartupHold},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				s := newStartup()
				go s.watch(t.Context(), func() bool { return c.loadedAt > 0 && time.Since(began) >= c.loadedAt })
				time.Sleep(c.arrival)
				s.hold(t.Context(), c.clientTimeout)
				if got := time.Since(began); got != c.end {
					t.Errorf("held until %v, want %v", got, c.end)
				}
			})
		})
	}
}

// Guards against requests that are held after their clients have disconnected, and
// against a goroutine that outlives the entry.
func TestStartupEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		s := newStartup()
		ctx, stop := context.WithCancel(t.Context())
		var watched atomic.Bool
		go func() {
			s.watch(ctx, func() bool { return false })
			watched.Store(true)
		}()
		clientCtx, disconnect := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer disconnect()
		s.hold(clientCtx, 0)
		if got := time.Since(began); got != 50*time.Millisecond {
			t.Errorf("held for %v after the client disconnected", got-50*time.Millisecond)
		}
		stop()
		synctest.Wait()
		if !watched.Load() {
			t.Error("the startup goroutine continues after the entry has stopped")
		}
	})
}
