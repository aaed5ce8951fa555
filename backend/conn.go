package backend

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"hyssoploom/internal/intact"
)

const readBufferBytes = 8 << 10

// conn is a connection to a backend server. A goroutine waits for the next byte, so
// that a close or an unexpected response is detected while the connection is idle.
type conn struct {
	pool    *Pool
	address string
	netConn net.Conn
	stream  *intact.Conn    // reads from and writes to netConn
	counter *countingReader // reads from stream
	reader  *bufio.Reader   // buffers counter

	readable  chan error    // receives nil when the next byte has arrived, or the read error
	rearm     chan struct{} // makes the goroutine wait for the next byte again
	closed    chan struct{}
	closeOnce sync.Once

	bodyPause bool      // the server may read a body more slowly than usual
	expires   time.Time // end of the idle timeout; zero on a new connection
}

func newConn(pool *Pool, address string, netConn net.Conn) *conn {
	stream := intact.NewConn(netConn)
	counter := &countingReader{source: stream, limit: unlimited}
	c := &conn{
		pool:     pool,
		address:  address,
		netConn:  netConn,
		stream:   stream,
		counter:  counter,
		reader:   bufio.NewReaderSize(counter, readBufferBytes),
		readable: make(chan error, 1),
		rearm:    make(chan struct{}),
		closed:   make(chan struct{}),
	}
	go c.watchReadable()
	return c
}

// watchReadable waits for the next byte before each response until the connection fails
// or is closed.
func (c *conn) watchReadable() {
	for {
		_, err := c.reader.Peek(1)
		c.readable <- err
		if err != nil {
			return
		}
		select {
		case <-c.rearm:
		case <-c.closed:
			return
		}
	}
}

// usable reports whether an idle connection can be used for a request: nothing has
// arrived on it, it has not failed and its idle timeout has not passed.
func (c *conn) usable() bool {
	return len(c.readable) == 0 && (c.expires.IsZero() || time.Now().Before(c.expires)) && !c.hasArrived()
}

// hasArrived reports whether the kernel holds bytes or the end of the connection that
// watchReadable has not seen yet, as it may run late on a busy machine.
func (c *conn) hasArrived() bool {
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true // the connection has ended
	}
	arrived := true
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		arrived = err != unix.EAGAIN && err != unix.EINTR
	})
	return err != nil || arrived
}

// release returns the connection to the pool after a complete exchange. It closes the
// connection if bytes follow the response, as they belong to no request, or if idle is
// not positive.
func (c *conn) release(idle time.Duration) {
	if idle <= 0 || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	select {
	case c.rearm <- struct{}{}:
	case <-c.closed:
		return
	}
	c.expires = time.Now().Add(idle)
	c.pool.putIdle(c)
}

func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.netConn.Close()
		c.pool.releaseSlot(c.address)
	})
}

// idleTimeout returns how long a connection may stay idle according to a Keep-Alive
// header, or defaultIdleTimeout if the header has no valid timeout.
func idleTimeout(keepAlive string) time.Duration {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil {
			return time.Duration(seconds*float64(time.Second)) - idleTimeoutMargin
		}
	}
	return defaultIdleTimeout
}
