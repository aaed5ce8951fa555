// Package storekey builds keys of the platform's store from strings that callers
// choose.
package storekey

import (
	"net/url"
	"strings"
)

// Join returns the prefix followed by the parts, each escaped as one path
// segment, with slashes between them. Parts that consist only of dots are
// escaped too, so that a client that normalizes paths stays within the prefix.
func Join(prefix string, parts ...string) string {
	escaped := make([]string, len(parts))
	for i, p := range parts {
		if escaped[i] = url.PathEscape(p); strings.Trim(p, ".") == "" {
			escaped[i] = strings.ReplaceAll(p, ".", "%2E")
		}
	}
	return prefix + strings.Join(escaped, "/")
}
