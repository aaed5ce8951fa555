package link

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/phuslu/log"
)

// ClientConfig configures a Client, the entry's side of the link to one agent.
type ClientConfig struct {
	Addr         string
	Hello        Hello
	ExpectedPeer string // name that the agent must report; empty accepts any
	FleetKey     []byte
	Timing       Timing

	Dial       func(ctx context.Context, addr string) (net.Conn, error) // dials TCP when nil
	MinBackoff time.Duration                                            // wait before the first reconnect attempt; 50 ms
	// MaxBackoff is the maximum wait between reconnect attempts. The default of
	// 2 s is well below the default ServerConfig.PeerLostTimeout of 10 s.
	MaxBackoff    time.Duration
	Random        func() float64 // source of the backoff jitter, in [0, 1); math/rand/v2 when nil
	OpenTimeout   time.Duration  // how long Open waits for a link that is down; 250 ms
	ResumeTimeout time.Duration  // open streams fail if the link is down for longer; 30 s
	Window        int            // flow control window per stream in bytes; 64 KiB
	Logger        *log.Logger

	// Heartbeat returns the contents of the next heartbeat. It must not block.
	Heartbeat func() Heartbeat
	// The callbacks are optional and are called one at a time. They must not block
	// for long: the connection stops reading while the callback queue is full.
	OnHello        func(Hello)
	OnHeartbeat    func(Heartbeat)
	OnControl      func(Control)
	OnDrain        func() // the agent announced that it takes no new work
	OnDisconnected func()
}

func (cfg *ClientConfig) setDefaults() {
	cfg.Timing = cfg.Timing.withDefaults()
	setDefault(&cfg.MinBackoff, 50*time.Millisecond)
	setDefault(&cfg.MaxBackoff, 2*time.Second)
	setDefault(&cfg.OpenTimeout, 250*time.Millisecond)
	setDefault(&cfg.ResumeTimeout, defaultStreamRetention)
	setDefault(&cfg.Window, 64<<10)
	setDefault(&cfg.Hello.Protocol, ProtocolVersion)
	setDefault(&cfg.Logger, &log.DefaultLogger)
	if cfg.Dial == nil {
		var d net.Dialer
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) }
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	if cfg.Heartbeat == nil {
		cfg.Heartbeat = monotonicHeartbeat()
	}
}

func monotonicHeartbeat() func() Heartbeat {
	start := time.Now()
	return func() Heartbeat { return Heartbeat{Clock: time.Since(start)} }
}
