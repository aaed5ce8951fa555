package dialect

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxReplyBytes bounds the body of a plain service's answer.
const maxReplyBytes = 8 << 20

// hopByHopHeaders belong to one connection and are not passed on.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// HTTPService is a Service that forwards calls over HTTP.
type HTTPService struct {
	base   string
	client *http.Client
}

// NewHTTPService returns the client of the plain service at baseURL. A nil
// client selects one that opens a connection for each call: on a reused
// connection, net/http sends a request with an Idempotency-Key header a second
// time when the connection breaks, even a POST that has already run.
func NewHTTPService(baseURL string, client *http.Client) *HTTPService {
	if client == nil {
		client = newBackendClient(false)
	}
	return &HTTPService{base: strings.TrimSuffix(baseURL, "/"), client: client}
}

// Call sends the call once.
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
	return ServiceResponse{Status: resp.StatusCode, Header: forwardedHeader(resp.Header), Body: body}, nil
}

// forwardedHeader copies a header without the fields of one connection, and
// without the caller's credential.
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
