package ingress

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// retryAfterSeconds is the Retry-After of a request that finds no room: unfinished heads
	// give theirs back within seconds.
	retryAfterSeconds = 1
	// lingerTime and lingerBytes limit what is read and dropped after a refusal. Closing a
	// connection with unread bytes would reset it and take the refusal from the client.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// stallTime is how long a client may take nothing of an answer before its connection may
	// be closed to make room. A retransmission after one loss takes under a second.
	stallTime = 2 * time.Second
	// checkBodyTime is how long the body of a readiness check or the like is awaited, which has
	// none.
	checkBodyTime = time.Second
	// refusalWriteTime limits the write of a refusal.
	refusalWriteTime = 100 * time.Millisecond
)

// errRefused ends a connection after a refusal. Its form is one to which net/http does not
// respond itself.
var errRefused error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the client is outside the limits")}

// Conn is a connection of a client. While no request runs on it, what it reads is counted,
// and its read deadline is set by the limits on heads instead of SetReadDeadline.
type Conn struct {
	net.Conn
	guard   *Guard
	holder  holder
	release sync.Once
	// authenticated is set for links whose other side has proved that it belongs to the fleet.
	authenticated atomic.Bool

	// The goroutine that serves the connection owns these. requestRuns is set while net/http
	// knows a request, during which another goroutine may read.
	requestRuns bool
	head        head
	limits      Limits
	headStart   time.Time
	headTimed   bool // the deadline of the head is in force
	// more tells that bytes after the last head have been read, so that the next head may
	// have begun in net/http's buffer.
	more bool
	// unseen tells that the beginning of the head was read with the request before it.
	unseen bool

	writeMu sync.Mutex
	// writeDeadline was set by SetWriteDeadline; stallDeadline is the one in force otherwise.
	writeDeadline, stallDeadline time.Time
}

// startWaiting prepares for the first request.
func (c *Conn) startWaiting() {
	if c.holder.group != links {
		c.setReadDeadline(c.guard.config.HeadTimeout())
	}
}

// setReadDeadline ignores errors: they mean that the connection has ended, which the next
// read reports.
func (c *Conn) setReadDeadline(after time.Duration) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(after))
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.holder.group == links {
		return c.readMessage(p)
	}
	if c.requestRuns {
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.more = true
		}
		return n, err
	}
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			kept, refusal := c.readHead(p[:n])
			if refusal != nil {
				return 0, refusal
			}
			n = copy(p, kept)
		}
		if n > 0 || err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.headStart.IsZero() {
				c.guard.reportEvent("Closed a connection whose head did not arrive in time.", "clients_head_timeouts", "client", c.holder.address)
			}
			return n, err
		}
	}
}

// readHead counts bytes of a head. It returns those that net/http may see, or an error if
// the connection was refused.
func (c *Conn) readHead(p []byte) ([]byte, error) {
	first := c.headStart.IsZero()
	if first {
		c.limits = c.guard.config.HeadLimits()
	}
	kept, v := p, none
	if !c.head.begun {
		kept, v = c.head.dropEmptyLines(p, c.limits)
	}
	if v == none && len(kept) == 0 {
		return nil, nil
	}
	if first {
		c.headStart = time.Now()
		c.guard.setPhase(&c.holder, undecided)
	}
	if c.head.ended {
		c.head.ended, c.head.endless = false, true
		c.more = true // the end of this head cannot be found
		c.guard.setPhase(&c.holder, undecided)
	}
	var size, fields int
	if v == none {
		size, fields, v = c.head.add(kept, c.limits)
	}
	if v != none {
		return nil, c.refuseHead(v)
	}
	if !c.guard.grow(&c.holder, int64(size*byteCost+fields*fieldCost), first && c.head.ended) {
		return nil, c.refuse(http.StatusServiceUnavailable, "no_room")
	}
	if c.head.ended {
		c.more = size < len(kept)
	}
	if c.head.ended && !c.unseen {
		c.guard.setPhase(&c.holder, serving)
	} else if !c.headTimed {
		c.headTimed = true
		c.setReadDeadline(time.Until(c.headStart.Add(c.guard.config.HeadTimeout())))
	}
	return kept, nil
}

func (c *Conn) refuseHead(v violation) error {
	status := http.StatusRequestHeaderFieldsTooLarge
	if v == tooManyEmptyLines {
		status = http.StatusBadRequest
	}
	c.guard.reportEvent("Refused a head outside the limits.", "clients_refused_"+string(v), "client", c.holder.address,
		"bytes", c.head.bytes, "fields", c.head.fields, "empty_lines", c.head.emptyLines)
	return c.refuse(status, string(v))
}

// refuse writes a refusal of the request whose head is being read. No request runs, so that
// it is the next answer on the connection. The error of the write is ignored, because the
// connection is closed next.
func (c *Conn) refuse(status int, reason string) error {
	body := fmt.Sprintf(`{"error":%q,"run":"not_run"}`+"\n", reason)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds)
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), retry, len(body), body)
	if c.CloseWrite() == nil {
		c.setReadDeadline(lingerTime)
		// The client may end, fail, or go on; in each case the connection is closed.
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return errRefused
}

// beginRequest follows the end of a head.
func (c *Conn) beginRequest() {
	if c.requestRuns {
		return
	}
	c.requestRuns = true
	if !c.head.ended || c.unseen { // the head arrived with the request before it
		c.guard.setPhase(&c.holder, serving)
	}
	if c.holder.group == checks {
		c.setReadDeadline(checkBodyTime)
	} else {
		_ = c.Conn.SetReadDeadline(time.Time{}) // see setReadDeadline
	}
}

// endRequest follows the end of an answer.
func (c *Conn) endRequest() {
	c.requestRuns = false
	c.head, c.headStart, c.headTimed, c.unseen = head{begun: c.more}, time.Time{}, false, c.more
	c.guard.setPhase(&c.holder, idle)
	c.setReadDeadline(c.guard.config.IdleTimeout())
}

// readMessage reads bytes of a message.
func (c *Conn) readMessage(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.authenticated.Load() && !c.guard.grow(&c.holder, int64(n)*messageByteCost, false) {
		return 0, errRefused
	}
	return n, err
}

// MessageReceived tells that all bytes that were read belong to messages that have been
// received and dealt with.
func (c *Conn) MessageReceived() { c.guard.settle(&c.holder) }

// Authenticated tells that the other side has proved that it belongs to the fleet. What it
// sends is no longer counted, and the connection is not closed to make room.
func (c *Conn) Authenticated() {
	c.authenticated.Store(true)
	c.guard.settle(&c.holder)
}

// SetReadDeadline implements net.Conn. While a head is awaited or read, the guard's own
// deadline stays in force.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.holder.group != links && !c.requestRuns {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetWriteDeadline implements net.Conn. Without a deadline, a write still ends when the
// client takes nothing for the guard's WriteTimeout.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if t.IsZero() && c.writeDeadline.IsZero() {
		return nil
	}
	c.writeDeadline, c.stallDeadline = t, time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	var stalledSince time.Time
	for {
		own, err := c.extendStallDeadline()
		if err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if n > 0 && !stalledSince.IsZero() {
			stalledSince = time.Time{}
			c.guard.setPhase(&c.holder, serving)
		}
		if !own || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		switch now := time.Now(); {
		case n > 0: // the client reads slowly
		case stalledSince.IsZero():
			stalledSince = now.Add(-stallTime)
			c.guard.setPhase(&c.holder, stalled)
		case now.Sub(stalledSince) > c.guard.config.WriteTimeout:
			c.guard.reportEvent("Closed a connection whose client does not read.", "clients_write_timeouts", "client", c.holder.address)
			return written, err
		}
	}
}

// extendStallDeadline moves the guard's own write deadline when half of it has passed. It
// returns false if another one is in force.
func (c *Conn) extendStallDeadline() (own bool, err error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if !c.writeDeadline.IsZero() {
		return false, nil
	}
	if now := time.Now(); c.stallDeadline.Sub(now) < stallTime/2 {
		c.stallDeadline = now.Add(stallTime)
		return true, c.Conn.SetWriteDeadline(c.stallDeadline)
	}
	return true, nil
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SetLinger sets what happens to unsent bytes when the connection is closed, as
// net.TCPConn.SetLinger does. It fails if the connection is not one of TCP.
func (c *Conn) SetLinger(seconds int) error {
	conn, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return conn.SetLinger(seconds)
}

// CloseWrite closes the writing side, which net/http does before it drops unread bytes. It
// fails if the connection is not one of TCP.
func (c *Conn) CloseWrite() error {
	conn, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return conn.CloseWrite()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.release.Do(func() { c.guard.remove(&c.holder) })
	return err
}

// closeSocket ends a connection that the account has removed. Its reader fails next. The
// error is ignored: the connection may have ended already.
func (c *Conn) closeSocket() { _ = c.Conn.Close() }
