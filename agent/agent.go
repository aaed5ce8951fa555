// Package agent is the daemon beside a backend server. It is the only path to
// its backend server: it checks every rule, limits the load, gives the orders
// to the engine, and runs a call that may not be repeated at most once.
package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/oklog/ulid/v2"
	"github.com/thejerf/suture/v4"

	"hyssoploom/admission"
	"hyssoploom/config"
	"hyssoploom/control"
	"hyssoploom/dialect"
	"hyssoploom/health"
	"hyssoploom/ledger"
	"hyssoploom/link"
	"hyssoploom/once"
	"hyssoploom/provider"
	"hyssoploom/rollout"
	"hyssoploom/settings"
	"hyssoploom/supervise"
	"hyssoploom/telemetry"
)

const (
	statusInterval   = 500 * time.Millisecond // engine load report
	evidenceInterval = time.Second
	vmListInterval   = 2 * time.Second
	// vmListRate bounds the calls per second of all agents together.
	vmListRate     = 100
	ordersInterval = time.Second
	expireInterval = 50 * time.Millisecond
	heldInterval   = time.Second
	// streamRetention is how long the streams of a lost link go on. Entries give
	// up such a stream sooner and continue it elsewhere.
	streamRetention = 5 * time.Second
	// heldLimit is how long a charge waits for its entry to make it durable. An
	// entry that lost the end of the answer never does.
	heldLimit = 10 * time.Second
	// ledgerWindow is the group commit window of an agent. An agent writes
	// only the rows that an entry left behind, so it can wait longer.
	ledgerWindow = 500 * time.Millisecond
)

// Deps are the outside systems of an agent.
type Deps struct {
	Store   dialect.Store
	VMs     dialect.VMList
	Engine  dialect.Engine  // nil for a plain service
	Service dialect.Service // nil for an engine
	Log     *telemetry.Logger
	Tracing *telemetry.Tracing
}

// Agent is one running agent.
type Agent struct {
	settings *settings.Agent
	deps     Deps
	log      *telemetry.Logger
	metrics  *telemetry.Metrics
	bootID   string
	started  time.Time

	snapshot *config.Snapshot
	poller   *provider.Provider
	server   *link.Server
	tree     *suture.Supervisor

	gate     *gate
	evictor  evictor
	health   *health.Monitor
	exposure *exposure
	claims   sync.Map // nonces of reservations that this agent was given
	once     *once.RecordStore
	ledger   *ledger.Writer
	held     *ledger.RowBuffer

	draining  atomic.Bool
	stopped   atomic.Bool // the drain is over
	vmLeaving atomic.Bool
	loaded    atomic.Pointer[engineView]

	runs supervise.Inflight
}

// engineView is what the engine reported last.
type engineView struct {
	status dialect.EngineStatus
	ok     bool
}

// New returns an agent that has not started yet.
func New(s *settings.Agent, deps Deps) *Agent {
	a := &Agent{
		settings: s,
		deps:     deps,
		log:      deps.Log,
		metrics:  telemetry.NewMetrics(),
		bootID:   ulid.Make().String(),
		started:  time.Now(),
		snapshot: config.NewSnapshot(),
		once:     once.New(deps.Store),
	}
	a.loaded.Store(&engineView{})
	a.gate = newGate(admission.New(admission.Config{
		ColdLimit:  1,
		WarmLimit:  1,
		QueueLimit: s.QueueLimit,
	}), a.clock)
	a.health = health.New(health.Config{
		Origin: a.bootID, DataCentre: s.DataCentre, Snapshot: a.snapshot,
		Broadcast: a.broadcast, Processes: a.processes, Clock: a.clock, Log: deps.Log.Part("health"),
	})
	a.exposure = newExposure(s.Name, a.snapshot, a.health)
	a.ledger = ledger.NewWriter(deps.Store, a.bootID, func() time.Duration { return ledgerWindow })
	a.held = ledger.NewRowBuffer(a.ledger)
	a.poller = provider.NewPoller(deps.Store, a.snapshot, provider.Options{Logger: deps.Log.Base(), OnAdopt: a.forwardRecords})
	a.server = link.NewServer(link.ServerConfig{
		Hello:           link.Hello{Name: s.Name, BootID: a.bootID, DataCentre: s.DataCentre},
		FleetKey:        []byte(s.FleetKey),
		Heartbeat:       a.heartbeat,
		Handler:         a.handle,
		OnPeerConnected: a.onPeer,
		OnHeartbeat:     a.onHeartbeat,
		OnControl:       a.onControl,
		OnPeerLost:      a.onPeerGone,
		Logger:          deps.Log.Base(),
		Retention:       streamRetention,
	})
	a.publishMetrics()
	a.tree = a.buildTree()
	return a
}

func (a *Agent) buildTree() *suture.Supervisor {
	tree := supervise.New("agent", a.log)
	tree.Add(a.poller)
	tree.Add(a.ledger)
	tree.Add(supervise.Every("status", statusInterval, func(ctx context.Context) { a.readStatus(ctx) }))
	tree.Add(supervise.Every("evidence", evidenceInterval, func(context.Context) {
		a.health.Tick()
		a.exposure.expire(a.clock())
	}))
	tree.Add(supervise.Spaced("vm list", func() time.Duration {
		return supervise.Shared(vmListInterval, a.processes(), vmListRate)
	}, a.readVMList))
	tree.Add(supervise.Every("queue", expireInterval, func(context.Context) { a.gate.expire() }))
	tree.Add(supervise.Every("held charges", heldInterval, a.expireHeld))
	tree.Add(supervise.Func{Name: "limits", Run: a.followLimits})
	tree.Add(supervise.Func{Name: "data centre", Run: a.followDataCentre})
	if a.deps.Engine != nil {
		tree.Add(newOrders(a))
	}
	return tree
}

// ServeOn accepts links on listener until ctx ends, and serves the admin
// interface on admin unless it is nil.
func (a *Agent) ServeOn(ctx context.Context, listener, admin net.Listener) error {
	a.log.Info("Started.", "backend_server", a.settings.Name, "listen", listener.Addr().String())
	a.tree.Add(supervise.Func{Name: "links", Run: func(ctx context.Context) error {
		return a.server.Serve(ctx, listener)
	}})
	if admin != nil {
		a.tree.Add(supervise.HTTP("admin", admin, a.adminHandler()))
	}
	a.readStatus(ctx)
	err := a.tree.Serve(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Drain refuses new work, finishes what runs within the drain grace, and
// writes the charges that no entry has made durable.
func (a *Agent) Drain(ctx context.Context) error {
	a.draining.Store(true)
	a.server.Drain()
	a.gate.drain()
	graceCtx, cancel := context.WithTimeout(ctx, a.settings.DrainGrace.Std())
	defer cancel()
	move := time.AfterFunc(moveAfter(a.settings.DrainGrace.Std()), func() { a.evictor.evict(link.CodeLeaving) })
	defer move.Stop()
	if err := a.server.Wait(graceCtx); err != nil {
		a.log.Warn("Drain grace ended with open streams.", "error", err.Error())
	}
	if err := a.runs.Wait(graceCtx); err != nil {
		a.log.Warn("Drain grace ended with running calls.", "calls", a.runs.Count())
	}
	return a.flushCharges(ctx)
}

// processes returns the number of agents that the records name.
func (a *Agent) processes() int { return len(a.snapshot.View().BackendServers) }

// clock is the agent's monotonic clock; deadlines of requests are expressed
// in it.
func (a *Agent) clock() time.Duration { return time.Since(a.started) }

func (a *Agent) heartbeat() link.Heartbeat {
	report := a.gate.report()
	view := a.loaded.Load()
	load := &link.LoadReport{
		Running:    report.Running,
		Queued:     report.Queued,
		Limit:      report.Limit,
		Cold:       report.Cold,
		FirstToken: report.FirstToken,
		Resumes:    view.status.Resumes,
	}
	for _, ref := range view.status.Loaded {
		load.Loaded = append(load.Loaded, ref.Model+"@"+ref.Version)
	}
	return link.Heartbeat{
		Clock:    a.clock(),
		Revision: a.snapshot.Revision(),
		Digest:   a.snapshot.Digest(),
		Load:     load,
		Draining: a.draining.Load(),
	}
}

// forwardRecords sends the entries what the store told this agent first. While
// the watches of the entries work, that is nothing; an entry whose watch hangs
// would otherwise have to wait for the next heartbeat.
func (a *Agent) forwardRecords(records []config.Record) {
	for _, m := range control.SplitRecords(records) {
		a.server.Broadcast(m)
	}
}

func (a *Agent) broadcast(c link.Control) { a.server.Broadcast(c) }

func (a *Agent) flushCharges(ctx context.Context) error {
	a.stopped.Store(true)
	a.held.HandOverBefore(time.Now().Add(time.Hour))
	flushCtx, cancel := context.WithTimeout(ctx, a.settings.DrainGrace.Std())
	defer cancel()
	return a.ledger.Flush(flushCtx)
}

// expireHeld writes the charges that their entry has not reported durable.
func (a *Agent) expireHeld(context.Context) {
	if rows := a.held.HandOverBefore(time.Now().Add(-heldLimit)); rows > 0 {
		a.log.Info("Writing charges that no entry reported durable.", "rows", rows)
	}
}

// followLimits applies the record's limits whenever the configuration changes.
// Both the end and the begin of service reset the limit: the backend server may
// have been restarted in between, and the reset at the begin alone could come
// after the first new work.
func (a *Agent) followLimits(ctx context.Context) error {
	served := false
	for {
		changed := a.snapshot.Changed()
		view := a.snapshot.View()
		if server, ok := view.BackendServers[a.settings.Name]; ok {
			a.gate.setLimits(server.ColdLimit, server.WarmLimit)
		}
		if serves := checkPlace(view, a.standing()) == nil; serves != served {
			a.gate.reset()
			served = serves
		}
		a.health.Reconcile()
		a.exposure.reconcile()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (a *Agent) publishMetrics() {
	a.metrics.Func("revision", func() any { return a.snapshot.Revision() })
	a.metrics.Func("digest", func() any { return a.snapshot.Digest() })
	a.metrics.Func("config_age_seconds", func() any { return a.poller.Age().Seconds() })
	a.metrics.Func("load", func() any { return a.gate.report() })
	a.metrics.Func("draining", func() any { return a.draining.Load() })
	a.metrics.Func("held_charges", func() any { return a.held.Len() })
	a.metrics.Func("version_tests", func() any { return a.health.VersionTests() })
	a.metrics.Func("ledger", func() any { return a.ledger.Stats() })
}

func (a *Agent) adminHandler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/debug/vars", a.metrics)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if a.draining.Load() || a.snapshot.Revision() == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// versionKey names a version in evidence and quarantines.
func versionKey(model, version string) rollout.VersionKey {
	return rollout.VersionKey{Model: model, Version: version}
}

// Revision returns the revision of the records in force here.
func (a *Agent) Revision() uint64 { return a.snapshot.Revision() }

// Load returns the load report of the backend server.
func (a *Agent) Load() admission.Report { return a.gate.report() }

// Quarantined reports whether a version is in quarantine here.
func (a *Agent) Quarantined(model, version string) bool { return a.health.Quarantined(model, version) }
