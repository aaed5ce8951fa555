package session

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"hyssoploom/dialect"
	"hyssoploom/internal/lru"
	"hyssoploom/internal/storekey"
)

// ErrUnavailable means that the version of a session is not known and the store
// does not answer. The request must be refused, because another entry could
// choose another version.
var ErrUnavailable = errors.New("session: store does not answer and the session is not cached")

// ErrInvalid means that a workspace, session id or model is empty, or that the
// session id is longer than MaxIDBytes.
var ErrInvalid = errors.New("session: invalid workspace, id or model")

const (
	// DefaultCacheSize is the number of sessions that a Binder remembers.
	DefaultCacheSize = 50_000
	// MaxIDBytes bounds a session id.
	MaxIDBytes = 255

	keyPrefix = "session/"
	// maxSwaps bounds the attempts of one call against competing writers.
	maxSwaps = 4
)

// pin is the JSON value at session/<workspace>/<id>/<model>.
type pin struct {
	Version string    `json:"version"`
	At      time.Time `json:"at"` // the writer's clock
}

// Binder keeps the version of sessions that come without a token.
type Binder struct {
	store dialect.Store
	now   func() time.Time
	cache *lru.Cache[string, cached]
	mu    sync.Mutex // makes remember atomic
}

type cached struct {
	model, version string
	revision       uint64 // of the record in the store
}

// BinderOption changes a Binder.
type BinderOption func(*Binder)

// WithCacheSize bounds the cache; DefaultCacheSize when absent.
func WithCacheSize(n int) BinderOption {
	return func(b *Binder) { b.cache = lru.New[string, cached](n) }
}

// WithClock sets the clock; time.Now when absent.
func WithClock(now func() time.Time) BinderOption { return func(b *Binder) { b.now = now } }

// NewBinder returns a Binder on the store.
func NewBinder(store dialect.Store, opts ...BinderOption) *Binder {
	b := &Binder{store: store, now: time.Now}
	WithCacheSize(DefaultCacheSize)(b)
	for _, o := range opts {
		o(b)
	}
	return b
}

// Bind returns the version of a session, which is the one that choose returned
// to the first caller in the fleet. An error of choose is returned as it is.
func (b *Binder) Bind(ctx context.Context, workspace, id, model string, choose func() (string, error)) (string, error) {
	key, err := storeKey(workspace, id, model)
	if err != nil {
		return "", err
	}
	if c, ok := b.cache.Get(key); ok {
		return c.version, nil
	}
	return b.settle(ctx, key, model, func(version string) bool { return version != "" }, choose)
}

// Repin moves a session from a version to the one that choose returns. When
// another caller has moved it already, Repin returns that version.
func (b *Binder) Repin(ctx context.Context, workspace, id, model, from string, choose func() (string, error)) (string, error) {
	key, err := storeKey(workspace, id, model)
	if err != nil {
		return "", err
	}
	version, err := b.settle(ctx, key, model, func(version string) bool { return version != "" && version != from }, choose)
	if err != nil {
		b.cache.Delete(key) // the write may have taken effect
	}
	return version, err
}

// remember caches a version unless a newer one is cached, as after a Bind that
// read the record before a Repin and returns after it.
func (b *Binder) remember(key string, c cached) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.cache.Get(key); !ok || old.revision < c.revision {
		b.cache.Put(key, c)
	}
}

// Forget drops the cached sessions of a version. An entry calls it when the
// version is withdrawn, because other entries may then have repinned them.
func (b *Binder) Forget(model, version string) {
	b.cache.DeleteFunc(func(_ string, c cached) bool { return c.model == model && c.version == version })
}

// settle returns the stored version as soon as it is good, and otherwise writes
// a chosen one against the revision that was read. After a write of unknown
// outcome it reads back; whichever version is in the store then counts.
func (b *Binder) settle(ctx context.Context, key, model string, good func(version string) bool, choose func() (string, error)) (string, error) {
	chosen := ""
	last := errors.New("too many competing writers")
	for range maxSwaps {
		kv, err := b.store.Get(ctx, key)
		if errors.Is(err, dialect.ErrNotFound) {
			kv, err = dialect.KV{}, nil
		}
		if err != nil {
			return "", fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		var p pin
		if kv.Revision != 0 {
			if err := json.Unmarshal(kv.Value, &p); err != nil {
				return "", fmt.Errorf("session: record %q cannot be decoded: %w", key, err)
			}
		}
		if good(p.Version) {
			b.remember(key, cached{model, p.Version, kv.Revision})
			return p.Version, nil
		}
		if chosen == "" {
			if chosen, err = choose(); err != nil {
				return "", err
			}
		}
		value, err := json.Marshal(pin{Version: chosen, At: b.now().UTC()})
		if err != nil {
			return "", err
		}
		revision, err := b.store.Swap(ctx, dialect.Write{Key: key, Value: value, Expect: kv.Revision})
		if err == nil {
			b.remember(key, cached{model, chosen, revision})
			return chosen, nil
		}
		if last = err; errors.Is(err, dialect.ErrUnavailable) {
			break
		}
	}
	return "", fmt.Errorf("%w: %w", ErrUnavailable, last)
}

func storeKey(workspace, id, model string) (string, error) {
	if workspace == "" || id == "" || model == "" || len(id) > MaxIDBytes {
		return "", ErrInvalid
	}
	return storekey.Join(keyPrefix, workspace, id, model), nil
}
