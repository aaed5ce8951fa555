package admission

import (
	"cmp"
	"time"
)

// Controller admits requests to one backend server. It is not safe for concurrent
// use.
type Controller struct {
	limiter limiter
	queue   queue
	// queueLimit is the queue limit at the warm limit.
	queueLimit int
	running    map[uint64]*running
	queued     map[uint64]bool
	draining   bool
}

// running is a request in progress at the backend server.
type running struct {
	start time.Duration
	// limitEpoch and resets are those of the limiter at the start of the request. A
	// request that started before a reset ran on a server in another state and is
	// not evidence after it.
	limitEpoch, resets int
	// atLimit means that the backend server was within one request of the limit at
	// some time while this request ran.
	atLimit bool
	// firstTokenSeen means that the first token has arrived, and slow that it was
	// late.
	firstTokenSeen, slow bool
}

// New returns a controller at its cold limit.
func New(c Config) *Controller {
	l := limiter{warmAfter: cmp.Or(c.WarmAfter, defaultWarmAfter),
		slowFactor: cmp.Or(c.SlowFactor, defaultSlowFactor), backoff: 1}
	l.configure(c.ColdLimit, c.WarmLimit)
	return &Controller{limiter: l, queue: queue{flows: map[string]*flow{}}, queueLimit: max(c.QueueLimit, 0),
		running: map[uint64]*running{}, queued: map[uint64]bool{}}
}

// Arrive decides on a new request.
func (c *Controller) Arrive(now time.Duration, t Ticket) Decision {
	switch {
	case c.draining:
		return Decision{Code: CodeDraining}
	case expired(t, now):
		return Decision{Code: CodeDeadline}
	case c.queued[t.ID] || c.running[t.ID] != nil:
		return Decision{Code: CodeDuplicate}
	case c.queue.size == 0 && len(c.running) < c.limiter.limit:
		c.queue.charge(c.queue.flow(t), t.cost())
		c.startRequest(now, t.ID)
		return Decision{Outcome: Run}
	}
	return c.enqueue(now, t)
}

func (c *Controller) enqueue(now time.Duration, t Ticket) Decision {
	v := Decision{Outcome: Queued}
	c.updateQueueLimit()
	if c.queue.size >= c.queue.limit {
		v.Drop = c.dropExpired(now)
	}
	if c.queue.size >= c.queue.limit {
		d, ok := c.queue.displace(t)
		if !ok {
			v.Outcome, v.Code = Refused, CodeQueueFull
			return v
		}
		delete(c.queued, d.ID)
		v.Drop = append(v.Drop, d)
	}
	c.queue.push(t)
	c.queued[t.ID] = true
	return v
}

// FirstToken reports the first token of a running request when it arrives, so that
// a server that has become cold is detected before its long answers end. The call
// is optional: Done can report the first token too.
func (c *Controller) FirstToken(now time.Duration, id uint64) Changes {
	if r := c.running[id]; r != nil {
		c.recordFirstToken(r, now-r.start)
	}
	return c.dispatch(now)
}

func (c *Controller) recordFirstToken(r *running, d time.Duration) {
	if r.firstTokenSeen || d <= 0 {
		return
	}
	r.firstTokenSeen = true
	if !r.slow && r.resets == c.limiter.resets {
		r.slow = c.limiter.recordFirstToken(d)
	}
}

// Done ends a running request.
func (c *Controller) Done(now time.Duration, r Result) Changes {
	run := c.running[r.ID]
	if run == nil {
		return c.dispatch(now)
	}
	delete(c.running, r.ID)
	c.recordFirstToken(run, r.FirstToken)
	switch {
	case r.RefusedConnection:
		c.limiter.reset()
	case r.Overloaded:
		c.limiter.reduce()
	case r.OK && !run.slow && run.atLimit && run.limitEpoch == c.limiter.limitEpoch:
		c.limiter.recordCompletion()
	}
	return c.dispatch(now)
}

// EngineStatus processes the engine's status report.
func (c *Controller) EngineStatus(now time.Duration, bootID string, uptime time.Duration) Changes {
	c.limiter.engineStatus(bootID, uptime)
	return c.dispatch(now)
}

// Cancel removes a queued request, which is then reported as dropped. A running
// request stays until Done.
func (c *Controller) Cancel(now time.Duration, id uint64) Changes {
	if !c.queued[id] {
		return c.dispatch(now)
	}
	drop := c.untrack(c.queue.remove(CodeCancelled, func(t Ticket) bool { return t.ID == id }))
	ch := c.dispatch(now)
	ch.Drop = append(drop, ch.Drop...)
	return ch
}

// Expire drops the queued requests whose deadline has passed and counts the running
// ones whose first token is overdue. The caller should call it about every 100 ms.
func (c *Controller) Expire(now time.Duration) Changes {
	for _, r := range c.running {
		if !r.firstTokenSeen && !r.slow && r.resets == c.limiter.resets && c.limiter.isSlow(now-r.start) {
			r.slow = true
			c.limiter.recordSlow()
		}
	}
	return c.dispatch(now)
}

// SetLimits replaces the limits. A raised limit takes effect at the next event.
func (c *Controller) SetLimits(cold, warm int) { c.limiter.configure(cold, warm) }

// Drain drops all queued requests and refuses new ones. Running requests continue.
func (c *Controller) Drain(now time.Duration) Changes {
	c.draining = true
	return Changes{Drop: c.untrack(c.queue.remove(CodeDraining, func(Ticket) bool { return true }))}
}

// Resume ends a drain. The backend server starts at its cold limit.
func (c *Controller) Resume() {
	if c.draining {
		c.draining = false
		c.limiter.reset()
	}
}

// Reset returns to the cold limit, because the backend server may have restarted
// while it was out of service.
func (c *Controller) Reset() { c.limiter.reset() }

// Report returns the load report.
func (c *Controller) Report() Report {
	l := &c.limiter
	return Report{Running: len(c.running), Queued: c.queue.size, Limit: l.limit, Cold: l.limit < l.warmLimit,
		FirstToken: time.Duration(l.average * float64(time.Second)), Draining: c.draining, Resets: l.resets}
}

// startRequest records the start of a request. If the server is then within one
// request of the limit, all running requests are evidence for the current limit.
func (c *Controller) startRequest(now time.Duration, id uint64) {
	c.running[id] = &running{start: now, limitEpoch: c.limiter.limitEpoch, resets: c.limiter.resets}
	if len(c.running) < c.limiter.limit-1 {
		return
	}
	for _, r := range c.running {
		r.atLimit = true
	}
}

// updateQueueLimit scales the queue limit with the concurrency limit, rounded up:
// requests in a queue sized for a warm server would wait several times as long
// behind a cold one.
func (c *Controller) updateQueueLimit() {
	c.queue.limit = (c.queueLimit*c.limiter.limit + c.limiter.warmLimit - 1) / c.limiter.warmLimit
}

// dispatch drops expired tickets, starts requests up to the limit, and drops the
// tickets that exceed the queue limit after the limit has fallen.
func (c *Controller) dispatch(now time.Duration) Changes {
	ch := Changes{Drop: c.dropExpired(now)}
	for c.queue.size > 0 && len(c.running) < c.limiter.limit {
		t := c.queue.pop()
		delete(c.queued, t.ID)
		c.startRequest(now, t.ID)
		ch.Start = append(ch.Start, t.ID)
	}
	c.updateQueueLimit()
	ch.Drop = append(ch.Drop, c.untrack(c.queue.dropExcess())...)
	c.queue.removeIdleFlows()
	return ch
}

func (c *Controller) dropExpired(now time.Duration) []Dropped {
	if c.queue.size == 0 {
		return nil
	}
	return c.untrack(c.queue.remove(CodeDeadline, func(t Ticket) bool { return expired(t, now) }))
}

func (c *Controller) untrack(ds []Dropped) []Dropped {
	for _, d := range ds {
		delete(c.queued, d.ID)
	}
	return ds
}
