// Package session pins a session to the model version that served its first
// request: by a signed token that the caller sends back, or, for callers that
// send only a session id, by a record in the platform's store.
//
// token.go does no I/O; binder.go reads and writes the records.
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
	// TokenLifetime is how long a token is valid after it is signed.
	TokenLifetime = 24 * time.Hour
	// MaxTokenBytes is the maximum length of a token's text; Verify rejects longer
	// ones without decoding them.
	MaxTokenBytes = 4096

	// tokenKeyInfo is the HKDF info string. It separates the token key from other
	// keys that are derived from the fleet key.
	tokenKeyInfo = "hyssoploom session token 1"
)

// Errors of Verify.
var (
	ErrMalformed        = errors.New("session token is malformed")
	ErrInvalidSignature = errors.New("session token has a wrong signature")
	ErrExpired          = errors.New("session token has expired")
	ErrOtherWorkspace   = errors.New("session token belongs to another workspace")
)

// Token binds a session to a model version.
type Token struct {
	Workspace string
	Session   string
	Model     string
	Version   string
	Expires   time.Time // Sign truncates it to whole seconds
}

// wireToken is the encoded form of a Token, a msgpack array. The order of its
// fields must not change.
type wireToken struct {
	Workspace string
	Session   string
	Model     string
	Version   string
	Expires   int64 // Unix seconds
}

// Signer signs and verifies tokens.
type Signer struct {
	keys [][]byte // the first key signs; all keys verify
}

// NewSigner returns a Signer whose key is derived from the fleet key. Tokens
// signed under one of the previous fleet keys are still accepted, so that the
// fleet key can be rotated without ending sessions.
func NewSigner(key []byte, previous ...[]byte) *Signer {
	s := new(Signer)
	for _, k := range append([][]byte{key}, previous...) {
		derived, err := hkdf.Key(sha256.New, k, nil, tokenKeyInfo, sha256.Size)
		if err != nil { // only for a key length that HKDF-SHA256 does not support
			panic(err)
		}
		s.keys = append(s.keys, derived)
	}
	return s
}

// Sign returns the text of a token: its msgpack encoding followed by the
// HMAC-SHA256 of that encoding, in unpadded URL-safe base64.
func (s *Signer) Sign(t Token) string {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	err := enc.Encode(&wireToken{
		Workspace: t.Workspace, Session: t.Session, Model: t.Model, Version: t.Version, Expires: t.Expires.Unix(),
	})
	if err != nil { // strings and integers can always be encoded
		panic(err)
	}
	body := buf.Bytes()
	return base64.RawURLEncoding.EncodeToString(append(body, computeMAC(s.keys[0], body)...))
}

func computeMAC(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)
}

// Verify decodes the token in text and returns it if its signature is valid, it
// belongs to the workspace and it has not expired. Errors wrap one of
// ErrMalformed, ErrInvalidSignature, ErrExpired and ErrOtherWorkspace.
func (s *Signer) Verify(text, workspace string, now time.Time) (Token, error) {
	// The base64 decoder skips line breaks, so one token could have several texts.
	if len(text) > MaxTokenBytes || strings.ContainsAny(text, "\r\n") {
		return Token{}, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= sha256.Size {
		return Token{}, ErrMalformed
	}
	body, signature := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if !s.hasValidSignature(body, signature) {
		return Token{}, ErrInvalidSignature
	}
	var w wireToken
	reader := bytes.NewReader(body)
	if err := msgpack.NewDecoder(reader).Decode(&w); err != nil {
		return Token{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if reader.Len() > 0 {
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

func (s *Signer) hasValidSignature(body, signature []byte) bool {
	for _, k := range s.keys {
		if hmac.Equal(computeMAC(k, body), signature) {
			return true
		}
	}
	return false
}
