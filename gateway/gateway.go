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
	// maxWatchLag is the time by which a watch may be behind the store although it
	// answers: around a compaction it hears nothing for a second.
	maxWatchLag = 1100 * time.Millisecond
	// drainAcceptTime is how long new connections are still taken after SIGTERM, while
	// the balancer learns that this entry is not ready.
	drainAcceptTime = 2500 * time.Millisecond
	// shutdownMargin is kept between the end of the drain and SIGKILL; the last charges
	// are written in it.
	shutdownMargin = 500 * time.Millisecond
	// cleanupInterval is the pause between clean-ups of what is kept per server.
	cleanupInterval = time.Second
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

	mu            sync.Mutex
	loads         map[string]*load // by server id
	retryBudgets  map[string]*limits.Retries
	coldLimiter   *limits.Cold
	prefillRatios prefillRatioTracker
	rng           *rand.Rand
	// sessions and releases are the state of roll-outs; releases is by service.
	sessions  *release.Sessions
	latencies *release.Paces
	// routes are those of the configuration's version routesOf and older ones.
	routes        release.Routes
	routesVersion int64
	rollouts      map[string]*rolloutState
	// rolloutsRevision is that of the view from which releases were brought up to
	// date.
	rolloutsRevision int64

	hub *peers.Hub
	// peerVerifiedAt are the times, by peer, up to which its copy of the store was proven when
	// it last answered.
	peerVerifiedAt map[string]time.Duration

	// ledger writes this entry's charges; held keeps those of peers, and holds the
	// names of these by boot id.
	ledger           *ledger.Writer
	peerCharges      *ledger.Holder
	peerChargeOwners map[string]string
	bootID           string
	unreplicated     []ledger.Row // charges that no peer holds yet
}

// New returns a gateway that is ready to serve.
func New(s *settings.Gateway, deps Deps) *Gateway {
	g := &Gateway{
		Deps:           deps,
		startup:        newStartup(),
		peerVerifiedAt: make(map[string]time.Duration),
		loads:          make(map[string]*load),
		prefillRatios:  make(prefillRatioTracker),
		retryBudgets:   make(map[string]*limits.Retries),
		coldLimiter:    limits.NewCold(coldConfig(&s.Bounds)),
		sessions:       release.NewSessions(s.Bounds.Session()),
		latencies:      release.NewPaces(),
		routes:         make(release.Routes),
		rollouts:       make(map[string]*rolloutState),
		rng:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
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
	g.coldLimiter.Configure(coldConfig(&s.Bounds))
	for _, r := range g.retryBudgets {
		r.Configure(time.Now(), retryConfig(&s.Bounds))
	}
	g.sessions.SetPause(s.Bounds.Session())
}

func coldConfig(b *settings.Bounds) limits.ColdConfig {
	return limits.ColdConfig{Overshoot: b.ColdOvershoot, Slack: b.ColdSlack}
}

func retryConfig(b *settings.Bounds) limits.RetryConfig {
	return limits.RetryConfig{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow()}
}

// ServeOn serves callers on an open listener until ctx ends.
func (g *Gateway) ServeOn(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { g.server.Close() })
	defer stop()
	go g.cleanUp(ctx)
	go g.startup.watch(ctx, g.storeLoaded)
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
func (g *Gateway) EntryCount() int { return g.hub.Count() }

// Drain reports not ready, takes new connections until the balancer has noticed,
// and waits for running requests within the grace.
func (g *Gateway) Drain(ctx context.Context) error {
	deadline := time.Now().Add(g.bounds.Load().Grace() - shutdownMargin)
	g.draining.Store(true)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	sleep(ctx, drainAcceptTime)
	err := g.server.Shutdown(ctx)
	g.flushCharges(context.WithoutCancel(ctx))
	if errors.Is(err, context.DeadlineExceeded) {
		g.Log.Warn("Requests were cut at the end of the grace.")
		return nil
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) {
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
	return !g.draining.Load() && g.State.View().Config != nil && g.configFresh()
}

// storeLoaded tells whether the store has been storeLoaded: the configuration, and which backend
// servers there are.
func (g *Gateway) storeLoaded() bool {
	return g.State.View().Config != nil && g.State.Complete() > 0 && g.configFresh()
}

// configFresh tells whether the configuration is fresh enough to accept keys: a key
// that was removed before the newest proof is known to be, and one that was
// removed later may still be used for the time that revocation takes.
func (g *Gateway) configFresh() bool {
	age, known := g.Fresh.Age()
	limit, limited := g.maxConfigAge()
	return known && (!limited || age < limit)
}

// maxConfigAge is the age from which on the configuration is too old to accept keys.
func (g *Gateway) maxConfigAge() (limit time.Duration, limited bool) {
	b := g.bounds.Load()
	return b.Revoke() - maxWatchLag, b.StrictRevocation
}

// proofTimes are the pauses that keep the configuration proven.
func (g *Gateway) proofTimes() fleet.ProofTimes {
	limit, limited := g.maxConfigAge()
	if !limited {
		limit = 0
	}
	return fleet.ProofTimesFor(limit)
}

// ConfigWatchTimeout is how long a watch of the configuration waits.
func (g *Gateway) ConfigWatchTimeout() time.Duration { return g.proofTimes().Wait }

// ServeReady answers the balancer's readiness check.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// cleanUp forgets what is kept of servers that are gone.
func (g *Gateway) cleanUp(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, cleanupInterval)
		g.adoptOrphanedCharges()
		view := g.State.View()
		addresses := make(map[string]bool)
		for _, s := range view.Servers {
			addresses[s.Address] = true
		}
		g.Pool.Retain(func(address string) bool { return addresses[address] })
		g.mu.Lock()
		g.coldLimiter.Retain(func(id string) bool { return view.Servers[id] != nil })
		g.sessions.Forget(time.Now())
		g.pruneRoutes(view.Config)
		maps.DeleteFunc(g.peerVerifiedAt, func(peer string, _ time.Duration) bool { return !g.hub.Heard(peer) })
		for id, l := range g.loads {
			for peer := range l.remote {
				if !g.hub.Heard(peer) {
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

// pruneRoutes forgets the routes that a new configuration no longer has. The caller
// holds g.mu.
func (g *Gateway) pruneRoutes(config *fleet.Config) {
	if config == nil || config.Version == g.routesVersion {
		return
	}
	g.routesVersion = config.Version
	names := make(map[string]bool)
	for _, route := range config.Routes() {
		names[route.Name] = true
	}
	maps.DeleteFunc(g.routes, func(name string, _ release.RouteRecord) bool { return !names[name] })
}

// retryBudget returns the retry retryBudget of a service. The caller holds g.mu.
func (g *Gateway) retryBudget(service string) *limits.Retries {
	r := g.retryBudgets[service]
	if r == nil {
		r = limits.NewRetries(retryConfig(g.bounds.Load()), g.StartTime)
		g.retryBudgets[service] = r
	}
	return r
}

// load returns what is known of the work at a server. The caller holds g.mu.
func (g *Gateway) load(server *fleet.BackendServer, service *fleet.Service) *load {
	l := g.loads[server.ID]
	if l == nil {
		l = &load{}
		if service != nil && service.Engine != nil {
			l.cache = newPrefixCache(int(float64(service.Engine.CacheTokens) * prefixCacheShare))
		}
		g.loads[server.ID] = l
	}
	return l
}
