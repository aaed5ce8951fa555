package link

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/phuslu/log"
)

// ClientConfig configures the entry's end of a link to one agent.
type ClientConfig struct {
	Addr         string
	Hello        Hello
	ExpectedPeer string // expected name of the peer; empty accepts any
	FleetKey     []byte
	Timing       Timing

	Dial       func(ctx context.Context, addr string) (net.Conn, error) // TCP when nil
	MinBackoff time.Duration                                            // first wait before a new dial; 50 ms
	// MaxBackoff is 2 s by default, well below the 10 s after which an agent
	// reports an entry as gone.
	MaxBackoff    time.Duration
	Random        func() float64 // for the jitter, in [0, 1); math/rand/v2 when nil
	OpenTimeout   time.Duration  // wait of Open for a link that is down; 250 ms
	ResumeTimeout time.Duration  // open streams end when the link is down for longer; 30 s
	Window        int            // bytes of an answer that wait for Recv; 64 KiB
	Logger        *log.Logger

	// Heartbeat returns what is sent to the agent. It must not block.
	Heartbeat func() Heartbeat
	// The callbacks are optional. They are called one at a time and must not
	// block for long, because a full queue of them stops reading.
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
