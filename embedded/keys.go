package embedded

import (
	"io/fs"
	"regexp"
)

// keyHashFS replaces "@key" in the files of FS by the hash of the API key.
type keyHashFS struct{ fs.FS }

var keyPlaceholder = regexp.MustCompile(`"@([^"]+)"`)

// ReadFile returns the contents of a file with its placeholders replaced.
func (h keyHashFS) ReadFile(name string) ([]byte, error) {
	b, err := fs.ReadFile(h.FS, name)
	if err != nil {
		return nil, err
	}
	return keyPlaceholder.ReplaceAllFunc(b, func(m []byte) []byte {
		return []byte(`"` + HashAPIKey(string(m[2:len(m)-1])) + `"`)
	}), nil
}
