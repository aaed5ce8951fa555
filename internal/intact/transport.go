package intact

import (
	"context"
	"net"
	"net/http"
)

// Transport makes base, which has not been used yet, read its answers from a Conn each.
func Transport(base *http.Transport) http.RoundTripper {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return base
}
