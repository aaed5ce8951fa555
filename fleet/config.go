// Package fleet keeps a process's copy of the state of its deployment: the
// operators' configuration, the backend servers, the data centres out of service,
// the rollouts and the other entries. It also tracks how old that copy is.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind classifies requests by whether they may be repeated.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a series of events. They are repeated only on
	// routes whose streams are resumable.
	Stream
)

func (k Kind) String() string {
	return [...]string{"idempotent", "non_idempotent", "stream"}[k]
}

// WeightedService is one destination of a route.
type WeightedService struct {
	Service string
	// Weight is relative to the weights of the route's other destinations.
	Weight float64
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until a request is answered.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the complete answer, or to the
	// first event of a stream.
	LatencyTarget time.Duration
	// GapTarget is the target for the longest gap between two events of a stream.
	GapTarget time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Models lists the models of a cascade, smallest first. It is empty when the
	// caller names the model.
	Models   []string
	Services []WeightedService
	// MaxAttempts limits the number of backend servers that one request is sent to.
	MaxAttempts int
	// Public routes require no key.
	Public bool
	// SessionAffinity is set when requests carry the parts of a prompt.
	SessionAffinity bool
	// Resumable streams can be continued on another backend server.
	Resumable bool
	// Regions lists the regions in which requests may be served; empty means all.
	Regions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a model that the engines of a service serve.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens; prompt tokens cost a quarter.
	Cost float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine processes at the same time.
	Slots int
	// CacheTokens is the capacity of one engine's KV cache in tokens.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	Models      []Model
}

// Price returns the price of 1,000 generated tokens of a model, or 0 for a model that
// the engines do not serve.
func (e *Engine) Price(model string) float64 {
	for _, m := range e.Models {
		if m.Name == model {
			return m.Cost
		}
	}
	return 0
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold backend server can
	// handle; 0 means no limit.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace is a customer with its own keys, priority and regions.
type Workspace struct {
	Name string
	// Priority overrides the route's priority; -1 means that it is not set.
	Priority int
	// Regions lists the regions in which its requests may be served; empty means all.
	Regions []string
}

// Limits holds the limits on callers' requests and connections. Sizes are in bytes.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version  int64
	Services map[string]*Service
	Limits   Limits
	// RequiresKey is set when non-public routes require the key of a workspace.
	RequiresKey bool

	routes     map[string][]*Route // by host, longest prefix first
	workspaces map[string]*Workspace
}

// NewConfig returns a configuration. workspaces maps each key to its workspace.
func NewConfig(version int64, routes []*Route, services []*Service, workspaces map[string]*Workspace, limits Limits) *Config {
	c := &Config{
		Version:    version,
		Services:   make(map[string]*Service, len(services)),
		Limits:     limits,
		routes:     make(map[string][]*Route),
		workspaces: workspaces,
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Route returns the route with the longest prefix of path on host, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Routes returns all routes, sorted by host and name.
func (c *Config) Routes() []*Route {
	var all []*Route
	for _, list := range c.routes {
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b *Route) int {
		return cmp.Or(strings.Compare(a.Host, b.Host), strings.Compare(a.Name, b.Name))
	})
	return all
}

// Workspace returns the workspace of a key, or nil.
func (c *Config) Workspace(key string) *Workspace { return c.workspaces[key] }
