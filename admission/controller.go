package admission

import (
	"cmp"
	"time"
)

// Controller admits requests to one backend server. It is not safe for
// concurrent use.
type Controller struct {
	limiter limiter
	queue   queue
	// queueLimit is that of the warm limit.
	queueLimit int
	running    map[uint64]*running
	queued     map[uint64]bool
	draining   bool
}

// running is a request at the backend server.
type running struct {
	start time.Duration
	// epoch and resets are those of the limiter at the start. A request from
	// before a reset met a server in another state and is no evidence after it.
	epoch, resets int
	// atLimit tells that the backend server was within one request of the limit
	// at some time while this one ran.
	atLimit bool
	// seen and slow describe the first token.
	seen, slow bool
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
	case late(t, now):
		return Decision{Code: CodeDeadline}
	case c.queued[t.ID] || c.running[t.ID] != nil:
		return Decision{Code: CodeDuplicate}
	case c.queue.size == 0 && len(c.running) < c.limiter.limit:
		c.queue.charge(c.queue.flow(t))
		c.begin(now, t.ID)
		return Decision{Outcome: Run}
	}
	return c.enqueue(now, t)
}

func (c *Controller) enqueue(now time.Duration, t Ticket) Decision {
	v := Decision{Outcome: Queued}
	c.limitQueue()
	if c.queue.size >= c.queue.limit {
		v.Drop = c.dropLate(now)
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

// FirstToken reports the first token of a running request as soon as it is
// there, so that a server that has become cold is noticed before its long
// answers end. The caller may leave it to Done.
func (c *Controller) FirstToken(now time.Duration, id uint64) Changes {
	if r := c.running[id]; r != nil {
		c.sample(r, now-r.start)
	}
	return c.dispatch(now)
}

func (c *Controller) sample(r *running, d time.Duration) {
	if r.seen || d <= 0 {
		return
	}
	r.seen = true
	if !r.slow && r.resets == c.limiter.resets {
		r.slow = c.limiter.sample(d)
	}
}

// Done ends a running request.
func (c *Controller) Done(now time.Duration, r Result) Changes {
	run := c.running[r.ID]
	if run == nil {
		return c.dispatch(now)
	}
	delete(c.running, r.ID)
	c.sample(run, r.FirstToken)
	switch {
	case r.RefusedConnection:
		c.limiter.reset()
	case r.Overloaded:
		c.limiter.shrink()
	case r.OK && !run.slow && run.atLimit && run.epoch == c.limiter.epoch:
		c.limiter.completed()
	}
	return c.dispatch(now)
}

// EngineStatus takes the engine's load report.
func (c *Controller) EngineStatus(now time.Duration, bootID string, uptime time.Duration) Changes {
	c.limiter.status(bootID, uptime)
	return c.dispatch(now)
}

// Cancel takes a queued request out; it is reported as dropped. A running
// request stays until Done.
func (c *Controller) Cancel(now time.Duration, id uint64) Changes {
	if !c.queued[id] {
		return c.dispatch(now)
	}
	drop := c.dropped(c.queue.remove(CodeCancelled, func(t Ticket) bool { return t.ID == id }))
	ch := c.dispatch(now)
	ch.Drop = append(drop, ch.Drop...)
	return ch
}

// Expire drops the queued requests past their deadline and counts the running
// ones whose first token is overdue. The caller calls it about every 100 ms.
func (c *Controller) Expire(now time.Duration) Changes {
	for _, r := range c.running {
		if !r.seen && !r.slow && r.resets == c.limiter.resets && c.limiter.isSlow(now-r.start) {
			r.slow = true
			c.limiter.overdue()
		}
	}
	return c.dispatch(now)
}

// SetLimits changes the limits. A raised limit is used from the next event on.
func (c *Controller) SetLimits(cold, warm int) { c.limiter.configure(cold, warm) }

// Drain refuses all further and all queued requests. Running ones go on.
func (c *Controller) Drain(now time.Duration) Changes {
	c.draining = true
	return Changes{Drop: c.dropped(c.queue.remove(CodeDraining, func(Ticket) bool { return true }))}
}

// Resume ends a drain; the backend server starts at its cold limit.
func (c *Controller) Resume() {
	if c.draining {
		c.draining = false
		c.limiter.reset()
	}
}

// Reset falls to the cold limit, because the backend server may have been
// restarted while it was out of service.
func (c *Controller) Reset() { c.limiter.reset() }

// Report returns the load report.
func (c *Controller) Report() Report {
	l := &c.limiter
	return Report{Running: len(c.running), Queued: c.queue.size, Limit: l.limit, Cold: l.limit < l.warm,
		FirstToken: time.Duration(l.average * float64(time.Second)), Draining: c.draining, Resets: l.resets}
}

// begin records a start. When it brings the server within one request of the
// limit, all that run are evidence for the current limit.
func (c *Controller) begin(now time.Duration, id uint64) {
	c.running[id] = &running{start: now, epoch: c.limiter.epoch, resets: c.limiter.resets}
	if len(c.running) < c.limiter.limit-1 {
		return
	}
	for _, r := range c.running {
		r.atLimit = true
	}
}

// limitQueue keeps the queue in proportion to the limit, rounded up: behind a
// cold server, a queue for a warm one would wait several times as long.
func (c *Controller) limitQueue() {
	c.queue.limit = (c.queueLimit*c.limiter.limit + c.limiter.warm - 1) / c.limiter.warm
}

// dispatch drops late tickets, starts what the limit allows, and hands back what
// the queue cannot hold after the limit has fallen.
func (c *Controller) dispatch(now time.Duration) Changes {
	ch := Changes{Drop: c.dropLate(now)}
	for c.queue.size > 0 && len(c.running) < c.limiter.limit {
		t := c.queue.pop()
		delete(c.queued, t.ID)
		c.begin(now, t.ID)
		ch.Start = append(ch.Start, t.ID)
	}
	c.limitQueue()
	ch.Drop = append(ch.Drop, c.dropped(c.queue.shed())...)
	c.queue.forget()
	return ch
}

func (c *Controller) dropLate(now time.Duration) []Dropped {
	if c.queue.size == 0 {
		return nil
	}
	return c.dropped(c.queue.remove(CodeDeadline, func(t Ticket) bool { return late(t, now) }))
}

func (c *Controller) dropped(ds []Dropped) []Dropped {
	for _, d := range ds {
		delete(c.queued, d.ID)
	}
	return ds
}
