package fakenet

import (
	"bufio"
	"net"
	"net/http"
	"testing"
)

// ServeRaw starts a server on the loopback interface that answers the first request of each
// connection with answer, after its head, and then closes the connection. It returns the
// server's URL.
func ServeRaw(t testing.TB, answer func(conn *net.TCPConn, r *http.Request)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the listener was closed
			}
			go func() {
				defer conn.Close()
				if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}
