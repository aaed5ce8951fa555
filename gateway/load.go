package gateway

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/admission"
	"hyssoploom/fleet"
	"hyssoploom/peers"
	"hyssoploom/room"
)

const (
	// suspectDuration is how long a server is avoided after a failed connection.
	suspectDuration = 1500 * time.Millisecond
	// prefixCacheShare is the share of an engine's cache capacity that is assumed to
	// hold prompts.
	prefixCacheShare = 0.7
	// largestModelPrefillRate is the prefill rate of the largest model in prompt tokens
	// per millisecond. The rates of smaller models are higher in inverse proportion to
	// their cost.
	largestModelPrefillRate = 20.0
	// minRelativeCost is a lower bound of relativeCost; it limits the estimated speed
	// of small models.
	minRelativeCost = 0.1
)

// load is this entry's estimate of the work at one backend server.
type load struct {
	pending time.Duration // prefill time of requests whose response has not begun
	running int           // requests that have not finished
	// remote holds the load reported by other entries, by name; remotePending and
	// remoteRunning are its sums.
	remote        map[string]peers.Load
	remotePending time.Duration
	remoteRunning int
	// held is the memory in tokens that this entry's unfinished requests take at an engine,
	// and remoteHeld what the other entries report; sends holds this entry's recent ones.
	// They are kept only under pressure.
	held, remoteHeld int64
	sends            room.Sends
	// crossRegionHeld is the memory last reported to peers in other regions.
	crossRegionHeld int64
	// crossRegionPending is the pending work last reported to peers in other regions.
	crossRegionPending time.Duration
	// suspectUntil is set when a connection fails.
	suspectUntil time.Time
	// unproven is set when a connection fails, until the server answers again.
	unproven bool
	// boundLoggedAt is when a bound that the server exceeded was last logged.
	boundLoggedAt time.Time
	// limitRank is this entry's rank among those that share the server's limit, and
	// limitRankEpoch the epoch for which it holds.
	limitRank      int
	limitRankEpoch int64
	// limitReportedAt is when the peers were last told of the server's limit.
	limitReportedAt time.Time
	// crashCheck is the last check whether the server has crashed; nil before the first.
	crashCheck *crashCheck
	// crossRegionRunning is the number of requests last reported to peers in other regions.
	crossRegionRunning int
	// rejections holds with how many requests the server, if it is a plain one, has rejected
	// others. It is kept only under pressure.
	rejections admission.Rejections
	// signals is what the server has said of itself.
	signals serverSignals
	// cold is what has been observed of the server's coldness since its record.
	cold coldState
	// staleAddress is the address at which a different server responded.
	staleAddress string
	cache        *prefixCache
	// eventInterval is the moving average of the time between events in the server's
	// streams; 0 before the first stream.
	eventInterval time.Duration
	// speedStartedAtMS is the start of the server whose speed is being estimated, as a Unix
	// time in milliseconds.
	speedStartedAtMS int64
}

const (
	// eventIntervalWeight is the weight of one stream in the moving average.
	eventIntervalWeight = 0.25
	// outputHintFactor multiplies the client's estimate of the output length, which is
	// correct only at the median.
	outputHintFactor = 1.6
	// defaultOutputShare is the share of MaxOutput that is expected without an estimate
	// by the client.
	defaultOutputShare = 0.3
)

// observeEventInterval adds a stream with the given number of events and duration to
// the moving average.
func (l *load) observeEventInterval(events int, duration time.Duration) {
	if events < 2 {
		return
	}
	interval := duration / time.Duration(events)
	if l.eventInterval == 0 {
		l.eventInterval = interval
		return
	}
	l.eventInterval += time.Duration(eventIntervalWeight * float64(interval-l.eventInterval))
}

// decodeTime returns the expected time for generating the output of a request.
func (l *load) decodeTime(service *fleet.Service, m *RequestMeta) time.Duration {
	tokens := defaultOutputShare * float64(m.MaxOutput)
	if m.OutputHint > 0 {
		tokens = min(outputHintFactor*float64(m.OutputHint), float64(m.MaxOutput))
	}
	return time.Duration(tokens / float64(max(service.Engine.EventTokens, 1)) * float64(l.eventInterval))
}

// prefixCache estimates which prompt prefixes an engine has cached. A part counts as
// cached only if all parts before it in the prompt are cached.
type prefixCache struct {
	capacity int // tokens
	tokens   int
	parts    map[cacheKey]*list.Element
	order    *list.List // of cachedPart, most recently used first
}

type cacheKey struct {
	model string
	part  uint64
}

type cachedPart struct {
	key    cacheKey
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, parts: make(map[cacheKey]*list.Element), order: list.New()}
}

// cachedTokens returns the number of leading tokens of a prompt that are cached for a
// model.
func (c *prefixCache) cachedTokens(model string, parts []peers.PrefixPart) int {
	tokens := 0
	for _, p := range parts {
		if c.parts[cacheKey{model, p.Key}] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// use records that a model reads a prompt. It evicts the least recently used parts when
// the capacity is exceeded.
func (c *prefixCache) use(model string, parts []peers.PrefixPart) {
	for _, p := range parts {
		key := cacheKey{model, p.Key}
		if e := c.parts[key]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[key] = c.order.PushFront(cachedPart{key, p.Tokens})
		c.tokens += p.Tokens
	}
	for c.tokens > c.capacity && c.order.Len() > 1 {
		oldest := c.order.Remove(c.order.Back()).(cachedPart)
		delete(c.parts, oldest.key)
		c.tokens -= oldest.tokens
	}
}

// hashPrefixes returns for each part of a prompt a key that identifies the part and all
// parts before it.
func hashPrefixes(parts []PromptPart) []peers.PrefixPart {
	out := make([]peers.PrefixPart, len(parts))
	var key uint64
	for i, p := range parts {
		key = xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, key), p.ID...))
		out[i] = peers.PrefixPart{Key: key, Tokens: p.Tokens}
	}
	return out
}

// sharedPrefix returns the parts of a prompt that other requests may have in common
// with it: all but the last, which is specific to the request.
func sharedPrefix(parts []peers.PrefixPart) []peers.PrefixPart {
	if len(parts) < 2 {
		return parts
	}
	return parts[:len(parts)-1]
}

// setRemote replaces the load that another entry reported for a server.
func (l *load) setRemote(peer string, work peers.Load) {
	if l.remote == nil {
		l.remote = make(map[string]peers.Load)
	}
	old := l.remote[peer]
	l.remote[peer] = work
	l.remotePending += time.Duration(work.PendingMS-old.PendingMS) * time.Millisecond
	l.remoteRunning += work.Running - old.Running
	l.remoteHeld += (work.HeldBlocks - old.HeldBlocks) * peers.HeldBlockTokens
}

// clearRemote forgets the load that another entry reported for a server.
func (l *load) clearRemote(peer string) {
	if _, reported := l.remote[peer]; reported {
		l.setRemote(peer, peers.Load{})
		delete(l.remote, peer)
	}
}

// prefillTime returns the estimated time for reading tokens with a model, before any
// correction by observations.
func prefillTime(service *fleet.Service, model string, tokens int) time.Duration {
	rate := largestModelPrefillRate / relativeCost(service, model)
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

// relativeCost returns the cost of a model relative to the most expensive one of its
// service.
func relativeCost(service *fleet.Service, model string) float64 {
	if service == nil || service.Engine == nil {
		return 1
	}
	largest, own := 0.0, 0.0
	for _, m := range service.Engine.Models {
		largest = max(largest, m.Cost)
		if m.Name == model {
			own = m.Cost
		}
	}
	if largest == 0 || own == 0 {
		return 1
	}
	return max(own/largest, minRelativeCost)
}

const (
	// prefillRatioStep is the relative change of a ratio per observation.
	prefillRatioStep = 0.03
	// prefillRatioQuantile is the quantile of the observations that the ratio tracks.
	// It is low because requests that arrive later lengthen the observed times.
	prefillRatioQuantile = 0.3
	// minObservedPrefill is the shortest expected prefill from which the rate can be
	// estimated.
	minObservedPrefill = 20 * time.Millisecond
	// maxIdleWait is the expected wait below which an engine is considered idle.
	maxIdleWait = 5 * time.Millisecond
	// maxPrefillRatio limits a ratio to the range from 1/maxPrefillRatio to
	// maxPrefillRatio.
	maxPrefillRatio = 10
)

// prefillRatioTracker tracks by model the ratio of observed to estimated prefill times.
type prefillRatioTracker map[string]float64

func (r prefillRatioTracker) get(model string) float64 {
	if ratio, ok := r[model]; ok {
		return ratio
	}
	return 1
}

// observe compares the time to the response headers with the estimate for an idle
// engine.
func (r prefillRatioTracker) observe(model string, expected, observed time.Duration) {
	if expected < minObservedPrefill {
		return
	}
	ratio := r.get(model)
	if observed > expected {
		ratio *= 1 + prefillRatioStep*(1-prefillRatioQuantile)
	} else {
		ratio *= 1 - prefillRatioStep*prefillRatioQuantile
	}
	r[model] = min(max(ratio, 1.0/maxPrefillRatio), maxPrefillRatio)
}
