package link

import "time"

// Status is the state of a client's link and the last reported state of its agent.
// The fields other than Alive and Err keep their last value while the link is
// down, and are reset when the agent restarts.
type Status struct {
	Alive     bool
	Since     time.Time // when the link was last established
	Err       error     // why the last connection or connection attempt ended
	Draining  bool
	Load      *LoadReport // nil until the agent has reported its load
	LoadAt    time.Time   // when Load was received
	PeerHello Hello
	Revision  uint64
	Digest    uint64

	clock   time.Duration // last received value of the agent's clock
	clockAt time.Time     // when clock was received
}

// AgentClock estimates the agent's monotonic clock at now: the last received value
// plus the time since its receipt. It is zero before the first heartbeat.
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
