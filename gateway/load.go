package gateway

import (
	"container/list"
	"time"

	"hyssoploom/fleet"
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
	// suspectUntil is set by failed connections.
	suspectUntil time.Time
	// wrongAddress is the address at which another server answered.
	wrongAddress string
	cache        *promptCache
}

// promptCache estimates which parts of prompts an engine holds. Parts count as
// held in the order in which a prompt lists them.
type promptCache struct {
	capacity int // tokens
	tokens   int
	parts    map[string]*list.Element
	order    *list.List // of cachedPart, most recently used first
}

type cachedPart struct {
	key    string
	tokens int
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, parts: make(map[string]*list.Element), order: list.New()}
}

// held returns the number of leading tokens of a prompt that are held for a model.
func (c *promptCache) held(model string, parts []PromptPart) int {
	tokens := 0
	for _, p := range parts {
		if c.parts[model+"/"+p.ID] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// use notes that a prompt is read by a model.
func (c *promptCache) use(model string, parts []PromptPart) {
	for _, p := range parts {
		key := model + "/" + p.ID
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

// readTime is the time in which an engine reads tokens with a model.
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
