package limits

import "time"

const (
	// serverLimitWindow is the time over which the requests to a server are counted
	// against the limit that it names.
	serverLimitWindow = 4 * time.Second
	// serverLimitRetention is how long a limit holds without an answer that names it.
	serverLimitRetention = 30 * time.Second
	// reportDelay is the longest usual delay until entries know of each other's requests.
	reportDelay = 200 * time.Millisecond
	// concurrentSends is how many requests beyond what is left the entries may send within
	// reportDelay. Servers tolerate five requests over their limit in a window.
	concurrentSends = 2
)

// ServerLimiter keeps the requests of all entries to a backend server within the limit
// that the server names. The entries report their requests to each other. What one of them
// may send depends on what is left of the limit and, within the delay of the reports, on its
// rank among the entries.
type ServerLimiter struct {
	servers map[string]*serverLimit
}

type serverLimit struct {
	perSecond float64
	namedAt   time.Time
	sent      *Window // by all entries
	recent    *Window // by this entry; the others may not know of these requests yet
}

// NewServerLimiter returns a limiter that knows no limits.
func NewServerLimiter() *ServerLimiter { return &ServerLimiter{servers: make(map[string]*serverLimit)} }

// Name records that a server takes perSecond requests per second from all entries. It
// reports whether that is new.
func (l *ServerLimiter) Name(now time.Time, server string, perSecond float64) (changed bool) {
	s := l.servers[server]
	if s == nil {
		s = &serverLimit{sent: NewWindow(serverLimitWindow), recent: NewWindow(reportDelay), perSecond: -1}
		l.servers[server] = s
	}
	changed = s.perSecond != perSecond
	s.perSecond, s.namedAt = perSecond, now
	return changed
}

// Lift records that a server has answered a request that was sent at sentAt without naming a
// limit. Answers to requests from before the limit was last named do not count. It reports
// whether the limit is lifted.
func (l *ServerLimiter) Lift(server string, sentAt time.Time) bool {
	s := l.servers[server]
	if s == nil || !sentAt.After(s.namedAt) {
		return false
	}
	delete(l.servers, server)
	return true
}

// PerSecond returns the limit that a server names. ok is false if it names none.
func (l *ServerLimiter) PerSecond(now time.Time, server string) (perSecond float64, ok bool) {
	s := l.servers[server]
	if s == nil || now.Sub(s.namedAt) > serverLimitRetention {
		return 0, false
	}
	return s.perSecond, true
}

// Allow reports whether this entry may send a request to a server now. rank is the position
// of this entry among the entries that share the limit, from 0; entries is their number.
func (l *ServerLimiter) Allow(now time.Time, server string, rank, entries int) bool {
	if _, limited := l.PerSecond(now, server); !limited {
		return true
	}
	s := l.servers[server]
	sent, recent := s.sent.AtMost(now), s.recent.AtMost(now)
	if sent >= s.total() {
		return false
	}
	left := s.total() - (sent - recent) // as the other entries see it
	quota := 0
	switch {
	case left > rank:
		quota = 1 + (left-1-rank)/max(entries, 1)
	case left > 0 && rank < left+concurrentSends:
		quota = 1
	}
	return recent < quota
}

// total returns the number of requests that all entries may send in the time that
// Window.AtMost covers for serverLimitWindow; it is 1 at least, so that a server that takes
// more again is noticed.
func (s *serverLimit) total() int {
	const covered = serverLimitWindow * (windowBuckets + 2) / windowBuckets
	return max(int(s.perSecond*covered.Seconds()), 1)
}

// RecordSent counts a request of this entry and reports whether the server names a limit,
// so that the other entries have to learn of it.
func (l *ServerLimiter) RecordSent(now time.Time, server string) bool {
	if _, limited := l.PerSecond(now, server); !limited {
		return false
	}
	s := l.servers[server]
	s.sent.Add(now, 1)
	s.recent.Add(now, 1)
	return true
}

// RecordReported counts n requests that another entry has reported.
func (l *ServerLimiter) RecordReported(now time.Time, server string, n int) {
	if s := l.servers[server]; s != nil && n > 0 {
		s.sent.Add(now, n)
	}
}

// RecordTotal records that another entry knows of n requests of all entries within the
// window. A process that has just started learns of those of its predecessor by it.
func (l *ServerLimiter) RecordTotal(now time.Time, server string, n int) {
	if s := l.servers[server]; s != nil {
		l.RecordReported(now, server, n-s.sent.AtMost(now))
	}
}

// Total returns the number of requests of all entries within the window.
func (l *ServerLimiter) Total(now time.Time, server string) int {
	if s := l.servers[server]; s != nil {
		return s.sent.AtMost(now)
	}
	return 0
}

// ForEach calls f with each limited server and its limit.
func (l *ServerLimiter) ForEach(now time.Time, f func(server string, perSecond float64)) {
	for server := range l.servers {
		if perSecond, limited := l.PerSecond(now, server); limited {
			f(server, perSecond)
		}
	}
}

// Interval returns the mean time between the requests that a server takes.
func (l *ServerLimiter) Interval(server string) time.Duration {
	s := l.servers[server]
	if s == nil {
		return 0
	}
	return serverLimitWindow / time.Duration(s.total())
}

// Retain forgets the servers for which keep returns false and the limits that have not been
// named for long.
func (l *ServerLimiter) Retain(now time.Time, keep func(server string) bool) {
	for server := range l.servers {
		if _, limited := l.PerSecond(now, server); !limited || !keep(server) {
			delete(l.servers, server)
		}
	}
}
