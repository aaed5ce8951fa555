package gateway

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoploom/fleet"
	"hyssoploom/peers"
)

const (
	// suspectDuration is how long a server is avoided after a failed connection.
	suspectDuration = 1500 * time.Millisecond
	// prefixCacheShare is the part of an engine's memory that is taken to hold prompts.
	prefixCacheShare = 0.7
	// largestModelPrefillRate is the prompt tokens per millisecond that the largest model
	// reads. Smaller models read faster in proportion to their cost.
	largestModelPrefillRate = 20.0
	// minRelativeCost bounds how much faster a small model is taken to be.
	minRelativeCost = 0.1
)

// load is what this entry knows of the work at one backend server.
type load struct {
	pending time.Duration // work of requests whose answer has not begun
	running int           // requests that are not finished
	// remote is the work of the other entries by their names; its sum is kept.
	remote        map[string]peers.Load
	remotePending time.Duration
	remoteRunning int
	// crossRegionPending is the pending work that peers of other regions know of.
	crossRegionPending time.Duration
	// suspectUntil is set by failed connections.
	suspectUntil time.Time
	// staleAddress is the address at which another server answered.
	staleAddress string
	cache        *prefixCache
	// eventInterval is the moving average of the time between events of the server's
	// streams; 0 before the first.
	eventInterval time.Duration
}

const (
	// eventIntervalWeight is the weight of one stream in the average pace of its server.
	eventIntervalWeight = 0.25
	// outputHintFactor multiplies the caller's guess of the output, which is right at the
	// median only.
	outputHintFactor = 1.6
	// defaultOutputShare is the part of the largest output that is expected without one.
	defaultOutputShare = 0.3
)

// observeEventInterval adds the pace of a stream that had events in a time.
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

// decodeTime is the time in which a server is expected to generate the output of a
// request.
func (l *load) decodeTime(service *fleet.Service, m *RequestMeta) time.Duration {
	tokens := defaultOutputShare * float64(m.MaxOutput)
	if m.OutputHint > 0 {
		tokens = min(outputHintFactor*float64(m.OutputHint), float64(m.MaxOutput))
	}
	return time.Duration(tokens / float64(max(service.Engine.EventTokens, 1)) * float64(l.eventInterval))
}

// prefixCache estimates which parts of prompts an engine holds. Parts count as
// held in the order in which a prompt lists them.
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

// cachedTokens returns the number of leading tokens of a prompt that are cachedTokens for a model.
func (c *prefixCache) cachedTokens(model string, parts []peers.Part) int {
	tokens := 0
	for _, p := range parts {
		if c.parts[cacheKey{model, p.Key}] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// use notes that a prompt is read by a model.
func (c *prefixCache) use(model string, parts []peers.Part) {
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

// hashPrefixes gives each part of a prompt a key that stands for it and all before it.
func hashPrefixes(parts []PromptPart) []peers.Part {
	out := make([]peers.Part, len(parts))
	var key uint64
	for i, p := range parts {
		key = xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, key), p.ID...))
		out[i] = peers.Part{Key: key, Tokens: p.Tokens}
	}
	return out
}

// sharedPrefix returns the parts of a prompt that other requests have too: the last
// part belongs to the request itself.
func sharedPrefix(parts []peers.Part) []peers.Part {
	if len(parts) < 2 {
		return parts
	}
	return parts[:len(parts)-1]
}

// setRemote replaces what is known of another entry's work at a server.
func (l *load) setRemote(peer string, work peers.Load) {
	if l.remote == nil {
		l.remote = make(map[string]peers.Load)
	}
	old := l.remote[peer]
	l.remote[peer] = work
	l.remotePending += time.Duration(work.PendingMS-old.PendingMS) * time.Millisecond
	l.remoteRunning += work.Running - old.Running
}

// prefillTime is the time in which an engine reads tokens with a model, before any
// observation.
func prefillTime(service *fleet.Service, model string, tokens int) time.Duration {
	rate := largestModelPrefillRate / relativeCost(service, model)
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

// relativeCost is the work of a model relative to the largest of its service.
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
	// prefillRatioStep is the relative change of a ratio by one observation.
	prefillRatioStep = 0.03
	// prefillRatioQuantile is the part of the observations that lie below the ratio. It is
	// low because requests that arrive later lengthen what is observed.
	prefillRatioQuantile = 0.3
	// minObservedPrefill is the shortest reading that tells something about the rate.
	minObservedPrefill = 20 * time.Millisecond
	// maxIdleWait is the expected wait up to which an engine counts as idle.
	maxIdleWait = 5 * time.Millisecond
	// maxPrefillRatio bounds a ratio on both sides.
	maxPrefillRatio = 10
)

// prefillRatioTracker tracks how much longer engines take to read prompts than readTime
// says, by model.
type prefillRatioTracker map[string]float64

func (r prefillRatioTracker) get(model string) float64 {
	if ratio, ok := r[model]; ok {
		return ratio
	}
	return 1
}

// observe compares the time to the head of an answer with what was expected of an
// idle engine.
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
