// Package link implements the multiplexed connection between an entry and an agent.
// It carries requests, streamed answers and control messages over TCP, and resumes
// open streams after a reconnect.
package link

import (
	"net/http"
	"time"
)

// Hello identifies a process during the handshake.
type Hello struct {
	Protocol   int    `msgpack:"p"`
	Name       string `msgpack:"n"` // entry name or backend server name
	BootID     string `msgpack:"b"` // new at every start of the process
	DataCentre string `msgpack:"d"`
}

// Heartbeat is sent periodically by both sides of a connection.
type Heartbeat struct {
	// Clock is the reading of the sender's monotonic clock.
	Clock time.Duration `msgpack:"c"`
	// Revision and Digest describe the sender's configuration snapshot.
	Revision uint64 `msgpack:"r"`
	Digest   uint64 `msgpack:"g"`
	// Load is set only by agents.
	Load *LoadReport `msgpack:"l,omitempty"`
	// Draining is set if the sender accepts no new work.
	Draining bool `msgpack:"x,omitempty"`
}

// LoadReport describes the load of an agent's backend server.
type LoadReport struct {
	Running    int           `msgpack:"r"`
	Queued     int           `msgpack:"q"`
	Limit      int           `msgpack:"l"`
	Cold       bool          `msgpack:"c"`
	FirstToken time.Duration `msgpack:"f"` // moving average of the time to the first token
	Loaded     []string      `msgpack:"m"` // "model@version"
	Resumes    bool          `msgpack:"s"` // whether the engine can resume streams
}

// Control is an application message that belongs to no stream. The link does not
// interpret Body.
type Control struct {
	Kind string `msgpack:"k"`
	Body []byte `msgpack:"b"`
}

// RequestKind distinguishes chat completions from calls to plain services.
type RequestKind uint8

// Kinds of requests.
const (
	KindChat RequestKind = iota + 1
	KindService
)

// Request opens a stream. It represents one attempt of a caller's request.
type Request struct {
	Kind      RequestKind `msgpack:"k"`
	RequestID string      `msgpack:"i"`
	Attempt   uint32      `msgpack:"a"`
	Workspace string      `msgpack:"w"`
	Model     string      `msgpack:"m,omitempty"`
	Version   string      `msgpack:"v,omitempty"`
	// Pinned is set if the version comes from the caller's session.
	Pinned    bool   `msgpack:"p,omitempty"`
	Session   string `msgpack:"s,omitempty"`
	TaskClass string `msgpack:"t,omitempty"`
	Stage     int    `msgpack:"g,omitempty"`
	Priority  int    `msgpack:"y,omitempty"`
	// Deadline is a time on the agent's monotonic clock (see Heartbeat.Clock).
	Deadline time.Duration `msgpack:"d"`
	// Revision is the configuration revision used by the entry to route the request.
	Revision uint64 `msgpack:"r"`
	// OnceKey and OnceNonce are set for non-idempotent calls.
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

// Refusal ends a stream without forwarding its request to the backend server.
type Refusal struct {
	Code    string `msgpack:"c"`
	Message string `msgpack:"m"`
	// Revision is the revision of the agent's configuration snapshot.
	Revision uint64 `msgpack:"r"`
}

// End is the last frame of an answer. The link sets Frames and Checksum.
type End struct {
	// Complete is false for an answer that was interrupted or failed after it had
	// begun.
	Complete bool `msgpack:"ok"`
	// Unknown is set if the agent cannot determine whether a non-idempotent call
	// was executed.
	Unknown      bool        `msgpack:"u,omitempty"`
	Code         string      `msgpack:"c,omitempty"` // error code of an incomplete answer
	Message      string      `msgpack:"m,omitempty"`
	Status       int         `msgpack:"s,omitempty"` // HTTP status of a plain service
	Header       http.Header `msgpack:"h,omitempty"`
	TokensIn     int64       `msgpack:"ti,omitempty"`
	TokensOut    int64       `msgpack:"to,omitempty"`
	FinishReason string      `msgpack:"f,omitempty"`
	// Charge is the msgpack encoding of the ledger row of this attempt.
	Charge   []byte `msgpack:"ch,omitempty"`
	Frames   uint32 `msgpack:"n"`
	Checksum uint64 `msgpack:"x"` // xxhash64 over the payloads in order
}
