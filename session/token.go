// Package session keeps a session on the version it began with: by a signed
// token that the caller sends back, or, for callers that send only a session id,
// by a record in the platform's store.
//
// token.go is free of I/O; binder.go keeps the records.
package session

import (
	"bytes"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// TokenLifetime is how long a token is valid after it was signed.
	TokenLifetime = 24 * time.Hour
	// MaxTokenBytes bounds the text of a token that Verify looks at.
	MaxTokenBytes = 4096

	// keyInfo separates the token key from other keys derived from the fleet key.
	keyInfo = "hyssoploom session token 1"
)

// Errors of Verify.
var (
	ErrMalformed      = errors.New("session token is malformed")
	ErrForged         = errors.New("session token has a wrong signature")
	ErrExpired        = errors.New("session token has expired")
	ErrOtherWorkspace = errors.New("session token belongs to another workspace")
)

// Token says which version a session uses.
type Token struct {
	Workspace string
	Session   string
	Model     string
	Version   string
	Expires   time.Time // kept in whole seconds
}

// wireToken is encoded as a msgpack array.
type wireToken struct {
	Workspace string
	Session   string
	Model     string
	Version   string
	Expires   int64 // Unix seconds
}

// Signer signs and verifies tokens.
type Signer struct {
	keys [][]byte // the first one signs
}

// NewSigner derives its key from the fleet key. Tokens signed under one of the
// previous fleet keys are accepted, so that the key can be changed while
// sessions go on.
func NewSigner(key []byte, previous ...[]byte) *Signer {
	s := new(Signer)
	for _, k := range append([][]byte{key}, previous...) {
		derived, err := hkdf.Key(sha256.New, k, nil, keyInfo, sha256.Size)
		if err != nil { // only for a length that SHA-256 cannot give
			panic(err)
		}
		s.keys = append(s.keys, derived)
	}
	return s
}

// Sign returns the text of a token: msgpack followed by an HMAC-SHA256 over it,
// in URL-safe base64.
func (s *Signer) Sign(t Token) string {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	err := enc.Encode(&wireToken{
		Workspace: t.Workspace, Session: t.Session, Model: t.Model, Version: t.Version, Expires: t.Expires.Unix(),
	})
	if err != nil { // strings and integers always encode
		panic(err)
	}
	body := buf.Bytes()
	return base64.RawURLEncoding.EncodeToString(append(body, mac(s.keys[0], body)...))
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)
}

// Verify returns the token in text if it was signed by the fleet for the
// workspace and has not expired. Its errors wrap one of ErrMalformed, ErrForged,
// ErrExpired and ErrOtherWorkspace.
func (s *Signer) Verify(text, workspace string, now time.Time) (Token, error) {
	// The decoder skips line breaks, which would allow several texts per token.
	if len(text) > MaxTokenBytes || strings.ContainsAny(text, "\r\n") {
		return Token{}, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= sha256.Size {
		return Token{}, ErrMalformed
	}
	body, sum := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if !s.signed(body, sum) {
		return Token{}, ErrForged
	}
	var w wireToken
	rest := bytes.NewReader(body)
	if err := msgpack.NewDecoder(rest).Decode(&w); err != nil {
		return Token{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if rest.Len() > 0 {
		return Token{}, ErrMalformed
	}
	t := Token{
		Workspace: w.Workspace, Session: w.Session, Model: w.Model, Version: w.Version,
		Expires: time.Unix(w.Expires, 0).UTC(),
	}
	switch {
	case t.Workspace != workspace:
		return Token{}, ErrOtherWorkspace
	case !now.Before(t.Expires):
		return Token{}, ErrExpired
	}
	return t, nil
}

func (s *Signer) signed(body, sum []byte) bool {
	for _, k := range s.keys {
		if hmac.Equal(mac(k, body), sum) {
			return true
		}
	}
	return false
}
