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

// ErrUnavailable means that the version of a session is not cached and the store
// is not available. The request must be refused, because another entry could
// choose a different version.
var ErrUnavailable = errors.New("session: store does not answer and the session is not cached")

// ErrInvalid means that a workspace, session id or model is empty, or that the
// session id is longer than MaxIDBytes.
var ErrInvalid = errors.New("session: invalid workspace, id or model")

const (
	// DefaultCacheSize is the default number of sessions that a Binder caches.
	DefaultCacheSize = 50_000
	// MaxIDBytes is the maximum length of a session id.
	MaxIDBytes = 255

	keyPrefix = "session/"
	// maxSwapAttempts limits the compare-and-swap attempts of one call.
	maxSwapAttempts = 4
)

// pin is the JSON value at session/<workspace>/<id>/<model>.
type pin struct {
	Version string    `json:"version"`
	At      time.Time `json:"at"` // time of the write, by the writer's clock
}

// Binder pins sessions without a token to a version, by records in the store.
type Binder struct {
	store dialect.Store
	now   func() time.Time
	cache *lru.Cache[string, cachedVersion]
	mu    sync.Mutex // makes cacheIfNewer atomic
}

type cachedVersion struct {
	model, version string
	revision       uint64 // of the record in the store
}

// BinderOption configures a Binder.
type BinderOption func(*Binder)

// WithCacheSize limits the number of cached sessions. The default is
// DefaultCacheSize.
func WithCacheSize(n int) BinderOption {
	return func(b *Binder) { b.cache = lru.New[string, cachedVersion](n) }
}

// WithClock sets the clock. The default is time.Now.
func WithClock(now func() time.Time) BinderOption { return func(b *Binder) { b.now = now } }

// NewBinder returns a Binder that keeps its records in store.
func NewBinder(store dialect.Store, opts ...BinderOption) *Binder {
	b := &Binder{store: store, now: time.Now}
	WithCacheSize(DefaultCacheSize)(b)
	for _, o := range opts {
		o(b)
	}
	return b
}

// Bind returns the version of a session. If the session has none, it is pinned to
// the version that choose returns; of concurrent callers in the fleet, the first
// to write decides. An error of choose is returned unchanged.
func (b *Binder) Bind(ctx context.Context, workspace, id, model string, choose func() (string, error)) (string, error) {
	key, err := storeKey(workspace, id, model)
	if err != nil {
		return "", err
	}
	if c, ok := b.cache.Get(key); ok {
		return c.version, nil
	}
	return b.resolve(ctx, key, model, func(version string) bool { return version != "" }, choose)
}

// Repin moves a session from the version from to the one that choose returns. If
// another caller has already moved it, Repin returns that caller's version.
func (b *Binder) Repin(ctx context.Context, workspace, id, model, from string, choose func() (string, error)) (string, error) {
	key, err := storeKey(workspace, id, model)
	if err != nil {
		return "", err
	}
	version, err := b.resolve(ctx, key, model, func(version string) bool { return version != "" && version != from }, choose)
	if err != nil {
		b.cache.Delete(key) // the write may have taken effect
	}
	return version, err
}

// cacheIfNewer caches a version unless a newer one is cached. A newer one is
// cached if a Repin completes while a Bind is processing the record that it read
// before.
func (b *Binder) cacheIfNewer(key string, c cachedVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.cache.Get(key); !ok || old.revision < c.revision {
		b.cache.Put(key, c)
	}
}

// Forget removes the sessions of a version from the cache. An entry calls it when
// the version is withdrawn, because other entries may then have repinned them.
func (b *Binder) Forget(model, version string) {
	b.cache.DeleteFunc(func(_ string, c cachedVersion) bool { return c.model == model && c.version == version })
}

// resolve returns the stored version if accept allows it, and otherwise replaces
// it with a chosen one by compare-and-swap. After a conflict or a write of
// unknown outcome the record is read again, and the version in the store counts.
func (b *Binder) resolve(ctx context.Context, key, model string, accept func(version string) bool, choose func() (string, error)) (string, error) {
	chosen := ""
	lastErr := errors.New("too many competing writers")
	for range maxSwapAttempts {
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
		if accept(p.Version) {
			b.cacheIfNewer(key, cachedVersion{model, p.Version, kv.Revision})
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
		revision, err := b.store.CompareAndSwap(ctx, dialect.Write{Key: key, Value: value, ExpectedRevision: kv.Revision})
		if err == nil {
			b.cacheIfNewer(key, cachedVersion{model, chosen, revision})
			return chosen, nil
		}
		if lastErr = err; errors.Is(err, dialect.ErrUnavailable) {
			break
		}
	}
	return "", fmt.Errorf("%w: %w", ErrUnavailable, lastErr)
}

func storeKey(workspace, id, model string) (string, error) {
	if workspace == "" || id == "" || model == "" || len(id) > MaxIDBytes {
		return "", ErrInvalid
	}
	return storekey.Join(keyPrefix, workspace, id, model), nil
}
