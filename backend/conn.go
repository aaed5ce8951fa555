package backend

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const readBuffer = 8 << 10 // bytes

// conn is one connection. A goroutine of its own waits for the next byte, so
// that a close or an unexpected answer is noticed while the connection is idle.
type conn struct {
	pool    *Pool
	address string
	raw     net.Conn
	reader  *bufio.Reader

	readable chan error    // the next byte has arrived, or the connection failed
	resume   chan struct{} // the reader may be watched again
	closed   chan struct{}
	once     sync.Once

	expires time.Time // when an idle connection is no longer used
}

func newConn(pool *Pool, address string, raw net.Conn) *conn {
	c := &conn{
		pool:     pool,
		address:  address,
		raw:      raw,
		reader:   bufio.NewReaderSize(raw, readBuffer),
		readable: make(chan error, 1),
		resume:   make(chan struct{}),
		closed:   make(chan struct{}),
	}
	go c.watch()
	return c
}

func (c *conn) watch() {
	for {
		_, err := c.reader.Peek(1)
		c.readable <- err
		if err != nil {
			return
		}
		select {
		case <-c.resume:
		case <-c.closed:
			return
		}
	}
}

// usable tells whether an idle connection can take a request: nothing has
// arrived on it and it has not expired.
func (c *conn) usable() bool {
	return len(c.readable) == 0 && (c.expires.IsZero() || time.Now().Before(c.expires))
}

// release returns the connection to the pool after a complete exchange. Bytes
// that follow the answer belong to no request, so such a connection is closed.
func (c *conn) release(idle time.Duration) {
	if idle <= 0 || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	select {
	case c.resume <- struct{}{}:
	case <-c.closed:
		return
	}
	c.expires = time.Now().Add(idle)
	c.pool.putIdle(c)
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.closed)
		c.raw.Close()
		c.pool.forget(c.address)
	})
}

// idleLimit is how long a connection may stay idle by a Keep-Alive header.
func idleLimit(keepAlive string) time.Duration {
	for field := range strings.SplitSeq(keepAlive, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil {
			return time.Duration(seconds*float64(time.Second)) - idleMargin
		}
	}
	return defaultIdle
}
