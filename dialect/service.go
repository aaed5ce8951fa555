package dialect

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"hyssoploom/internal/liveness"
)

// maxReplyBytes limits the response body of a service.
const maxReplyBytes = 8 << 20

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// HTTPService is a Service that forwards requests over HTTP.
type HTTPService struct {
	base   string
	client *http.Client
}

// NewHTTPService returns a client of the service at baseURL. If client is nil,
// each request opens its own connection: when a reused connection breaks,
// net/http sends a request with an Idempotency-Key header again, even a POST
// that has already run.
func NewHTTPService(baseURL string, client *http.Client) *HTTPService {
	if client == nil {
		client = newBackendClient(false)
	}
	return &HTTPService{base: strings.TrimSuffix(baseURL, "/"), client: client}
}

// Call sends the request at most once.
func (s *HTTPService) Call(ctx context.Context, c ServiceRequest) (ServiceResponse, error) {
	path := "/" + strings.TrimPrefix(c.Path, "/")
	req, err := http.NewRequest(c.Method, s.base+path, bytes.NewReader(c.Body))
	if err != nil {
		return ServiceResponse{}, fmt.Errorf("%w: %w", ErrRefusedConnection, err) // nothing was sent
	}
	req.Header = forwardedHeader(c.Header)
	req.Header.Set("X-Request-Id", c.RequestID)
	req.Header.Set("X-Workspace", c.Workspace)
	resp, err := sendOnce(ctx, s.client, req)
	if err != nil {
		return ServiceResponse{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return ServiceResponse{}, fmt.Errorf("answer of service broke off: %w", err)
	}
	if len(body) > maxReplyBytes {
		return ServiceResponse{}, fmt.Errorf("answer of service exceeds %d bytes", maxReplyBytes)
	}
	if liveness.EndsWithConnection(resp) && !liveness.Listens(ctx, s.connect) {
		return ServiceResponse{}, errors.New("answer of service ended with the service")
	}
	return ServiceResponse{Status: resp.StatusCode, Header: forwardedHeader(resp.Header), Body: body}, nil
}

// connect establishes a connection to the service and closes it.
func (s *HTTPService) connect(ctx context.Context) error {
	u, err := url.Parse(s.base)
	if err != nil {
		return err
	}
	port := cmp.Or(u.Port(), "80")
	if u.Scheme == "https" {
		port = cmp.Or(u.Port(), "443")
	}
	dialer := net.Dialer{Timeout: backendDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", net.JoinHostPort(u.Hostname(), port))
	if err != nil {
		return err
	}
	return conn.Close()
}

// forwardedHeader copies h without hop-by-hop fields, including those listed in
// Connection, and without the caller's credentials and Content-Length.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	out.Del("Authorization")
	out.Del("Content-Length")
	return out
}
