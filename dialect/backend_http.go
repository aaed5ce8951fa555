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

	"hyssoploom/internal/intact"
)

const (
	// backendDialTimeout limits the TCP connect to a backend server on the same VM.
	backendDialTimeout = 2 * time.Second
	// maxErrorBytes limits the part of an error body that is kept as the message.
	maxErrorBytes = 4 << 10
	// maxHeadBytes limits the head of a response.
	maxHeadBytes = 64 << 10
	// maxStatusBytes limits an engine's load report.
	maxStatusBytes = 256 << 10
)

// BackendStatusError is an unexpected HTTP status of a backend server.
type BackendStatusError struct {
	Status  int
	Message string
}

func (e *BackendStatusError) Error() string {
	return fmt.Sprintf("backend server answered status %d: %s", e.Status, e.Message)
}

// newBackendClient returns an HTTP client without a proxy that does not follow
// redirects, because status 307 and 308 would send the request body again.
func newBackendClient(keepAlive bool) *http.Client {
	return &http.Client{
		Transport: tracingTransport{intact.Transport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: backendDialTimeout}).DialContext,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     30 * time.Second,
			DisableKeepAlives:   !keepAlive,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		})},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// sendOnce sends a request. An error wraps ErrRefusedConnection if no header had
// been written; otherwise it is unknown whether the server ran the request.
func sendOnce(ctx context.Context, client *http.Client, req *http.Request) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { sent.Store(true) }}
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil && !sent.Load() {
		return nil, fmt.Errorf("%w: %w", ErrRefusedConnection, err)
	}
	return resp, err
}

// backendStatusError reads up to maxErrorBytes of an error body and closes it.
func backendStatusError(resp *http.Response) *BackendStatusError {
	defer resp.Body.Close()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return &BackendStatusError{Status: resp.StatusCode, Message: string(b)}
}
