// Package liveness tells whether the process at the other end of a connection still ran
// when the connection ended. The kernel of a process that was killed closes its connections
// as if the process had done so itself.
package liveness

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"
)

const (
	// exitTime is the time in which the kernel closes all sockets of a process that has
	// ended. Until its listener is closed, a connection to it may still be established.
	exitTime = 50 * time.Millisecond
	// connects is the number of connections that Listens tries: a packet may be lost, and a
	// connection may be reset by a server that has too many.
	connects = 3
)

// Connect establishes a connection to the address of one that has just ended, after the
// time that a process takes to end. It returns the error of connect.
func Connect(ctx context.Context, connect func(context.Context) error) error {
	select {
	case <-time.After(exitTime):
		return connect(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Listens reports whether a process still listens at the address of a connection that has
// just ended. connect establishes a connection to it.
func Listens(ctx context.Context, connect func(context.Context) error) bool {
	reset := false
	for range connects {
		err := Connect(ctx, connect)
		switch {
		case err == nil:
			return true
		case errors.Is(err, syscall.ECONNREFUSED):
			return false
		}
		reset = errors.Is(err, syscall.ECONNRESET)
	}
	return reset // only a process that listens goes on to reset connections
}

// Refused reports whether connecting failed because nothing listens at the address.
func Refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// EndsWithConnection reports whether only the end of its connection ends the body of a
// response.
func EndsWithConnection(r *http.Response) bool {
	return r.Request.Method != http.MethodHead && r.ContentLength < 0 && len(r.TransferEncoding) == 0
}
