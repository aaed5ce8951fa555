package embedded

import (
	"io/fs"
	"regexp"
)

// keyHashFS replaces "@key" in record files by the digest of the key.
type keyHashFS struct{ fs.FS }

var keyPlaceholder = regexp.MustCompile(`"@([^"]+)"`)

// ReadFile returns a file with its placeholders replaced.
func (h keyHashFS) ReadFile(name string) ([]byte, error) {
	b, err := fs.ReadFile(h.FS, name)
	if err != nil {
		return nil, err
	}
	return keyPlaceholder.ReplaceAllFunc(b, func(m []byte) []byte {
		return []byte(`"` + HashAPIKey(string(m[2:len(m)-1])) + `"`)
	}), nil
}
