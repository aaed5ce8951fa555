package supervise

import (
	"context"
	"errors"
	"net"
	"net/http"

	"hyssoploom/internal/ingress"
)

// maxHeaderBytes is above the limits of the guards.
const maxHeaderBytes = 16 << 20

// HTTP returns a service that serves handler on listener, which is one of an
// ingress.Guard, until its context ends, and then closes all connections.
func HTTP(name string, listener net.Listener, handler http.Handler) Func {
	return Func{Name: name, Run: func(ctx context.Context) error {
		server := &http.Server{
			Handler:        handler,
			ConnState:      ingress.ConnState,
			MaxHeaderBytes: maxHeaderBytes,
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
