// Package fleet holds what a process knows of its deployment: the operators'
// configuration, the backend servers, data centres out of service, roll-outs
// and the other entries, together with the age of that knowledge.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a series of events. They are repeated only
	// where the route says that they can be resumed.
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
	// Timeout is the longest time that a request may stay unanswered.
	Timeout time.Duration
	// LatencyTarget is the time to the whole answer, or to the first event of a
	// stream, within which an answer is on time.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between the events of a stream that is on time.
	GapTarget time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Models are the models of a cascade, smallest first; empty when the caller
	// names the model.
	Models   []string
	Services []WeightedService
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// SessionAffinity tells that requests carry the parts of a prompt.
	SessionAffinity bool
	// Resumable streams can be continued on another backend server.
	Resumable bool
	// Regions limits where requests may be served; empty means anywhere.
	Regions []string
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a model that the engines of a service hold.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens; tokens read cost a quarter.
	Cost float64
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// CacheTokens is the memory of one engine in tokens.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	Models      []Model
}

// Price returns the price of 1,000 tokens that a model generates; 0 for a model
// that the engines do not name.
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
	// ColdStart is how long a backend server stays cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold backend server
	// bears; 0 means no limit.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace is a customer with its own keys and rules.
type Workspace struct {
	Name string
	// Priority goes before the route's; -1 means that the workspace has none.
	Priority int
	// Regions limits where its requests may be served; empty means anywhere.
	Regions []string
}

// Limits bound what callers may send.
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
	// RequiresKey tells that routes that are not public need a workspace's key.
	RequiresKey bool

	routes     map[string][]*Route // by host, longest prefix first
	workspaces map[string]*Workspace
}

// NewConfig builds a configuration. workspaces maps each key to its owner.
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

// Routes returns all routes in order of host and name.
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

// Workspace returns the owner of a key, or nil.
func (c *Config) Workspace(key string) *Workspace { return c.workspaces[key] }
