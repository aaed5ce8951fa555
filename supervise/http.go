package supervise

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes is above the entry's own limit, so that headers over that limit
	// reach the entry and are refused with its JSON error.
	maxHeaderBytes = 256 << 10
)

// HTTP returns a service that serves handler on listener until its context ends, and
// then closes all connections.
func HTTP(name string, listener net.Listener, handler http.Handler) Func {
	return Func{Name: name, Run: func(ctx context.Context) error {
		server := &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}
		serveErr := make(chan error, 1)
		go func() { serveErr <- server.Serve(listener) }()
		select {
		case err := <-serveErr:
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return err
		case <-ctx.Done():
			return errors.Join(ctx.Err(), server.Close())
		}
	}}
}
