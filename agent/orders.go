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
	// loadPermits is the maximum number of concurrent model loads in a data centre,
	// because the weight store is rate-limited.
	loadPermits = 4
	// permitTTL limits how long a lost agent holds a load permit.
	permitTTL = 30 * time.Second
	// orderTimeout limits the execution of one order.
	orderTimeout = 20 * time.Second
)

// storeOutageWait is the minimum time that an order waits for a store that is down. Each
// agent adds a random time of up to the same length. After that it sends the order without
// a load permit; otherwise an engine that restarts during a long outage would have no
// models.
const storeOutageWait = 20 * time.Second

// orders sends load and unload orders to the engine until the loaded versions match the
// backend server's record.
type orders struct {
	agent *Agent
	// downSince is the start of the current store outage; zero while the store answers.
	downSince  time.Time
	outageWait time.Duration // storeOutageWait plus a random time
}

func newOrders(a *Agent) *orders {
	return &orders{agent: a, outageWait: storeOutageWait + rand.N(storeOutageWait)}
}

// String returns the name of the service in the supervisor tree.
func (o *orders) String() string { return "orders" }

// Serve compares the record with the versions that the engine has loaded, and sends
// orders, until ctx ends.
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

// reconcile sends at most one order, so that each order is based on the newest record.
func (o *orders) reconcile(ctx context.Context) error {
	a := o.agent
	report := a.lastReport.Load()
	if !report.ok || a.draining.Load() {
		return nil
	}
	server, ok := a.snapshot.View().BackendServers[a.settings.Name]
	if !ok || server.State != config.BackendServerIn {
		return nil
	}
	order, needed := nextOrder(server, report.status.Loaded)
	if !needed {
		return nil
	}
	order.Fencing = a.snapshot.View().RecordRevision(config.KindBackendServer, a.settings.Name)
	return o.sendOrder(ctx, order, server.ChecksFencing)
}

// nextOrder returns the next order that brings the engine closer to the record. Unload
// orders come first. It returns false if the loaded versions match the record.
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

// errStaleRecord reports that the record in the store differs from the snapshot.
var errStaleRecord = errors.New("record changed before the order")

// confirmRecord reads the record from the store and checks that it has not changed.
// Engines that do not check the fencing number would otherwise execute an order of an
// agent that was paused while its record was replaced.
func (o *orders) confirmRecord(ctx context.Context, order dialect.Order) error {
	key := config.Key(config.KindBackendServer, o.agent.settings.Name)
	kv, err := o.agent.deps.Store.Get(ctx, key)
	if err != nil {
		return eris.Wrapf(err, "read %s before an order", key)
	}
	if kv.Revision != order.Fencing {
		o.agent.snapshot.Apply([]config.Record{{Key: kv.Key, Revision: kv.Revision, Raw: kv.Value}})
		return errStaleRecord
	}
	return nil
}

// sendOrder sends an order to the engine. The record is confirmed last, because getting
// the load permit may take long.
func (o *orders) sendOrder(ctx context.Context, order dialect.Order, checksFencing bool) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if order.Action == "load" {
		permit, err := o.acquirePermit(ctx)
		if err != nil && !o.outageTooLong(err) {
			return err
		}
		if err == nil {
			defer o.releasePermit(permit)
		}
	}
	if !checksFencing {
		// No record can change while the store is down, so the snapshot is used
		// after the same wait as for a permit.
		if err := o.confirmRecord(ctx, order); err != nil && !o.outageTooLong(err) {
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

// outageTooLong reports whether err shows that the store is down, and it has been down
// for longer than outageWait. Any other error ends the outage.
func (o *orders) outageTooLong(err error) bool {
	if !errors.Is(err, dialect.ErrUnavailable) {
		o.downSince = time.Time{}
		return false
	}
	if o.downSince.IsZero() {
		o.downSince = time.Now()
	}
	return time.Since(o.downSince) > o.outageWait
}

// errNoPermit reports that all load permits of the data centre are in use.
var errNoPermit = errors.New("all load permits are taken")

// acquirePermit acquires a load permit: it creates one of the data centre's permit keys
// under a lease.
func (o *orders) acquirePermit(ctx context.Context) (dialect.Lease, error) {
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
			o.releasePermit(lease)
			return "", eris.Wrap(err, "load permit")
		}
		o.downSince = time.Time{}
		return lease, nil
	}
	o.releasePermit(lease)
	return "", errNoPermit
}

func (o *orders) releasePermit(lease dialect.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	if err := o.agent.deps.Store.Revoke(ctx, lease); err != nil {
		o.agent.log.Debug("Load permit could not be released; it expires with its lease.", "error", err.Error())
	}
}
