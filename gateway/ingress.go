package gateway

import (
	"time"

	"hyssoploom/fleet"
	"hyssoploom/internal/ingress"
	"hyssoploom/settings"
)

const (
	// LargestHead is the limit of http.Server on a head in bytes. The guard's own limits are
	// lower, or follow the configuration.
	LargestHead = 16 << 20
	// headSlack is added to the limit of the configuration, as clients and the gateway may
	// count the ends of lines differently.
	headSlack = 4 << 10
	// headTimeoutSlack is added to the time of the configuration for what the network takes.
	headTimeoutSlack = time.Second
)

// newGuard returns the guard of all listeners of the process.
func (g *Gateway) newGuard(s *settings.Gateway) *ingress.Guard {
	clients := clientSettings(s)
	connections := clients.MaxConnections
	if connections == 0 {
		connections = ingress.ConnectionsFor(s.MaxDescriptors)
	}
	return ingress.New(ingress.Config{
		MemoryBytes: ClientMemory(s),
		Connections: connections,
		HeadLimits: func() ingress.Limits {
			bytes := clients.MaxHeadBytes
			if configured := g.clientLimits().HeaderBytes; configured > 0 {
				bytes = min(configured, LargestHead) + headSlack
			}
			return ingress.Limits{Bytes: bytes, Fields: clients.MaxFields, EmptyLines: clients.MaxEmptyLines}
		},
		HeadTimeout: func() time.Duration {
			return max(clients.HeadTimeout(), g.clientLimits().HeaderTimeout+headTimeoutSlack)
		},
		IdleTimeout:  func() time.Duration { return max(clients.IdleTimeout(), g.clientLimits().IdleTimeout) },
		WriteTimeout: clients.WriteTimeout(),
	}, g.Log.WithComponent("ingress"), g.Metrics)
}

// ClientMemory returns the bytes that connections, and heads of requests that are being read,
// may take together.
func ClientMemory(s *settings.Gateway) int64 {
	if memory := int64(s.MemoryMB * (1 << 20) * clientSettings(s).MemoryShare); memory > 0 {
		return memory
	}
	return ingress.DefaultMemory
}

func clientSettings(s *settings.Gateway) settings.Clients {
	if s.Clients == (settings.Clients{}) {
		return settings.DefaultClients
	}
	return s.Clients
}

// Guard returns the guard of the listeners of the process.
func (g *Gateway) Guard() *ingress.Guard { return g.guard }

// clientLimits returns the limits that the configuration in force sets for clients.
func (g *Gateway) clientLimits() fleet.Limits {
	if config := g.State.View().Config; config != nil {
		return config.Limits
	}
	return fleet.Limits{}
}
