package gateway

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hyssoploom/backend"
	"hyssoploom/fleet"
	"hyssoploom/ledger"
	"hyssoploom/limits"
	"hyssoploom/peers"
	"hyssoploom/release"
	"hyssoploom/settings"
	"hyssoploom/supervise"
	"hyssoploom/telemetry"
)

const (
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is above the idle limits of configurations, so that callers close
	// idle connections first.
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 128 << 10
	// watchLag is the time by which a watch may be behind the store although it
	// answers: around a compaction it hears nothing for a second.
	watchLag = 1100 * time.Millisecond
	// leaveTime is how long new connections are still taken after SIGTERM, while
	// the balancer learns that this entry is not ready.
	leaveTime = 2500 * time.Millisecond
	// stopMargin is kept between the end of the drain and SIGKILL; the last charges
	// are written in it.
	stopMargin = 500 * time.Millisecond
	// cleanInterval is the pause between clean-ups of what is kept per server.
	cleanInterval = time.Second
)

// Deps are the parts that a gateway works with.
type Deps struct {
	State    *fleet.State
	Fresh    *fleet.Freshness
	Pool     *backend.Pool
	Protocol Protocol
	Log      *telemetry.Logger
	Metrics  *telemetry.Metrics
	// Tracing takes a span for each request and each attempt; none when nil.
	Tracing *telemetry.Tracing
	// Store takes the status of roll-outs.
	Store fleet.Store
	// Records encodes what is written to the store.
	Records Records
	// Self is this entry.
	Self fleet.Peer
	// ChargeStore takes the charges of requests; nil charges nothing. BootID is unique
	// to this process.
	ChargeStore ledger.BatchStore
	BootID      string
	// StartTime is when the process started; a process before it may have used this
	// entry's share of the limits until then.
	StartTime time.Time
}

// Records encodes records for the store.
type Records interface {
	StatusItem(fleet.Status) (key string, value []byte)
	PlanItem(fleet.Plan) (key string, value []byte)
}

// Gateway serves callers.
type Gateway struct {
	Deps
	bounds atomic.Pointer[settings.Bounds]

	draining atomic.Bool
	startup  *startup
	inflight supervise.Inflight
	server   *http.Server

	mu      sync.Mutex
	loads   map[string]*load // by server id
	retries map[string]*limits.RetryBudget
	cold    *limits.ColdLimiter
	ratios  readRatios
	rng     *rand.Rand
	// sessions and releases are the state of roll-outs; releases is by service.
	sessions *release.Sessions
	paces    *release.LatencyBaselines
	// routes are those of the configuration's version routesOf and older ones.
	routes   release.RouteStats
	routesOf int64
	releases map[string]*releaseState
	// releaseRevision is that of the view from which releases were brought up to
	// date.
	releaseRevision int64

	hub *peers.Hub
	// proofs are the times, by peer, up to which its copy of the store was proven when
	// it last answered.
	proofs map[string]time.Duration

	// ledger writes this entry's charges; held keeps those of peers, and holds the
	// names of these by boot id.
	ledger *ledger.Writer
	held   *ledger.RowBuffer
	holds  map[string]string
	bootID string
	unheld []ledger.Row // charges that no peer holds yet
}

// New returns a gateway that is ready to serve.
func New(s *settings.Gateway, deps Deps) *Gateway {
	g := &Gateway{
		Deps:     deps,
		startup:  newStartup(),
		proofs:   make(map[string]time.Duration),
		loads:    make(map[string]*load),
		ratios:   make(readRatios),
		retries:  make(map[string]*limits.RetryBudget),
		cold:     limits.NewColdLimiter(coldLimits(&s.Bounds)),
		sessions: release.NewSessions(s.Bounds.Session()),
		paces:    release.NewLatencyBaselines(),
		routes:   make(release.RouteStats),
		releases: make(map[string]*releaseState),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	if g.Tracing == nil {
		g.Tracing = telemetry.NoTracing()
	}
	g.bounds.Store(&s.Bounds)
	g.hub = peers.New(deps.Self, s.Seeds, g, func() map[string]fleet.Peer { return deps.State.View().Peers },
		deps.Log.Part("peers"))
	if deps.ChargeStore != nil {
		g.newLedger(deps.ChargeStore, deps.BootID)
	}
	g.server = &http.Server{
		Handler:           g,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return g
}

// Reconfigure takes over changed bounds and seeds. What has been used of a limit
// stays used.
func (g *Gateway) Reconfigure(s *settings.Gateway) {
	g.bounds.Store(&s.Bounds)
	g.hub.SetSeeds(s.Seeds)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cold.Configure(coldLimits(&s.Bounds))
	for _, r := range g.retries {
		r.Configure(time.Now(), retryLimits(&s.Bounds))
	}
	g.sessions.SetIdleTimeout(s.Bounds.Session())
}

func coldLimits(b *settings.Bounds) limits.ColdConfig {
	return limits.ColdConfig{Overshoot: b.ColdOvershoot, Slack: b.ColdSlack}
}

func retryLimits(b *settings.Bounds) limits.RetryConfig {
	return limits.RetryConfig{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow()}
}

// ServeOn serves callers on an open listener until ctx ends.
func (g *Gateway) ServeOn(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { g.server.Close() })
	defer stop()
	go g.cleanUp(ctx)
	go g.startup.watch(ctx, g.read)
	if err := g.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// ServePeers talks to the other entries until ctx ends.
func (g *Gateway) ServePeers(ctx context.Context, listener net.Listener) error {
	return g.hub.Serve(ctx, listener)
}

// EntryCount returns the number of entries that share the fleet's limits.
func (g *Gateway) EntryCount() int { return g.hub.EntryCount() }

// Drain reports not ready, takes new connections until the balancer has noticed,
// and waits for running requests within the grace.
func (g *Gateway) Drain(ctx context.Context) error {
	deadline := time.Now().Add(g.bounds.Load().Grace() - stopMargin)
	g.draining.Store(true)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	wait(ctx, leaveTime)
	err := g.server.Shutdown(ctx)
	g.flushCharges(context.WithoutCancel(ctx))
	if errors.Is(err, context.DeadlineExceeded) {
		g.Log.Warn("Requests were cut at the end of the grace.")
		return nil
	}
	return err
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Ready tells whether this entry can serve: it knows a configuration that is
// fresh enough and is not stopping.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.State.View().Config != nil && g.informed()
}

// read tells whether the store has been read: the configuration, and which backend
// servers there are.
func (g *Gateway) read() bool {
	return g.State.View().Config != nil && g.State.CompleteRevision() > 0 && g.informed()
}

// informed tells whether the configuration is fresh enough to accept keys: a key
// that was removed before the newest proof is known to be, and one that was
// removed later may still be used for the time that revocation takes.
func (g *Gateway) informed() bool {
	age, known := g.Fresh.Age()
	limit, limited := g.proofLimit()
	return known && (!limited || age < limit)
}

// proofLimit is the age from which on the configuration is too old to accept keys.
func (g *Gateway) proofLimit() (limit time.Duration, limited bool) {
	b := g.bounds.Load()
	return b.Revoke() - watchLag, b.StrictRevocation
}

// proofTimes are the pauses that keep the configuration proven.
func (g *Gateway) proofTimes() fleet.RefreshTimes {
	limit, limited := g.proofLimit()
	if !limited {
		limit = 0
	}
	return fleet.RefreshTimesFor(limit)
}

// ConfigWatchTimeout is how long a watch of the configuration waits.
func (g *Gateway) ConfigWatchTimeout() time.Duration { return g.proofTimes().WatchWait }

// ServeReady answers the balancer's readiness check.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// cleanUp forgets what is kept of servers that are gone.
func (g *Gateway) cleanUp(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, cleanInterval)
		g.adoptOrphans()
		view := g.State.View()
		addresses := make(map[string]bool)
		for _, s := range view.Servers {
			addresses[s.Address] = true
		}
		g.Pool.Retain(func(address string) bool { return addresses[address] })
		g.mu.Lock()
		g.cold.Retain(func(id string) bool { return view.Servers[id] != nil })
		g.sessions.RemoveExpired(time.Now())
		g.retainRoutes(view.Config)
		maps.DeleteFunc(g.proofs, func(peer string, _ time.Duration) bool { return !g.hub.IsLive(peer) })
		for id, l := range g.loads {
			for peer := range l.remote {
				if !g.hub.IsLive(peer) {
					l.setRemote(peer, peers.Load{})
					delete(l.remote, peer)
				}
			}
			if view.Servers[id] == nil && l.running == 0 {
				delete(g.loads, id)
			}
		}
		g.mu.Unlock()
	}
}

// retainRoutes forgets the routes that a new configuration no longer has. The caller
// holds g.mu.
func (g *Gateway) retainRoutes(config *fleet.Config) {
	if config == nil || config.Version == g.routesOf {
		return
	}
	g.routesOf = config.Version
	names := make(map[string]bool)
	for _, route := range config.Routes() {
		names[route.Name] = true
	}
	maps.DeleteFunc(g.routes, func(name string, _ release.RouteCounts) bool { return !names[name] })
}

// budget returns the retry budget of a service. The caller holds g.mu.
func (g *Gateway) budget(service string) *limits.RetryBudget {
	r := g.retries[service]
	if r == nil {
		r = limits.NewRetryBudget(retryLimits(g.bounds.Load()), g.StartTime)
		g.retries[service] = r
	}
	return r
}

// load returns what is known of the work at a server. The caller holds g.mu.
func (g *Gateway) load(server *fleet.BackendServer, service *fleet.Service) *load {
	l := g.loads[server.ID]
	if l == nil {
		l = &load{}
		if service != nil && service.Engine != nil {
			l.cache = newPromptCache(int(float64(service.Engine.CacheTokens) * cacheShare))
		}
		g.loads[server.ID] = l
	}
	return l
}
