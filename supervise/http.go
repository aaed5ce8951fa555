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
	// maxHeaderBytes is above the limit of the entry, which answers in JSON.
	maxHeaderBytes = 256 << 10
)

// HTTP returns a service that serves handler on listener until ctx ends.
func HTTP(name string, listener net.Listener, handler http.Handler) Func {
	return Func{Name: name, Run: func(ctx context.Context) error {
		server := &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		}
		stopped := make(chan error, 1)
		go func() { stopped <- server.Serve(listener) }()
		select {
		case err := <-stopped:
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return err
		case <-ctx.Done():
			return errors.Join(ctx.Err(), server.Close())
		}
	}}
}
