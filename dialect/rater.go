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
	"net/url"
	"time"

	"hyssoploom/internal/intact"
)

// RaterPath is the URL path of a rating request.
const RaterPath = "/v1/ratings"

// DefaultRaterTimeout is the timeout of a rating request when none is set.
const DefaultRaterTimeout = 10 * time.Second

// maxRatingBytes limits the response body of the rater.
const maxRatingBytes = 64 << 10

// Errors of rating requests, each wrapped in a *RaterError.
var (
	ErrRaterUnavailable = errors.New("rater unavailable")
	ErrRaterTimeout     = errors.New("rater did not respond in time")
	// ErrRaterRejected means that the rater will not rate this request; a retry
	// cannot succeed.
	ErrRaterRejected = errors.New("rater rejected the request")
	ErrRaterProtocol = errors.New("response of rater is not a rating")
)

// RaterError is the error of one rating request. Kind is one of ErrRaterUnavailable,
// ErrRaterTimeout, ErrRaterRejected and ErrRaterProtocol.
type RaterError struct {
	Kind   error
	Status int // HTTP status; 0 when there was no response
	Cause  error
}

func (e *RaterError) Error() string {
	switch {
	case e.Cause != nil:
		return fmt.Sprintf("%v: %v", e.Kind, e.Cause)
	case e.Status != 0:
		return fmt.Sprintf("%v: status %d", e.Kind, e.Status)
	}
	return e.Kind.Error()
}

func (e *RaterError) Unwrap() []error { return []error{e.Kind, e.Cause} }

// HTTPRater is a Rater that uses the protocol of docs/rater-protocol.md.
type HTTPRater struct {
	url     string
	timeout time.Duration
	client  *http.Client
}

// NewHTTPRater returns a client of the rater at baseURL. A timeout of 0 selects
// DefaultRaterTimeout. The context of a request may end it earlier.
func NewHTTPRater(baseURL string, timeout time.Duration) (*HTTPRater, error) {
	u, err := url.Parse(baseURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("rater URL %q is not an http or https URL", baseURL)
	}
	if timeout <= 0 {
		timeout = DefaultRaterTimeout
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 64 // ratings come in bursts
	return &HTTPRater{url: u.JoinPath(RaterPath).String(), timeout: timeout,
		client: &http.Client{Transport: tracingTransport{intact.Transport(transport)}}}, nil
}

// Rate requests the rating of one answer. Its errors are of type *RaterError.
func (h *HTTPRater) Rate(ctx context.Context, r RateRequest) (Rating, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	body, err := json.Marshal(r)
	if err != nil {
		return Rating{}, &RaterError{Kind: ErrRaterRejected, Cause: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url, bytes.NewReader(body))
	if err != nil {
		return Rating{}, &RaterError{Kind: ErrRaterRejected, Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.client.Do(req)
	if err != nil {
		return Rating{}, raterCallError(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxRatingBytes+1))
	if err != nil {
		return Rating{}, raterCallError(err)
	}
	return decodeRating(resp.StatusCode, raw)
}

// CloseIdle closes the client's idle connections.
func (h *HTTPRater) CloseIdle() { h.client.CloseIdleConnections() }

func raterCallError(err error) error {
	var timeout net.Error
	if errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout()) {
		return &RaterError{Kind: ErrRaterTimeout, Cause: err}
	}
	return &RaterError{Kind: ErrRaterUnavailable, Cause: err}
}

func decodeRating(status int, raw []byte) (Rating, error) {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status >= 500:
		return Rating{}, &RaterError{Kind: ErrRaterUnavailable, Status: status}
	case status != http.StatusOK:
		return Rating{}, &RaterError{Kind: ErrRaterRejected, Status: status}
	}
	var body struct {
		Pass  *bool   `json:"pass"`
		Score float64 `json:"score"`
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return Rating{}, &RaterError{Kind: ErrRaterProtocol, Status: status, Cause: err}
	}
	if body.Pass == nil || body.Score < 0 || body.Score > 1 {
		return Rating{}, &RaterError{Kind: ErrRaterProtocol, Status: status}
	}
	return Rating{Pass: *body.Pass, Score: body.Score}, nil
}
