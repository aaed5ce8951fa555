package fleet

import (
	"context"
	"errors"
	"time"

	"hyssoploom/telemetry"
)

const (
	// presenceTTL is the time to live of an entry's registration without a renewal. It
	// is longer than the usual outages of the store.
	presenceTTL = 12 * time.Second
	// presenceRenewInterval tolerates two failed renewals within presenceTTL.
	presenceRenewInterval = 4 * time.Second
	// eraCheckInterval is the interval of the checks whether the store has gone back and
	// lost the registration.
	eraCheckInterval = 200 * time.Millisecond
)

// Presence registers an entry in the store under a lease.
type Presence struct {
	store Store
	key   string
	value []byte
	log   *telemetry.Logger
	lease int64
	era   int64 // of the store when the entry was registered
}

// NewPresence returns a Presence that registers value under key.
func NewPresence(store Store, key string, value []byte, log *telemetry.Logger) *Presence {
	return &Presence{store: store, key: key, value: value, log: log}
}

// Serve keeps the entry registered until ctx is done, then revokes its lease.
func (p *Presence) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := presenceRenewInterval
		if err := p.renew(ctx); err != nil {
			p.log.Warn("Could not register this entry in the store.", "error", err.Error())
			pause = time.Second
		}
		p.pause(ctx, pause)
	}
	if p.lease != 0 {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := p.store.Revoke(ctx, p.lease); err != nil {
			p.log.Warn("Could not revoke the lease of this entry; it will expire.", "error", err.Error())
		}
	}
	return ctx.Err()
}

// pause waits for d, or until the store has lost the lease.
func (p *Presence) pause(ctx context.Context, d time.Duration) {
	for begun := time.Now(); ctx.Err() == nil && time.Since(begun) < d; sleep(ctx, eraCheckInterval) {
		if p.lease != 0 && p.era != p.store.Era() {
			return
		}
	}
}

// renew renews the lease. If there is none or it has ended, it registers the entry
// under a new one.
func (p *Presence) renew(ctx context.Context) error {
	if p.lease != 0 {
		err := p.store.Renew(ctx, p.lease)
		if !errors.Is(err, ErrLeaseEnded) {
			return err
		}
		p.lease = 0
	}
	era := p.store.Era()
	lease, err := p.store.Grant(ctx, presenceTTL)
	if err != nil {
		return err
	}
	if _, err := p.store.Commit(ctx, nil, []Put{{Key: p.key, Value: p.value, Lease: lease}}); err != nil {
		return err
	}
	p.lease, p.era = lease, era
	return nil
}
