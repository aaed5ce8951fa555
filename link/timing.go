package link

import "time"

// Timing holds the intervals and timeouts of a connection. Zero fields are
// replaced by the defaults.
type Timing struct {
	HeartbeatActive     time.Duration // interval while streams are open; 1 s
	HeartbeatIdle       time.Duration // interval without open streams; 5 s
	MaxMissedHeartbeats int           // heartbeat intervals without a received frame before the connection is closed; 3
	ProbeAfter          time.Duration // time without a received frame after which opening a stream sends a ping; 1 s
	ProbeTimeout        time.Duration // wait for any frame after the ping; 1 s
	HandshakeTimeout    time.Duration // 5 s
	WriteTimeout        time.Duration // 5 s
}

// defaultStreamRetention is how long both sides keep the streams of a lost link
// for resumption.
const defaultStreamRetention = 30 * time.Second

func (t Timing) withDefaults() Timing {
	setDefault(&t.HeartbeatActive, time.Second)
	setDefault(&t.HeartbeatIdle, 5*time.Second)
	setDefault(&t.MaxMissedHeartbeats, 3)
	setDefault(&t.ProbeAfter, time.Second)
	setDefault(&t.ProbeTimeout, time.Second)
	setDefault(&t.HandshakeTimeout, 5*time.Second)
	setDefault(&t.WriteTimeout, 5*time.Second)
	return t
}

func (t *Timing) heartbeatInterval(active bool) time.Duration {
	if active {
		return t.HeartbeatActive
	}
	return t.HeartbeatIdle
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
