package agent

import (
	"context"
	"sync"
	"time"

	"hyssoploom/admission"
)

// gate serializes the calls to the admission controller and notifies the waiting
// requests that it starts or drops.
type gate struct {
	clock func() time.Duration

	mu         sync.Mutex
	controller *admission.Controller
	nextID     uint64
	waiting    map[uint64]chan string // by ticket ID; receives "" to start, else the drop code
}

func newGate(c *admission.Controller, clock func() time.Duration) *gate {
	return &gate{clock: clock, controller: c, waiting: make(map[uint64]chan string)}
}

// enter waits until the request may run. It returns the ticket ID, or the refusal code
// if the request may not run.
func (g *gate) enter(ctx context.Context, t admission.Ticket) (id uint64, code string) {
	g.mu.Lock()
	g.nextID++
	t.ID = g.nextID
	verdict := g.controller.Arrive(g.clock(), t)
	g.apply(admission.Changes{Drop: verdict.Drop})
	switch verdict.Outcome {
	case admission.Run:
		g.mu.Unlock()
		return t.ID, ""
	case admission.Refused:
		g.mu.Unlock()
		return 0, verdict.Code
	}
	notify := make(chan string, 1)
	g.waiting[t.ID] = notify
	g.mu.Unlock()

	select {
	case code := <-notify:
		return t.ID, code
	case <-ctx.Done():
		return g.abandon(t.ID, notify)
	}
}

// abandon cancels a queued ticket. A ticket that was started concurrently is ended.
func (g *gate) abandon(id uint64, notify chan string) (uint64, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, id)
	select {
	case code := <-notify:
		if code != "" {
			return 0, code
		}
		g.apply(g.controller.Done(g.clock(), admission.Result{ID: id}))
	default:
		g.apply(g.controller.Cancel(g.clock(), id))
	}
	return 0, codeCancelled
}

// firstToken reports the first token of a running ticket.
func (g *gate) firstToken(id uint64) {
	g.update(func(now time.Duration) admission.Changes { return g.controller.FirstToken(now, id) })
}

// done ends a running ticket and frees its slot.
func (g *gate) done(r admission.Result) {
	g.update(func(now time.Duration) admission.Changes { return g.controller.Done(now, r) })
}

func (g *gate) engineStatus(bootID string, uptime time.Duration) {
	g.update(func(now time.Duration) admission.Changes { return g.controller.EngineStatus(now, bootID, uptime) })
}

func (g *gate) setLimits(cold, warm int) {
	g.update(func(now time.Duration) admission.Changes {
		g.controller.SetLimits(cold, warm)
		return g.controller.Expire(now)
	})
}

func (g *gate) reset() {
	g.update(func(now time.Duration) admission.Changes {
		g.controller.Reset()
		return g.controller.Expire(now)
	})
}

func (g *gate) expire() { g.update(g.controller.Expire) }

func (g *gate) drain() { g.update(g.controller.Drain) }

func (g *gate) report() admission.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.controller.Report()
}

// update calls f with the current time and notifies the tickets that it changes.
func (g *gate) update(f func(now time.Duration) admission.Changes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.apply(f(g.clock()))
}

// apply notifies the tickets in c. The caller holds g.mu.
func (g *gate) apply(c admission.Changes) {
	for _, id := range c.Start {
		g.wake(id, "")
	}
	for _, d := range c.Drop {
		g.wake(d.ID, d.Code)
	}
}

// wake notifies the ticket if it is still waiting.
func (g *gate) wake(id uint64, code string) {
	if notify, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		notify <- code
	}
}
