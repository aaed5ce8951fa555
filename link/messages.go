// Package link carries requests, answers and control messages between entries
// and agents over TCP.
package link

import (
	"net/http"
	"time"
)

// Hello identifies a process at the start of a link.
type Hello struct {
	Protocol   int    `msgpack:"p"`
	Name       string `msgpack:"n"` // entry name or backend server name
	BootID     string `msgpack:"b"` // new at every start of the process
	DataCentre string `msgpack:"d"`
}

// Heartbeat is sent by both ends while a link is up.
type Heartbeat struct {
	// Clock is the sender's monotonic clock.
	Clock time.Duration `msgpack:"c"`
	// Revision and Digest describe the sender's configuration snapshot.
	Revision uint64 `msgpack:"r"`
	Digest   uint64 `msgpack:"g"`
	// Load is set by agents.
	Load *LoadReport `msgpack:"l,omitempty"`
	// Draining tells that the sender takes no new work.
	Draining bool `msgpack:"x,omitempty"`
}

// LoadReport is an agent's view of its backend server.
type LoadReport struct {
	Running    int           `msgpack:"r"`
	Queued     int           `msgpack:"q"`
	Limit      int           `msgpack:"l"`
	Cold       bool          `msgpack:"c"`
	FirstToken time.Duration `msgpack:"f"` // moving average
	Loaded     []string      `msgpack:"m"` // "model@version"
	Resumes    bool          `msgpack:"s"` // whether the engine can resume streams
}

// Control is a typed message outside any stream. The link does not interpret
// Body.
type Control struct {
	Kind string `msgpack:"k"`
	Body []byte `msgpack:"b"`
}

// RequestKind tells chat completions from calls to plain services.
type RequestKind uint8

// The kinds of requests.
const (
	KindChat RequestKind = iota + 1
	KindService
)

// Request opens a stream. It is one attempt of a caller's request.
type Request struct {
	Kind      RequestKind `msgpack:"k"`
	RequestID string      `msgpack:"i"`
	Attempt   uint32      `msgpack:"a"`
	Workspace string      `msgpack:"w"`
	Model     string      `msgpack:"m,omitempty"`
	Version   string      `msgpack:"v,omitempty"`
	// Pinned tells that the version comes from the caller's session.
	Pinned    bool   `msgpack:"p,omitempty"`
	Session   string `msgpack:"s,omitempty"`
	TaskClass string `msgpack:"t,omitempty"`
	Stage     int    `msgpack:"g,omitempty"`
	Priority  int    `msgpack:"y,omitempty"`
	// Deadline is in the agent's monotonic clock (see Heartbeat.Clock).
	Deadline time.Duration `msgpack:"d"`
	// Revision is the configuration revision that the entry decided on.
	Revision uint64 `msgpack:"r"`
	// OnceKey and OnceNonce are set for calls that may not be repeated.
	OnceKey    string      `msgpack:"o,omitempty"`
	OnceNonce  string      `msgpack:"n,omitempty"`
	Service    string      `msgpack:"sv,omitempty"`
	Method     string      `msgpack:"me,omitempty"`
	Path       string      `msgpack:"pa,omitempty"`
	Header     http.Header `msgpack:"h,omitempty"`
	Body       []byte      `msgpack:"b"`
	ResumeFrom int64       `msgpack:"rf,omitempty"`
	ResumeText string      `msgpack:"rt,omitempty"`
	// TraceParent is a W3C traceparent header value.
	TraceParent string `msgpack:"tp,omitempty"`
}

// Refusal ends a stream before the backend server heard of the request.
type Refusal struct {
	Code    string `msgpack:"c"`
	Message string `msgpack:"m"`
	// Revision is the agent's snapshot revision.
	Revision uint64 `msgpack:"r"`
}

// End closes an answer. Frames and Checksum are filled in by the link.
type End struct {
	// Complete is false for an answer that was cut or failed after it had begun.
	Complete bool `msgpack:"ok"`
	// Unknown tells that the agent cannot say whether a call that may not be
	// repeated ran.
	Unknown      bool        `msgpack:"u,omitempty"`
	Code         string      `msgpack:"c,omitempty"` // error code when not complete
	Message      string      `msgpack:"m,omitempty"`
	Status       int         `msgpack:"s,omitempty"` // HTTP status of a plain service
	Header       http.Header `msgpack:"h,omitempty"`
	TokensIn     int64       `msgpack:"ti,omitempty"`
	TokensOut    int64       `msgpack:"to,omitempty"`
	FinishReason string      `msgpack:"f,omitempty"`
	// Charge is the msgpack form of the ledger row of this attempt.
	Charge   []byte `msgpack:"ch,omitempty"`
	Frames   uint32 `msgpack:"n"`
	Checksum uint64 `msgpack:"x"` // xxhash64 over the payloads in order
}
