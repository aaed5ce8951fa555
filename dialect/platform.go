// Package dialect defines what hyssoploom needs from the platform and from
// backend servers, and implements it with HTTP clients.
package dialect

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Errors of the store. Any other error from a write means that it is unknown
// whether the write took effect; the writer has to read back.
var (
	ErrNotFound = errors.New("key not found")
	// ErrUnavailable means that the store certainly did not apply the call.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of store write unknown")
	// ErrCompacted means that the store no longer has all changes since the
	// revision that a watch asked for; the caller has to list.
	ErrCompacted = errors.New("changes since this revision are no longer available")
	// ErrLeaseEnded means that a lease has expired, was revoked or never existed.
	// A write that names such a lease was not applied.
	ErrLeaseEnded = errors.New("lease has ended")
	// ErrValueTooLarge means that a value exceeds MaxValueBytes; the write was
	// not applied.
	ErrValueTooLarge = errors.New("value is too large for the store")
	// ErrFenced means that an engine refused an order with an old fencing number.
	ErrFenced = errors.New("fencing number is too old")
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// KV is one key of the store.
type KV struct {
	Key      string
	Value    []byte
	Revision uint64 // store-wide revision of the last write to Key
}

// ConflictError reports that a compare-and-swap found another revision.
type ConflictError struct {
	Current KV // Revision 0 when the key does not exist
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on key %q: current revision is %d", e.Current.Key, e.Current.Revision)
}

// Event is one change seen by a watch.
type Event struct {
	KV
	Deleted bool
}

// Lease identifies a granted lease.
type Lease string

// Write is one compare-and-swap.
type Write struct {
	Key   string
	Value []byte
	// ExpectedRevision is the revision the key must have; 0 means that it must not exist.
	ExpectedRevision uint64
	// Delete removes the key instead of writing Value.
	Delete bool
	// Lease, when set, deletes the key when the lease ends.
	Lease Lease
}

// Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (KV, error)
	// List returns all keys with the prefix, and the store revision of the listing.
	List(ctx context.Context, prefix string) ([]KV, uint64, error)
	// CompareAndSwap performs a compare-and-swap and returns the new revision. It fails
	// with *ConflictError, ErrUnavailable or ErrUnknownOutcome.
	CompareAndSwap(ctx context.Context, w Write) (uint64, error)
	// Watch waits up to wait for changes after revision and returns them with the
	// revision to continue from. An empty result is not an error.
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

// VMList returns the VMs that the platform knows; it lags.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// RateRequest asks for the rating of one answer.
type RateRequest struct {
	RequestID string `json:"request_id"`
	Workspace string `json:"workspace"`
	TaskClass string `json:"task_class"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	Answer    string `json:"answer"`
}

// Rating is the verdict on one answer.
type Rating struct {
	Pass  bool    `json:"pass"`
	Score float64 `json:"score"` // 0 to 1
}

// Rater rates answers.
type Rater interface {
	Rate(ctx context.Context, r RateRequest) (Rating, error)
}

// Usage counts tokens.
type Usage struct {
	TokensIn  int64 `json:"prompt_tokens" msgpack:"i"`
	TokensOut int64 `json:"completion_tokens" msgpack:"o"`
}

// GenerateRequest is one chat completion for an engine.
type GenerateRequest struct {
	RequestID string
	Model     string
	Version   string
	// Body is the caller's OpenAI-style JSON request.
	Body     []byte
	Priority int
	// ResumeFrom is the number of tokens already generated elsewhere; the engine
	// continues after them.
	ResumeFrom int64
	// ResumeText is the text of those tokens.
	ResumeText string
}

// Token is one piece of generated text.
type Token struct {
	Text string
}

// GenerateResult is the end of a generation.
type GenerateResult struct {
	Usage        Usage
	FinishReason string
}

// EngineStatus is the load report of an engine; it lags.
type EngineStatus struct {
	BootID  string        `json:"boot_id"`
	Uptime  time.Duration `json:"uptime_ns"`
	Running int           `json:"running"`
	Loaded  []ModelRef    `json:"loaded"`
	Resumes bool          `json:"resumes"` // whether streams can be resumed
}

// ModelRef names a version of a model.
type ModelRef struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// Order tells an engine to change what it has loaded.
type Order struct {
	Fencing uint64   `json:"fencing"`
	Action  string   `json:"action"` // "load" or "unload"
	Target  ModelRef `json:"target"`
}

// Errors of engines and services.
var (
	// ErrRefusedConnection means that the backend server was not reached: nothing ran.
	ErrRefusedConnection = errors.New("backend server refused the connection")
	// ErrTruncated means that an answer ended before its end mark.
	ErrTruncated = errors.New("answer of backend server is truncated")
	// ErrOverloaded means that the backend server rejected the request before it ran.
	ErrOverloaded = errors.New("backend server is overloaded")
)

// Engine is one model engine.
type Engine interface {
	// Generate calls emit for each token in order. An error after the first token
	// leaves a partial answer. The returned usage counts what was generated.
	Generate(ctx context.Context, r GenerateRequest, emit func(Token) error) (GenerateResult, error)
	Status(ctx context.Context) (EngineStatus, error)
	// Order returns ErrFenced when the engine checks the fencing number and has
	// seen a higher one.
	Order(ctx context.Context, o Order) error
}

// ServiceRequest is one request to a plain service.
type ServiceRequest struct {
	RequestID string
	Workspace string
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
}

// ServiceResponse is the answer of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is one plain backend server, such as a booking runner.
type Service interface {
	// Call returns ErrRefusedConnection when the service was certainly not
	// reached; after any other error it is unknown whether the call ran.
	Call(ctx context.Context, c ServiceRequest) (ServiceResponse, error)
}
