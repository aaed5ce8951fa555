// Package release decides which version of a service serves a request during an
// operator's rollout, when a version counts as bad, and when the rollout is
// finished. It does no I/O and takes the time as an argument. Its types are not
// safe for concurrent use.
package release

import "time"

const (
	// peerUpdateMargin extends the idle timeout of a session by the delay of updates
	// from peers.
	peerUpdateMargin = time.Second
	// maxRunningTime is how long a request counts as running when no update reports
	// its end.
	maxRunningTime = 20 * time.Second
)

// SessionKey identifies a session of a service.
type SessionKey struct {
	Service string
	ID      uint64
}

// Session holds the version and the activity of a session.
type Session struct {
	// Version is the version that served the last request.
	Version string
	// LastActivity is when the last known request of the session began or
	// ended.
	LastActivity time.Time
	running      int
}

// Sessions records which version last served each session.
type Sessions struct {
	idleTimeout time.Duration
	byKey       map[SessionKey]*Session
}

// NewSessions returns an empty Sessions. A session ends when it is idle for
// idleTimeout.
func NewSessions(idleTimeout time.Duration) *Sessions {
	return &Sessions{idleTimeout: idleTimeout, byKey: make(map[SessionKey]*Session)}
}

// SetIdleTimeout changes the idle time that ends a session.
func (s *Sessions) SetIdleTimeout(idleTimeout time.Duration) { s.idleTimeout = idleTimeout }

// Begin records the start of a request of a session on a version.
func (s *Sessions) Begin(now time.Time, key SessionKey, version string) {
	session := s.byKey[key]
	if session == nil {
		session = &Session{}
		s.byKey[key] = session
	}
	session.Version, session.LastActivity = version, now
	session.running++
}

// End records the end of a request of a session.
func (s *Sessions) End(now time.Time, key SessionKey) {
	if session := s.byKey[key]; session != nil {
		session.running = max(session.running-1, 0)
		session.LastActivity = now
	}
}

// BoundVersion returns the version that serves a session. ok is false when the
// session has ended or is unknown.
func (s *Sessions) BoundVersion(now time.Time, key SessionKey) (version string, ok bool) {
	session := s.byKey[key]
	if session == nil || !s.live(now, session) {
		return "", false
	}
	return session.Version, true
}

func (s *Sessions) live(now time.Time, session *Session) bool {
	limit := s.idleTimeout + peerUpdateMargin
	if session.running > 0 {
		limit = maxRunningTime
	}
	return now.Sub(session.LastActivity) <= limit
}

// ForEachLive calls f with the key and version of each session that has not ended.
func (s *Sessions) ForEachLive(now time.Time, f func(SessionKey, string)) {
	for key, session := range s.byKey {
		if s.live(now, session) {
			f(key, session.Version)
		}
	}
}

// RemoveExpired deletes the sessions that have ended.
func (s *Sessions) RemoveExpired(now time.Time) {
	for key, session := range s.byKey {
		if !s.live(now, session) {
			delete(s.byKey, key)
		}
	}
}
