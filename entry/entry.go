// Package entry is the daemon that callers talk to. It chooses the version, the
// stage and the backend server of each request, retries, and charges.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/thejerf/suture/v4"

	"hyssoploom/cascade"
	"hyssoploom/config"
	"hyssoploom/dialect"
	"hyssoploom/health"
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
	evidenceInterval   = time.Second
	linksInterval      = time.Second
	quarantineInterval = time.Second
	vmListInterval     = 2 * time.Second
	dutyInterval       = 10 * time.Second
	// vmListRate, dutyRate and quarantineRate bound the calls per second of all
	// entries together.
	vmListRate     = 100
	dutyRate       = 1
	quarantineRate = 50
	// watchIdle and watchMargin together stay below the 8 s within which a record
	// has to be in force: a silent watch is found after their sum.
	watchIdle   = 5 * time.Second
	watchMargin = 2 * time.Second
	// minLedgerWindow is the shortest group commit window.
	minLedgerWindow = 5 * time.Millisecond
	// ledgerWritesPerSecond is the part of the store's write rate that the
	// ledgers of all entries share.
	ledgerWritesPerSecond = 200
)

// Deps are the outside systems of an entry.
type Deps struct {
	Store   dialect.Store
	VMs     dialect.VMList
	Rater   dialect.Rater
	Log     *telemetry.Logger
	Tracing *telemetry.Tracing
	// Seed makes the random choices repeatable; 0 takes a random seed.
	Seed uint64
}

// Entry is one running entry.
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

	departures departures
	once       *once.RecordStore
	ledger     *ledger.Writer
	pending    pendingCharges

	answerTime movingAverage

	entries atomic.Int64 // number of entries in the VM list, at least 1
	// attempts numbers the attempts of this process. A number per request would
	// repeat when a caller sends its request id again, and an agent takes an
	// attempt that it knows for a delayed copy.
	attempts atomic.Uint32
	draining atomic.Bool
	// vmLeaving is set while the VM list says that this VM is leaving.
	vmLeaving atomic.Bool
	requests  supervise.Inflight

	randMu sync.Mutex
	rand   *rand.Rand
}

// New returns an entry that has not started yet.
func New(s *settings.Entry, deps Deps) *Entry {
	e := &Entry{
		settings: s,
		deps:     deps,
		log:      deps.Log,
		metrics:  telemetry.NewMetrics(),
		bootID:   ulid.Make().String(),
		started:  time.Now(),
		snapshot: config.NewSnapshot(),
		router:   route.NewRouter(route.Config{}),
		budgets:  newRetryBudgets(),
		signer:   session.NewSigner([]byte(s.FleetKey), previousKeys(s)...),
		sessions: session.NewBinder(deps.Store),
		once:     once.New(deps.Store),
		rand:     newRand(deps.Seed),
	}
	e.entries.Store(1)
	e.tree = supervise.New("entry", deps.Log)
	e.links = newLinks(e)
	e.health = health.New(health.Config{
		Origin: e.bootID, DataCentre: s.DataCentre, Snapshot: e.snapshot,
		Broadcast: e.links.broadcast, Processes: e.processes, Clock: e.clock, Log: deps.Log.Part("health"),
	})
	e.policy = newPolicy(cascade.NewPolicy(cascade.Config{}))
	e.ratings = newRatings(e)
	e.ledger = ledger.NewWriter(deps.Store, e.bootID, e.ledgerWindow)
	e.ledger.OnDurable = e.links.reportDurable
	e.watcher = provider.NewWatcher(deps.Store, e.snapshot, provider.Options{
		Logger:    deps.Log.Base(),
		Processes: e.processes,
		// A watch that has gone silent is found before a record may be late.
		MaxWatchWait: watchIdle,
		CallTimeout:  watchMargin,
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
	e.tree.Add(supervise.Spaced("quarantines", e.shared(quarantineInterval, quarantineRate), e.storeQuarantines))
	e.tree.Add(supervise.Spaced("vm list", e.shared(vmListInterval, vmListRate), e.readVMList))
	e.tree.Add(supervise.Spaced("duties", e.shared(dutyInterval, dutyRate), e.runDuties))
}

// ServeOn answers callers on listener until ctx ends.
func (e *Entry) ServeOn(ctx context.Context, listener net.Listener) error {
	e.log.Info("Started.", "entry", e.settings.Name, "listen", listener.Addr().String())
	e.readVMList(ctx)
	e.tree.Add(supervise.HTTP("api", listener, e.Handler()))
	err := e.tree.Serve(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Drain fails readiness, lets running requests end within the drain grace, and
// writes all charges.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	graceCtx, cancelGrace := context.WithTimeout(ctx, e.settings.DrainGrace.AsDuration())
	defer cancelGrace()
	// The balancer still sends requests until it has seen that the entry is not
	// ready; these are served as well.
	time.Sleep(min(e.settings.DrainGrace.AsDuration()/4, balancerDelay))
	if err := errors.Join(e.requests.Wait(graceCtx), e.ratings.running.Wait(graceCtx)); err != nil {
		e.log.Warn("Drain grace ended with open requests.", "requests", e.requests.Count())
	}
	flushCtx, cancel := context.WithTimeout(ctx, e.settings.DrainGrace.AsDuration())
	defer cancel()
	return e.ledger.Flush(flushCtx)
}

// balancerDelay is how long the platform's balancer may take to stop sending
// requests to an entry that is not ready.
const balancerDelay = 2 * time.Second

// ledgerWindow grows with the number of entries, so that the whole fleet stays
// within its part of the store's write rate.
func (e *Entry) ledgerWindow() time.Duration {
	return max(minLedgerWindow, time.Duration(e.entries.Load())*time.Second/ledgerWritesPerSecond)
}

func (e *Entry) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vmListInterval)
	defer cancel()
	vms, err := e.deps.VMs.VMs(ctx)
	if err != nil {
		return
	}
	entries := int64(0)
	for _, vm := range vms {
		if vm.Role == "entry" {
			entries++
		}
		if vm.Name == e.settings.VM {
			e.vmLeaving.Store(vm.Leaving)
		}
	}
	e.entries.Store(max(entries, 1))
	e.links.setVMs(vms)
}

// shared spaces calls by the number of entries.
func (e *Entry) shared(shortest time.Duration, rate float64) func() time.Duration {
	return func() time.Duration { return supervise.Shared(shortest, e.processes(), rate) }
}

// processes returns the number of entries that the VM list names.
func (e *Entry) processes() int { return int(e.entries.Load()) }

// previousKeys are the fleet keys under which session tokens are still accepted.
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

// ready reports whether the balancer should send requests here.
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

// policy makes cascade.Policy safe for concurrent use.
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
