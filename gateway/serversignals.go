package gateway

import (
	"time"

	"hyssoploom/fleet"
)

const (
	// lastResortTime is how long a server that says it is leaving still gets requests that
	// no other server can take. It is shorter than the time that leaving servers allow.
	lastResortTime = time.Second
	// maxRefusal bounds how long a server is believed that it wants no requests.
	maxRefusal = 5 * time.Minute
	// returnSpread is the share of the time until a server takes requests again over which
	// callers are told to return, so that they do not come all at once; minReturnSpread is
	// the least such time.
	returnSpread    = 0.25
	minReturnSpread = 500 * time.Millisecond
)

// serverSignals holds what a backend server has said of itself in its responses. It is
// about one run of the server: a record in the store that shows another start of it, or the
// removal of its record, ends it. Otherwise it goes before the record, which may be older.
type serverSignals struct {
	startedAtMS int64
	// leavingSince is when the server first said that it is leaving; zero if it did not.
	leavingSince time.Time
	// refusesUntil is the end of the time for which the server wants no requests.
	refusesUntil time.Time
}

// of returns the signals if they are about the run of the server that the record shows.
func (s *serverSignals) of(server *fleet.BackendServer) serverSignals {
	if s.startedAtMS != server.StartedAtMS {
		return serverSignals{startedAtMS: server.StartedAtMS}
	}
	return *s
}

// observeSignals records what a server says of itself in a response.
func (g *Gateway) observeSignals(t *target, meta *ResponseMeta) {
	if !meta.Leaving && meta.RefusesFor <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	signals := t.load.signals.of(t.server)
	if meta.Leaving && signals.leavingSince.IsZero() {
		signals.leavingSince = now
		g.Metrics.Add("server_leaving", 1)
		g.Log.Info("A backend server says that it is leaving.", "server", t.server.ID)
	}
	if until := now.Add(min(meta.RefusesFor, maxRefusal)); meta.RefusesFor > 0 && until.After(signals.refusesUntil) {
		if now.After(signals.refusesUntil) {
			g.Metrics.Add("server_refusals", 1)
			g.Log.Info("A backend server wants no requests for a time.", "server", t.server.ID, "for", meta.RefusesFor.String())
		}
		signals.refusesUntil = until
	}
	t.load.signals = signals
}

// filterBySignals returns the servers that neither are leaving nor refuse requests. If there
// are none, it returns those that have just said that they are leaving; if there are none of
// these either, it sets the time until one takes requests again. The caller must hold g.mu.
func (c *clientRequest) filterBySignals(servers []*fleet.BackendServer, now time.Time) []*fleet.BackendServer {
	var willing, leaving []*fleet.BackendServer
	wait := time.Duration(0)
	for _, s := range servers {
		signals := c.g.load(s, c.service).signals.of(s)
		refusal := signals.refusesUntil.Sub(now)
		switch {
		case refusal > 0:
			if signals.leavingSince.IsZero() && (wait == 0 || refusal < wait) {
				wait = refusal
			}
		case signals.leavingSince.IsZero():
			willing = append(willing, s)
		case now.Sub(signals.leavingSince) < lastResortTime:
			leaving = append(leaving, s)
		}
	}
	c.refusedFor = 0
	switch {
	case len(willing) > 0:
		return willing
	case len(leaving) > 0:
		return leaving
	case wait > 0:
		spread := max(time.Duration(float64(wait)*returnSpread), minReturnSpread)
		c.refusedFor = wait + time.Duration(c.g.rng.Float64()*float64(spread))
	}
	return nil
}
