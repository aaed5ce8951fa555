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

	"hyssoploom/admission"
	"hyssoploom/backend"
	"hyssoploom/crashcause"
	"hyssoploom/fleet"
	"hyssoploom/internal/ingress"
	"hyssoploom/ledger"
	"hyssoploom/limits"
	"hyssoploom/peers"
	"hyssoploom/release"
	"hyssoploom/room"
	"hyssoploom/settings"
	"hyssoploom/speed"
	"hyssoploom/supervise"
	"hyssoploom/telemetry"
)

const (
	// maxWatchLag is how far a watch can lag behind the store while the store responds:
	// around a compaction, a watch receives nothing for one second.
	maxWatchLag = 1100 * time.Millisecond
	// drainAcceptTime is how long new connections are accepted after SIGTERM, until the
	// load balancer has seen that this entry is not ready.
	drainAcceptTime = 2500 * time.Millisecond
	// shutdownMargin is the time reserved between the end of the drain and SIGKILL for
	// writing the last charges.
	shutdownMargin = 500 * time.Millisecond
	// cleanupInterval is the interval between cleanups of per-server state.
	cleanupInterval = time.Second
)

// Deps holds the dependencies of a Gateway.
type Deps struct {
	State *fleet.State
	// Fresh tracks the age of the copy of the configuration, and ServersFresh that of the
	// backend servers.
	Fresh        *fleet.Freshness
	ServersFresh *fleet.Freshness
	Pool         *backend.Pool
	Protocol     Protocol
	Log          *telemetry.Logger
	Metrics      *telemetry.Metrics
	// Tracing records a span for each request and each attempt; nil disables tracing.
	Tracing *telemetry.Tracing
	// Store receives the status of rollouts.
	Store fleet.Store
	// Records encodes the records written to Store.
	Records Records
	// Self describes this entry.
	Self fleet.Peer
	// ChargeStore receives the charges of requests; if it is nil, nothing is charged.
	// BootID is unique to this process.
	ChargeStore ledger.BatchStore
	BootID      string
	// StartTime is when the process started. Until then, a previous process may have
	// used this entry's share of the limits.
	StartTime time.Time
}

// Records encodes records for the store.
type Records interface {
	StatusItem(fleet.Status) (key string, value []byte)
	RolloutProgressItem(fleet.RolloutProgress) (key string, value []byte)
	PromptBlocksItem([]fleet.PromptBlock) (key string, value []byte)
}

// Gateway is a reverse proxy that routes the requests of clients to backend servers.
type Gateway struct {
	Deps
	// underPressure is set if the deployment's callers compete for room
	// (settings.FeaturePressure).
	underPressure bool
	bounds        atomic.Pointer[settings.Bounds]
	// responseMemory limits the memory of the responses that are buffered, requestMemory
	// that of the bodies of requests.
	responseMemory *memoryBudget
	requestMemory  *limits.SharedMemory
	// readers holds what clients have not read yet; nil if clients are waited for. It then
	// takes the place of responseMemory.
	readers *readers
	// host is the load of the VM; nil unless underPressure.
	host *hostLoad

	draining atomic.Bool
	startup  *startup
	inflight supervise.Inflight
	server   *http.Server
	guard    *ingress.Guard

	mu            sync.Mutex
	loads         map[string]*load // by server id
	retryBudgets  map[string]*limits.RetryBudget
	coldLimiter   *limits.ColdLimiter
	serverLimiter *limits.ServerLimiter
	second        secondAttempts
	prefillRatios prefillRatioTracker
	modelRoom     modelRoom
	// stopping means that the requests that waited for room have been refused.
	stopping bool
	rng      *rand.Rand
	// speeds holds the speeds of servers, by service; uneven those that were last logged
	// as uneven.
	speeds map[string]*speed.Estimator
	// lengths holds the lengths of outputs and the needs of memory by route; it is used
	// only under pressure.
	lengths room.Lengths
	uneven  map[string]bool
	// sessions, latencies and routes are the inputs of rollout decisions; rollouts is
	// keyed by service.
	sessions  *release.Sessions
	latencies *release.LatencyBaselines
	// routes has an entry for each route of configuration version routesVersion, and
	// may have entries for routes of older versions.
	routes        release.RouteStats
	routesVersion int64
	rollouts      map[string]*rolloutState
	// gates admits requests while room is short, by service; it is empty unless
	// underPressure.
	gates   map[string]*serviceGate
	returns *admission.Returns
	// rolloutsRevision is the revision of the view from which rollouts was last
	// updated.
	rolloutsRevision int64

	// crashes finds the parts of prompts under which engines crash, and holds all blocks;
	// requestCrashes finds the requests that do so as a whole. unanswered holds the
	// functions that cancel the requests whose answers have not begun, and runningAnswers the
	// answers that have. soundTold holds when the peers were told of sound parts.
	crashes        *crashcause.Tracker
	requestCrashes *crashcause.Tracker
	unanswered     map[*clientRequest]context.CancelFunc
	runningAnswers map[*attemptLog]runningAnswer
	soundTold      map[soundPart]time.Time
	blocks         blockPublisher

	hub *peers.Hub
	// peerVerifiedAt holds, by peer name, the time up to which the peer's copy of the
	// backend servers was verified to be current when it last replied.
	peerVerifiedAt map[string]time.Duration

	// ledger writes this entry's charges. peerCharges holds copies of the charges of
	// peers, and peerChargeOwners maps their boot ids to peer names.
	ledger           *ledger.Writer
	peerCharges      *ledger.RowBuffer
	peerChargeOwners map[string]string
	bootID           string
	unreplicated     []ledger.Row // charges that have not been copied to a peer yet
}

// New returns a gateway that is ready to serve.
func New(s *settings.Gateway, deps Deps) *Gateway {
	g := &Gateway{
		Deps:           deps,
		underPressure:  s.HasFeature(settings.FeaturePressure),
		startup:        newStartup(),
		responseMemory: newMemoryBudget(s.MemoryMB),
		requestMemory:  limits.NewRequestMemory(requestMemoryLimit(s.MemoryMB)),
		peerVerifiedAt: make(map[string]time.Duration),
		loads:          make(map[string]*load),
		prefillRatios:  make(prefillRatioTracker),
		speeds:         make(map[string]*speed.Estimator),
		uneven:         make(map[string]bool),
		retryBudgets:   make(map[string]*limits.RetryBudget),
		coldLimiter:    limits.NewColdLimiter(coldConfig(&s.Bounds)),
		serverLimiter:  limits.NewServerLimiter(),
		second:         newSecondAttempts(s.SecondAttempts),
		sessions:       release.NewSessions(s.Bounds.SessionIdleTimeout()),
		latencies:      release.NewLatencyBaselines(),
		routes:         make(release.RouteStats),
		rollouts:       make(map[string]*rolloutState),
		gates:          make(map[string]*serviceGate),
		returns:        admission.NewReturns(returnTolerance),
		crashes:        crashcause.New(crashcause.PartPoints),
		requestCrashes: crashcause.New(crashcause.RequestPoints),
		unanswered:     make(map[*clientRequest]context.CancelFunc),
		runningAnswers: make(map[*attemptLog]runningAnswer),
		soundTold:      make(map[soundPart]time.Time),
		rng:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	if g.Tracing == nil {
		g.Tracing = telemetry.NoTracing()
	}
	g.bounds.Store(&s.Bounds)
	g.hub = peers.New(deps.Self, s.Seeds, g, func() map[string]fleet.Peer { return deps.State.View().Peers },
		deps.Log.WithComponent("peers"))
	deps.Metrics.Func("server_slowness", func() any { return g.slownessMetric() })
	if g.underPressure {
		deps.Metrics.Func("engine_memory", func() any { return g.memoryMetric() })
	}
	deps.Metrics.Func("request_memory_bytes", func() any { return g.requestMemory.Used() })
	if g.underPressure {
		deps.Metrics.Func("admission", func() any { return g.admissionState() })
		g.readers = newReaders(g, s.MemoryMB)
		g.host = newHostLoad(g, s.CPUShare, s.LinkMbps)
	}
	if deps.ChargeStore != nil {
		g.newLedger(deps.ChargeStore, deps.BootID)
	}
	g.guard = g.newGuard(s)
	g.server = &http.Server{
		Handler:        g,
		ConnContext:    withConn,
		ConnState:      g.host.connState,
		MaxHeaderBytes: LargestHead,
	}
	return g
}

// Reconfigure applies changed bounds and seeds. The usage counted against the limits is
// kept.
func (g *Gateway) Reconfigure(s *settings.Gateway) {
	g.bounds.Store(&s.Bounds)
	g.hub.SetSeeds(s.Seeds)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coldLimiter.Configure(coldConfig(&s.Bounds))
	for _, r := range g.retryBudgets {
		r.Configure(time.Now(), retryConfig(&s.Bounds))
	}
	g.sessions.SetIdleTimeout(s.Bounds.SessionIdleTimeout())
	g.second.configure(time.Now(), s.SecondAttempts)
}

func coldConfig(b *settings.Bounds) limits.ColdConfig {
	return limits.ColdConfig{Overshoot: b.ColdOvershoot, Slack: b.ColdSlack}
}

func retryConfig(b *settings.Bounds) limits.RetryConfig {
	return limits.RetryConfig{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow()}
}

// ServeOn serves clients on listener until ctx is done.
func (g *Gateway) ServeOn(ctx context.Context, listener net.Listener) error {
	listener = g.readers.listener(listener)
	stop := context.AfterFunc(ctx, func() { g.server.Close(); g.readers.close() })
	defer stop()
	go g.cleanUp(ctx)
	go g.startup.watch(ctx, g.storeLoaded)
	go g.host.watch(ctx)
	go g.watchColdServers(ctx)
	if err := g.server.Serve(g.guard.Listener(listener, false)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// ServePeers exchanges messages with the other entries until ctx is done.
func (g *Gateway) ServePeers(ctx context.Context, listener net.Listener) error {
	return g.hub.Serve(ctx, g.guard.MessageListener(listener))
}

// EntryCount returns the number of entries that share the limits of the fleet.
func (g *Gateway) EntryCount() int { return g.hub.EntryCount() }

// Drain reports the entry as not ready, accepts new connections until the load balancer
// has noticed, and waits for running requests until the end of the grace period.
func (g *Gateway) Drain(ctx context.Context) error {
	deadline := time.Now().Add(g.bounds.Load().ShutdownGrace() - shutdownMargin)
	g.draining.Store(true)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	sleep(ctx, drainAcceptTime)
	g.refuseWaiting()
	err := errors.Join(g.server.Shutdown(ctx), g.readers.wait(ctx))
	g.flushCharges(context.WithoutCancel(ctx))
	if errors.Is(err, context.DeadlineExceeded) {
		g.Log.Warn("Requests were cut at the end of the grace.")
		return nil
	}
	return err
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Ready reports whether this entry can serve requests: it has a sufficiently fresh
// configuration and is not draining.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.State.View().Config != nil && g.configFresh()
}

// storeLoaded reports whether the initial state has been read from the store: the
// configuration and the set of backend servers.
func (g *Gateway) storeLoaded() bool {
	return g.State.View().Config != nil && g.State.CompleteRevision() > 0 && g.configFresh()
}

// configFresh reports whether the configuration is fresh enough to accept keys. Keys
// removed before the configuration was last verified are known to be revoked; keys
// removed later may be accepted until the revocation time has passed.
func (g *Gateway) configFresh() bool {
	age, known := g.Fresh.Age()
	limit, limited := g.maxConfigAge()
	return known && (!limited || age < limit)
}

// maxConfigAge returns the age at which the configuration becomes too old to accept
// keys.
func (g *Gateway) maxConfigAge() (limit time.Duration, limited bool) {
	b := g.bounds.Load()
	return b.RevocationDeadline() - maxWatchLag, b.StrictRevocation
}

// refreshTimes returns the intervals at which the configuration is verified against the
// store.
func (g *Gateway) refreshTimes() fleet.RefreshTimes {
	limit, limited := g.maxConfigAge()
	if !limited {
		limit = 0
	}
	return fleet.RefreshTimesFor(limit)
}

// ConfigWatchTimeout returns how long a watch of the configuration waits for changes.
func (g *Gateway) ConfigWatchTimeout() time.Duration { return g.refreshTimes().WatchWait }

// ServeReady handles the readiness check of the load balancer. An entry whose VM is too small
// for its clients is not ready for a moment, so that new ones go to its neighbours.
func (g *Gateway) ServeReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() || g.host.isAway() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// cleanUp periodically drops the state of servers, peers and routes that no longer
// exist.
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
		g.serverLimiter.Retain(time.Now(), func(id string) bool { return view.Servers[id] != nil })
		g.sessions.RemoveExpired(time.Now())
		g.pruneLatencies(view)
		g.pruneRoutes(view.Config)
		g.broadcastModelUse()
		g.pruneSpeeds(view)
		g.pruneAdmission(view)
		maps.DeleteFunc(g.peerVerifiedAt, func(peer string, _ time.Duration) bool { return !g.hub.IsLive(peer) })
		for id, l := range g.loads {
			for peer := range l.remote {
				if !g.hub.IsLive(peer) {
					l.clearRemote(peer)
				}
			}
			if view.Servers[id] == nil && l.running == 0 {
				delete(g.loads, id)
			}
		}
		g.mu.Unlock()
	}
}

// pruneRoutes drops the routes that a new configuration no longer contains. The caller
// must hold g.mu.
func (g *Gateway) pruneRoutes(config *fleet.Config) {
	if config == nil || config.Version == g.routesVersion {
		return
	}
	g.routesVersion = config.Version
	g.modelRoom.prune(config)
	names := make(map[string]bool)
	for _, route := range config.Routes() {
		names[route.Name] = true
	}
	g.lengths.Retain(func(name string) bool { return names[name] })
	maps.DeleteFunc(g.routes, func(name string, _ release.RouteCounts) bool { return !names[name] })
}

// retryBudget returns the retry budget of a service. The caller must hold g.mu.
func (g *Gateway) retryBudget(service string) *limits.RetryBudget {
	r := g.retryBudgets[service]
	if r == nil {
		r = limits.NewRetryBudget(retryConfig(g.bounds.Load()), g.StartTime)
		g.retryBudgets[service] = r
	}
	return r
}

// load returns the load record of a server, creating it if needed. The caller must hold
// g.mu.
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
