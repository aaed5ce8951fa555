package settings

import (
	"math"
	"time"
)

// Clients holds the limits on what clients that may be outside the configured limits can
// make the process hold. They apply to every listener. Where the operators' configuration
// allows clients more, that holds.
type Clients struct {
	// MemoryShare is the share of MemoryMB that connections, and heads of requests that are
	// being read, may take together.
	MemoryShare float64 `toml:"memory_share"`
	// MaxConnections limits the open connections; 0 stands for a third of MaxDescriptors, as a
	// request needs one more descriptor at a backend server, or two for a moment.
	MaxConnections int `toml:"max_connections"`
	// MaxHeadBytes and MaxFields limit the head of a request; MaxFields 0 stands for as many
	// as fit. MaxEmptyLines limits the empty lines before it.
	MaxHeadBytes  int `toml:"max_head_bytes"`
	MaxFields     int `toml:"max_fields"`
	MaxEmptyLines int `toml:"max_empty_lines"`
	// HeadTimeoutS is the time in which a head has to arrive, and IdleTimeoutS the longest
	// time between two requests on a connection. IdleTimeoutS is longer than what
	// configurations usually set, so that clients close idle connections first.
	HeadTimeoutS float64 `toml:"head_timeout_s"`
	IdleTimeoutS float64 `toml:"idle_timeout_s"`
	// WriteTimeoutS is how long a client may take nothing of its answer.
	WriteTimeoutS float64 `toml:"write_timeout_s"`
}

// HeadTimeout, IdleTimeout and WriteTimeout return the fields of the same names.
func (c *Clients) HeadTimeout() time.Duration  { return seconds(c.HeadTimeoutS) }
func (c *Clients) IdleTimeout() time.Duration  { return seconds(c.IdleTimeoutS) }
func (c *Clients) WriteTimeout() time.Duration { return seconds(c.WriteTimeoutS) }

// DefaultClients are the limits that apply when the settings do not name them. Clients
// within the limits of the users' pages do not meet them.
var DefaultClients = Clients{
	MemoryShare: 0.2, MaxHeadBytes: 128 << 10, MaxEmptyLines: 8,
	HeadTimeoutS: 5, IdleTimeoutS: 60, WriteTimeoutS: 30,
}

// maxHeadBytes is above the head of any client; a larger limit is most likely a typing error.
const maxHeadBytes = 16 << 20

func (f *settingsFile) clients(c *Clients) {
	if !(c.MemoryShare > 0 && c.MemoryShare <= 0.5) {
		f.addError("clients.memory_share", "must be greater than 0 and at most 0.5")
	}
	if c.MaxHeadBytes < 1024 || c.MaxHeadBytes > maxHeadBytes {
		f.addError("clients.max_head_bytes", "must be from 1024 to %d", maxHeadBytes)
	}
	for key, value := range map[string]int{
		"clients.max_connections": c.MaxConnections, "clients.max_fields": c.MaxFields, "clients.max_empty_lines": c.MaxEmptyLines,
	} {
		if value < 0 || value > math.MaxInt32 {
			f.addError(key, "must be from 0 to %d", math.MaxInt32)
		}
	}
	for key, value := range map[string]float64{
		"clients.head_timeout_s": c.HeadTimeoutS, "clients.idle_timeout_s": c.IdleTimeoutS, "clients.write_timeout_s": c.WriteTimeoutS,
	} {
		if !(value > 0) {
			f.addError(key, "must be greater than 0")
		}
		f.atMostMaxDuration(key, value)
	}
}
