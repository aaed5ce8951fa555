package intact

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against status codes that stand for no answer, in all spellings that net/http accepts,
// and against the rejection of sound ones.
func TestCheckHeadStatus(t *testing.T) {
	for status, broken := range map[string]bool{
		"000": true, "000 OK": true, "001": true, "099": true, "-00": true, "+20": true, "101 Switching Protocols": true,
		"100": false, "103 Early Hints": false, "200": false, "204 No Content": false, "304": false, "404": false, "599": false,
	} {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+status+"\r\n\r\n")), nil)
		if err != nil {
			t.Fatalf("%s: %v", status, err)
		}
		if err := CheckHead(response); errors.Is(err, ErrBrokenHead) != broken || (err != nil) != broken {
			t.Errorf("%s: %v", status, err)
		}
	}
}

// Guards against field names that are passed on, or not understood as what they name, and
// against the rejection of sound heads.
func TestCheckHeadNames(t *testing.T) {
	for name, broken := range map[string]bool{
		"X Odd": true, "X-Odd ": true, "Content-Length ": true, "Transfer-Encoding ": true, "X  ": true,
		"X-Odd": false, "x_odd.1!#$%&'*+^`|~": false, "Content-Length": false,
	} {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+name+": 1\r\n\r\na")), nil)
		if err != nil {
			t.Fatalf("%q: %v", name, err)
		}
		if err := CheckHead(response); errors.Is(err, ErrBrokenHead) != broken || (err != nil) != broken {
			t.Errorf("%q: %v", name, err)
		}
	}
}

// Guards against lines of a head that are parsed as something else than what they say, wherever
// the bytes are split, and against the rejection of sound heads and of bodies.
func TestHeadLines(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n"
	for _, c := range []struct {
		name, bytes string
		broken      bool
	}{
		{"sound", "HTTP/1.1 200 OK\r\nX: 1\r\nY:\r\n\r\n", false},
		{"line feeds only", "HTTP/1.1 200 OK\nX: 1\n\n", false},
		{"carriage returns after a line feed", "HTTP/1.1 200 OK\nX: 1\r\n\r\n", false},
		{"no fields", "HTTP/1.1 204\r\n\r\n", false},
		{"body with blanks and line feeds", "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n a\n\n\tb\r\n c\n", false},
		{"interim answers", interim + interim + "HTTP/1.1 200 OK\r\n\r\n\n", false},
		{"behind a switch", "HTTP/1.1 101 X\r\n\r\n a\n", false},
		{"blank", "HTTP/1.1 200 OK\r\nX: 1\r\n Y: 2\r\n\r\n", true},
		{"tab", "HTTP/1.1 200 OK\r\nX: 1\r\n\tY: 2\r\n\r\n", true},
		{"blank, line feeds only", "HTTP/1.1 200 OK\nX: 1\n Y: 2\n\n", true},
		{"line of blanks", "HTTP/1.1 200 OK\r\nX: 1\r\n  \r\n\r\n", true},
		{"line feed as the end", "HTTP/1.1 200 OK\r\nX: 1\r\n\nY: 2\r\n\r\n", true},
		{"line feed in a line", "HTTP/1.1 200 OK\r\nX: 1\nY: 2\r\n\r\n", true},
		{"interim answer with a blank and a line feed", "HTTP/1.1 100 Continue\r\nX: 1\r\n Y: 2\nZ: 3\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false},
		{"behind an interim answer", interim + "HTTP/1.1 200 OK\r\nX: 1\r\n\nY: 2\r\n\r\n", true},
	} {
		for split := range len(c.bytes) {
			conn, peer := dialPeer(t)
			err := conn.ExpectHead([]byte(c.bytes[:split]))
			if err == nil {
				io.WriteString(peer, c.bytes[split:])
				peer.CloseWrite()
				_, err = io.ReadAll(conn)
			}
			if errors.Is(err, ErrBrokenHead) != c.broken || (err != nil) != c.broken {
				t.Errorf("%s, split at %d: %v", c.name, split, err)
			}
			conn.Close()
			peer.Close()
		}
	}
}
