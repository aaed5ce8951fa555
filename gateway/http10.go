package gateway

import (
	"context"
	"net"
	"net/http"
)

// A client of HTTP/1.0 takes the end of its connection for the end of a response without a
// length. While such a response is not complete, closing the connection must reset it, also
// when it is the kernel that closes it after the end of this process.

type connKey struct{}

// withConn is the http.Server.ConnContext that makes connections available to
// resetUnlessComplete.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// resetUnlessComplete makes the end of the connection of an HTTP/1.0 request a reset until
// the returned function is called.
func resetUnlessComplete(r *http.Request) (complete func()) {
	conn, ok := r.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error })
	if !ok || r.ProtoAtLeast(1, 1) {
		return func() {}
	}
	// The calls fail only if the connection has ended.
	_ = conn.SetLinger(0)
	return func() { _ = conn.SetLinger(-1) }
}
