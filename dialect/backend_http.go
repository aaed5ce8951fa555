package dialect

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// backendDialTimeout bounds the TCP connect to a backend server on the same VM.
	backendDialTimeout = 2 * time.Second
	// maxErrorBytes bounds how much of an error body is kept for the message.
	maxErrorBytes = 4 << 10
)

// BackendStatusError reports an HTTP status that has no error value of its own.
type BackendStatusError struct {
	Status  int
	Message string
}

func (e *BackendStatusError) Error() string {
	return fmt.Sprintf("backend server answered status %d: %s", e.Status, e.Message)
}

// newBackendClient returns a client that sends each request at most once: it
// follows no redirect, because status 307 and 308 repeat the body, and uses no
// proxy.
func newBackendClient(keepAlive bool) *http.Client {
	return &http.Client{
		Transport: tracingTransport{&http.Transport{
			DialContext:         (&net.Dialer{Timeout: backendDialTimeout}).DialContext,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     30 * time.Second,
			DisableKeepAlives:   !keepAlive,
			DisableCompression:  true,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// sendOnce performs a request. An error taken before the first header was written
// wraps ErrRefusedConnection; after that it is unknown what the server did.
func sendOnce(ctx context.Context, client *http.Client, req *http.Request) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { sent.Store(true) }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil && !sent.Load() {
		return nil, fmt.Errorf("%w: %w", ErrRefusedConnection, err)
	}
	return resp, err
}

// backendStatusError reads the beginning of an error body and closes it.
func backendStatusError(resp *http.Response) *BackendStatusError {
	defer resp.Body.Close()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return &BackendStatusError{Status: resp.StatusCode, Message: string(b)}
}
