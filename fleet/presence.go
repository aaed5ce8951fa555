package fleet

import (
	"context"
	"errors"
	"time"

	"hyssoploom/telemetry"
)

const (
	// presenceTTL is how long an entry counts as present without a renewal; it
	// outlives the store outages of an ordinary day.
	presenceTTL = 12 * time.Second
	// presenceRenewal leaves time for two failed renewals.
	presenceRenewal = 4 * time.Second
)

// Presence announces an entry in the store under a lease.
type Presence struct {
	store Store
	key   string
	value []byte
	log   *telemetry.Logger
	lease int64
}

// NewPresence returns a presence that writes value under key.
func NewPresence(store Store, key string, value []byte, log *telemetry.Logger) *Presence {
	return &Presence{store: store, key: key, value: value, log: log}
}

// Serve keeps the entry announced until ctx ends, then withdraws it.
func (p *Presence) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := presenceRenewal
		if err := p.refresh(ctx); err != nil {
			p.log.Warn("Could not announce this entry.", "error", err.Error())
			pause = time.Second
		}
		sleep(ctx, pause)
	}
	if p.lease != 0 {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := p.store.Revoke(ctx, p.lease); err != nil {
			p.log.Warn("Could not withdraw this entry; its lease will end.", "error", err.Error())
		}
	}
	return ctx.Err()
}

func (p *Presence) refresh(ctx context.Context) error {
	if p.lease != 0 {
		err := p.store.Renew(ctx, p.lease)
		if !errors.Is(err, ErrLeaseEnded) {
			return err
		}
		p.lease = 0
	}
	lease, err := p.store.Grant(ctx, presenceTTL)
	if err != nil {
		return err
	}
	if _, err := p.store.Commit(ctx, nil, []Put{{Key: p.key, Value: p.value, Lease: lease}}); err != nil {
		return err
	}
	p.lease = lease
	return nil
}
