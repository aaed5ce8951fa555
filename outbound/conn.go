package outbound

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hyssoploom/limits"
)

// Answer describes the answer that is written next.
type Answer struct {
	Workspace string
	// Deadline is the time until which the client may read the answer.
	Deadline time.Time
	// Stall is the longest time for which the client may read nothing of it.
	Stall time.Duration
}

// Conn is a connection whose Write does not wait for the client. A goroutine exists only
// while something is queued.
type Conn struct {
	*net.TCPConn
	group *Group
	raw   syscall.RawConn

	mu sync.Mutex
	// err is set once the client has been cut off.
	err    error
	answer Answer
	hold   *limits.MemoryHold
	// blocks are queued, and queued is their size with that of the block that is being
	// written. reserved is memory that was taken for the answer before it is written.
	blocks           [][]byte
	queued, reserved int64
	draining         bool
	// linger is the value to set when nothing is queued any more, if lingerSet.
	linger               int
	lingerSet            bool
	closeWrite, closeAll bool // to be done when nothing is queued any more

	// now and its result are the arguments of writeNow's system call.
	now      []byte
	written  int
	writeErr error
	try      func(fd uintptr) bool
}

func newConn(g *Group, tcp *net.TCPConn) (*Conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	c := &Conn{TCPConn: tcp, group: g, raw: raw, hold: g.config.Memory.Hold(time.Time{}, "")}
	c.try = c.tryWrite
	return c, nil
}

// Begin tells what is written next. While something of an earlier answer is queued, it
// counts for the workspace of that one, and the later of the two deadlines and the longer of the two stalls hold.
func (c *Conn) Begin(a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining || c.err != nil {
		if a.Deadline.After(c.answer.Deadline) {
			c.answer.Deadline = a.Deadline
		}
		c.answer.Stall = max(c.answer.Stall, a.Stall)
		return
	}
	c.answer = a
	c.hold = c.group.config.Memory.Hold(time.Time{}, a.Workspace)
}

// Reserve takes memory for n bytes of an answer that will be written and reports whether it
// was available. What is written takes from it.
func (c *Conn) Reserve(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || !c.hold.Grow(n) {
		return false
	}
	c.reserved += n
	c.group.reserved.Add(n)
	return true
}

// End gives back what was reserved and has not been queued.
func (c *Conn) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hold.Shrink(c.reserved)
	c.group.reserved.Add(-c.reserved)
	c.reserved = 0
}

// CutOff returns why the client was cut off, nil if it was not.
func (c *Conn) CutOff() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Write implements net.Conn. It does not wait for the client.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.err != nil {
		defer c.mu.Unlock()
		return 0, c.err
	}
	n := 0
	if !c.draining {
		var err error
		if n, err = c.writeNow(p); err != nil || n == len(p) {
			defer c.mu.Unlock()
			return n, err
		}
	}
	err := c.enqueue(p[n:])
	c.mu.Unlock()
	if err != nil {
		c.cutOff(err)
		return n, err
	}
	return len(p), nil
}

// ReadFrom implements io.ReaderFrom. That of the TCP connection would wait for the client.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// SetWriteDeadline has no effect, because Write does not wait. net/http calls it after each
// response, also while something is queued.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline sets the read deadline.
func (c *Conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// writeNow writes what the kernel takes at once.
func (c *Conn) writeNow(p []byte) (int, error) {
	c.now, c.written, c.writeErr = p, 0, nil
	err := c.raw.Write(c.try)
	c.now = nil
	return c.written, errors.Join(err, c.writeErr)
}

// tryWrite makes the system calls of writeNow. It never asks to be called again.
func (c *Conn) tryWrite(fd uintptr) bool {
	for c.written < len(c.now) {
		n, err := unix.Write(int(fd), c.now[c.written:])
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return true
		case err != nil:
			c.writeErr = err
			return true
		default:
			c.written += n
		}
	}
	return true
}

// enqueue adds bytes to the queue. The caller must hold c.mu.
func (c *Conn) enqueue(p []byte) error {
	if !c.draining {
		if !c.take(kernelBytes) {
			return ErrMemoryFull
		}
		c.group.kernel.Add(kernelBytes)
		c.draining = true
		c.group.setSlow(c, true)
		if c.answer.Deadline.IsZero() {
			c.answer.Deadline, c.answer.Stall = time.Now().Add(defaultTime), defaultTime
		}
		go c.drain(c.group.draining.Begin())
	}
	if n := len(c.blocks); n > 0 {
		last := c.blocks[n-1]
		fits := min(len(p), cap(last)-len(last))
		c.blocks[n-1] = append(last, p[:fits]...)
		p = p[fits:]
	}
	if len(p) == 0 {
		return nil
	}
	size := max(int64(len(p)), blockBytes)
	if c.queued+size > c.group.config.ClientBytes {
		return ErrClientFull
	}
	if !c.take(size) {
		return ErrMemoryFull
	}
	c.blocks = append(c.blocks, append(make([]byte, 0, size), p...))
	c.addQueued(size)
	return nil
}

// take takes memory for n bytes, first of what is reserved. The caller must hold c.mu.
func (c *Conn) take(n int64) bool {
	reserved := min(n, c.reserved)
	if !c.hold.Grow(n - reserved) {
		return false
	}
	c.reserved -= reserved
	c.group.reserved.Add(-reserved)
	return true
}

func (c *Conn) addQueued(n int64) {
	c.queued += n
	c.group.queued.Add(n)
}

// CloseWrite ends the data once the client has read what is queued.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		c.closeWrite = true
		return nil
	}
	return c.TCPConn.CloseWrite()
}

// Close closes the connection once the client has read what is queued, or has been cut off.
// Reads fail at once.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		c.closeAll = true
		return c.SetReadDeadline(time.Unix(1, 0))
	}
	return c.TCPConn.Close()
}

// SetLinger has the effect of net.TCPConn.SetLinger on what the client has not received.
// While something is queued, the end of the connection remains a reset if it was one.
func (c *Conn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining && seconds != 0 {
		c.linger, c.lingerSet = seconds, true
		return nil
	}
	c.lingerSet = false
	return c.TCPConn.SetLinger(seconds)
}

// cutOff resets the connection and drops what is queued. Only the first call has an effect.
func (c *Conn) cutOff(reason error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = reason
	cut := Cut{Workspace: c.answer.Workspace, Reason: reason, Queued: c.queued}
	c.blocks = nil
	c.stopDraining()
	// The calls fail only if the connection has ended.
	_ = c.TCPConn.SetLinger(0)
	_ = c.TCPConn.Close()
	c.mu.Unlock()
	if !errors.Is(reason, errGone) && c.group.config.OnCut != nil {
		c.group.config.OnCut(cut)
	}
}

// stopDraining gives the memory of the queue back. The caller must hold c.mu.
func (c *Conn) stopDraining() {
	if !c.draining {
		return
	}
	c.draining = false
	c.hold.Shrink(c.queued + kernelBytes)
	c.addQueued(-c.queued)
	c.group.kernel.Add(-kernelBytes)
	c.group.setSlow(c, false)
}
