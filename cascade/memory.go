package cascade

import (
	"container/list"
	"math"
	"time"
)

const (
	// memoryLength is the number of ratings after which old ones have faded.
	memoryLength = 1000
	// halfLife is the time after which an estimate that gets no rating counts half.
	halfLife = 6 * time.Hour
	// inherited is the number of ratings that the estimate of a new version takes
	// over from the version before.
	inherited = 20
	// sharedWeight is the number of ratings that the estimate over all workspaces
	// adds to that of one workspace.
	sharedWeight = 400
	// chainWeight is the number of ratings that what is known from escalations
	// may add to the estimate of a stage. Answers to tasks that a cheaper stage
	// passes are taken as passing at the costlier one.
	chainWeight = 150
	// disagree is the number of standard deviations at which a workspace's own
	// estimate and that over all workspaces are taken to differ.
	disagree = 3
	// maxVersions bounds the estimates of one cell.
	maxVersions = 24
	// maxClassName bounds the name of a task class, which callers choose.
	maxClassName = 64
)

// beta holds the counts of a pass probability.
type beta struct{ pass, fail float64 }

func (b beta) n() float64 { return b.pass + b.fail }

// mean is the expectation under a uniform prior.
func (b beta) mean() float64 { return (b.pass + 1) / (b.n() + 2) }

func (b beta) scale(f float64) beta { return beta{b.pass * f, b.fail * f} }

func (b beta) atMost(n float64) beta {
	if b.n() <= n {
		return b
	}
	return b.scale(max(0, n) / b.n())
}

// withPrior adds a prior that fades as b's own ratings reach weight.
func (b beta) withPrior(prior beta, weight float64) beta {
	prior = prior.atMost(weight - b.n())
	return beta{b.pass + prior.pass, b.fail + prior.fail}
}

func (b beta) variance() float64 { return b.mean() * (1 - b.mean()) / (b.n() + 3) }

// pool adds the estimate over all workspaces to that of one, unless they differ.
func pool(local, shared beta) beta {
	others := shared.atMost(sharedWeight - local.n())
	if others.n() == 0 {
		return local
	}
	gap := math.Abs(local.mean() - shared.mean())
	if local.n() >= 30 && gap > disagree*math.Sqrt(local.variance()+shared.variance()) {
		return local
	}
	return beta{local.pass + others.pass, local.fail + others.fail}
}

// follow is the pass probability of a stage inferred from that of the stage
// before and that of answers after a failure there.
func follow(before, after beta) beta {
	m := before.mean() + (1-before.mean())*after.mean()
	spread := (1-after.mean())*(1-after.mean())*before.variance() +
		(1-before.mean())*(1-before.mean())*after.variance()
	n := max(0, m*(1-m)/spread-3)
	if before.n() == 0 || after.n() == 0 {
		return beta{}
	}
	return beta{m * n, (1 - m) * n}
}

type versionKey struct{ model, version string }

// estimate is what is known about one version.
type estimate struct {
	direct, after         beta
	directSeen, afterSeen float64 // ratings, without what was inherited
	at                    time.Duration
}

// aged returns the estimate as of now.
func (e *estimate) aged(now time.Duration) estimate {
	out := *e
	if now <= e.at {
		return out
	}
	f := math.Exp2(-float64(now-e.at) / float64(halfLife))
	out.direct, out.after = e.direct.scale(f), e.after.scale(f)
	out.directSeen, out.afterSeen = e.directSeen*f, e.afterSeen*f
	out.at = now
	return out
}

func (e *estimate) observe(now time.Duration, escalated, passed bool) {
	*e = e.aged(now)
	b, seen := &e.direct, &e.directSeen
	if escalated {
		b, seen = &e.after, &e.afterSeen
	}
	*b = b.scale(1 - 1.0/memoryLength)
	*seen = *seen*(1-1.0/memoryLength) + 1
	if passed {
		b.pass++
	} else {
		b.fail++
	}
}

type cellKey struct{ workspace, class string }

// cell holds the estimates of one workspace and task class.
type cell struct {
	key      cellKey
	versions map[versionKey]*estimate
	latest   map[string]string // model to the version seen last
	// credit is the sum by which plans exceeded the quality target, less what
	// was spent on plans below it.
	credit float64
}

// version returns the estimate of a version. That of a new version starts from
// a few ratings' worth of the version before.
func (c *cell) version(now time.Duration, k versionKey) *estimate {
	e := c.versions[k]
	if e != nil {
		return e
	}
	e = &estimate{at: now}
	if old := c.versions[versionKey{k.model, c.latest[k.model]}]; old != nil {
		e.direct, e.after = old.direct.atMost(inherited), old.after.atMost(inherited)
	}
	if len(c.versions) >= maxVersions {
		c.evict()
	}
	c.versions[k] = e
	c.latest[k.model] = k.version
	return e
}

func (c *cell) evict() {
	var oldest versionKey
	found := false
	for k, e := range c.versions {
		if !found || e.at < c.versions[oldest].at || e.at == c.versions[oldest].at && k.less(oldest) {
			oldest, found = k, true
		}
	}
	delete(c.versions, oldest)
	if c.latest[oldest.model] == oldest.version {
		delete(c.latest, oldest.model)
	}
}

func (k versionKey) less(o versionKey) bool {
	return k.model < o.model || k.model == o.model && k.version < o.version
}

// memory keeps the cells that were used last.
type memory struct {
	limit int
	cells map[cellKey]*list.Element
	order *list.List // of *cell, least recently used first
}

func newMemory(limit int) *memory {
	return &memory{limit: limit, cells: map[cellKey]*list.Element{}, order: list.New()}
}

func (m *memory) at(k cellKey) *cell {
	if len(k.class) > maxClassName {
		k.class = k.class[:maxClassName]
	}
	if el := m.cells[k]; el != nil {
		m.order.MoveToBack(el)
		return el.Value.(*cell)
	}
	if len(m.cells) >= m.limit {
		oldest := m.order.Front()
		delete(m.cells, m.order.Remove(oldest).(*cell).key)
	}
	c := &cell{key: k, versions: map[versionKey]*estimate{}, latest: map[string]string{}}
	m.cells[k] = m.order.PushBack(c)
	return c
}
