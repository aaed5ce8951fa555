package intact

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// beyondBuffers is more than the kernel holds for a peer that does not read.
const beyondBuffers = 16 << 20

// dialPeer returns a Conn and the other end of its connection.
func dialPeer(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); peer.Close() })
	return NewConn(conn), peer.(*net.TCPConn)
}

// reset closes a connection without an orderly end.
func reset(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}

// writeUntilError writes until the connection has failed.
func writeUntilError(t *testing.T, conn net.Conn) error {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if _, err := conn.Write([]byte("upload")); err != nil {
			return err
		}
	}
	t.Fatal("the connection did not fail")
	return nil
}

// Guards against a reset that is taken for the end of an answer, because the kernel has
// reported it to a write, and against an orderly end that is taken for a reset, because the
// peer does not read on.
func TestEndOfConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		end   func(*net.TCPConn)
		write error // of the write before the end is read
		read  error // nil for an orderly end
	}{
		{"reset", reset, syscall.ECONNRESET, syscall.ECONNRESET},
		{"closed", func(peer *net.TCPConn) { peer.Close() }, syscall.EPIPE, nil},
		{"sending side closed, then reset", func(peer *net.TCPConn) { peer.CloseWrite(); reset(peer) }, syscall.EPIPE, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, peer := dialPeer(t)
			io.WriteString(peer, "part")
			c.end(peer)
			if err := writeUntilError(t, conn); !errors.Is(err, c.write) {
				t.Errorf("write: %v, want %v", err, c.write)
			}
			if got, err := io.ReadAll(conn); string(got) != "part" || !errors.Is(err, c.read) {
				t.Errorf("read %q, %v, want error %v", got, err, c.read)
			}
		})
	}
}

// Guards against a reset that is taken for the end of an answer while the upload is written
// beside.
func TestResetWhileWriting(t *testing.T) {
	for range 200 {
		conn, peer := dialPeer(t)
		wrote := make(chan error, 1)
		go func() {
			_, err := conn.Write(make([]byte, beyondBuffers))
			wrote <- err
		}()
		io.WriteString(peer, "part")
		io.CopyN(io.Discard, peer, 64<<10) // the write goes on
		reset(peer)
		if got, err := io.ReadAll(conn); err == nil {
			t.Fatalf("read %q as a whole answer; write: %v", got, <-wrote)
		}
		<-wrote
	}
}

// Guards against an answer that waits for the upload, or is lost, although the peer has ended
// its sending side and reads on late.
func TestEndBeforeUpload(t *testing.T) {
	conn, peer := dialPeer(t)
	upload := bytes.Repeat([]byte("u"), beyondBuffers)
	wrote := make(chan error, 1)
	go func() {
		_, err := conn.Write(upload)
		wrote <- err
	}()
	io.CopyN(io.Discard, peer, 64<<10)
	io.WriteString(peer, "whole")
	peer.CloseWrite()
	if got, err := io.ReadAll(conn); string(got) != "whole" || err != nil {
		t.Errorf("read %q, %v", got, err)
	}
	select {
	case err := <-wrote:
		t.Errorf("the upload ended before the peer had read it: %v", err)
	default:
	}
	if n, err := io.CopyN(io.Discard, peer, int64(len(upload)-64<<10)); err != nil {
		t.Errorf("the peer got %d more bytes, %v", n, err)
	}
	if err := <-wrote; err != nil {
		t.Errorf("upload: %v", err)
	}
}

// Guards against taking the end of a connection that is not TCP for a failure.
func TestEndOfOtherConnections(t *testing.T) {
	client, server := net.Pipe()
	go func() {
		io.WriteString(server, "whole")
		server.Close()
	}()
	if got, err := io.ReadAll(NewConn(client)); string(got) != "whole" || err != nil {
		t.Errorf("read %q, %v", got, err)
	}
}
