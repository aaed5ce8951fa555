package intact

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
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
	if r.StatusCode < http.StatusOK {
		return nil // an interim answer has no body, and its fields are not used
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrBrokenHead, name)
		}
	}
	return nil
}
