// Package hedge decides when a request that is not answered yet is sent to a second backend
// server, and to which one. A few slow answers of single servers are cut by it; where
// servers are busy, extra work would make more answers slow, so that none is sent. The
// package does no I/O and takes load, latencies, time and randomness as arguments.
package hedge

import (
	"cmp"
	"math/rand/v2"
	"time"

	"hyssoploom/placing"
)

const (
	// maxTail is the largest share of answers that are slower than the first delay.
	maxTail = 0.5
	// minAnswers is the number of answers in the last minute from which the latencies of a
	// service or route are a distribution. It takes 1/share answers to know which latency a
	// share of them exceeds.
	minAnswers = 20
	// minRouteAnswers is the number of answers on the route itself from which its requests
	// are known to be answered as fast as those of the service.
	minRouteAnswers = 2
	// ExtraWindow is the window in which the second attempts of a service stay within its
	// extra share. It is long enough that the share of a few requests a second is several
	// second attempts, of which little is lost by rounding down.
	ExtraWindow = 5 * time.Minute
	// maxUtilization is the share of slots in use from which no second attempts are sent.
	// Redundant requests lengthen the tail from a utilization between 0.25 and 0.5 on,
	// depending on the distribution (Vulimiri et al., Low Latency via Redundancy, CoNEXT
	// 2013).
	maxUtilization = 0.4
)

// Reason states why a second attempt is sent, or why not.
type Reason string

// The reasons.
const (
	// Sent means that a second attempt is sent.
	Sent Reason = "sent"
	// FirstEnded means that the first attempt has just ended.
	FirstEnded Reason = "first_ended"
	// Spent means that the extra share of the service is used up, and SpentRetries that the
	// retry budget is, except for what the requests in progress may need.
	Spent        Reason = "extra_share"
	SpentRetries Reason = "retry_budget"
	// Busy means that the servers have too little room.
	Busy Reason = "busy"
	// ServiceSlow means that the service as a whole is slow.
	ServiceSlow Reason = "service_slow"
	// NoServer means that no other server may take the request.
	NoServer Reason = "no_server"
	// NoGain means that the first attempt is expected to be answered before the second.
	NoGain Reason = "no_gain"
	// NoTime means that no answer is expected from another server before the deadline.
	NoTime Reason = "no_time"
)

// MayChange reports whether a later check of the same request may find another reason.
func (r Reason) MayChange() bool {
	return r == NoGain || r == NoServer || r.ByLoad()
}

// ByBudget reports whether an operator's limit is the reason.
func (r Reason) ByBudget() bool { return r == Spent || r == SpentRetries }

// ByLoad reports whether the state of the servers is the reason.
func (r Reason) ByLoad() bool { return r == Busy || r == ServiceSlow }

// Plan says when it is considered to send a second attempt, and for how much longer the
// first is then expected to take. A check
// that finds no gain or no room is followed by the next one.
type Plan []Check

// Check is one time at which a second attempt is considered.
type Check struct {
	// After is the time since the first attempt was sent.
	After time.Duration
	// Residual is the expected time to the answer: the median of what was left of recent
	// answers that took longer than After, or After itself if they were too few.
	Residual time.Duration
}

// Plan returns when second attempts of a route's requests are considered: when the first has
// taken longer than all but the given share of the service's recent answers, a half of that
// share, and so on, and then each time that its time has doubled. The first time is earlier
// if an answer of usual latency could not meet the objective otherwise (0 if there is none).
// The plan is empty if too little is known of the route, or if its answers are usually slower
// than that.
func (l *Latencies) Plan(now time.Time, route string, share float64, objective time.Duration) Plan {
	share = min(share, maxTail) // a delay below the usual latency would send most requests twice
	own := l.routes[route]
	if own == nil || share <= 0 {
		return nil
	}
	summary, _ := own.summarize(now, share)
	usual := summary.Median
	if summary.Count < minRouteAnswers {
		return nil
	}
	enough := max(minAnswers, int64(1/share))
	if summary.Count < enough {
		summary, _ = l.all.summarize(now, share)
	}
	if summary.Count < enough || usual > summary.Tails[0] {
		return nil
	}
	var plan Plan
	for i, after := range summary.Tails[:tailLevels-1] {
		if due := objective - summary.Median; i == 0 && objective > 0 && due > summary.Median {
			after = min(after, due)
		}
		plan = append(plan, Check{after, summary.Tails[i+1] - after})
	}
	end := maxLatency
	if objective > 0 {
		end = objective
	}
	for after := summary.Tails[tailLevels-1]; after <= end; after *= 2 {
		plan = append(plan, Check{after, after})
	}
	return plan
}

// Server is a backend server that has the first attempt or may take the second.
type Server struct {
	placing.Candidate
	DataCentre string
	// RoundTrip is the round-trip time to the server.
	RoundTrip time.Duration
	// Cold is set while the server is slow after its start.
	Cold bool
}

// Input describes a request whose first attempt has not been answered at a check.
type Input struct {
	Now time.Time
	Check
	// Remaining is the time to the deadline.
	Remaining time.Duration
	First     Server
	// Others are the servers that may take the request.
	Others []Server
	// ExtraLeft is what is left of the extra share, RetriesLeft of the retry budget, and
	// InProgress the number of requests that may yet need a retry.
	ExtraLeft, RetriesLeft, InProgress int
}

// Choose returns the index in in.Others of the server that gets the second attempt. It is
// -1 if none is sent, for the given reason.
func (l *Latencies) Choose(in *Input, rng *rand.Rand) (int, Reason) {
	switch {
	case in.ExtraLeft <= 0:
		return -1, Spent
	case in.RetriesLeft <= in.InProgress:
		return -1, SpentRetries
	case utilization(in) > maxUtilization:
		return -1, Busy
	case l.slowNow(in.Now, in.After):
		return -1, ServiceSlow
	}
	avoid := ""
	if placeIsSlow(in) {
		avoid = in.First.DataCentre
	}
	var candidates []placing.Candidate
	var indexes []int
	reason := Reason("")
	for i := range in.Others {
		s := &in.Others[i]
		switch {
		case s.Suspect, s.Cold, s.DataCentre == avoid, s.Slowness >= slowFactor:
		case s.Slots > 0 && float64(s.Running+1) > float64(s.Slots)*maxUtilization && s.Running > 0:
			reason = cmp.Or(reason, Busy)
		case l.expected(in.Now, s) > in.Remaining:
			reason = cmp.Or(reason, NoTime)
		case l.expected(in.Now, s) > in.Residual:
			reason = NoGain // a later check may find one
		default:
			candidates = append(candidates, s.Candidate)
			indexes = append(indexes, i)
		}
	}
	chosen := placing.Choose(candidates, 0, rng)
	if chosen < 0 {
		return -1, cmp.Or(reason, NoServer)
	}
	return indexes[chosen], Sent
}

// expected returns the usual latency of a server. Of one that has not answered this entry
// lately, the usual latency of the service is assumed, without the way to it: with it, the
// second attempts that cut the slowest answers of a near server would not be sent
// (docs/design/second-attempts.md).
func (l *Latencies) expected(now time.Time, s *Server) time.Duration {
	if l.all == nil {
		return maxLatency // nothing is known of the service
	}
	if known := l.Server(now, s.ID); known.Count > 0 {
		return known.Median + s.RoundTrip
	}
	all, _ := l.all.summarize(now, 0.5)
	return all.Median
}

// utilization returns the share of the servers' slots that are in use. Servers that do not
// state their slots count as having one more than are in use.
func utilization(in *Input) float64 {
	running, slots := 0, 0
	add := func(s *Server) {
		running += s.Running
		if s.Slots > 0 {
			slots += s.Slots
		} else {
			slots += s.Running + 1
		}
	}
	add(&in.First)
	for i := range in.Others {
		add(&in.Others[i])
	}
	return float64(running) / float64(slots)
}

// placeIsSlow reports whether the servers of the first attempt's data centre are slow by
// comparison, so that the place is the likely cause: more than half of them, at least two.
func placeIsSlow(in *Input) bool {
	slow, all := 0, 0
	count := func(s *Server) {
		if s.DataCentre == in.First.DataCentre {
			all++
			if s.Slowness >= slowFactor {
				slow++
			}
		}
	}
	count(&in.First)
	for i := range in.Others {
		count(&in.Others[i])
	}
	return slow >= 2 && 2*slow > all
}
