// Package storekey builds keys of the platform's store from callers' texts.
package storekey

import (
	"net/url"
	"strings"
)

// Join returns the prefix followed by the parts, each escaped to one path
// segment, with slashes between them. Parts of dots only are escaped too, so
// that a client that normalizes paths cannot leave the prefix.
func Join(prefix string, parts ...string) string {
	escaped := make([]string, len(parts))
	for i, p := range parts {
		if escaped[i] = url.PathEscape(p); strings.Trim(p, ".") == "" {
			escaped[i] = strings.ReplaceAll(p, ".", "%2E")
		}
	}
	return prefix + strings.Join(escaped, "/")
}
