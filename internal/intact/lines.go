package intact

import (
	"bytes"
	"fmt"
)

// maxStatusPrefix is the number of bytes of a status line up to its code, with some spaces.
const maxStatusPrefix = 32

// headLines checks the lines of a head as its bytes arrive, for what net/textproto hides: it
// takes a line that begins with a blank for a part of the field before it, and a line feed
// without a carriage return for the end of a line, or of the head.
type headLines struct {
	reading bool   // within a head
	status  []byte // the beginning of the first line
	// inFirstLine is set up to the end of the first line. bareLF is set if that has no carriage
	// return, and interim if another head follows this one, whose fields do not count.
	inFirstLine, bareLF, interim bool
	lineBytes                    int // bytes of the current line so far
	last                         byte
}

// begin makes the next bytes those of a head.
func (h *headLines) begin() {
	*h = headLines{reading: true, inFirstLine: true, status: h.status[:0]}
}

// check checks the next bytes of the connection. Those behind the head, and behind the heads
// of interim answers before it, are not looked at.
func (h *headLines) check(p []byte) error {
	for _, b := range p {
		if !h.reading {
			return nil
		}
		if b != '\n' {
			if h.lineBytes == 0 && !h.inFirstLine && !h.interim && (b == ' ' || b == '\t') {
				return fmt.Errorf("%w: a line begins with a blank", ErrBrokenHead)
			}
			if h.inFirstLine && len(h.status) < maxStatusPrefix {
				h.status = append(h.status, b)
			}
			h.lineBytes++
			h.last = b
			continue
		}
		if err := h.endLine(); err != nil {
			return err
		}
	}
	return nil
}

// endLine handles a line feed.
func (h *headLines) endLine() error {
	withCR := h.lineBytes > 0 && h.last == '\r'
	switch {
	case h.inFirstLine:
		h.inFirstLine, h.bareLF, h.interim = false, !withCR, isInterim(h.status)
	case !withCR && !h.bareLF && !h.interim:
		return fmt.Errorf("%w: line feed without a carriage return", ErrBrokenHead)
	case h.lineBytes == 0 || h.lineBytes == 1 && withCR:
		if h.reading = false; h.interim {
			h.begin()
		}
	}
	h.lineBytes = 0
	return nil
}

// isInterim reports whether a status line is that of an interim answer.
func isInterim(status []byte) bool {
	fields := bytes.Fields(status)
	return len(fields) > 1 && len(fields[1]) == 3 && fields[1][0] == '1' && string(fields[1]) != "101"
}
