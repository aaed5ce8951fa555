package intact

import (
	"bufio"
	"errors"
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
