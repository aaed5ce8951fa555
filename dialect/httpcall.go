package dialect

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"hyssoploom/internal/intact"
)

// Defaults and limits of the HTTP clients.
const (
	DefaultCallTimeout = 2 * time.Second
	// listTimeoutFactor multiplies the call timeout for list calls, whose
	// responses can be hundreds of kilobytes.
	listTimeoutFactor = 5
	// DefaultWatchMargin is added to the wait time of a watch to get its call
	// timeout, after which the client treats the connection as dead.
	DefaultWatchMargin = 5 * time.Second
	dialTimeout        = time.Second
	idleConnTimeout    = 60 * time.Second
	maxIdleConns       = 16
	maxResponseBytes   = 256 << 20
)

// ClientOption configures an HTTP client of the platform.
type ClientOption func(*apiClient)

// WithCallTimeout sets the timeout of each call; the default is
// DefaultCallTimeout.
func WithCallTimeout(d time.Duration) ClientOption { return func(c *apiClient) { c.timeout = d } }

// WithWatchMargin sets the margin of the watch timeout; the default is
// DefaultWatchMargin.
func WithWatchMargin(d time.Duration) ClientOption { return func(c *apiClient) { c.watchMargin = d } }

// WithTransport replaces the HTTP transport.
func WithTransport(t http.RoundTripper) ClientOption {
	return func(c *apiClient) { c.client.Transport = t }
}

// apiClient sends JSON requests and maps failures to the errors of this package.
type apiClient struct {
	base        string
	client      *http.Client
	timeout     time.Duration
	watchMargin time.Duration
}

func newAPIClient(base string, opts []ClientOption) *apiClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &apiClient{base: base, timeout: DefaultCallTimeout, watchMargin: DefaultWatchMargin,
		client: &http.Client{Transport: tracingTransport{intact.Transport(&http.Transport{DialContext: dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeadBytes})},
			// The protocols have no redirects; following one would send a write twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// apiRequest describes one request to the platform.
type apiRequest struct {
	method, path string
	in, out      any
	timeout      time.Duration
	// write marks a request that changes the store: if it fails after it was
	// assigned a connection, its outcome is unknown.
	write bool
}

func (c *apiClient) do(ctx context.Context, r apiRequest) error {
	if r.timeout == 0 {
		r.timeout = c.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	// A request counts as sent once it has a connection, because the transport
	// may have written any part of it from then on.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	req, err := r.httpRequest(ctx, c.base)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	res, err := c.client.Do(req)
	if err != nil {
		return r.transportError(sent.Load(), err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return r.transportError(true, err)
	}
	if res.StatusCode/100 != 2 {
		return r.responseError(res.StatusCode, body)
	}
	if r.out == nil {
		return nil
	}
	if err := json.Unmarshal(body, r.out); err != nil {
		return r.transportError(true, fmt.Errorf("malformed response: %w", err))
	}
	return nil
}

func (r apiRequest) httpRequest(ctx context.Context, base string) (*http.Request, error) {
	if r.in == nil {
		return http.NewRequestWithContext(ctx, r.method, base+r.path, nil)
	}
	b, err := json.Marshal(r.in)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, r.method, base+r.path, bytes.NewReader(b))
	if err == nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, err
}

// transportError maps the failure of a request that got no usable response.
func (r apiRequest) transportError(sent bool, err error) error {
	if r.write && sent {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// responseError maps an error response. Only an ErrorBody proves that a write
// was not applied, because an intermediary can also respond with a 5xx status.
func (r apiRequest) responseError(status int, body []byte) error {
	var e ErrorBody
	if err := json.Unmarshal(body, &e); err != nil || e.Code == "" {
		return r.transportError(true, fmt.Errorf("HTTP status %d", status))
	}
	switch e.Code {
	case CodeNotFound:
		return ErrNotFound
	case CodeUnavailable:
		return fmt.Errorf("%w: %s", ErrUnavailable, e.Message)
	case CodeCompacted:
		return ErrCompacted
	case CodeLeaseEnded:
		return ErrLeaseEnded
	case CodeTooLarge:
		return ErrValueTooLarge
	case CodeConflict:
		if e.Current != nil {
			return &ConflictError{Current: e.Current.kv()}
		}
	case CodeBadRequest:
		return errors.New("store refused the request as malformed: " + e.Message)
	}
	return r.transportError(true, fmt.Errorf("HTTP status %d, code %q: %s", status, e.Code, e.Message))
}

func (b KVBody) kv() KV { return KV{Key: b.Key, Value: b.Value, Revision: b.Revision} }

// Body returns the JSON body for the key.
func (kv KV) Body() KVBody { return KVBody{Key: kv.Key, Value: kv.Value, Revision: kv.Revision} }
