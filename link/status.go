package link

import "time"

// Status is what a client knows about its agent. The fields other than Alive
// and Err keep their last value while the link is down.
type Status struct {
	Alive     bool
	Since     time.Time // when the link last came up
	Err       error     // why the last connection or attempt ended
	Draining  bool
	Load      *LoadReport // nil until the agent reported its load
	LoadAt    time.Time   // when Load came
	PeerHello Hello
	Revision  uint64
	Digest    uint64

	clock   time.Duration // last reading of the agent's clock
	clockAt time.Time     // when it came
}

// AgentClock estimates the agent's monotonic clock: its last reading plus the
// time since it came. It is zero before the first heartbeat.
func (s Status) AgentClock(now time.Time) time.Duration {
	if s.clockAt.IsZero() {
		return 0
	}
	return s.clock + now.Sub(s.clockAt)
}

func (s *Status) recordConnect(peer Hello, hb Heartbeat) {
	if peer.BootID != s.PeerHello.BootID {
		*s = Status{Err: s.Err}
	}
	s.Alive, s.Since, s.PeerHello = true, time.Now(), peer
	s.recordHeartbeat(hb)
}

func (s *Status) recordHeartbeat(hb Heartbeat) {
	now := time.Now()
	s.clock, s.clockAt = hb.Clock, now
	s.Revision, s.Digest, s.Draining = hb.Revision, hb.Digest, hb.Draining
	if hb.Load != nil {
		s.Load, s.LoadAt = hb.Load, now
	}
}

func (c *Client) updateStatus(f func(*Status)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.status)
}

// Status returns the last known state of the agent.
func (c *Client) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}
