package intact

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// transport is a RoundTripper that returns intact heads only.
type transport struct{ base *http.Transport }

// Transport returns a RoundTripper that sends requests with base, reads their answers from a
// Conn each and checks their heads; below TLS it cannot check their lines. The error for a
// broken head wraps ErrBrokenHead. base must not have been used yet.
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
	return transport{base}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn
			if plain, ok := conn.(*Conn); ok {
				_ = plain.ExpectHead(nil) // nothing has been read that could be broken
			}
		},
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		response.Body.Close()
		if conn != nil {
			conn.Close() // base keeps it for other requests if the head states no body
		}
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of base.
func (t transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
