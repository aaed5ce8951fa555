// Package release decides which version of a service serves a request while an
// operator's roll-out is under way, when a version counts as bad, and when the
// roll-out is finished. It is pure: time is an argument. Its types are not safe
// for concurrent use.
package release

import "time"

const (
	// sessionMargin is added to the pause that ends a session, for news of peers on
	// their way.
	sessionMargin = time.Second
	// longestUse is how long a use counts as running without news of its end.
	longestUse = 20 * time.Second
)

// SessionKey names a session of a service.
type SessionKey struct {
	Service string
	ID      uint64
}

// Session is what is known of the uses of a session.
type Session struct {
	// Version served the last use.
	Version string
	// Last is when the last known use began or ended.
	Last    time.Time
	running int
}

// Sessions remembers which version served each session last.
type Sessions struct {
	pause time.Duration
	byKey map[SessionKey]*Session
}

// NewSessions returns an empty memory. A session ends after a pause without use.
func NewSessions(pause time.Duration) *Sessions {
	return &Sessions{pause: pause, byKey: make(map[SessionKey]*Session)}
}

// SetIdleTimeout changes the pause that ends a session.
func (s *Sessions) SetIdleTimeout(pause time.Duration) { s.pause = pause }

// Begin notes that a use of a session begins on a version.
func (s *Sessions) Begin(now time.Time, key SessionKey, version string) {
	session := s.byKey[key]
	if session == nil {
		session = &Session{}
		s.byKey[key] = session
	}
	session.Version, session.Last = version, now
	session.running++
}

// End notes that a use of a session has ended.
func (s *Sessions) End(now time.Time, key SessionKey) {
	if session := s.byKey[key]; session != nil {
		session.running = max(session.running-1, 0)
		session.Last = now
	}
}

// BoundVersion returns the version that serves a session; ok is false when the session
// has ended or was never seen.
func (s *Sessions) BoundVersion(now time.Time, key SessionKey) (version string, ok bool) {
	session := s.byKey[key]
	if session == nil || !s.live(now, session) {
		return "", false
	}
	return session.Version, true
}

func (s *Sessions) live(now time.Time, session *Session) bool {
	limit := s.pause + sessionMargin
	if session.running > 0 {
		limit = longestUse
	}
	return now.Sub(session.Last) <= limit
}

// ForEachLive calls f for each session that has not ended.
func (s *Sessions) ForEachLive(now time.Time, f func(SessionKey, string)) {
	for key, session := range s.byKey {
		if s.live(now, session) {
			f(key, session.Version)
		}
	}
}

// RemoveExpired drops the sessions that have ended.
func (s *Sessions) RemoveExpired(now time.Time) {
	for key, session := range s.byKey {
		if !s.live(now, session) {
			delete(s.byKey, key)
		}
	}
}
