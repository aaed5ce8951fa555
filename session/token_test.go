package session

import (
	"encoding/base64"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// signRaw signs an arbitrary body with the key of the signer.
func signRaw(s *Signer, body []byte) string {
	return base64.RawURLEncoding.EncodeToString(append(body, computeMAC(s.keys[0], body)...))
}

// FuzzVerify guards against panics, against accepting a text that Sign did not
// return, and against errors other than the four documented ones. The body of
// each input is also verified with a valid signature, to reach the decoder.
func FuzzVerify(f *testing.F) {
	signer := NewSigner(fleetKey)
	valid := signer.Sign(sampleToken)
	array, _ := msgpack.Marshal([]any{"jylland", "s-1", "brief", "1", sampleToken.Expires.Unix(), "more"})
	for _, text := range []string{
		valid, valid[:len(valid)-1], valid + "A", valid[1:], strings.ToUpper(valid), "", "=", strings.Repeat("A", 44),
		signer.Sign(Token{}), NewSigner([]byte("another fleet key")).Sign(sampleToken),
		signRaw(signer, []byte{0xdd, 0xff, 0xff, 0xff, 0xff}), signRaw(signer, []byte{0xdb, 0xff, 0xff, 0xff, 0xff}),
		signRaw(signer, []byte{0xc0}), signRaw(signer, []byte{0x95}), signRaw(signer, array),
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if token, err := verifySample(t, signer, text); err == nil && signer.Sign(token) != text {
			t.Fatalf("%q was accepted as %+v, whose text is %q", text, token, signer.Sign(token))
		}
		if raw, err := base64.RawURLEncoding.DecodeString(text); err == nil {
			_, _ = verifySample(t, signer, signRaw(signer, raw))
		}
	})
}

func verifySample(t *testing.T, signer *Signer, text string) (Token, error) {
	token, err := signer.Verify(text, sampleToken.Workspace, now)
	for _, kind := range []error{nil, ErrMalformed, ErrInvalidSignature, ErrExpired, ErrOtherWorkspace} {
		if errors.Is(err, kind) {
			return token, err
		}
	}
	t.Fatalf("%q: error %v is not one of the documented errors", text, err)
	return token, err
}

// Guards against accepting a signed body with bytes after the token.
func TestTrailingBytes(t *testing.T) {
	signer := NewSigner(fleetKey)
	raw, _ := base64.RawURLEncoding.DecodeString(signer.Sign(sampleToken))
	if _, err := verifySample(t, signer, signRaw(signer, raw)); !errors.Is(err, ErrMalformed) {
		t.Errorf("error = %v, want ErrMalformed", err)
	}
}

// Guards against equal token keys for different fleet keys, and against using the
// fleet key itself as token key.

func TestTokenKey(t *testing.T) {
	s := NewSigner(fleetKey, []byte("0123456789abcdeg"))
	if string(s.keys[0]) == string(s.keys[1]) || strings.Contains(string(s.keys[0]), string(fleetKey)) {
		t.Error("token key is not derived from the fleet key")
	}
	if _, err := s.Verify(signRaw(&Signer{keys: [][]byte{fleetKey}}, []byte{0x90}), "w", now); !errors.Is(err, ErrInvalidSignature) {
		t.Errorf("signature with the fleet key itself: error = %v, want ErrInvalidSignature", err)
	}
}

func BenchmarkTokenSign(b *testing.B) {
	signer, size := NewSigner(fleetKey), 0
	for range b.N {
		size = len(signer.Sign(sampleToken))
	}
	b.ReportMetric(float64(size), "token_bytes")
}

func BenchmarkTokenVerify(b *testing.B) {
	signer := NewSigner(fleetKey, []byte("another fleet key"))
	text := signer.Sign(sampleToken)
	b.ResetTimer()
	for range b.N {
		if _, err := signer.Verify(text, sampleToken.Workspace, now.Add(time.Hour)); err != nil {
			b.Fatal(err)
		}
	}
}
