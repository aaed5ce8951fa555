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
)

// Defaults of the HTTP clients.
const (
	DefaultCallTimeout = 2 * time.Second
	// listTimeoutFactor gives a list, which can be hundreds of kilobytes, more
	// time than other calls.
	listTimeoutFactor = 5
	// DefaultWatchMargin is added to the wait of a watch before the client
	// regards its connection as silent.
	DefaultWatchMargin = 5 * time.Second
	dialTimeout        = time.Second
	idleConnTimeout    = 60 * time.Second
	maxIdleConns       = 16
	maxResponseBytes   = 256 << 20
)

// ClientOption changes an HTTP client of the platform.
type ClientOption func(*apiClient)

// WithCallTimeout bounds each call; the default is DefaultCallTimeout.
func WithCallTimeout(d time.Duration) ClientOption { return func(c *apiClient) { c.timeout = d } }

// WithWatchMargin replaces DefaultWatchMargin.
func WithWatchMargin(d time.Duration) ClientOption { return func(c *apiClient) { c.watchMargin = d } }

// WithTransport replaces the HTTP transport.
func WithTransport(t http.RoundTripper) ClientOption {
	return func(c *apiClient) { c.client.Transport = t }
}

// apiClient performs JSON calls and classifies their failures.
type apiClient struct {
	base        string
	client      *http.Client
	timeout     time.Duration
	watchMargin time.Duration
}

func newAPIClient(base string, opts []ClientOption) *apiClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &apiClient{base: base, timeout: DefaultCallTimeout, watchMargin: DefaultWatchMargin,
		client: &http.Client{Transport: tracingTransport{&http.Transport{DialContext: dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout}},
			// Redirects are not part of the protocols; following one would repeat a write.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// apiRequest is one request to the platform.
type apiRequest struct {
	method, path string
	in, out      any
	timeout      time.Duration
	// write tells that a failure after the request was handed to a connection
	// leaves the outcome unknown.
	write bool
}

func (c *apiClient) do(ctx context.Context, r apiRequest) error {
	if r.timeout == 0 {
		r.timeout = c.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	// A request counts as sent once it has a connection: from then on the
	// transport may have written any part of it.
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

// transportError classifies a call without a usable response.
func (r apiRequest) transportError(sent bool, err error) error {
	if r.write && sent {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// responseError maps an error response. Only a body of this protocol tells for
// certain that a write was not applied: an intermediary also answers 5xx.
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

// Body returns the protocol form of the key.
func (kv KV) Body() KVBody { return KVBody{Key: kv.Key, Value: kv.Value, Revision: kv.Revision} }
