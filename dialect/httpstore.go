package dialect

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// HTTPStore is an HTTP client of the platform's store.
type HTTPStore struct{ *apiClient }

var _ Store = HTTPStore{}

// NewHTTPStore returns a client of the store at baseURL, for example
// "http://10.0.0.2:7000".
func NewHTTPStore(baseURL string, opts ...ClientOption) HTTPStore {
	return HTTPStore{newAPIClient(strings.TrimSuffix(baseURL, "/"), opts)}
}

// Get returns one key, or ErrNotFound.
func (s HTTPStore) Get(ctx context.Context, key string) (KV, error) {
	var out KVBody
	err := s.do(ctx, apiRequest{method: http.MethodGet, path: "/v1/kv?" + url.Values{"key": {key}}.Encode(), out: &out})
	if err != nil {
		return KV{}, err
	}
	return out.kv(), nil
}

// List returns all keys with a prefix and the store revision.
func (s HTTPStore) List(ctx context.Context, prefix string) ([]KV, uint64, error) {
	var out ListBody
	err := s.do(ctx, apiRequest{method: http.MethodGet, path: "/v1/list?" + url.Values{"prefix": {prefix}}.Encode(), out: &out,
		timeout: listTimeoutFactor * s.timeout})
	if err != nil {
		return nil, 0, err
	}
	kvs := make([]KV, 0, len(out.KVs))
	for _, b := range out.KVs {
		kvs = append(kvs, b.kv())
	}
	return kvs, out.Revision, nil
}

// CompareAndSwap writes or deletes a key if it has the expected revision.
func (s HTTPStore) CompareAndSwap(ctx context.Context, w Write) (uint64, error) {
	if len(w.Value) > MaxValueBytes {
		return 0, ErrValueTooLarge
	}
	var out RevisionBody
	in := SwapBody(w)
	err := s.do(ctx, apiRequest{method: http.MethodPost, path: "/v1/swap", in: in, out: &out, write: true})
	return out.Revision, err
}

// Watch long-polls for changes after a revision.
func (s HTTPStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	q := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var out WatchBody
	err := s.do(ctx, apiRequest{method: http.MethodGet, path: "/v1/watch?" + q.Encode(), out: &out, timeout: wait + s.watchMargin})
	if err != nil {
		return nil, 0, err
	}
	events := make([]Event, 0, len(out.Events))
	for _, b := range out.Events {
		events = append(events, Event{KV: b.kv(), Deleted: b.Deleted})
	}
	return events, out.Revision, nil
}

// Grant creates a lease.
func (s HTTPStore) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	var out LeaseBody
	in := LeaseBody{TTLMS: ttl.Milliseconds()}
	err := s.do(ctx, apiRequest{method: http.MethodPost, path: "/v1/leases", in: in, out: &out, write: true})
	return out.Lease, err
}

// KeepAlive renews a lease for its full time to live.
func (s HTTPStore) KeepAlive(ctx context.Context, l Lease) error {
	return s.do(ctx, apiRequest{method: http.MethodPost, path: "/v1/leases/" + url.PathEscape(string(l)) + "/keepalive", write: true})
}

// Revoke ends a lease and deletes its keys.
func (s HTTPStore) Revoke(ctx context.Context, l Lease) error {
	return s.do(ctx, apiRequest{method: http.MethodDelete, path: "/v1/leases/" + url.PathEscape(string(l)), write: true})
}

// HTTPVMList is an HTTP client of the platform's VM list.
type HTTPVMList struct{ *apiClient }

var _ VMList = HTTPVMList{}

// NewHTTPVMList returns a client of the VM list at baseURL.
func NewHTTPVMList(baseURL string, opts ...ClientOption) HTTPVMList {
	return HTTPVMList{newAPIClient(strings.TrimSuffix(baseURL, "/"), opts)}
}

// VMs returns the VMs known to the platform.
func (l HTTPVMList) VMs(ctx context.Context) ([]VM, error) {
	var out VMsBody
	err := l.do(ctx, apiRequest{method: http.MethodGet, path: "/v1/vms", out: &out})
	return out.VMs, err
}
