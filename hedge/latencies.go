package hedge

import "time"

const (
	// slowFactor is the slowness from which a server is slow. Servers of one service differ in
	// speed by less.
	slowFactor = 2
)

// Latencies holds the latencies of one service's answers, by route and by server, as one
// entry has seen them in the last minute. It is bounded by the numbers of routes and
// servers, and is not safe for concurrent use.
type Latencies struct {
	all     *window
	routes  map[string]*window
	servers map[string]*window // without the round trip to the server
}

// NewLatencies returns latencies without observations.
func NewLatencies() *Latencies {
	return &Latencies{routes: make(map[string]*window), servers: make(map[string]*window)}
}

// Observe records the time that a server took for an answer. roundTrip is the part of it that
// the way to the server takes.
func (l *Latencies) Observe(now time.Time, route, server string, took, roundTrip time.Duration) {
	if l.all == nil {
		l.all = newWindow(now)
	}
	l.all.observe(now, took)
	observeIn(l.routes, route, now, took)
	observeIn(l.servers, server, now, took-roundTrip)
}

// ObserveUnanswered records that an attempt was ended when its server had not answered for the
// given time: another attempt was answered first, the client left, or its deadline passed. The
// answer would have taken longer. This is known to be slow only if half of the answers take
// less time; otherwise it shows nothing, as when clients leave at once.
func (l *Latencies) ObserveUnanswered(now time.Time, route, server string, waited, roundTrip time.Duration) {
	usual := l.all.median(now)
	if usual == 0 {
		return // nothing is known of the service
	}
	observe := func(windows map[string]*window, key string, waited time.Duration) {
		known := windows[key].median(now)
		if known == 0 {
			known = usual
		}
		if waited >= known {
			observeIn(windows, key, now, waited)
		}
	}
	observe(l.servers, server, waited-roundTrip)
	observe(l.routes, route, waited)
	if waited >= usual {
		l.all.observe(now, waited)
	}
}

func observeIn(windows map[string]*window, key string, now time.Time, latency time.Duration) {
	w := windows[key]
	if w == nil {
		w = newWindow(now)
		windows[key] = w
	}
	w.observe(now, latency)
}

// Retain forgets the routes and servers for which keep returns false.
func (l *Latencies) Retain(keepRoute, keepServer func(name string) bool) {
	for name := range l.routes {
		if !keepRoute(name) {
			delete(l.routes, name)
		}
	}
	for id := range l.servers {
		if !keepServer(id) {
			delete(l.servers, id)
		}
	}
}

// Server returns the latencies of a server without the round trip. Its count is 0 if
// nothing is known.
func (l *Latencies) Server(now time.Time, id string) Summary {
	w := l.servers[id]
	if w == nil {
		return Summary{}
	}
	all, _ := w.summarize(now, 0.5)
	return all
}

// slowNow reports whether more than half of the servers recently took as long as limit for
// half of their answers: the service as a whole is slow, and another server would not be
// faster.
func (l *Latencies) slowNow(now time.Time, limit time.Duration) bool {
	slow, known := 0, 0
	for _, w := range l.servers {
		_, recent := w.summarize(now, 0.5)
		if recent.Count == 0 {
			continue
		}
		known++
		if recent.Median >= limit {
			slow++
		}
	}
	return 2*slow > known
}
