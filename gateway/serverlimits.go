package gateway

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/fleet"
	"hyssoploom/peers"
)

const (
	// limitRankEpoch is the time after which the ranks of the entries at a limited server
	// change, and evenRankEpochs the number of epochs of which one does not prefer the
	// entries near the server.
	limitRankEpoch = 4 * time.Second
	evenRankEpochs = 4
	// limitReportInterval is the interval at which the peers are told again of a limit that
	// has not changed.
	limitReportInterval = 5 * time.Second
	// maxUpdateDelay is the usual longest delay of updates from peers.
	maxUpdateDelay = 250 * time.Millisecond
)

// observeLimit records the limit that a server names in its response to a request that was
// sent at sentAt.
func (g *Gateway) observeLimit(t *target, meta *ResponseMeta, sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	limit := peers.ServerLimit{Server: t.server.ID, PerSecond: meta.RequestsPerSecond, Lifted: !meta.Limited,
		Sent: g.serverLimiter.Total(now, t.server.ID)}
	if limit.Lifted {
		if !g.serverLimiter.Lift(t.server.ID, sentAt) {
			return
		}
		g.Metrics.Add("server_limit_changes", 1)
		g.Log.Info("A backend server names no limit any more.", "server", t.server.ID)
	} else {
		changed := g.serverLimiter.Name(now, t.server.ID, meta.RequestsPerSecond)
		if !changed && now.Sub(t.load.limitReportedAt) < limitReportInterval {
			return
		}
		if changed {
			g.Metrics.Add("server_limit_changes", 1)
			g.Log.Info("A backend server names a limit.", "server", t.server.ID, "per_second", meta.RequestsPerSecond)
		}
	}
	t.load.limitReportedAt = now
	g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.PutServerLimit(limit) })
}

// filterByLimit returns the servers that are below the limits that they name. If there are
// none, it sets the time until one of them may take a request again. The caller must hold
// g.mu.
func (c *clientRequest) filterByLimit(servers []*fleet.BackendServer, now time.Time) []*fleet.BackendServer {
	var live []fleet.Peer
	var below []*fleet.BackendServer
	for _, s := range servers {
		if _, limited := c.g.serverLimiter.PerSecond(now, s.ID); limited {
			if live == nil {
				live = append(c.g.hub.LivePeers(), c.g.Self)
			}
			if !c.g.serverLimiter.Allow(now, s.ID, c.g.limitRank(now, s, live), len(live)) {
				continue
			}
		}
		below = append(below, s)
	}
	if len(below) > 0 {
		return below
	}
	for _, s := range servers {
		if interval := max(c.g.serverLimiter.Interval(s.ID), transientRetryAfter); c.limitedFor == 0 || interval < c.limitedFor {
			c.limitedFor = interval
		}
	}
	return nil
}

// limitRank returns the rank of this entry among the live entries at a limited server. The
// ranks change over time, so that each entry gets its turn; mostly the entries near the
// server come first, whose requests cost the least there.
func (g *Gateway) limitRank(now time.Time, server *fleet.BackendServer, live []fleet.Peer) int {
	epoch := now.Unix() / int64(limitRankEpoch/time.Second)
	l := g.loads[server.ID]
	if l != nil && l.limitRankEpoch == epoch {
		return min(l.limitRank, len(live)-1)
	}
	salt := server.ID + "/" + strconv.FormatInt(epoch, 10) + "/"
	position := func(p fleet.Peer) (distance int, hash uint64) {
		switch {
		case epoch%evenRankEpochs == 0 || p.DataCentre == server.DataCentre:
		case p.Region == server.Region:
			distance = 1
		default:
			distance = 2
		}
		return distance, xxhash.Sum64String(salt + p.Name)
	}
	ownDistance, ownHash := position(g.Self)
	rank := 0
	for _, p := range live {
		if distance, hash := position(p); distance < ownDistance || distance == ownDistance && hash < ownHash {
			rank++
		}
	}
	if l != nil {
		l.limitRank, l.limitRankEpoch = rank, epoch
	}
	return rank
}

// recordLimitedSend counts a request to a server that names a limit, and reports it to the
// peers. The caller must hold g.mu.
func (g *Gateway) recordLimitedSend(now time.Time, server string) {
	if !g.serverLimiter.RecordSent(now, server) {
		return
	}
	g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.AddServerSends(peers.ServerSends{Server: server, Count: 1}) })
}

// receiveLimits applies what a peer has observed. The caller must hold g.mu.
func (g *Gateway) receiveLimits(now time.Time, m *peers.Message) {
	for _, limit := range m.ServerLimits {
		if limit.Lifted {
			// An answer that names the limit may have arrived here after the peer's.
			g.serverLimiter.Lift(limit.Server, now.Add(-maxUpdateDelay))
		} else {
			g.serverLimiter.Name(now, limit.Server, limit.PerSecond)
			g.serverLimiter.RecordTotal(now, limit.Server, limit.Sent)
		}
	}
	for _, sends := range m.ServerSends {
		g.serverLimiter.RecordReported(now, sends.Server, sends.Count)
	}
}

// addLimits adds the limits to the initial state for a peer. The caller must hold g.mu.
func (g *Gateway) addLimits(m *peers.Message) {
	now := time.Now()
	g.serverLimiter.ForEach(now, func(server string, perSecond float64) {
		m.PutServerLimit(peers.ServerLimit{Server: server, PerSecond: perSecond, Sent: g.serverLimiter.Total(now, server)})
	})
}
