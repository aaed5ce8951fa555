package outbound

import (
	"errors"
	"os"
	"time"
)

// drain writes the queue as the client reads it, until it is empty or the client is cut
// off.
func (c *Conn) drain(end func()) {
	defer end()
	for {
		block := c.nextBlock()
		if block == nil {
			return
		}
		if err := c.writeBlock(block); err != nil {
			c.cutOff(err)
			return
		}
		c.releaseBlock(block)
	}
}

// nextBlock takes a block from the queue. It returns nil if the queue is empty, after what
// was to be done then, or if the client has been cut off.
func (c *Conn) nextBlock() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil
	}
	if len(c.blocks) > 0 {
		block := c.blocks[0]
		c.blocks[0] = nil
		c.blocks = c.blocks[1:]
		return block
	}
	c.blocks = nil
	c.stopDraining()
	// The calls fail only if the connection has ended.
	_ = c.TCPConn.SetWriteDeadline(time.Time{})
	if c.lingerSet {
		_ = c.TCPConn.SetLinger(c.linger)
	}
	if c.closeWrite {
		_ = c.TCPConn.CloseWrite()
	}
	if c.closeAll {
		delay := time.Duration(0)
		if c.closeWrite {
			delay = resetAvoidance
		}
		time.AfterFunc(delay, func() { _ = c.TCPConn.Close() })
	}
	return nil
}

// releaseBlock gives back the memory of a block that has been written.
func (c *Conn) releaseBlock(block []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return // cutOff has given it back
	}
	size := int64(cap(block))
	c.hold.Shrink(size)
	c.addQueued(-size)
}

// writeBlock writes a block as the client reads it. It returns ErrStalled or ErrDeadline
// if the client reads too slowly.
func (c *Conn) writeBlock(block []byte) error {
	for progress := time.Now(); len(block) > 0; {
		c.mu.Lock()
		answer := c.answer
		c.mu.Unlock()
		until := progress.Add(answer.Stall)
		if answer.Deadline.Before(until) {
			until = answer.Deadline
		}
		if err := c.TCPConn.SetWriteDeadline(until); err != nil {
			return errGone
		}
		n, err := c.TCPConn.Write(block)
		block = block[n:]
		now := time.Now()
		if n > 0 {
			progress = now
		}
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return errGone
		case now.Before(c.deadline()) && n > 0:
		case !now.Before(c.deadline()):
			return ErrDeadline
		case now.Sub(progress) >= answer.Stall:
			return ErrStalled
		}
	}
	return nil
}

func (c *Conn) deadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer.Deadline
}
