package session

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"hyssoploom/dialect"
	"hyssoploom/internal/faketest"
)

var (
	fleetKey    = []byte("0123456789abcdef")
	now         = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	sampleToken = Token{Workspace: "jylland", Session: "s-1", Model: "brief", Version: "2026-11-30", Expires: now.Add(TokenLifetime)}
)

// Guards against accepting tokens that are forged, expired, malformed or of
// another workspace.
func TestVerify(t *testing.T) {
	signer := NewSigner(fleetKey)
	text := signer.Sign(sampleToken)
	other := NewSigner([]byte("another fleet key"))
	// The last character of this base64 text has unused bits, which are 0.
	alphabet := "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	last := len(text) - 1
	spare := text[:last] + string(alphabet[strings.IndexByte(alphabet, text[last])+1])
	for _, c := range []struct {
		name, text, workspace string
		signer                *Signer
		now                   time.Time
		want                  error
	}{
		{"valid", text, "jylland", signer, now, nil},
		{"valid under the previous key", text, "jylland", NewSigner([]byte("another fleet key"), fleetKey), now, nil},
		{"other key", text, "jylland", other, now, ErrInvalidSignature},
		{"other workspace", text, "maule", signer, now, ErrOtherWorkspace},
		{"last moment", text, "jylland", signer, sampleToken.Expires.Add(-time.Nanosecond), nil},
		{"expired", text, "jylland", signer, sampleToken.Expires, ErrExpired},
		{"empty", "", "jylland", signer, now, ErrMalformed},
		{"no base64", "*", "jylland", signer, now, ErrMalformed},
		{"signature only", text[len(text)-42:], "jylland", signer, now, ErrMalformed},
		{"line break inside", text[:10] + "\n" + text[10:], "jylland", signer, now, ErrMalformed},
		{"changed", text[:8] + "A" + text[9:], "jylland", signer, now, ErrInvalidSignature},
		{"spare bits set", spare, "jylland", signer, now, ErrMalformed},
		{"too long", text + string(make([]byte, MaxTokenBytes)), "jylland", signer, now, ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.signer.Verify(c.text, c.workspace, c.now)
			if !errors.Is(err, c.want) || (err == nil) != (c.want == nil) {
				t.Fatalf("Verify() error = %v, want %v", err, c.want)
			}
			if err == nil && got != sampleToken {
				t.Fatalf("Verify() = %+v, want %+v", got, sampleToken)
			}
		})
	}
}

func choose(v string) func() (string, error) { return func() (string, error) { return v, nil } }

// Guards against two entries that pin or repin one session to different
// versions, under any fault of the first entry's write and of the read after it.
// The second entry runs after the first one's write or during it.
func TestVersionIsFleetWide(t *testing.T) {
	ctx := context.Background()
	for name, pin := range map[string]func(b *Binder, to string) (string, error){
		"bind":  func(b *Binder, to string) (string, error) { return b.Bind(ctx, "w", "new", "m", choose(to)) },
		"repin": func(b *Binder, to string) (string, error) { return b.Repin(ctx, "w", "old", "m", "v0", choose(to)) },
	} {
		for _, write := range []faketest.Fault{faketest.Pass, faketest.LoseResponse, faketest.LoseRequest, faketest.Refuse, faketest.DelayWrite} {
			for _, read := range []faketest.Fault{faketest.Pass, faketest.Refuse} {
				for _, concurrent := range []bool{false, true} {
					store := new(faketest.Store)
					first, second := NewBinder(store), NewBinder(store)
					if _, err := first.Bind(ctx, "w", "old", "m", choose("v0")); err != nil {
						t.Fatal(err)
					}
					writes, secondRunning := 0, false
					store.OnCall(func(c faketest.Call) faketest.Fault {
						switch {
						case secondRunning:
							return faketest.Pass
						case c.Op != "swap" && writes == 1:
							return read
						case c.Op != "swap":
							return faketest.Pass
						}
						if writes++; writes > 1 {
							return faketest.Pass
						}
						if secondRunning = concurrent; concurrent {
							_, _ = pin(second, "v2")
							secondRunning = false
						}
						return write
					})
					a, errA := pin(first, "v1")
					store.OnCall(nil)
					store.ApplyDelayed()
					b, errB := pin(second, "v2")
					final, errFinal := pin(first, "v3")
					if errB != nil || errFinal != nil || b != final || (errA == nil && a != b) || (concurrent && b != "v2") {
						t.Errorf("%s, write %d, read %d, concurrent %v: %q %v, then %q %v, then %q %v",
							name, write, read, concurrent, a, errA, b, errB, final, errFinal)
					}
					if errA != nil && !errors.Is(errA, ErrUnavailable) {
						t.Errorf("%s: error = %v, want ErrUnavailable", name, errA)
					}
				}
			}
		}
	}
}

// Guards against choosing a version without the store during an outage, and
// against refusing a session that is cached.
func TestBindInOutage(t *testing.T) {
	store, unavailable := new(faketest.Store), false
	store.OnCall(func(faketest.Call) faketest.Fault {
		if unavailable {
			return faketest.Refuse
		}
		return faketest.Pass
	})
	ctx, b := context.Background(), NewBinder(store)
	if _, err := b.Bind(ctx, "w", "known", "m", choose("v1")); err != nil {
		t.Fatal(err)
	}
	unavailable = true
	if v, err := b.Bind(ctx, "w", "known", "m", choose("v2")); v != "v1" || err != nil {
		t.Errorf("cached session: %q, %v; want v1", v, err)
	}
	if _, err := b.Bind(ctx, "w", "new", "m", choose("v2")); !errors.Is(err, ErrUnavailable) || !errors.Is(err, dialect.ErrUnavailable) {
		t.Errorf("session not cached: error = %v, want ErrUnavailable", err)
	}
	b.Forget("m", "v1")
	if _, err := b.Bind(ctx, "w", "known", "m", choose("v2")); !errors.Is(err, ErrUnavailable) {
		t.Errorf("forgotten session: error = %v, want ErrUnavailable", err)
	}
}

// Guards against two entries that repin one session to different versions when
// both have cached the old one.
func TestRepin(t *testing.T) {
	store, ctx := new(faketest.Store), context.Background()
	a, b := NewBinder(store), NewBinder(store)
	for _, binder := range []*Binder{a, b} {
		if v, err := binder.Bind(ctx, "w", "id", "m", choose("v1")); v != "v1" || err != nil {
			t.Fatal(v, err)
		}
	}
	if v, err := a.Repin(ctx, "w", "id", "m", "v1", choose("v2")); v != "v2" || err != nil {
		t.Fatalf("first Repin = %q, %v; want v2", v, err)
	}
	if v, err := b.Repin(ctx, "w", "id", "m", "v1", choose("v3")); v != "v2" || err != nil {
		t.Fatalf("second Repin = %q, %v; want v2", v, err)
	}
	if v, err := b.Bind(ctx, "w", "id", "m", choose("v3")); v != "v2" || err != nil {
		t.Fatalf("Bind after Repin = %q, %v; want v2", v, err)
	}
}

// Guards against a stale cache entry: a Bind that read the record before a Repin
// and returns after it must not cache the old version.
func TestBindOvertakenByRepin(t *testing.T) {
	store, ctx := new(faketest.Store), context.Background()
	if _, err := NewBinder(store).Bind(ctx, "w", "id", "m", choose("v1")); err != nil {
		t.Fatal(err)
	}
	b := NewBinder(store)
	store.OnApplied(func(faketest.Call) {
		store.OnApplied(nil)
		if v, err := b.Repin(ctx, "w", "id", "m", "v1", choose("v2")); v != "v2" || err != nil {
			t.Errorf("Repin() = %q, %v; want v2", v, err)
		}
	})
	_, _ = b.Bind(ctx, "w", "id", "m", choose("v3"))
	if v, err := b.Bind(ctx, "w", "id", "m", choose("v3")); v != "v2" || err != nil {
		t.Errorf("Bind() = %q, %v; want v2", v, err)
	}
}

// Guards against a stale cache entry after a Repin whose write took effect but
// whose outcome remained unknown.
func TestRepinOfUnknownOutcome(t *testing.T) {
	store, ctx := new(faketest.Store), context.Background()
	b := NewBinder(store)
	if _, err := b.Bind(ctx, "w", "id", "m", choose("v1")); err != nil {
		t.Fatal(err)
	}
	written := false
	store.OnCall(func(c faketest.Call) faketest.Fault {
		if written {
			return faketest.Refuse
		}
		if written = c.Op == "swap"; written {
			return faketest.LoseResponse
		}
		return faketest.Pass
	})
	if _, err := b.Repin(ctx, "w", "id", "m", "v1", choose("v2")); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("Repin() error = %v, want ErrUnavailable", err)
	}
	store.OnCall(nil)
	if v, err := b.Bind(ctx, "w", "id", "m", choose("v3")); v != "v2" || err != nil {
		t.Errorf("Bind() = %q, %v; want v2", v, err)
	}
}

// Guards against records without a version, invalid arguments that are accepted,
// ids that map to the same record, errors of choose that are hidden, and
// undecodable records that are overwritten.

func TestBindArguments(t *testing.T) {
	store, ctx := new(faketest.Store), context.Background()
	b, noVersion := NewBinder(store, WithCacheSize(1)), errors.New("no version is active")
	if _, err := b.Bind(ctx, "w", "id", "m", func() (string, error) { return "", noVersion }); !errors.Is(err, noVersion) {
		t.Errorf("error = %v, want the one of choose", err)
	}
	for _, args := range [][3]string{{"", "id", "m"}, {"w", "", "m"}, {"w", "id", ""}, {"w", string(make([]byte, MaxIDBytes+1)), "m"}} {
		if _, err := b.Bind(ctx, args[0], args[1], args[2], choose("v1")); !errors.Is(err, ErrInvalid) {
			t.Errorf("%q: error = %v, want ErrInvalid", args, err)
		}
	}
	for i, id := range []string{"a/m", "a", "..", "a%2Fm"} {
		want := string(rune('1' + i))
		if v, err := b.Bind(ctx, "w", id, "m", choose(want)); v != want || err != nil {
			t.Errorf("id %q got %q, %v; want %q", id, v, err, want)
		}
	}
	if _, err := store.CompareAndSwap(ctx, dialect.Write{Key: "session/w/bad/m", Value: []byte("{")}); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Bind(ctx, "w", "bad", "m", choose("v1")); err == nil {
		t.Error("a record that cannot be decoded was replaced")
	}
}
