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
	// suspectFor is how long a server is avoided after a failed connection.
	suspectFor = 1500 * time.Millisecond
	// cacheShare is the part of an engine's memory that is taken to hold prompts.
	cacheShare = 0.7
	// largestReadRate is the prompt tokens per millisecond that the largest model
	// reads. Smaller models read faster in proportion to their cost.
	largestReadRate = 20.0
	// smallestPace bounds how much faster a small model is taken to be.
	smallestPace = 0.1
)

// load is what this entry knows of the work at one backend server.
type load struct {
	pending time.Duration // work of requests whose answer has not begun
	running int           // requests that are not finished
	// remote is the work of the other entries by their names; its sum is kept.
	remote        map[string]peers.Load
	remotePending time.Duration
	remoteRunning int
	// toldFar is the pending work that peers of other regions know of.
	toldFar time.Duration
	// suspectUntil is set by failed connections.
	suspectUntil time.Time
	// wrongAddress is the address at which another server answered.
	wrongAddress string
	cache        *promptCache
	// eventPace is the moving average of the time between events of the server's
	// streams; 0 before the first.
	eventPace time.Duration
}

const (
	// paceWeight is the weight of one stream in the average pace of its server.
	paceWeight = 0.25
	// hintMargin multiplies the caller's guess of the output, which is right at the
	// median only.
	hintMargin = 1.6
	// unhintedShare is the part of the largest output that is expected without one.
	unhintedShare = 0.3
)

// observePace adds the pace of a stream that had events in a time.
func (l *load) observePace(events int, in time.Duration) {
	if events < 2 {
		return
	}
	pace := in / time.Duration(events)
	if l.eventPace == 0 {
		l.eventPace = pace
		return
	}
	l.eventPace += time.Duration(paceWeight * float64(pace-l.eventPace))
}

// writeTime is the time in which a server is expected to generate the output of a
// request.
func (l *load) writeTime(service *fleet.Service, m *RequestMeta) time.Duration {
	tokens := unhintedShare * float64(m.MaxOutput)
	if m.OutputHint > 0 {
		tokens = min(hintMargin*float64(m.OutputHint), float64(m.MaxOutput))
	}
	return time.Duration(tokens / float64(max(service.Engine.EventTokens, 1)) * float64(l.eventPace))
}

// promptCache estimates which parts of prompts an engine holds. Parts count as
// held in the order in which a prompt lists them.
type promptCache struct {
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

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, parts: make(map[cacheKey]*list.Element), order: list.New()}
}

// held returns the number of leading tokens of a prompt that are held for a model.
func (c *promptCache) held(model string, parts []peers.PrefixPart) int {
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
func (c *promptCache) use(model string, parts []peers.PrefixPart) {
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

// chain gives each part of a prompt a key that stands for it and all before it.
func chain(parts []PromptPart) []peers.PrefixPart {
	out := make([]peers.PrefixPart, len(parts))
	var key uint64
	for i, p := range parts {
		key = xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, key), p.ID...))
		out[i] = peers.PrefixPart{Key: key, Tokens: p.Tokens}
	}
	return out
}

// shared returns the parts of a prompt that other requests have too: the last
// part belongs to the request itself.
func shared(parts []peers.PrefixPart) []peers.PrefixPart {
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

// readTime is the time in which an engine reads tokens with a model, before any
// observation.
func readTime(service *fleet.Service, model string, tokens int) time.Duration {
	rate := largestReadRate / pace(service, model)
	return time.Duration(float64(tokens) / rate * float64(time.Millisecond))
}

// pace is the work of a model relative to the largest of its service.
func pace(service *fleet.Service, model string) float64 {
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
	return max(own/largest, smallestPace)
}

const (
	// ratioStep is the relative change of a ratio by one observation.
	ratioStep = 0.03
	// ratioQuantile is the part of the observations that lie below the ratio. It is
	// low because requests that arrive later lengthen what is observed.
	ratioQuantile = 0.3
	// leastRead is the shortest reading that tells something about the rate.
	leastRead = 20 * time.Millisecond
	// idleWait is the expected wait up to which an engine counts as idle.
	idleWait = 5 * time.Millisecond
	// maxRatio bounds a ratio on both sides.
	maxRatio = 10
)

// readRatios tracks how much longer engines take to read prompts than readTime
// says, by model.
type readRatios map[string]float64

func (r readRatios) of(model string) float64 {
	if ratio, ok := r[model]; ok {
		return ratio
	}
	return 1
}

// observe compares the time to the head of an answer with what was expected of an
// idle engine.
func (r readRatios) observe(model string, expected, observed time.Duration) {
	if expected < leastRead {
		return
	}
	ratio := r.of(model)
	if observed > expected {
		ratio *= 1 + ratioStep*(1-ratioQuantile)
	} else {
		ratio *= 1 - ratioStep*ratioQuantile
	}
	r[model] = min(max(ratio, 1.0/maxRatio), maxRatio)
}
