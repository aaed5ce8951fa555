// Package entry implements the entry daemon, which serves the public API. It selects
// the version, the cascade stage and the backend server for each request, retries
// failed attempts, and records charges.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"hyssoploom/cascade"
	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/health"
	"hyssoploom/internal/ingress"
	"hyssoploom/internal/uniqueid"
	"hyssoploom/ledger"
	"hyssoploom/once"
	"hyssoploom/provider"
	"hyssoploom/route"
	"hyssoploom/session"
	"hyssoploom/settings"
	"hyssoploom/supervise"
	"hyssoploom/telemetry"
)

const (
	evidenceInterval     = time.Second
	linksInterval        = time.Second
	quarantineInterval   = time.Second
	vmListInterval       = 2 * time.Second
	housekeepingInterval = 10 * time.Second
	// vmListRate, housekeepingRate and quarantineRate limit the calls per second of
	// all entries together.
	vmListRate       = 100
	housekeepingRate = 1
	quarantineRate   = 50
	// watchIdleTimeout is how long the store may hold a watch request open without
	// changes, and storeCallTimeout is how long its response may take after that. A
	// hung watch is detected after their sum, which must be below the 8 s within which
	// a record has to take effect.
	watchIdleTimeout = 5 * time.Second
	storeCallTimeout = 2 * time.Second
	// minLedgerWindow is the shortest group commit window of the ledger.
	minLedgerWindow = 5 * time.Millisecond
	// ledgerWritesPerSecond is the share of the store's write rate that the ledgers
	// of all entries may use together.
	ledgerWritesPerSecond = 200
)

// Deps holds the external systems and services that an entry uses.
type Deps struct {
	Store   dialect.Store
	VMs     dialect.VMList
	Rater   dialect.Rater
	Log     *telemetry.Logger
	Tracing *telemetry.Tracing
	// Seed makes random choices reproducible; 0 selects a random seed.
	Seed uint64
}

// Entry is an entry daemon. It is created by New and run by ServeOn.
type Entry struct {
	settings *settings.Entry
	deps     Deps
	log      *telemetry.Logger
	metrics  *telemetry.Metrics
	bootID   string
	started  time.Time

	snapshot *config.Snapshot
	watcher  *provider.Provider
	links    *links
	tree     *suture.Supervisor

	router   *route.Router
	budgets  *retryBudgets
	policy   *policy
	health   *health.Monitor
	ratings  *ratings
	signer   *session.Signer
	sessions *session.Binder

	inactiveVersions inactiveVersions
	once             *once.RecordStore
	ledger           *ledger.Writer
	pending          pendingCharges

	answerTime movingAverage

	entryCount atomic.Int64 // entries in the VM list, at least 1
	// attempts numbers the attempts of this process. Numbers per request would repeat
	// when a caller reuses a request ID, and an agent treats an attempt that it
	// already knows as a delayed duplicate.
	attempts atomic.Uint32
	draining atomic.Bool
	// vmLeaving is set while the VM list reports this VM as leaving.
	vmLeaving atomic.Bool
	requests  supervise.Inflight

	randMu sync.Mutex
	rand   *rand.Rand
}

// New returns an entry. Call ServeOn to start it.
func New(s *settings.Entry, deps Deps) *Entry {
	e := &Entry{
		settings: s,
		deps:     deps,
		log:      deps.Log,
		metrics:  telemetry.NewMetrics(),
		bootID:   uniqueid.ForProcess(s.Name),
		started:  time.Now(),
		snapshot: config.NewSnapshot(),
		router:   route.NewRouter(route.Config{}),
		budgets:  newRetryBudgets(),
		signer:   session.NewSigner([]byte(s.FleetKey), previousKeys(s)...),
		sessions: session.NewBinder(deps.Store),
		once:     once.New(deps.Store),
		rand:     newRand(deps.Seed),
	}
	e.entryCount.Store(1)
	e.tree = supervise.New("entry", deps.Log)
	e.links = newLinks(e)
	e.health = health.New(health.Config{
		Origin: e.bootID, DataCentre: s.DataCentre, Snapshot: e.snapshot,
		Broadcast: e.links.broadcast, Processes: e.processes, Clock: e.clock, Log: deps.Log.WithComponent("health"),
	})
	e.policy = newPolicy(cascade.NewPolicy(cascade.Config{}))
	e.ratings = newRatings(e)
	e.ledger = ledger.NewWriter(deps.Store, e.bootID, e.ledgerWindow)
	e.ledger.OnDurable = e.links.reportDurable
	e.watcher = provider.NewWatcher(deps.Store, e.snapshot, provider.Options{
		Logger:    deps.Log.Base(),
		Processes: e.processes,
		// Detects a hung watch early enough for records to take effect in time.
		MaxWatchWait: watchIdleTimeout,
		CallTimeout:  storeCallTimeout,
	})
	e.publishMetrics()
	e.addServices()
	return e
}

func (e *Entry) addServices() {
	e.tree.Add(e.watcher)
	e.tree.Add(e.ledger)
	e.tree.Add(e.links)
	e.tree.Add(supervise.Every("evidence", evidenceInterval, func(context.Context) { e.health.Tick() }))
	e.tree.Add(supervise.EveryFunc("quarantines", e.sharedInterval(quarantineInterval, quarantineRate), e.storeQuarantines))
	e.tree.Add(supervise.EveryFunc("vm list", e.sharedInterval(vmListInterval, vmListRate), e.readVMList))
	e.tree.Add(supervise.EveryFunc("duties", e.sharedInterval(housekeepingInterval, housekeepingRate), e.runHousekeeping))
}

// ServeOn serves the public API on listener until ctx ends.
func (e *Entry) ServeOn(ctx context.Context, listener net.Listener) error {
	e.log.Info("Started.", "entry", e.settings.Name, "listen", listener.Addr().String())
	e.readVMList(ctx)
	guard := ingress.NewDefault(e.log.WithComponent("ingress"), e.metrics)
	e.tree.Add(supervise.HTTP("api", guard.Listener(listener, false), e.Handler()))
	err := e.tree.Serve(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Drain reports the entry as not ready, waits up to DrainGrace for requests in
// progress, and flushes all charges to the store.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	graceCtx, cancelGrace := context.WithTimeout(ctx, e.settings.DrainGrace.AsDuration())
	defer cancelGrace()
	// The load balancer sends requests until it notices that the entry is not ready.
	// These are still served.
	time.Sleep(min(e.settings.DrainGrace.AsDuration()/4, balancerDelay))
	if err := errors.Join(e.requests.Wait(graceCtx), e.ratings.running.Wait(graceCtx)); err != nil {
		e.log.Warn("Drain grace ended with open requests.", "requests", e.requests.Count())
	}
	flushCtx, cancel := context.WithTimeout(ctx, e.settings.DrainGrace.AsDuration())
	defer cancel()
	return e.ledger.Flush(flushCtx)
}

// balancerDelay is how long the platform's load balancer may take to stop sending
// requests to an entry that is not ready.
const balancerDelay = 2 * time.Second

// ledgerWindow returns the group commit window of the ledger. It grows with the
// number of entries, so that all of them together stay within
// ledgerWritesPerSecond.
func (e *Entry) ledgerWindow() time.Duration {
	return max(minLedgerWindow, time.Duration(e.entryCount.Load())*time.Second/ledgerWritesPerSecond)
}

// readVMList updates the number of entries, the state of this VM and the addresses
// of the agents from the VM list. On an error it keeps the last list.
func (e *Entry) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListInterval)
	defer cancel()
	vms, err := e.deps.VMs.VMs(ctx)
	if err != nil {
		return
	}
	entryCount := int64(0)
	for _, vm := range vms {
		if vm.Role == "entry" {
			entryCount++
		}
		if vm.Name == e.settings.VM {
			e.vmLeaving.Store(vm.Leaving)
		}
	}
	e.entryCount.Store(max(entryCount, 1))
	e.links.setVMs(vms)
}

// sharedInterval returns a function that computes the interval between calls of this
// entry, so that all entries together stay within rate calls per second.
func (e *Entry) sharedInterval(shortest time.Duration, rate float64) func() time.Duration {
	return func() time.Duration { return supervise.SharedInterval(shortest, e.processes(), rate) }
}

// processes returns the number of entries in the VM list, at least 1.
func (e *Entry) processes() int { return int(e.entryCount.Load()) }

// previousKeys returns the previous fleet keys, whose session tokens are still accepted.
func previousKeys(s *settings.Entry) [][]byte {
	keys := make([][]byte, 0, len(s.PreviousFleetKeys))
	for _, key := range s.PreviousFleetKeys {
		keys = append(keys, []byte(key))
	}
	return keys
}

// uniform returns a random number in [0, 1).
func (e *Entry) uniform() float64 {
	e.randMu.Lock()
	defer e.randMu.Unlock()
	return e.rand.Float64()
}

func newRand(seed uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, 0))
}

// ready reports whether the load balancer should send requests to this entry.
func (e *Entry) ready() bool {
	if e.draining.Load() || e.vmLeaving.Load() || e.snapshot.Revision() == 0 || e.links.summary().Alive == 0 {
		return false
	}
	centre, ok := e.snapshot.View().DataCentres[e.settings.DataCentre]
	return ok && centre.State == config.DataCentreIn
}

func (e *Entry) publishMetrics() {
	e.metrics.Func("revision", func() any { return e.snapshot.Revision() })
	e.metrics.Func("digest", func() any { return e.snapshot.Digest() })
	e.metrics.Func("config_age_seconds", func() any { return e.watcher.Staleness().Seconds() })
	e.metrics.Func("ledger", func() any { return e.ledger.Stats() })
	e.metrics.Func("links", func() any { return e.links.summary() })
	e.metrics.Func("version_tests", func() any { return e.health.VersionTests() })
	e.metrics.Func("draining", func() any { return e.draining.Load() })
}

// policy wraps cascade.Policy to make it safe for concurrent use and supplies the
// current time.
type policy struct {
	mu    sync.Mutex
	inner *cascade.Policy
	start time.Time
}

func newPolicy(p *cascade.Policy) *policy { return &policy{inner: p, start: time.Now()} }

func (p *policy) plan(r cascade.PlanRequest, u float64) cascade.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inner.Plan(time.Since(p.start), r, u)
}

func (p *policy) observe(o cascade.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inner.Observe(time.Since(p.start), o)
}

func (p *policy) next(plan cascade.Plan, stage int, rating cascade.Rating) cascade.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inner.Next(plan, stage, rating)
}
