package intact

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrBrokenHead means that an answer has a head which no sound server sends. Neither its
// body nor what follows on its connection can be relied on.
var ErrBrokenHead = errors.New("head of the answer is broken")

// minStatus is the smallest status code (RFC 9110, section 15).
const minStatus = 100

// CheckHead returns an error that wraps ErrBrokenHead if the head of an answer is broken in a
// way that net/http accepts.
func CheckHead(r *http.Response) error {
	switch {
	case r.StatusCode < minStatus:
		return fmt.Errorf("%w: status %q", ErrBrokenHead, r.Status)
	case r.StatusCode == http.StatusSwitchingProtocols:
		// What follows is not HTTP; no request asks for it.
		return fmt.Errorf("%w: switch to another protocol", ErrBrokenHead)
	}
	return nil
}
