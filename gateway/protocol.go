// Package gateway implements the reverse proxy of an entry for routed services. It
// receives client requests, selects a backend server, forwards the request and relays
// the response. It decides which requests can be retried and what an error response
// states about execution.
package gateway

import (
	"net/http"
	"time"
)

// PromptPart is one part of a prompt. Requests with the same leading parts share the
// prefix that an engine has cached.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestMeta holds the decoded headers of a client request.
type RequestMeta struct {
	// ID identifies this attempt of the client.
	ID string
	// Key is the workspace's API key; empty if the request has none.
	Key string
	// ClientTimeout is how long the client waits for the response; 0 if not specified.
	ClientTimeout time.Duration
	// Model is the requested model; AnyModel lets the gateway choose.
	Model string
	// PromptTokens is the length of the prompt, and MaxOutput the maximum number of
	// tokens to generate.
	PromptTokens, MaxOutput int
	// OutputHint is the client's estimate of the number of generated tokens; 0 if
	// absent.
	OutputHint int
	Parts      []PromptPart
	// LastEvent is the id of the last stream event that the client received.
	LastEvent string
}

// AnyModel is the value of RequestMeta.Model that lets the gateway choose the model.
const AnyModel = "*"

// ForwardMeta holds the values that the gateway adds to a request for a backend server.
type ForwardMeta struct {
	// Priority is the scheduling priority of the request; 0 is the most urgent.
	Priority int
	ServerID string
	// Workspace owns the client's key; empty if the request has none.
	Workspace string
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// Model replaces the model that the client requested; empty keeps it.
	Model string
	// LastEvent resumes a stream after this event; empty keeps the client's value.
	LastEvent string
}

// ResponseMeta holds the decoded status and headers of a backend server's response.
type ResponseMeta struct {
	// NotRun is set if the server did not execute the request.
	NotRun bool
	// WrongServer is set if a different server now uses the address.
	WrongServer bool
	// Sealed is set if the response is known to come from the server itself.
	Sealed bool
	// Limited is set if the server names the requests per second that it takes from all
	// entries together; RequestsPerSecond is this limit.
	Limited           bool
	RequestsPerSecond float64
	// Leaving is set if the server says that it will end. RefusesFor is the time for which
	// it wants no requests of this entry, 0 if it does not say so.
	Leaving    bool
	RefusesFor time.Duration
	// Confidence is the model's confidence in its response, from 0 to 100; -1 if it
	// reports none.
	Confidence int
}

// ServerHealth is what a backend server says of itself in an answer to a health request.
type ServerHealth struct {
	// ServerID is the id of the server, empty if it does not state it.
	ServerID string
	// ColdFor is how long the server remains cold. ColdKnown is unset if it does not say.
	ColdFor   time.Duration
	ColdKnown bool
}

// Protocol encodes and decodes the headers of requests and responses.
type Protocol interface {
	// ReadMeta decodes the headers of a client request.
	ReadMeta(h http.Header) (RequestMeta, error)
	// BackendHeader returns the request headers for a backend server.
	BackendHeader(h http.Header, s ForwardMeta) http.Header
	// MatchesRequest reports whether a response belongs to the request with this id.
	MatchesRequest(h http.Header, id string) bool
	// ReadResponse decodes the status and headers of a response from the server with
	// this id.
	ReadResponse(status int, h http.Header, serverID string) ResponseMeta
	// ClientHeader returns the headers of a response as sent to the client.
	ClientHeader(h http.Header) http.Header
	// ReportTarget is the path at which an engine reports on itself.
	ReportTarget() string
	// ReadReport decodes the time at which an engine was started from its report, as a Unix
	// time in milliseconds; 0 if the report does not state it.
	ReadReport(body []byte) (startedAtMS int64)
	// ReadHealth decodes the headers of an answer to a health request.
	ReadHealth(h http.Header) ServerHealth
	// SetErrorHeader sets the headers of an error response that the gateway generates.
	SetErrorHeader(h http.Header, id string, retryAfter time.Duration)
}
