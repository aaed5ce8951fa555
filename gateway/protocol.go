// Package gateway is the front of an entry for routed services: it takes a
// caller's request, chooses a backend server, sends the request, and passes the
// answer on. It decides what may be sent again and what a refusal may say.
package gateway

import (
	"net/http"
	"time"
)

// PromptPart is one part of a prompt. Requests that share leading parts share
// what an engine has read of them.
type PromptPart struct {
	ID     string
	Tokens int
}

// RequestMeta is what the headers of a caller's request say.
type RequestMeta struct {
	// ID is the caller's id of this attempt.
	ID string
	// Key is the workspace's key; empty when there is none.
	Key string
	// ClientTimeout is how long the caller waits; 0 when it does not say.
	ClientTimeout time.Duration
	// Model is the model that the caller asks for; AnyModel leaves the choice.
	Model string
	// PromptTokens and MaxOutput are the tokens to read and the most to generate.
	PromptTokens, MaxOutput int
	// OutputHint is the caller's guess of the tokens to generate; 0 when absent.
	OutputHint int
	Parts      []PromptPart
	// LastEvent is the id of the last event that the caller has of a stream.
	LastEvent string
}

// AnyModel is the Meta.Model of a caller that leaves the choice of the model.
const AnyModel = "*"

// ForwardMeta is what the gateway adds to a request for one backend server.
type ForwardMeta struct {
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	ServerID string
	// Workspace is the owner of the caller's key; empty when there is none.
	Workspace string
	// Remaining is how long the answer is still of use.
	Remaining time.Duration
	// Model replaces the caller's; empty keeps it.
	Model string
	// LastEvent continues a stream after this event; empty keeps the caller's.
	LastEvent string
}

// ResponseMeta is what the head of a backend server's answer says.
type ResponseMeta struct {
	// NotRun tells that the server did not run the request.
	NotRun bool
	// WrongServer tells that another server has the address now.
	WrongServer bool
	// Sealed answers are certainly the server's own.
	Sealed bool
	// Confidence is the model's own opinion of its answer, from 0 to 100; -1 when
	// it has none.
	Confidence int
}

// Protocol reads and writes the headers of requests and answers.
type Protocol interface {
	// ReadMeta decodes the headers of a caller's request.
	ReadMeta(h http.Header) (RequestMeta, error)
	// BackendHeader builds the headers for a backend server.
	BackendHeader(h http.Header, s ForwardMeta) http.Header
	// MatchesRequest tells whether an answer belongs to the request with this id.
	MatchesRequest(h http.Header, id string) bool
	// ReadResponse decodes the head of an answer of the server with this id.
	ReadResponse(status int, h http.Header, serverID string) ResponseMeta
	// ClientHeader builds the headers that the caller gets of an answer.
	ClientHeader(h http.Header) http.Header
	// SetErrorHeader sets the headers of a refusal.
	SetErrorHeader(h http.Header, id string, retryAfter time.Duration)
}
