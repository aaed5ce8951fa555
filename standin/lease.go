package standin

import (
	"context"
	"time"

	"hyssoploom/dialect"
	"hyssoploom/internal/uniqueid"
)

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (dialect.Lease, error) {
	if err := s.beginCall(ctx, true); err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := dialect.Lease(uniqueid.New())
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.ExpireLease(id) })}
	return id, nil
}

// KeepAlive renews a lease for its full time to live.
func (s *Store) KeepAlive(ctx context.Context, id dialect.Lease) error {
	if err := s.beginCall(ctx, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return dialect.ErrLeaseEnded
	}
	l.timer.Reset(l.ttl)
	return nil
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(ctx context.Context, id dialect.Lease) error {
	if err := s.beginCall(ctx, true); err != nil {
		return err
	}
	s.ExpireLease(id)
	return nil
}

// ExpireLease ends a lease and deletes its keys, as if its time to live had
// passed.
func (s *Store) ExpireLease(id dialect.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, owner := range s.leaseByKey {
		if owner == id {
			s.remove(key)
		}
	}
}
