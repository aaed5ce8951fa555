// Package agent implements the agent daemon, which runs next to a backend server and is
// the only path for requests to it. The agent checks each request against the configuration,
// limits the load, has the engine load and unload models, and runs calls that may not
// be repeated at most once.
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
	"github.com/thejerf/suture/v4"

	"hyssoploom/admission"
	"hyssoploom/config"
	"hyssoploom/control"
	"hyssoploom/dialect"
	"hyssoploom/health"
	"hyssoploom/internal/ingress"
	"hyssoploom/internal/uniqueid"
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
	statusInterval   = 500 * time.Millisecond // between status requests to the engine
	evidenceInterval = time.Second
	vmListInterval   = 2 * time.Second
	// vmListRate limits the calls per second of all agents together.
	vmListRate          = 100
	ordersInterval      = time.Second
	queueExpiryInterval = 50 * time.Millisecond
	heldRowInterval     = time.Second
	// streamRetention is how long the streams of a lost link are kept. Entries give up
	// such a stream earlier and resume it on another backend server.
	streamRetention = 5 * time.Second
	// heldRowTimeout is how long the agent holds a charge row for the entry to report
	// it durable. An entry that missed the end of the answer never does.
	heldRowTimeout = 10 * time.Second
	// ledgerWindow is the group commit window of the ledger. It is longer than that of
	// an entry, because an agent writes only the rows that no entry reported durable.
	ledgerWindow = 500 * time.Millisecond
)

// Deps holds the external systems and services that an agent uses.
type Deps struct {
	Store   dialect.Store
	VMs     dialect.VMList
	Engine  dialect.Engine  // nil for a plain service
	Service dialect.Service // nil for an engine
	Log     *telemetry.Logger
	Tracing *telemetry.Tracing
}

// Agent is an agent daemon. It is created by New and run by ServeOn.
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

	gate          *gate
	evictor       evictor
	health        *health.Monitor
	exposure      *exposure
	claimedNonces sync.Map // nonces of the reservations that this agent received
	once          *once.RecordStore
	ledger        *ledger.Writer
	held          *ledger.RowBuffer

	draining   atomic.Bool
	drained    atomic.Bool // set when the drain has ended
	vmLeaving  atomic.Bool
	lastReport atomic.Pointer[engineReport]

	runs supervise.Inflight
}

// engineReport is a status report of the engine.
type engineReport struct {
	status dialect.EngineStatus // of the last successful request
	ok     bool                 // whether the engine answered the last status request
}

// New returns an agent. Call ServeOn to start it.
func New(s *settings.Agent, deps Deps) *Agent {
	a := &Agent{
		settings: s,
		deps:     deps,
		log:      deps.Log,
		metrics:  telemetry.NewMetrics(),
		bootID:   uniqueid.ForProcess(s.Name),
		started:  time.Now(),
		snapshot: config.NewSnapshot(),
		once:     once.New(deps.Store),
	}
	a.lastReport.Store(&engineReport{})
	a.gate = newGate(admission.New(admission.Config{
		ColdLimit:  1,
		WarmLimit:  1,
		QueueLimit: s.QueueLimit,
	}), a.clock)
	a.health = health.New(health.Config{
		Origin: a.bootID, DataCentre: s.DataCentre, Snapshot: a.snapshot,
		Broadcast: a.broadcast, Processes: a.processes, Clock: a.clock, Log: deps.Log.WithComponent("health"),
	})
	a.exposure = newExposure(s.Name, a.snapshot, a.health)
	a.ledger = ledger.NewWriter(deps.Store, a.bootID, func() time.Duration { return ledgerWindow })
	a.held = ledger.NewRowBuffer(a.ledger)
	a.poller = provider.NewPoller(deps.Store, a.snapshot, provider.Options{Logger: deps.Log.Base(), OnChange: a.forwardRecords})
	a.server = link.NewServer(link.ServerConfig{
		Hello:           link.Hello{Name: s.Name, BootID: a.bootID, DataCentre: s.DataCentre},
		FleetKey:        []byte(s.FleetKey),
		Heartbeat:       a.heartbeat,
		Handler:         a.handle,
		OnPeerConnected: a.onPeerConnected,
		OnHeartbeat:     a.onHeartbeat,
		OnControl:       a.onControl,
		OnPeerLost:      a.onPeerLost,
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
	tree.Add(supervise.EveryFunc("vm list", func() time.Duration {
		return supervise.SharedInterval(vmListInterval, a.processes(), vmListRate)
	}, a.readVMList))
	tree.Add(supervise.Every("queue", queueExpiryInterval, func(context.Context) { a.gate.expire() }))
	tree.Add(supervise.Every("held charges", heldRowInterval, a.expireHeld))
	tree.Add(supervise.Func{Name: "limits", Run: a.watchLimits})
	tree.Add(supervise.Func{Name: "data centre", Run: a.watchDataCentre})
	if a.deps.Engine != nil {
		tree.Add(newOrders(a))
	}
	return tree
}

// ServeOn accepts links on listener and serves the admin interface on admin, unless it
// is nil, until ctx ends.
func (a *Agent) ServeOn(ctx context.Context, listener, admin net.Listener) error {
	a.log.Info("Started.", "backend_server", a.settings.Name, "listen", listener.Addr().String())
	guard := ingress.NewDefault(a.log.WithComponent("ingress"), a.metrics)
	a.tree.Add(supervise.Func{Name: "links", Run: func(ctx context.Context) error {
		return a.server.Serve(ctx, guard.MessageListener(listener))
	}})
	if admin != nil {
		a.tree.Add(supervise.HTTP("admin", guard.Listener(admin, false), a.adminHandler()))
	}
	a.readStatus(ctx)
	err := a.tree.Serve(ctx)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Drain refuses new requests, waits up to DrainGrace for running ones, and writes
// the charges that no entry has reported durable. Shortly before the grace period ends, it
// evicts running answers, so that entries resume them on other backend servers.
func (a *Agent) Drain(ctx context.Context) error {
	a.draining.Store(true)
	a.server.Drain()
	a.gate.drain()
	graceCtx, cancel := context.WithTimeout(ctx, a.settings.DrainGrace.AsDuration())
	defer cancel()
	evictTimer := time.AfterFunc(evictAfter(a.settings.DrainGrace.AsDuration()), func() { a.evictor.evict(link.CodeLeaving) })
	defer evictTimer.Stop()
	if err := a.server.Wait(graceCtx); err != nil {
		a.log.Warn("Drain grace ended with open streams.", "error", err.Error())
	}
	if err := a.runs.Wait(graceCtx); err != nil {
		a.log.Warn("Drain grace ended with running calls.", "calls", a.runs.Count())
	}
	return a.flushCharges(ctx)
}

// processes returns the number of backend servers, and so of agents, in the records.
func (a *Agent) processes() int { return len(a.snapshot.View().BackendServers) }

// clock returns the monotonic time since the agent was created. Deadlines of requests
// use this clock.
func (a *Agent) clock() time.Duration { return time.Since(a.started) }

func (a *Agent) heartbeat() link.Heartbeat {
	report := a.gate.report()
	last := a.lastReport.Load()
	load := &link.LoadReport{
		Running:    report.Running,
		Queued:     report.Queued,
		Limit:      report.Limit,
		Cold:       report.Cold,
		FirstToken: report.FirstToken,
		Resumes:    last.status.Resumes,
	}
	for _, ref := range last.status.Loaded {
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

// forwardRecords sends the entries the records that this agent received from the store
// before it received them from an entry. Without it, an entry whose watch hangs would
// get them only after the next heartbeat. While all watches work there is nothing to
// forward.
func (a *Agent) forwardRecords(records []config.Record) {
	for _, m := range control.SplitRecords(records) {
		a.server.Broadcast(m)
	}
}

func (a *Agent) broadcast(c link.Control) { a.server.Broadcast(c) }

func (a *Agent) flushCharges(ctx context.Context) error {
	a.drained.Store(true)
	a.held.HandOverBefore(time.Now().Add(time.Hour))
	flushCtx, cancel := context.WithTimeout(ctx, a.settings.DrainGrace.AsDuration())
	defer cancel()
	return a.ledger.Flush(flushCtx)
}

// expireHeld writes the charges that were not reported durable within heldRowTimeout.
func (a *Agent) expireHeld(context.Context) {
	if rows := a.held.HandOverBefore(time.Now().Add(-heldRowTimeout)); rows > 0 {
		a.log.Info("Writing charges that no entry reported durable.", "rows", rows)
	}
}

// watchLimits applies the limits of the backend server's record whenever the
// configuration changes. The limit is reset both when the backend server goes out of
// service and when it comes back. It may have been restarted in between, and a reset
// only on its return could happen after the first new request.
func (a *Agent) watchLimits(ctx context.Context) error {
	served := false
	for {
		changed := a.snapshot.Changed()
		view := a.snapshot.View()
		if server, ok := view.BackendServers[a.settings.Name]; ok {
			a.gate.setLimits(server.ColdLimit, server.WarmLimit)
		}
		if serves := checkServer(view, a.serverState()) == nil; serves != served {
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
	a.metrics.Func("config_age_seconds", func() any { return a.poller.Staleness().Seconds() })
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

// versionKey returns the key of a version in evidence and quarantines.
func versionKey(model, version string) rollout.VersionKey {
	return rollout.VersionKey{Model: model, Version: version}
}

// Revision returns the revision of the records that this agent uses.
func (a *Agent) Revision() uint64 { return a.snapshot.Revision() }

// Load returns the current load report of the backend server.
func (a *Agent) Load() admission.Report { return a.gate.report() }

// Quarantined reports whether this agent considers the version quarantined.
func (a *Agent) Quarantined(model, version string) bool { return a.health.Quarantined(model, version) }
