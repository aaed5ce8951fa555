package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/backend"
	"hyssoploom/fleet"
	"hyssoploom/internal/liveness"
	"hyssoploom/peers"
)

// The record of a server says whether it is cold. While the store is away there are no new
// records, and soon after the end of a process there is none of the next one. Entries then go
// by what they observe: a process whose end is seen starts cold, and health answers state for
// how long a server remains cold. What one entry learns it tells its peers, as the limit of a
// cold server holds for all of them together.

const (
	// coldCheckInterval is the interval at which a server is asked for its coldness while the
	// store is away. Records are written as often.
	coldCheckInterval = 1200 * time.Millisecond
	// coldEndMargin is how long before the end of its cold time a server is asked again.
	coldEndMargin = 150 * time.Millisecond
	// endedCheckInterval is the interval at which a server whose process has ended is asked. It
	// grows with the time since then, up to coldCheckInterval.
	endedCheckInterval = 300 * time.Millisecond
	// healthTimeout limits one health request. It may wait for a slot, which says nothing.
	healthTimeout = 500 * time.Millisecond
	// endedTakeover is the time after which another entry asks such a server, in case the one
	// that saw its end has ended too.
	endedTakeover = 5 * time.Second
	// coldWatchInterval is the interval at which servers are looked for that have to be asked.
	coldWatchInterval = 100 * time.Millisecond
	// recordDelay is the time that a record may take to arrive here. Records that arrive later
	// than that after an observation are newer.
	recordDelay = time.Second
	// minStoreLoss is how long the store has to be lost before servers are asked: single calls
	// fail while it is slow.
	minStoreLoss = 300 * time.Millisecond
)

// coldState is what has been observed of the coldness of a server since its record.
type coldState struct {
	// startedAtMS is the start of the server that its record stated.
	startedAtMS int64
	// observedAt is the time of the observation, zero if there is none.
	observedAt time.Time
	// ended means that the process of the server has ended, and until is the end of the cold
	// time otherwise. refused means that nothing listened any more: a server that only closes
	// connections may have too many of them. own means that this entry finds out when the
	// server is back.
	ended, refused, own bool
	until               time.Time
	// checkedAt is the time of the last health request, and checking means that it has not
	// been answered.
	checkedAt time.Time
	checking  bool
}

// holds reports whether the observation is newer than the record of the server.
func (c *coldState) holds(s *fleet.BackendServer) bool {
	return !c.observedAt.IsZero() && c.startedAtMS == s.StartedAtMS && s.ReceivedAt.Before(c.observedAt.Add(recordDelay))
}

// coldAt reports whether a server is cold.
func (c *coldState) coldAt(s *fleet.BackendServer, now time.Time) bool {
	if !c.holds(s) {
		return s.ColdAt(now)
	}
	return c.ended || now.Before(c.until)
}

// coldEnd returns the end of the cold time of a server as far as it is known.
func (c *coldState) coldEnd(s *fleet.BackendServer) time.Time {
	if !c.holds(s) {
		return s.ReceivedAt.Add(s.ColdRemaining)
	}
	return c.until
}

// observe records how long a server remains cold, and reports whether that is new for others.
func (c *coldState) observe(s *fleet.BackendServer, now time.Time, cold time.Duration) bool {
	isNew := c.coldAt(s, now) || cold > 0
	c.startedAtMS, c.observedAt, c.ended, c.until = s.StartedAtMS, now, false, now.Add(cold)
	return isNew
}

// observeEnd records that the process of a server has ended, and reports whether that is new.
func (c *coldState) observeEnd(s *fleet.BackendServer, now time.Time, refused, own bool) bool {
	if c.holds(s) && c.ended {
		c.refused = c.refused || refused
		return false
	}
	c.startedAtMS, c.observedAt, c.ended, c.refused, c.own = s.StartedAtMS, now, true, refused, own
	return true
}

// beginCheck reports whether a server may be asked that was not asked for an interval.
func (c *coldState) beginCheck(now time.Time, interval time.Duration) bool {
	if c.checking || now.Sub(c.checkedAt) < interval {
		return false
	}
	c.checking, c.checkedAt = true, now
	return true
}

// isCold reports whether a server is cold. The caller must hold g.mu.
func (g *Gateway) isCold(s *fleet.BackendServer, now time.Time) bool {
	if l := g.loads[s.ID]; l != nil {
		return l.cold.coldAt(s, now)
	}
	return s.ColdAt(now)
}

// noteConnectionEnd records the end of the process of a server if an attempt failed because of
// it.
func (c *clientRequest) noteConnectionEnd(t target, err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if err == nil || c.service.ColdRate <= 0 || !refused && !isConnectionEnd(err) {
		return
	}
	g, limit := c.g, c.connectionLimit()
	go func() {
		ctx := context.Background()
		refused := refused || g.hasCrashed(ctx, t, limit)
		if !refused && !g.closesAtOnce(ctx, t, limit) {
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.recordEnd(t.server, &t.load.cold, time.Now(), refused)
	}()
}

// closesAtOnce checks whether the server of a failed attempt closes new connections, unless it is
// being checked.
func (g *Gateway) closesAtOnce(ctx context.Context, t target, limit int) bool {
	g.mu.Lock()
	due := t.load.cold.beginCheck(time.Now(), crashCheckInterval)
	g.mu.Unlock()
	if !due {
		return false
	}
	closes := g.Pool.ClosesAtOnce(ctx, t.server.Address, limit)
	g.mu.Lock()
	defer g.mu.Unlock()
	t.load.cold.checking = false
	return closes
}

// noteContact records that a server has answered a request that was sent at sentAt. One whose
// process had ended is back, and counts as cold until it says for how long.
func (g *Gateway) noteContact(t *target, service *fleet.Service, sentAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := &t.load.cold
	if !state.ended || !state.holds(t.server) || sentAt.Before(state.observedAt) {
		return
	}
	now := time.Now()
	g.recordCold(t.server, state, now, service.ColdStart)
	if state.beginCheck(now, 0) {
		go g.checkCold(t.server, service, state)
	}
}

// recordEnd records that the process of a server has ended, and informs the peers. The caller
// must hold g.mu.
func (g *Gateway) recordEnd(s *fleet.BackendServer, state *coldState, now time.Time, refused bool) {
	if !state.observeEnd(s, now, refused, true) {
		return
	}
	g.Metrics.Add("server_ended", 1)
	g.Log.Info("The process of a backend server has ended; the next one counts as cold.", "server", s.ID,
		"started_at_ms", s.StartedAtMS, "refused", refused)
	g.broadcastCold(peers.ColdServer{Server: s.ID, StartedAtMS: s.StartedAtMS, Ended: true})
}

// recordCold records how long a server remains cold, and informs the peers. The caller must
// hold g.mu.
func (g *Gateway) recordCold(s *fleet.BackendServer, state *coldState, now time.Time, cold time.Duration) {
	known := state.coldEnd(s)
	if !state.observe(s, now, cold) {
		return
	}
	if until := now.Add(cold); until.Sub(known).Abs() > coldEndMargin {
		g.Log.Info("A backend server is cold, by its own account.", "server", s.ID, "for", cold.String(),
			"known_for", max(known.Sub(now), 0).String(), "record_age_ms", now.Sub(s.ReceivedAt).Milliseconds())
	}
	g.broadcastCold(peers.ColdServer{Server: s.ID, StartedAtMS: s.StartedAtMS, RemainingMS: cold.Milliseconds()})
}

func (g *Gateway) broadcastCold(c peers.ColdServer) {
	g.hub.Broadcast(func(_ fleet.Peer, m *peers.Message) { m.PutColdServer(c) })
}

// checkCold asks a server how long it remains cold.
func (g *Gateway) checkCold(s *fleet.BackendServer, service *fleet.Service, state *coldState) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	g.Metrics.Add("cold_checks", 1)
	var health ServerHealth
	err := liveness.Connect(ctx, func(ctx context.Context) (err error) {
		health, err = g.askHealth(ctx, s, service)
		return err
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	state.checking = false
	now := time.Now()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		g.recordEnd(s, state, now, true)
	case err != nil:
	case health.ServerID != "" && health.ServerID != s.ID:
		if l := g.loads[s.ID]; l != nil {
			l.staleAddress = s.Address
		}
	case health.ColdKnown:
		g.recordCold(s, state, now, health.ColdFor)
	case state.ended && state.refused:
		g.recordCold(s, state, now, service.ColdStart)
	case state.ended:
		g.recordCold(s, state, now, 0)
	}
}

// askHealth makes one health request.
func (g *Gateway) askHealth(ctx context.Context, s *fleet.BackendServer, service *fleet.Service) (ServerHealth, error) {
	response, err := g.Pool.Exchange(ctx, s.Address, g.connectionLimit(service), &backend.Request{
		Method: http.MethodGet, Target: service.HealthPath, Host: s.Address, Header: make(http.Header),
		MatchesResponse: func(http.Header) bool { return true },
	})
	if err != nil {
		return ServerHealth{}, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxReportBytes))
	return g.Protocol.ReadHealth(response.Header), err
}

// watchColdServers asks servers for their coldness until ctx is done: those whose process has
// ended, and all while the store is away.
func (g *Gateway) watchColdServers(ctx context.Context) {
	var duty askDuty
	for ctx.Err() == nil {
		sleep(ctx, coldWatchInterval)
		view := g.State.View()
		if view.Config == nil {
			continue
		}
		away := g.serversUnknown()
		g.mu.Lock()
		now := time.Now()
		asks := func(s *fleet.BackendServer) bool { return duty.asks(now, &g.Self, g.hub.LivePeers, s) }
		for _, s := range view.Servers {
			service := view.Config.Services[s.Service]
			if service == nil || service.ColdRate <= 0 || service.HealthPath == "" || s.Draining {
				continue
			}
			l := g.loads[s.ID]
			if l == nil {
				if !away {
					continue
				}
				l = g.load(s, service)
			}
			if interval, due := coldCheckDue(&l.cold, s, now, away, asks); due && l.cold.beginCheck(now, interval) {
				go g.checkCold(s, service, &l.cold)
			}
		}
		g.mu.Unlock()
	}
}

// coldCheckDue reports whether this entry has to ask a server, unless it has asked it within an
// interval. away means that the store is, and asks that it is for this entry to ask a server.
func coldCheckDue(state *coldState, s *fleet.BackendServer, now time.Time, away bool, asks func(*fleet.BackendServer) bool) (interval time.Duration, due bool) {
	ended := state.ended && state.holds(s)
	endedFor := now.Sub(state.observedAt)
	switch {
	case ended && state.own:
	case !away && !(ended && endedFor >= endedTakeover) || !asks(s):
		return 0, false
	}
	if ended {
		return min(max(endedCheckInterval, endedFor/4), coldCheckInterval), true
	}
	if left := state.coldEnd(s).Sub(now); left > 0 && left < coldEndMargin {
		return coldEndMargin, true
	}
	return coldCheckInterval, true
}

// serversUnknown reports whether the copy of the servers can no longer be compared with the
// store. Its age does not show that: in a small fleet it passes two waits of a watch.
func (g *Gateway) serversUnknown() bool { return g.ServersFresh.LostFor() >= minStoreLoss }

// askDuty decides which entry asks a server while the store is away: one of the server's
// region, if any is there, chosen by a hash, so that the entries share the work.
type askDuty struct {
	at        time.Time // when the peers were last looked at
	self      uint64    // hash of the name of this entry
	peers     []rankedPeer
	decisions map[string]bool // by server id
}

type rankedPeer struct {
	region string
	hash   uint64
}

// asks reports whether this entry asks a server.
func (d *askDuty) asks(now time.Time, self *fleet.Peer, live func() []fleet.Peer, s *fleet.BackendServer) bool {
	if now.Sub(d.at) >= coldCheckInterval {
		*d = askDuty{at: now, self: xxhash.Sum64String(self.Name), decisions: make(map[string]bool)}
		for _, p := range live() {
			d.peers = append(d.peers, rankedPeer{p.Region, xxhash.Sum64String(p.Name)})
		}
	}
	first, decided := d.decisions[s.ID]
	if !decided {
		first = d.isFirst(self.Region, s)
		d.decisions[s.ID] = first
	}
	return first
}

func (d *askDuty) isFirst(ownRegion string, s *fleet.BackendServer) bool {
	server := xxhash.Sum64String(s.ID)
	near, own := ownRegion == s.Region, rankHash(d.self, server)
	for _, p := range d.peers {
		switch peerNear := p.region == s.Region; {
		case peerNear != near:
			if peerNear {
				return false
			}
		case rankHash(p.hash, server) > own:
			return false
		}
	}
	return true
}

// rankHash mixes two hashes.
func rankHash(entry, server uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	h := (entry ^ server) * odd
	return (h ^ h>>32) * odd
}

// receiveCold applies what a peer has observed of the coldness of servers. The caller must hold
// g.mu.
func (g *Gateway) receiveCold(now time.Time, view *fleet.View, m *peers.Message) {
	for _, c := range m.ColdServers {
		s := view.Servers[c.Server]
		l := g.registeredLoad(view, c.Server)
		switch {
		case l == nil || s.StartedAtMS != c.StartedAtMS: // another process
		case c.Ended:
			l.cold.observeEnd(s, now, true, false)
		default:
			l.cold.observe(s, now, time.Duration(c.RemainingMS)*time.Millisecond)
		}
	}
}

// addCold adds what has been observed of cold servers to the initial state for a peer. The
// caller must hold g.mu.
func (g *Gateway) addCold(m *peers.Message) {
	now := time.Now()
	for id, s := range g.State.View().Servers {
		l := g.loads[id]
		if l == nil || !l.cold.holds(s) || !l.cold.coldAt(s, now) {
			continue
		}
		c := peers.ColdServer{Server: id, StartedAtMS: s.StartedAtMS, Ended: l.cold.ended}
		if !c.Ended {
			c.RemainingMS = l.cold.until.Sub(now).Milliseconds()
		}
		m.ColdServers = append(m.ColdServers, c)
	}
}
