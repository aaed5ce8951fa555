package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against stream events whose bytes are lost, duplicated or changed, however the
// stream is split into reads, and against events of unlimited size.
func FuzzReadEvent(f *testing.F) {
	for _, seed := range []string{
		"", "\n", "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", "id: 1\ndata: half", "id:7\n\nid:7\n\nid:6\n\n",
		": comment\n\n", "weights: 2\nid: 3\n\n", "id: x\n\n", strings.Repeat("data: long\n", 800) + "\n", "id: 99999999999999999999\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		var whole [][]byte
		for _, source := range []io.Reader{bytes.NewReader(stream), iotest.OneByteReader(bytes.NewReader(stream))} {
			reader := bufio.NewReader(source)
			var events [][]byte
			var rest []byte
			for {
				event, err := readEvent(reader)
				if err != nil {
					rest = event
					break
				}
				if !bytes.HasSuffix(event, []byte("\n")) {
					t.Fatalf("event without terminating newline: %q", event)
				}
				events = append(events, bytes.Clone(event))
			}
			if got := append(bytes.Join(events, nil), rest...); len(stream) <= maxEventSize && !bytes.Equal(got, stream) {
				t.Fatalf("%q was read as %q", stream, got)
			}
			if whole == nil {
				whole = events
			} else if len(whole) != len(events) {
				t.Fatalf("%d events when read at once, %d when read byte by byte", len(whole), len(events))
			}
		}
		checkAccept(t, whole)
	})
}

// checkAccept checks that numbered events are accepted only in increasing order.
func checkAccept(t *testing.T, events [][]byte) {
	t.Helper()
	var s streamState
	last, any := int64(0), false
	for _, e := range events {
		numbered := s
		if s.accept(e) != nil {
			continue
		}
		if s.last == numbered.last && s.lastID == numbered.lastID {
			continue // an event without an id
		}
		if any && s.last <= last && s.last != numbered.last {
			t.Fatalf("event %d after %d", s.last, last)
		}
		last, any = s.last, true
	}
}
