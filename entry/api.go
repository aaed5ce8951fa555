package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"hyssoploom/config"
	"hyssoploom/internal/uniqueid"
)

// Request and response headers of the public API.
const (
	headerRequestID      = "X-Request-Id"
	headerSessionID      = "X-Session-Id"
	headerSessionToken   = "X-Session-Token"
	headerTaskClass      = "X-Task-Class"
	headerModelVersion   = "X-Model-Version"
	headerIdempotencyKey = "Idempotency-Key"
)

// idPattern matches valid caller-supplied IDs. They become part of store keys.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// RunState tells a caller whether its request ran.
type RunState string

// Values of the field "run" of an error response.
const (
	NotRun  RunState = "not_run"
	Unknown RunState = "unknown"
)

// apiError is an error response of the public API.
type apiError struct {
	Status     int
	Code       string
	Message    string
	Run        RunState
	RetryAfter int // seconds, 0 for none
}

// Error returns the error code and the message.
func (e *apiError) Error() string { return e.Code + ": " + e.Message }

// refusal returns the error for a request that was refused before it ran.
func refusal(status int, code, format string, args ...any) *apiError {
	return &apiError{Status: status, Code: code, Message: fmt.Sprintf(format, args...), Run: NotRun}
}

// unavailable returns a refusal with status 503 that the caller may retry after
// one second.
func unavailable(code, format string, args ...any) *apiError {
	err := refusal(http.StatusServiceUnavailable, code, format, args...)
	err.RetryAfter = 1
	return err
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      string   `json:"code"`
	Message   string   `json:"message"`
	Type      string   `json:"type"`
	Run       RunState `json:"run"`
	RequestID string   `json:"request_id,omitempty"`
}

func (e *apiError) body(requestID string) errorBody {
	kind := "server_error"
	switch {
	case e.Status == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case e.Status == http.StatusUnauthorized:
		kind = "authentication_error"
	case e.Status < http.StatusInternalServerError:
		kind = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{
		Code: e.Code, Message: e.Message, Type: kind, Run: e.Run, RequestID: requestID,
	}}
}

func writeError(w http.ResponseWriter, requestID string, err *apiError) {
	w.Header().Set("Content-Type", "application/json")
	if err.RetryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(err.RetryAfter))
	}
	w.WriteHeader(err.Status)
	_ = json.NewEncoder(w).Encode(err.body(requestID))
}

// Handler returns the HTTP handler of the public API.
func (e *Entry) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.apiHandler(e.serveChat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", e.apiHandler(e.serveModels)).Methods(http.MethodGet)
	r.HandleFunc("/services/{service}/{path:.*}", e.apiHandler(e.serveService))
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", e.serveReady)
	r.Handle("/debug/vars", e.metrics)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, "", refusal(http.StatusNotFound, "path_unknown", "there is nothing at %s", r.URL.Path))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, "", refusal(http.StatusMethodNotAllowed, "method_not_allowed", "%s is not allowed at %s", r.Method, r.URL.Path))
	})
	return r
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// apiRequest holds the data that all requests to the public API share.
type apiRequest struct {
	requestID string
	// generatedID reports that this entry generated the request ID, so no earlier
	// request can have used it.
	generatedID bool
	view        *config.View
	workspace   *config.Workspace
}

// apiHandler wraps serve: it authenticates the caller, counts the request as in
// flight for draining, and writes the error that serve returns.
func (e *Entry) apiHandler(serve func(http.ResponseWriter, *http.Request, *apiRequest) *apiError) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		defer e.requests.Begin()()
		e.metrics.Add("requests", 1)
		c, apiErr := e.authenticate(r)
		defer e.pending.take(c.requestID)
		if c.requestID != "" {
			w.Header().Set(headerRequestID, c.requestID)
		}
		switch {
		case apiErr == nil:
			apiErr = serve(w, r, c)
		case apiErr.Status == http.StatusServiceUnavailable && earlierMayHaveRun(r):
			apiErr.Run = Unknown
		}
		if apiErr != nil {
			e.metrics.Add("refused_"+apiErr.Code, 1)
			writeError(w, c.requestID, apiErr)
		}
	}
}

// earlierMayHaveRun reports whether an earlier request with the same idempotency
// key or request ID may have run the call. An entry that cannot read the call's
// record must not report such a request as not run.
func earlierMayHaveRun(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, "/services/") && r.Method != http.MethodGet && r.Method != http.MethodHead &&
		(r.Header.Get(headerIdempotencyKey) != "" || r.Header.Get(headerRequestID) != "")
}

// authenticate checks the headers and the request ID and finds the workspace of
// the caller's key. The returned apiRequest is never nil.
func (e *Entry) authenticate(r *http.Request) (*apiRequest, *apiError) {
	c := &apiRequest{requestID: r.Header.Get(headerRequestID), view: e.snapshot.View()}
	if size := headerBytes(r.Header); size > maxHeaderBytes {
		c.requestID = ""
		return c, refusal(http.StatusRequestHeaderFieldsTooLarge, "headers_too_large",
			"the headers have %d bytes, more than %d", size, maxHeaderBytes)
	}
	if c.requestID == "" {
		c.requestID, c.generatedID = uniqueid.New(), true
	}
	if !idPattern.MatchString(c.requestID) {
		c.requestID = ""
		return c, refusal(http.StatusBadRequest, "request_id_invalid",
			"header %s must be 1 to 128 letters, digits, dots, colons, hyphens or underscores", headerRequestID)
	}
	if e.snapshot.Revision() == 0 {
		return c, unavailable("not_ready", "this entry has no configuration yet")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return c, refusal(http.StatusUnauthorized, "key_missing", "header Authorization must hold a bearer key")
	}
	workspace, ok := c.view.WorkspaceByKey(key)
	if !ok {
		return c, refusal(http.StatusUnauthorized, "key_unknown", "the key belongs to no workspace")
	}
	c.workspace = workspace
	if e.ledger.Full() {
		return c, unavailable("ledger_full", "too many charges wait for the store")
	}
	return c, nil
}

const (
	// maxHeaderBytes limits the total size of the request headers.
	maxHeaderBytes = 32 << 10
	// bodyTimeout limits the time a caller may take to send the body.
	bodyTimeout = 10 * time.Second
)

// headerBytes returns the total size of all header names and values.
func headerBytes(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// readBody reads the request body within the size limit and bodyTimeout.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *apiError) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal(http.StatusRequestTimeout, "body_too_slow", "the body did not arrive within %s", bodyTimeout)
	case err != nil:
		return nil, refusal(http.StatusBadRequest, "body_unreadable", "the body could not be read: %v", err)
	}
	return body, nil
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models and cascades that the workspace may use.
func (e *Entry) serveModels(w http.ResponseWriter, _ *http.Request, c *apiRequest) *apiError {
	list := modelList{Object: "list", Data: []modelItem{}}
	add := func(id, owner string) {
		list.Data = append(list.Data, modelItem{ID: id, Object: "model", OwnedBy: owner})
	}
	for _, grant := range c.workspace.Allow {
		if _, ok := c.view.Models[grant.Model]; ok {
			add(grant.Model, "hyssoploom")
		}
	}
	for _, name := range c.workspace.Cascades {
		if _, ok := c.view.Cascades[name]; ok {
			add(name, "hyssoploom-cascade")
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
	return nil
}
