package ingress

import (
	"syscall"
	"time"

	"hyssoploom/telemetry"
)

const (
	// defaultDescriptors is assumed if the system does not name a limit, and maxDescriptors
	// if it names none that binds.
	defaultDescriptors = 1024
	maxDescriptors     = 1 << 20

	// DefaultMemory is the memory in bytes for clients if that of the VM is unknown.
	DefaultMemory = 64 << 20
	// defaultHeadTimeout is far above what a head takes on a slow network, and
	// defaultIdleTimeout above the idle times of usual HTTP clients, which close first.
	defaultHeadTimeout = 5 * time.Second
	defaultIdleTimeout = 10 * time.Minute
	// defaultWriteTimeout is how long a client may take nothing of its answer.
	defaultWriteTimeout = 30 * time.Second
)

// DefaultLimits are the limits of a process whose settings do not name them. The head limit
// is above that of the product's own API, which refuses larger headers with its own error.
var DefaultLimits = Limits{Bytes: 256 << 10, EmptyLines: 8}

// NewDefault returns a guard with limits for processes whose settings name neither the
// memory of the VM nor those of clients.
func NewDefault(log *telemetry.Logger, metrics *telemetry.Metrics) *Guard {
	return New(Config{
		MemoryBytes:  DefaultMemory,
		Connections:  ConnectionsFor(0),
		HeadLimits:   func() Limits { return DefaultLimits },
		HeadTimeout:  func() time.Duration { return defaultHeadTimeout },
		IdleTimeout:  func() time.Duration { return defaultIdleTimeout },
		WriteTimeout: defaultWriteTimeout,
	}, log, metrics)
}

// ConnectionsFor returns the number of connections that clients may open in a process that
// may open so many descriptors; 0 stands for the limit that the system names. It is a third
// of them: a request needs one more at a backend server, and the connection of one that was
// given up before may still be closing.
func ConnectionsFor(descriptors int) int {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
			descriptors = int(min(limit.Cur, maxDescriptors))
		}
	}
	return max(descriptors/3, 1)
}
