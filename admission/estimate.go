package admission

import (
	"math"
	"time"
)

const (
	// minOpenRate is the part of an entry's rate that requests of higher priority must leave
	// for an estimate of when others start.
	minOpenRate = 0.05
	// unknownWait is the wait of a request that is not expected to start.
	unknownWait = time.Hour
)

// expectedWait estimates when a request starts: once the work ahead of it has started at the
// rate that requests which go before it and are still to arrive leave, or once as many have
// passed it as may.
func (g *Gate) expectedWait(now time.Duration, w *waiter) time.Duration {
	if !w.late {
		if wait := g.waitAs(now, w, false); w.StartBy <= 0 || now+wait <= w.StartBy {
			return wait
		}
	}
	return g.waitAs(now, w, true)
}

// waitAs is expectedWait for a request that waits with the late ones or with the others.
func (g *Gate) waitAs(now time.Duration, w *waiter, late bool) time.Duration {
	ahead, older := max(-g.credit, 0), 0.0
	own := w.Cost
	for _, o := range g.waiting {
		if o.number < w.number {
			older += o.Cost
		}
		switch {
		case o.ID == w.ID:
		case o.late == late && o.Priority == w.Priority:
			if o.Workspace == w.Workspace && o.number < w.number {
				own += o.Cost
			}
		case !o.late && late, o.late == late && o.Priority < w.Priority:
			ahead += o.Cost
		}
	}
	ahead += own - w.Cost
	q := &g.levels[w.Priority].onTime
	if late {
		q = &g.levels[w.Priority].late
	}
	for name, f := range q.flows {
		if name != w.Workspace {
			ahead += f.costUntil(own / weightOf(w.Weight))
		}
	}
	open := g.rate
	for i := range g.levels {
		if i < w.Priority || late && i != w.Priority {
			open -= g.levels[i].admitted.rate(now)
		}
	}
	wait := float64(unknownWait)
	if open > minOpenRate*g.rate {
		wait = ahead / open
	}
	if g.rate > 0 {
		wait = min(wait, (max(-g.credit, 0)+older+MaxPassed*g.meanCost)/g.rate)
	}
	return time.Duration(min(wait, float64(unknownWait)))
}

// costUntil returns the cost of the waiting requests that start before one with the given
// virtual finish time, if the flow begins with it.
func (f *flow) costUntil(finish float64) float64 {
	total := 0.0
	for i := range f.waiting {
		cost := f.waiting[i].cost()
		if (total+cost)/f.weight > finish {
			break
		}
		total += cost
	}
	return total
}

func weightOf(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// decayed is a sum whose parts lose their weight with time.
type decayed struct {
	sum float64
	at  time.Duration
}

func (d *decayed) add(now time.Duration, x float64) {
	d.sum, d.at = d.value(now)+x, max(now, d.at)
}

func (d *decayed) value(now time.Duration) float64 {
	if now <= d.at || d.sum == 0 {
		return d.sum
	}
	return d.sum * math.Exp(-(now-d.at).Seconds()/rateTime.Seconds())
}

// rate returns the mean of the added values per nanosecond.
func (d *decayed) rate(now time.Duration) float64 { return d.value(now) / float64(rateTime) }
