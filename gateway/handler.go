package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"hyssoploom/attempt"
	"hyssoploom/fleet"
	"hyssoploom/limits"
	"hyssoploom/outbound"
	"hyssoploom/peers"
)

// Reason states why a request was rejected or failed. It is part of the error response
// and of the log.
type Reason string

const (
	ReasonNoConfig          Reason = "no_configuration"
	ReasonStale             Reason = "configuration_not_fresh"
	ReasonNoRoute           Reason = "no_route"
	ReasonUnknownKey        Reason = "unknown_key"
	ReasonBadRequest        Reason = "bad_request"
	ReasonTooLarge          Reason = "body_too_large"
	ReasonRequestMemory     Reason = "request_memory"
	ReasonNoServer          Reason = "no_backend_server"
	ReasonRejectedByServers Reason = "refused_by_backend_servers"
	ReasonAnswerLost        Reason = "answer_lost"
	ReasonTimeout           Reason = "timeout"
	ReasonPartBlocked       Reason = "prompt_part_blocked"
	ReasonServersLimited    Reason = "backend_server_limits"
	ReasonServersRefuse     Reason = "backend_servers_refuse"
	ReasonPromptTooLarge    Reason = "prompt_larger_than_engines"
	ReasonNoRoom            Reason = "no_room"
	ReasonSlowReader        Reason = "slow_reader"
	ReasonVMShort           Reason = "vm_short"
)

const (
	// transientRetryAfter is the Retry-After of rejections with a short-lived cause.
	transientRetryAfter = 300 * time.Millisecond
	// defaultTimeout applies to requests on routes without a timeout.
	defaultTimeout = 60 * time.Second
)

// clientRequest holds the state of one client request.
type clientRequest struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	ctx       context.Context
	view      *fleet.View
	route     *fleet.Route
	service   *fleet.Service
	workspace *fleet.Workspace // nil on public routes
	meta      RequestMeta
	prompt    []peers.PrefixPart // prefix hashes of meta.Parts
	// suspectParts are hashes of what may crash a server: the parts of the prompt that other
	// requests may have too, and the request as a whole.
	suspectParts []uint64
	body         []byte
	memory       *limits.MemoryHold // of body
	received     time.Time
	startupWait  time.Duration // time spent waiting for the initial read of the store
	deadline     time.Time

	excluded map[string]bool // servers that can no longer take the request
	progress attempt.Progress
	model    int // index into route.Models; -1 if the client names the model
	// position places a request without a session in [0, 1) for rollouts; -1 until it
	// is drawn.
	position   float64
	headerSent bool // the response headers have been sent
	stream     streamState
	// streamComplete tells that the stream that has begun is complete.
	streamComplete func()
	attempts       []attemptLog
	*answerState
	// conn is the client's connection; nil if it is written to directly.
	conn *outbound.Conn
	// crashes counts the servers that crashed before they answered the request.
	crashes int
	// blockedFor is how long a block still rejects the request; 0 if none does.
	blockedFor time.Duration
	// limitedFor is the time until a server may take the request again, if all are at the
	// limits that they name; otherwise 0.
	limitedFor time.Duration
	// refusedFor is the time after which the client may return, if all servers want no
	// requests for a time.
	refusedFor time.Duration
	// admission is what was decided while room was short; nil otherwise.
	admission *admissionLog
	// ticketID identifies the request while it waits for room, retryAfter is the time until
	// it is expected to be admitted, firstArrival the time of its client's first attempt, and
	// returned is set if its client came back when it was told to.
	ticketID   uint64
	returnKey  uint64 // see identify
	retryAfter time.Duration
	// noRoom is the code with which the request was refused for lack of room between two
	// attempts.
	noRoom       string
	firstArrival time.Time
	returned     bool
}

// ServeHTTP handles one client request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.inflight.Begin()()
	c := &clientRequest{g: g, w: w, r: r, received: time.Now(), excluded: make(map[string]bool), model: -1, position: -1, answerState: &answerState{}}
	g.Metrics.Add("requests", 1)
	if g.draining.Load() || g.host.movesClient(c.received) {
		// Make the client open its next connection to another entry, so that its next
		// request cannot race with the closing of this connection.
		w.Header().Set("Connection", "close")
	}
	meta, err := g.Protocol.ReadMeta(r.Header)
	c.meta = meta
	g.startup.hold(r.Context(), meta.ClientTimeout)
	c.startupWait = time.Since(c.received)
	c.view = g.State.View()
	if c.view.Config == nil {
		c.reject(http.StatusServiceUnavailable, ReasonNoConfig, transientRetryAfter)
		return
	}
	if err != nil {
		c.reject(http.StatusBadRequest, ReasonBadRequest, 0)
		return
	}
	if !c.admit() {
		return
	}
	c.memory = g.requestMemory.Hold(c.received, c.workspaceName())
	defer func() { c.memory.Release(time.Now()) }()
	if !c.readBody() {
		return
	}
	g.host.countReceived(len(c.body))
	if c.refusedByHost() {
		return
	}
	ctx, end := c.trace(r.Context())
	defer end()
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	c.ctx = ctx
	defer c.beginAnswer()()
	if c.awaitRoom() {
		c.run()
	}
}

// admit resolves the route, workspace, deadline and service of the request. It rejects
// the request and returns false if the route or the key is not valid.
func (c *clientRequest) admit() bool {
	config := c.view.Config
	host := c.r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	c.route = config.Route(host, c.r.URL.EscapedPath())
	if c.route == nil {
		c.reject(http.StatusNotFound, ReasonNoRoute, 0)
		return false
	}
	if config.RequiresKey && !c.route.Public {
		if !c.g.configFresh() {
			c.reject(http.StatusServiceUnavailable, ReasonStale, transientRetryAfter)
			return false
		}
		if c.workspace = config.Workspace(c.meta.Key); c.workspace == nil {
			c.reject(http.StatusUnauthorized, ReasonUnknownKey, 0)
			return false
		}
	}
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.meta.ClientTimeout > 0 {
		timeout = min(timeout, c.meta.ClientTimeout)
	}
	c.deadline = c.received.Add(timeout)
	c.service = config.Services[c.chooseService()]
	if c.route.Resumable {
		c.stream.continueAfter(c.meta.LastEvent)
	}
	c.prompt = hashPrefixes(c.meta.Parts)
	c.suspectParts = hashSuspectParts(c.r.RequestURI, &c.meta)
	c.model = -1
	if c.meta.Model == AnyModel && len(c.route.Models) > 0 {
		c.model = 0
	}
	return true
}

// workspaceName returns the name of the request's workspace, empty on public routes.
func (c *clientRequest) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// chooseService picks one of the route's services at random, by weight.
func (c *clientRequest) chooseService() string {
	services := c.route.Services
	if len(services) == 1 {
		return services[0].Service
	}
	total := 0.0
	for _, s := range services {
		total += s.Weight
	}
	c.g.mu.Lock()
	draw := c.g.rng.Float64() * total
	c.g.mu.Unlock()
	for _, s := range services {
		if draw -= s.Weight; draw < 0 {
			return s.Service
		}
	}
	return services[len(services)-1].Service
}

// errorResponse is the body of error responses generated by the gateway.
type errorResponse struct {
	Error     Reason `json:"error"`
	RequestID string `json:"request_id"`
	// Run is "not_run" if no backend server has executed or will execute the request,
	// otherwise "unknown".
	Run string `json:"run"`
}

// reject sends an error response generated by the gateway. The status codes 429 and 503
// promise that the request has not been executed.
func (c *clientRequest) reject(status int, reason Reason, retryAfter time.Duration) {
	c.rejectExactly(status, reason, limits.JitterRetryAfter(retryAfter, rand.Float64()))
}

// rejectExactly is reject with a Retry-After that is sent as it is.
func (c *clientRequest) rejectExactly(status int, reason Reason, retryAfter time.Duration) {
	run := "not_run"
	if c.progress.MayHaveRun() {
		run = "unknown"
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			panic("gateway: refusal of a request that may have run")
		}
	}
	if c.body == nil && c.r.ContentLength != 0 {
		// The server drops an unread body before it sends the response. The error is ignored:
		// it means that the connection has ended.
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(dropTime))
	}
	c.g.Protocol.SetErrorHeader(c.w.Header(), c.meta.ID, retryAfter)
	c.w.Header().Set("Content-Type", "application/json")
	c.w.WriteHeader(status)
	// The error is ignored: the client may have disconnected, and there is nothing left
	// to do.
	_ = json.NewEncoder(c.w).Encode(errorResponse{Error: reason, RequestID: c.meta.ID, Run: run})
	c.finish(status, reason)
}

// finish charges the request and records its outcome in the metrics and the log.
func (c *clientRequest) finish(status int, reason Reason) {
	outcome := "answered"
	if reason != "" {
		outcome = string(reason)
	}
	c.charge(reason == "")
	took := time.Since(c.received)
	c.g.Metrics.Add("outcome_"+outcome, 1)
	if c.route != nil {
		c.g.Metrics.Observe("answer_"+c.route.Kind.String(), took)
	}
	route := ""
	var version int64
	if c.route != nil {
		route = c.route.Name
	}
	if c.view.Config != nil {
		version = c.view.Config.Version
	}
	age, _ := c.g.Fresh.Age()
	fields := []any{"request", c.meta.ID, "route", route, "workspace", c.workspaceName(),
		"outcome", outcome, "status", status, "ms", took.Milliseconds(),
		"config", version, "config_age_ms", age.Milliseconds(), "held_ms", c.startupWait.Milliseconds(),
		"prompt_tokens", c.meta.PromptTokens, "max_output", c.meta.MaxOutput, "hint", c.meta.OutputHint, "attempts", c.attempts}
	if c.admission != nil {
		fields = append(fields, "admission", c.admission)
	}
	c.g.Log.Info("Request ended.", fields...)
}
