package admission

import "time"

const (
	// MaxEngineAhead is the most work that the entries keep in front of one engine: that of a
	// few prompts, so that engines do not run dry between two load reports. More would only
	// wait where the order can no longer be chosen.
	MaxEngineAhead = 800 * time.Millisecond
	// minEngineAhead is the least such work: what an engine does within two reports.
	minEngineAhead = 2 * reportAge
	// engineAheadShare is the part of the tightest objective that may be spent in front of an
	// engine; the rest is for reading the prompt and for the wait at the entry.
	engineAheadShare = 0.5
	// slotTaper is the share of an engine's slots over which its room shrinks to nothing.
	slotTaper = 0.1
	// plainAheadShare is the part of the tightest objective, less the time of an answer, that
	// may be spent in the queue of a plain server. The rest is for the way and for the wait at
	// the entry.
	plainAheadShare = 0.25
	// fullMargin is the part of the number of requests with which a plain server rejected
	// another one up to which it is filled: reports are late.
	fullMargin = 0.5
	// minSlowness bounds the speed of a server, as package speed does.
	minSlowness = 1.0 / 8
	// fullTime is how long such a rejection counts: longer than the load that caused it
	// usually lasts, and short against that of a changed server.
	fullTime = 10 * time.Second
)

// EngineAhead returns the work that the entries keep in front of one engine of a service with
// the given tightest objective, 0 if it has none.
func EngineAhead(objective time.Duration) time.Duration {
	if objective <= 0 {
		return MaxEngineAhead
	}
	return min(max(time.Duration(engineAheadShare*float64(objective)), minEngineAhead), MaxEngineAhead)
}

// EngineRoom returns how much of ahead is free at one engine, from 0 to 1. pending is the
// work in front of it, running the number of its requests and slots the number that can run
// at once, 0 if unknown.
func EngineRoom(pending, ahead time.Duration, running, slots int) float64 {
	room := 1 - float64(pending)/float64(ahead)
	if slots > 0 {
		room = min(room, float64(slots-running)/max(slotTaper*float64(slots), 1))
	}
	return min(max(room, 0), 1)
}

// PlainAhead returns the work that the entries keep in front of one slot of a plain server,
// with the answer that it is at: answer is the usual time of an answer and objective the
// tightest one of the service, 0 if it has none.
func PlainAhead(objective, answer time.Duration) time.Duration {
	if objective <= 0 {
		return answer + reportAge
	}
	return answer + max(time.Duration(plainAheadShare*float64(objective-answer)), 0)
}

// PlainWait returns the time until the answer of a request that starts when the servers are
// as full as they may be: the queue of one server is at times twice as long as it should be.
func PlainWait(ahead, answer time.Duration) time.Duration { return ahead + max(ahead-answer, 0) }

// PlainServer is a server without an engine: it runs a few requests at once, queues a few
// more and rejects others.
type PlainServer struct {
	// Running is the number of its requests from all entries, and Slots the number that run at
	// once.
	Running, Slots int
	// Slowness is the time that it takes relative to the median server.
	Slowness float64
	// Most is the number of requests that the server takes, 0 if it is not known.
	Most int
	// PerSecond is the number of requests per second that the server takes from all entries,
	// 0 without a limit.
	PerSecond float64
}

// Room returns the room of the server's slots, of which each has the given work in front of
// it when it is as full as it may be. answer is the time of an answer at the median server.
// A slot at that point has the room that it uses up within the age of a report, so that busy
// slots neither run dry nor get more than they do.
func (s *PlainServer) Room(ahead, answer time.Duration) float64 {
	if answer <= 0 || ahead <= 0 || s.Slots <= 0 || s.Most > 0 && s.Running >= s.Most {
		return 0
	}
	slots, slowness := float64(s.Slots), max(s.Slowness, minSlowness)
	allSlots := float64(answer) * slowness
	perRequest := allSlots / slots
	most := max(float64(ahead), allSlots)
	if s.Most > 0 {
		most = min(most, max(fullMargin*perRequest*float64(s.Most), allSlots))
	}
	free := float64(reportAge) + most - perRequest*float64(max(s.Running, 0))
	room := min(max(free/float64(ahead), 0), float64(reportAge+ahead)/float64(ahead)) * slots / slowness
	if s.PerSecond > 0 {
		room = min(room, s.PerSecond*answer.Seconds()*float64(reportAge)/float64(ahead))
	}
	return room
}

// Rejections remembers with how many requests a plain server has rejected others. The zero
// value remembers none.
type Rejections struct {
	running int
	at      time.Duration
}

// Observe records that a server with the given number of slots rejected a request while it
// had others, as the caller knew. What the caller knew is at times old, and mostly too low,
// so the largest number counts.
func (r *Rejections) Observe(now time.Duration, running, slots int) {
	if running = max(running, slots); running >= r.Most(now) {
		r.running, r.at = running, now
	}
}

// Most returns the number of requests that the server takes, 0 if it has not rejected one
// lately.
func (r *Rejections) Most(now time.Duration) int {
	if r.running == 0 || now-r.at > fullTime {
		return 0
	}
	return r.running
}
