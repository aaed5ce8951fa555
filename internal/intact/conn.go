// Package intact tells intact answers from broken ones on the connections of HTTP/1 clients.
package intact

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"hyssoploom/internal/sockets"
)

// Conn is a connection on which answers are read. Read returns io.EOF only if the peer has
// ended its sending side, so that an answer without a length is complete as far as the
// connection can tell. On other connections io.EOF may also stand for a reset or a time-out:
// the kernel reports the error of a connection once, and if a write takes it, the next read
// returns a plain end.
type Conn struct {
	net.Conn

	// writing is held during a write. failure, which it guards, is the error of the first
	// write with which the kernel reported that the connection had failed.
	writing sync.Mutex
	failure error

	headMu sync.Mutex // guards head: another goroutine than that of Read may expect a head
	head   headLines
}

// NewConn returns a Conn that reads from and writes to c. Nothing else may do so.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isConnectionFailure(err) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endError()
	}
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if headErr := c.head.check(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// ExpectHead makes Read check the lines of the head of the next answer, and of interim ones
// before it. received are the bytes of it that have been read already. Read and ExpectHead
// return an error that wraps ErrBrokenHead if a line is broken.
func (c *Conn) ExpectHead(received []byte) error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head.begin()
	return c.head.check(received)
}

// endError returns io.EOF if the end that a read has just returned is that of the peer's
// sending side, and the failure of the connection otherwise.
func (c *Conn) endError() error {
	if !c.writing.TryLock() {
		if sockets.PeerHasEnded(c.Conn) {
			return io.EOF // the peer may read the rest of the request for as long as it likes
		}
		c.writing.Lock() // on a connection that has failed, the write returns at once
	}
	defer c.writing.Unlock()
	if c.failure != nil {
		return c.failure
	}
	return io.EOF
}

// isConnectionFailure reports whether the error of a write shows that the connection failed
// before the peer had ended its sending side. After that, the kernel reports EPIPE.
func isConnectionFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
