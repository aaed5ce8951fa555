package session

import (
	"context"
	"errors"
	"testing"
	"time"

	"hyssoploom/internal/faketest"
	"hyssoploom/platform"
)

var (
	fleetKey = []byte("0123456789abcdef")
	now      = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	sample   = Token{Workspace: "jylland", Session: "s-1", Model: "brief", Version: "2026-11-30", Expires: now.Add(TokenLifetime)}
)

// Guards against tokens that are accepted although they were forged, have
// expired, or belong to another workspace.
func TestVerify(t *testing.T) {
	signer := NewSigner(fleetKey)
	text := signer.Sign(sample)
	other := NewSigner([]byte("another fleet key"))
	for _, c := range []struct {
		name, text, workspace string
		signer                *Signer
		now                   time.Time
		want                  error
	}{
		{"valid", text, "jylland", signer, now, nil},
		{"valid under the previous key", text, "jylland", NewSigner([]byte("another fleet key"), fleetKey), now, nil},
		{"other key", text, "jylland", other, now, ErrForged},
		{"other workspace", text, "maule", signer, now, ErrOtherWorkspace},
		{"last moment", text, "jylland", signer, sample.Expires.Add(-time.Nanosecond), nil},
		{"expired", text, "jylland", signer, sample.Expires, ErrExpired},
		{"empty", "", "jylland", signer, now, ErrMalformed},
		{"no base64", "*", "jylland", signer, now, ErrMalformed},
		{"signature only", text[len(text)-42:], "jylland", signer, now, ErrMalformed},
		{"line break inside", text[:10] + "\n" + text[10:], "jylland", signer, now, ErrMalformed},
		{"changed", text[:8] + "A" + text[9:], "jylland", signer, now, ErrForged},
		{"too long", text + string(make([]byte, MaxTokenBytes)), "jylland", signer, now, ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.signer.Verify(c.text, c.workspace, c.now)
			if !errors.Is(err, c.want) || (err == nil) != (c.want == nil) {
				t.Fatalf("Verify() error = %v, want %v", err, c.want)
			}
			if err == nil && got != sample {
				t.Fatalf("Verify() = %+v, want %+v", got, sample)
			}
		})
	}
}

func choose(v string) func() (string, error) { return func() (string, error) { return v, nil } }

// Guards against two entries that pin one session to different versions,
// whatever happens to the response of the first write.
func TestBindIsFleetWide(t *testing.T) {
	for _, fault := range []faketest.Fault{faketest.Pass, faketest.Lose, faketest.Fail, faketest.Refuse, faketest.Late} {
		store := new(faketest.Store)
		first := true
		store.OnCall(func(c faketest.Call) faketest.Fault {
			if c.Op == "swap" && first {
				first = false
				return fault
			}
			return faketest.Pass
		})
		ctx := context.Background()
		a, errA := NewBinder(store).Bind(ctx, "w", "id", "m", choose("v1"))
		store.Deliver()
		b, errB := NewBinder(store).Bind(ctx, "w", "id", "m", choose("v2"))
		if errB != nil || (errA == nil && a != b) {
			t.Errorf("fault %d: first entry got %q, %v; second %q, %v", fault, a, errA, b, errB)
		}
		if fault == faketest.Refuse && !errors.Is(errA, ErrUnavailable) {
			t.Errorf("refused write: error = %v, want ErrUnavailable", errA)
		}
	}
}

// Guards against a choice without the store, and against refusing a session
// that is cached.
func TestBindInOutage(t *testing.T) {
	store, down := new(faketest.Store), false
	store.OnCall(func(faketest.Call) faketest.Fault {
		if down {
			return faketest.Refuse
		}
		return faketest.Pass
	})
	ctx, b := context.Background(), NewBinder(store)
	if _, err := b.Bind(ctx, "w", "known", "m", choose("v1")); err != nil {
		t.Fatal(err)
	}
	down = true
	if v, err := b.Bind(ctx, "w", "known", "m", choose("v2")); v != "v1" || err != nil {
		t.Errorf("cached session: %q, %v; want v1", v, err)
	}
	if _, err := b.Bind(ctx, "w", "new", "m", choose("v2")); !errors.Is(err, ErrUnavailable) || !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("session not cached: error = %v, want ErrUnavailable", err)
	}
	b.Forget("m", "v1")
	if _, err := b.Bind(ctx, "w", "known", "m", choose("v2")); !errors.Is(err, ErrUnavailable) {
		t.Errorf("forgotten session: error = %v, want ErrUnavailable", err)
	}
}

// Guards against two entries that repin one session to different versions.
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
