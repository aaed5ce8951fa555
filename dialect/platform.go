// Package dialect defines the interfaces to the platform (store, VM list, rater)
// and to backend servers (engines, services), and implements them as HTTP clients.
package dialect

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Errors returned by a Store. After any other error from a write, it is unknown
// whether the write took effect; the writer has to read the key again.
var (
	ErrNotFound = errors.New("key not found")
	// ErrUnavailable means that the store is known not to have applied the call.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of store write unknown")
	// ErrCompacted means that the store has discarded changes after the revision
	// that a watch started from; the caller has to list the keys again.
	ErrCompacted = errors.New("changes since this revision are no longer available")
	// ErrLeaseEnded means that a lease has expired, was revoked or never existed.
	// A write attached to such a lease was not applied.
	ErrLeaseEnded = errors.New("lease has ended")
	// ErrValueTooLarge means that a value exceeds MaxValueBytes; the write was
	// not applied.
	ErrValueTooLarge = errors.New("value is too large for the store")
	// ErrFenced means that an engine rejected an order because it has seen a
	// higher fencing number.
	ErrFenced = errors.New("fencing number is too old")
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// KV is a key with its value and revision.
type KV struct {
	Key      string
	Value    []byte
	Revision uint64 // store-wide revision of the last write to Key
}

// ConflictError reports that the key of a compare-and-swap did not have the
// expected revision.
type ConflictError struct {
	Current KV // Revision 0 when the key does not exist
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on key %q: current revision is %d", e.Current.Key, e.Current.Revision)
}

// Event is one change returned by a watch.
type Event struct {
	KV
	Deleted bool // whether the change removed the key
}

// Lease is the id of a lease. When a lease ends, the store deletes the keys
// attached to it.
type Lease string

// Write describes one compare-and-swap.
type Write struct {
	Key   string
	Value []byte
	// ExpectedRevision is the revision that the key must have; 0 means that the
	// key must not exist.
	ExpectedRevision uint64
	// Delete removes the key instead of writing Value.
	Delete bool
	// Lease, when set, attaches the key to a lease: the key is deleted when the
	// lease ends.
	Lease Lease
}

// Store is the platform's key-value store.
type Store interface {
	Get(ctx context.Context, key string) (KV, error)
	// List returns all keys with the prefix, and the store revision at which they
	// were read.
	List(ctx context.Context, prefix string) ([]KV, uint64, error)
	// CompareAndSwap writes or deletes a key if it has the expected revision, and
	// returns the new revision. It fails with *ConflictError, ErrUnavailable or
	// ErrUnknownOutcome, among others.
	CompareAndSwap(ctx context.Context, w Write) (uint64, error)
	// Watch waits up to wait for changes after the given revision, and returns
	// them with the revision to continue from. It returns no events and no error
	// when nothing changed in that time.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepAlive(ctx context.Context, l Lease) error
	Revoke(ctx context.Context, l Lease) error
}

// VM is one entry of the platform's VM list.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"` // "entry" or "backend"
	Addr       string `json:"addr"`
	Leaving    bool   `json:"leaving"`
}

// VMList returns the VMs known to the platform. The list may be out of date.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// RateRequest is a request to rate one answer.
type RateRequest struct {
	RequestID string `json:"request_id"`
	Workspace string `json:"workspace"`
	TaskClass string `json:"task_class"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	Answer    string `json:"answer"`
}

// Rating is the result of rating one answer.
type Rating struct {
	Pass  bool    `json:"pass"`
	Score float64 `json:"score"` // 0 to 1
}

// Rater rates answers.
type Rater interface {
	Rate(ctx context.Context, r RateRequest) (Rating, error)
}

// Usage is the number of prompt and generated tokens.
type Usage struct {
	TokensIn  int64 `json:"prompt_tokens" msgpack:"i"`
	TokensOut int64 `json:"completion_tokens" msgpack:"o"`
}

// GenerateRequest is a chat completion request to an engine.
type GenerateRequest struct {
	RequestID string
	Model     string
	Version   string
	// Body is the caller's OpenAI-style JSON request.
	Body     []byte
	Priority int
	// ResumeFrom is the number of tokens that another engine has already
	// generated; this engine continues after them.
	ResumeFrom int64
	// ResumeText is the text of those tokens.
	ResumeText string
}

// Token is one piece of generated text.
type Token struct {
	Text string
}

// GenerateResult holds the token usage and finish reason of a generation.
type GenerateResult struct {
	Usage        Usage
	FinishReason string
}

// EngineStatus is the load report of an engine. It may be out of date.
type EngineStatus struct {
	BootID  string        `json:"boot_id"`
	Uptime  time.Duration `json:"uptime_ns"`
	Running int           `json:"running"`
	Loaded  []ModelRef    `json:"loaded"`
	Resumes bool          `json:"resumes"` // whether the engine can resume streams
}

// ModelRef identifies a version of a model.
type ModelRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Order is a command to an engine to load or unload a model version.
type Order struct {
	Fencing uint64   `json:"fencing"` // see ErrFenced
	Action  string   `json:"action"`  // "load" or "unload"
	Target  ModelRef `json:"target"`
}

// Errors returned by engines and services.
var (
	// ErrRefusedConnection means that the backend server was not reached, so the
	// request did not run.
	ErrRefusedConnection = errors.New("backend server refused the connection")
	// ErrTruncated means that a stream broke off, failed or was malformed before
	// its end marker.
	ErrTruncated = errors.New("answer of backend server is truncated")
	// ErrOverloaded means that the backend server rejected the request for lack of
	// capacity before running it.
	ErrOverloaded = errors.New("backend server is overloaded")
)

// Engine is a model inference engine.
type Engine interface {
	// Generate calls emit for each token in order. An error after the first token
	// leaves a partial answer. The returned usage also counts the tokens that
	// were generated before an error.
	Generate(ctx context.Context, r GenerateRequest, emit func(Token) error) (GenerateResult, error)
	Status(ctx context.Context) (EngineStatus, error)
	// Order sends a load or unload command. It returns ErrFenced when the engine
	// checks fencing numbers and has seen a higher one.
	Order(ctx context.Context, o Order) error
}

// ServiceRequest is an HTTP request to a service other than a model engine.
type ServiceRequest struct {
	RequestID string
	Workspace string
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
}

// ServiceResponse is the response of a service to a ServiceRequest.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a backend server that is not a model engine, such as a booking runner.
type Service interface {
	// Call returns ErrRefusedConnection when the service is known not to have been
	// reached. After any other error it is unknown whether the request ran.
	Call(ctx context.Context, c ServiceRequest) (ServiceResponse, error)
}
