package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"hyssoploom/config"
	"hyssoploom/dialect"
)

const (
	// loadPermits is the number of loads that may run at once in a data centre,
	// because the weight store is rate-limited.
	loadPermits = 4
	// permitTTL bounds how long a lost agent holds a load permit.
	permitTTL = 30 * time.Second
	// orderTimeout bounds one order.
	orderTimeout = 20 * time.Second
)

// permitPatience is how long a load waits for a permit while the store is down.
// After it, and a random time of the same length, the engine loads without one:
// an engine that restarts in a long outage would else stay empty.
const permitPatience = 20 * time.Second

// orders gives the orders to the engine that its backend server's record
// asks for.
type orders struct {
	agent *Agent
	// downSince is when the store was first found down; zero while it answers.
	downSince time.Time
	patience  time.Duration
}

func newOrders(a *Agent) *orders {
	return &orders{agent: a, patience: permitPatience + rand.N(permitPatience)}
}

// String names the service in the supervisor tree.
func (o *orders) String() string { return "orders" }

// Serve compares the record with what the engine has loaded until ctx ends.
func (o *orders) Serve(ctx context.Context) error {
	ticker := time.NewTicker(ordersInterval)
	defer ticker.Stop()
	for {
		if err := o.reconcile(ctx); err != nil {
			o.agent.log.Warn("An order failed.", "error", err.Error())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-o.agent.snapshot.Changed():
		}
	}
}

// reconcile gives at most one order, so that each is decided on a fresh record.
func (o *orders) reconcile(ctx context.Context) error {
	a := o.agent
	loaded := a.loaded.Load()
	if !loaded.ok || a.draining.Load() {
		return nil
	}
	server, ok := a.snapshot.View().BackendServers[a.settings.Name]
	if !ok || server.State != config.BackendServerIn {
		return nil
	}
	order, needed := nextOrder(server, loaded.status.Loaded)
	if !needed {
		return nil
	}
	order.Fencing = a.snapshot.View().RecordRevision(config.KindBackendServer, a.settings.Name)
	return o.give(ctx, order, server.ChecksFencing)
}

// nextOrder returns the first difference between the record and what is loaded.
func nextOrder(server *config.BackendServer, loaded []dialect.ModelRef) (dialect.Order, bool) {
	has := make(map[dialect.ModelRef]bool)
	for _, ref := range loaded {
		has[ref] = true
	}
	wanted := make(map[dialect.ModelRef]bool)
	for _, p := range server.Serves {
		wanted[dialect.ModelRef{Model: p.Model, Version: p.Version}] = true
	}
	for _, ref := range loaded {
		if !wanted[ref] {
			return dialect.Order{Action: "unload", Target: ref}, true
		}
	}
	for _, p := range server.Serves {
		ref := dialect.ModelRef{Model: p.Model, Version: p.Version}
		if !has[ref] {
			return dialect.Order{Action: "load", Target: ref}, true
		}
	}
	return dialect.Order{}, false
}

// errStaleRecord reports that the store has a newer record than the snapshot.
var errStaleRecord = errors.New("record changed before the order")

// confirm reads the record afresh. Engines that ignore the fencing number would
// otherwise obey an agent that was paused while its record was replaced.
func (o *orders) confirm(ctx context.Context, order dialect.Order) error {
	key := config.Key(config.KindBackendServer, o.agent.settings.Name)
	kv, err := o.agent.deps.Store.Get(ctx, key)
	if err != nil {
		return eris.Wrapf(err, "read %s before an order", key)
	}
	if kv.Revision != order.Fencing {
		o.agent.snapshot.Adopt([]config.Record{{Key: kv.Key, Revision: kv.Revision, Raw: kv.Value}})
		return errStaleRecord
	}
	return nil
}

// give sends the order. The record is confirmed last, because the agent may
// have waited long for its load permit.
func (o *orders) give(ctx context.Context, order dialect.Order, checksFencing bool) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if order.Action == "load" {
		permit, err := o.takePermit(ctx)
		if err != nil && !o.outlasts(err) {
			return err
		}
		if err == nil {
			defer o.returnPermit(permit)
		}
	}
	if !checksFencing {
		// No record can change while the store is down, so the snapshot decides
		// after the same patience as for a permit.
		if err := o.confirm(ctx, order); err != nil && !o.outlasts(err) {
			return err
		}
	}
	if err := o.agent.deps.Engine.Order(ctx, order); err != nil {
		return eris.Wrapf(err, "%s %s@%s", order.Action, order.Target.Model, order.Target.Version)
	}
	o.agent.log.Info("Order done.", "action", order.Action, "model", order.Target.Model, "version", order.Target.Version)
	o.agent.readStatus(ctx)
	return nil
}

// outlasts reports whether the store has been down for longer than an order
// waits for it.
func (o *orders) outlasts(err error) bool {
	if !errors.Is(err, dialect.ErrUnavailable) {
		o.downSince = time.Time{}
		return false
	}
	if o.downSince.IsZero() {
		o.downSince = time.Now()
	}
	return time.Since(o.downSince) > o.patience
}

// errNoPermit reports that all load permits of the data centre are taken.
var errNoPermit = errors.New("all load permits are taken")

// takePermit creates one of the data centre's permit keys under a lease.
func (o *orders) takePermit(ctx context.Context) (dialect.Lease, error) {
	store := o.agent.deps.Store
	lease, err := store.Grant(ctx, permitTTL)
	if err != nil {
		return "", eris.Wrap(err, "lease for a load permit")
	}
	for n := range loadPermits {
		key := fmt.Sprintf("permit/%s/%d", o.agent.settings.DataCentre, n)
		_, err := store.CompareAndSwap(ctx, dialect.Write{Key: key, Value: []byte(o.agent.settings.Name), Lease: lease})
		var conflict *dialect.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if err != nil {
			o.returnPermit(lease)
			return "", eris.Wrap(err, "load permit")
		}
		o.downSince = time.Time{}
		return lease, nil
	}
	o.returnPermit(lease)
	return "", errNoPermit
}

func (o *orders) returnPermit(lease dialect.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	if err := o.agent.deps.Store.Revoke(ctx, lease); err != nil {
		o.agent.log.Debug("Load permit expires by itself.", "error", err.Error())
	}
}
