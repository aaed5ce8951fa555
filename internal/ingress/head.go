package ingress

import "bytes"

// Limits are the limits on the head of a request.
type Limits struct {
	// Bytes and Fields limit the head; Fields 0 stands for as many as fit into Bytes.
	Bytes, Fields int
	// EmptyLines limits the empty lines before a head, which are dropped.
	EmptyLines int
}

// minFieldBytes is the length of the shortest field: a name of one letter, the colon, and the
// end of the line.
const minFieldBytes = 4

func (l Limits) fields() int {
	if l.Fields > 0 {
		return l.Fields
	}
	return l.Bytes/minFieldBytes + 1
}

// violation is a limit that a head exceeds; none if it keeps all.
type violation string

const (
	none              violation = ""
	tooManyBytes      violation = "head_bytes"
	tooManyFields     violation = "head_fields"
	tooManyEmptyLines violation = "empty_lines"
)

// head follows one head through the bytes that arrive. It finds the ends of lines and does
// not parse them.
type head struct {
	begun, ended bool
	// endless counts all bytes and lines to come: the end that was found was none, because
	// the beginning of the head was not seen.
	endless            bool
	emptyLines         int
	bytes, fields      int
	line               int  // bytes of the line so far, without its end
	carriageReturnLast bool // the last byte of the line so far is a CR
}

// dropEmptyLines returns the bytes without the empty lines before the head.
func (h *head) dropEmptyLines(p []byte, l Limits) ([]byte, violation) {
	for i, c := range p {
		switch {
		case h.begun:
			return p, none
		case c == '\n':
			if h.emptyLines++; h.emptyLines > l.EmptyLines {
				return nil, tooManyEmptyLines
			}
		case c == '\r' && i+1 < len(p) && p[i+1] == '\n':
		case c == '\r' && i+1 == len(p):
			// Its line feed has not arrived. If none follows, the head is malformed in
			// either case.
		default:
			h.begun = true
			return p[i:], none
		}
	}
	return nil, none
}

// add counts bytes of the head and returns the limit that they exceed. Bytes after its end
// are not counted.
func (h *head) add(p []byte, l Limits) (bytesAdded, fieldsAdded int, v violation) {
	h.begun = true
	bytesBefore, fieldsBefore := h.bytes, h.fields
	if h.endless {
		h.bytes += len(p)
		h.fields += bytes.Count(p, []byte("\n"))
		p = nil
	}
	for len(p) > 0 && !h.ended {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			h.carriageReturnLast = p[len(p)-1] == '\r'
			h.line += len(p)
			h.bytes += len(p)
			break
		}
		length := h.line + i
		if i > 0 && p[i-1] == '\r' || i == 0 && h.carriageReturnLast {
			length--
		}
		h.bytes += i + 1
		if length == 0 {
			h.ended = true
		} else {
			h.fields++
		}
		h.line, h.carriageReturnLast = 0, false
		p = p[i+1:]
	}
	switch {
	case h.bytes > l.Bytes:
		v = tooManyBytes
	case h.fields > l.fields():
		v = tooManyFields
	}
	return h.bytes - bytesBefore, h.fields - fieldsBefore, v
}
